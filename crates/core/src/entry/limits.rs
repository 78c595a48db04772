//! Limits of an entry.

use crate::directory::DirectoryLimits;
use crate::placement::PlacementKind;
use std::time::Duration;

/// Limits of an entry; all come from its settings.
#[derive(Debug, Clone)]
pub struct EntryLimits {
    /// Most tasks in one job.
    pub tasks_per_job: usize,
    /// Most tasks held, queued and sent together.
    pub tasks_held: usize,
    /// Longest deadline that a caller may ask for.
    pub longest_deadline: Duration,
    /// Slots beyond those of a server that may be filled ahead.
    pub ahead: u32,
    /// Time by which each task of a job puts all its tasks back in the queue.
    pub task_surcharge: Duration,
    /// Starts of one task, all but the last proven not to have started.
    pub attempts: u32,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Retries saved up at most.
    pub retry_reserve: u32,
    /// Time without an answer, beyond the expected one, after which a task's outcome is asked for.
    pub ask_after: Duration,
    /// Age of evidence after which nothing is started on it.
    pub lease: Duration,
    /// Time after its start for which the entry lets jobs wait for servers that it has not heard of
    /// yet; zero where it refuses them.
    pub warm_up: Duration,
    /// Whether work goes on under the configuration held while nothing confirms that it is in
    /// force.
    pub serves_unconfirmed: bool,
    /// How long an agent lets tasks run after its latest heartbeat that this entry answered; zero
    /// where they run on without it.
    pub run_lease: Duration,
    /// Time after the end of that lease by which every run has surely ended, even where the agent
    /// died; zero where this is never known.
    pub run_lapse: Duration,
    /// Time to wait for a claim.
    pub claim_timeout: Duration,
    /// Age of a request key after which it is refused; shorter than the log's retention.
    pub claim_window: Duration,
    /// How long the answer of a claimed job is kept for a resubmission.
    pub answer_kept: Duration,
    /// Answers of claimed jobs kept at most.
    pub answers_kept: usize,
    /// Refusals held for the log at most.
    pub refusals_held: usize,
    /// Refusals in one append at most.
    pub refusal_batch: usize,
    /// Time over which a returning failure domain is filled.
    pub ramp: Duration,
    /// Retention of the log.
    pub retention: Duration,
    /// Records after which the configuration is republished.
    pub snapshot_records: u64,
    /// Shortest heartbeat interval given to agents.
    pub heartbeat: Duration,
    /// Heartbeats that this entry takes a second; agents are slowed down as they grow.
    pub heartbeats_per_second: u32,
    /// Appends of claims that all entries together make a second.
    pub claim_appends: u32,
    /// Appends of accounts that all entries together make a second.
    pub account_appends: u32,
    /// Placement policy.
    pub placement: PlacementKind,
    /// Limits of the server directory.
    pub directory: DirectoryLimits,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            tasks_per_job: 790,
            tasks_held: 50_000,
            longest_deadline: Duration::from_secs(120),
            ahead: 0,
            task_surcharge: Duration::from_millis(50),
            attempts: 4,
            retry_ratio: 0.2,
            retry_reserve: 100,
            ask_after: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            warm_up: Duration::ZERO,
            serves_unconfirmed: false,
            run_lease: Duration::ZERO,
            run_lapse: Duration::ZERO,
            claim_timeout: Duration::from_secs(1),
            claim_window: Duration::from_secs(600),
            answer_kept: Duration::from_secs(60),
            answers_kept: 4096,
            refusals_held: 20_000,
            refusal_batch: 500,
            ramp: Duration::from_secs(5),
            retention: Duration::from_secs(3600),
            snapshot_records: 500,
            heartbeat: Duration::from_secs(1),
            heartbeats_per_second: 10,
            claim_appends: 200,
            account_appends: 50,
            placement: PlacementKind::EarliestFinish,
            directory: DirectoryLimits::default(),
        }
    }
}
