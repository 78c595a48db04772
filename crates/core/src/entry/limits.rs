//! Limits of an entry: admission, retries, leases, claims, rates and retention.

use crate::directory::DirectoryLimits;
use crate::overload::OverloadPolicy;
use crate::placement::PlacementKind;
use std::time::Duration;

/// Limits of an entry, from its settings or the defaults.
#[derive(Debug, Clone)]
pub struct EntryLimits {
    /// Maximum number of tasks in one job.
    pub tasks_per_job: usize,
    /// Maximum number of tasks of all jobs not yet answered, in any state.
    pub max_open_tasks: usize,
    /// Longest deadline that a caller may request.
    pub longest_deadline: Duration,
    /// Slots of tasks that may be sent to a server beyond its capacity; they wait in the queue of
    /// its agent.
    pub prefetch_slots: u32,
    /// Queue penalty per task of a job without a latency objective: a job with N tasks is queued as
    /// if it had arrived later by N times this duration.
    pub task_queue_penalty: Duration,
    /// Maximum number of starts of one task, including those known not to have run it.
    pub max_attempts: u32,
    /// Retries that each first attempt adds to the retry budget.
    pub retry_ratio: f64,
    /// Maximum number of retries in the retry budget, and their number at the start.
    pub retry_reserve: u32,
    /// Time without an answer, in addition to a multiple of the expected time, after which the
    /// status of a task is queried.
    pub status_query_after: Duration,
    /// Freshness lease: the age of a confirmation of the configuration after which it no longer
    /// permits starts.
    pub lease: Duration,
    /// Warm-up after the start of the entry, during which jobs may wait for servers that have not
    /// registered yet; zero to refuse these jobs.
    pub warm_up: Duration,
    /// Whether the entry keeps starting tasks under its latest configuration while it is not
    /// confirmed to be in force.
    pub serves_unconfirmed: bool,
    /// How long tasks may run at an agent after the latest start that this entry sent it, or heartbeat
    /// that this entry answered; zero if they run without a lease.
    pub run_lease: Duration,
    /// Time after the end of `run_lease` by which every run has ended even if the agent died; zero
    /// if no such bound is known.
    pub run_lapse: Duration,
    /// Time within which the log must confirm a claim.
    pub claim_timeout: Duration,
    /// Age after which an idempotency key is refused; shorter than the retention of the log.
    pub claim_window: Duration,
    /// How long the answer of a claimed job is cached for resubmissions.
    pub answer_retention: Duration,
    /// Maximum number of cached answers of claimed jobs; further answers are not cached.
    pub max_cached_answers: usize,
    /// Maximum number of refusal records buffered for the log; the oldest are dropped first.
    pub max_buffered_refusals: usize,
    /// Maximum number of refusal records in one append.
    pub refusal_batch: usize,
    /// Time over which the load of a returning failure domain rises to its full capacity.
    pub ramp: Duration,
    /// Retention of the log; the configuration is republished before its records expire.
    pub retention: Duration,
    /// Number of records after which the configuration is republished.
    pub snapshot_records: u64,
    /// Shortest heartbeat interval that agents are told to use.
    pub heartbeat: Duration,
    /// Maximum heartbeats per second at this entry; the interval grows with the number of servers.
    pub heartbeats_per_second: u32,
    /// Appends to the claim stream per second, summed over all entries.
    pub claim_appends: u32,
    /// Appends to the audit log stream per second, summed over all entries.
    pub refusal_appends: u32,
    /// Policy that chooses the server for a task.
    pub placement: PlacementKind,
    /// Percentage of its run time by which a task has to finish earlier on a server in another
    /// failure domain to be placed there.
    pub cross_domain_percent: u32,
    /// How waiting jobs are served while capacity is short.
    pub overload: OverloadPolicy,
    /// Limits of the server directory.
    pub directory: DirectoryLimits,
}

impl EntryLimits {
    /// Whether a job may have `deadline`.
    pub fn allows_deadline(&self, deadline: Duration) -> bool {
        deadline <= self.longest_deadline
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            tasks_per_job: 790,
            max_open_tasks: 50_000,
            longest_deadline: Duration::from_secs(120),
            prefetch_slots: 0,
            task_queue_penalty: Duration::from_millis(50),
            max_attempts: 4,
            retry_ratio: 0.2,
            retry_reserve: 100,
            status_query_after: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            warm_up: Duration::ZERO,
            serves_unconfirmed: false,
            run_lease: Duration::ZERO,
            run_lapse: Duration::ZERO,
            claim_timeout: Duration::from_secs(1),
            claim_window: Duration::from_secs(600),
            answer_retention: Duration::from_secs(60),
            max_cached_answers: 4096,
            max_buffered_refusals: 20_000,
            refusal_batch: 500,
            ramp: Duration::from_secs(5),
            retention: Duration::from_secs(3600),
            snapshot_records: 500,
            heartbeat: Duration::from_secs(1),
            heartbeats_per_second: 10,
            claim_appends: 200,
            refusal_appends: 50,
            placement: PlacementKind::EarliestFinish,
            cross_domain_percent: 0,
            overload: OverloadPolicy::Arrival,
            directory: DirectoryLimits::default(),
        }
    }
}
