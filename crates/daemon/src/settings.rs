//! Settings of the daemons, in YAML.
//!
//! A settings file has one top-level key, `entry` or `agent`. [`load`] reads and checks a file
//! before anything starts. It reports all invalid settings at once, each with its line and key.

mod agent;
mod check;
mod file;
mod inbound;
mod key_line;
mod reference;
mod seed;

pub use agent::{AgentLimitSettings, AgentSettings, BackendSettings, RunSettings};
pub use check::{SettingError, check_agent_settings, check_entry_settings};
pub use file::{FileSeeds, SeedReader, load, load_with, parse, read_seeds};
pub use inbound::{InboundSettings, MachineSettings};
pub use reference::{SETTING_TABLE, SettingRow};
pub use seed::EntrySeed;

use parsleyspool_core::directory::{DirectoryLimits, QuarantinePolicy};
use parsleyspool_core::entry::EntryLimits;
use parsleyspool_core::overload::OverloadPolicy;
use parsleyspool_core::placement::PlacementKind;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one process, by the kind of daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessSettings {
    /// The process is an entry.
    Entry(Box<EntrySettings>),
    /// The process is an agent.
    Agent(Box<AgentSettings>),
}

/// Settings of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry; its replacement uses the same name.
    pub name: String,
    /// Failure domain that the entry runs in.
    pub domain: String,
    /// Index among the entries; staggers the republication of the configuration, so that entries do
    /// not republish it at the same time.
    #[serde(default)]
    pub rank: u32,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// Connection to the log.
    pub log: LogSettings,
    /// Peer listeners through which the entry discovers entries whose names it does not know.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer listeners of the other entries, by name.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// Limits of the entry; those left out have their defaults.
    #[serde(default)]
    pub limits: EntryLimitSettings,
    /// Resources of the machine.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Limits on what clients send.
    #[serde(default)]
    pub inbound: InboundSettings,
    /// Logging and timeline.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Longest time that a planned stop waits for open jobs.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain: Duration,
}

/// Listeners of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for agents, other entries and operators.
    pub peers: SocketAddr,
    /// Address at which agents, other entries and operators reach the peer listener; `None` if it
    /// is the address of the listener.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
}

/// Connection to the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// URL of the log service.
    pub url: String,
    /// Time limit for an append, or for a read in addition to its wait.
    #[serde(default = "default_log_timeout", with = "humantime_serde")]
    pub timeout: Duration,
    /// Longest time that one read waits for a record at the end of a stream.
    #[serde(default = "default_log_wait", with = "humantime_serde")]
    pub wait: Duration,
    /// Time for which the log retains records.
    #[serde(default = "default_retention", with = "humantime_serde")]
    pub retention: Duration,
    /// Streams that the entry follows; the content of the others must reach it from other entries
    /// or from an embedder.
    #[serde(default = "default_streams")]
    pub streams: BTreeSet<LogStream>,
}

/// Limits of an entry, with the defaults of [`EntryLimits`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimitSettings {
    /// Maximum number of tasks in one job.
    pub tasks_per_job: usize,
    /// Maximum number of tasks of all jobs not yet answered, in any state.
    pub tasks_held: usize,
    /// Largest body of a submission, in bytes.
    pub body_bytes: u64,
    /// Longest deadline that a caller may request.
    #[serde(with = "humantime_serde")]
    pub longest_deadline: Duration,
    /// Slots of tasks that may be sent to a backend server beyond its capacity; they wait in the
    /// queue of its agent.
    pub ahead: u32,
    /// Queue penalty per task of a job without a latency objective: a job with N tasks is queued as
    /// if it had arrived N times this later.
    #[serde(with = "humantime_serde")]
    pub task_surcharge: Duration,
    /// Maximum number of starts of one task. A task is started again if it is known not to have
    /// run. For idempotent requests that permit several runs, it is also started again after a run
    /// that failed or was interrupted.
    pub attempts: u32,
    /// Retries that each first attempt adds to the retry budget.
    pub retry_ratio: f64,
    /// Time without an answer, in addition to a multiple of the expected time, after which the
    /// status of a task is queried.
    #[serde(with = "humantime_serde")]
    pub ask_after: Duration,
    /// Age after which a confirmation of the configuration no longer permits starts.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Warm-up after the start of the entry, during which jobs wait for servers that have not
    /// registered yet; zero to refuse these jobs.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Whether the entry keeps starting tasks while its configuration is not confirmed.
    pub serves_unconfirmed: bool,
    /// How long tasks may run after the latest start at their agent, or heartbeat of it that was
    /// answered; zero if they run without a lease.
    #[serde(with = "humantime_serde")]
    pub run_lease: Duration,
    /// Time after the end of `run_lease` by which every run has ended; zero if no such bound is
    /// known.
    #[serde(with = "humantime_serde")]
    pub run_lapse: Duration,
    /// Time within which the log must confirm a claim.
    #[serde(with = "humantime_serde")]
    pub claim_timeout: Duration,
    /// Age after which an idempotency key is refused.
    #[serde(with = "humantime_serde")]
    pub claim_window: Duration,
    /// How long the answer of a claimed job is cached for resubmissions.
    #[serde(with = "humantime_serde")]
    pub answer_kept: Duration,
    /// Maximum number of refusal records buffered for the log; the oldest are dropped first.
    pub refusals_held: usize,
    /// Time over which the load of a returning failure domain rises to its full capacity.
    #[serde(with = "humantime_serde")]
    pub ramp: Duration,
    /// Shortest heartbeat interval of the agents.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Maximum heartbeats per second at the entry; the interval grows with the number of servers.
    pub heartbeats_per_second: u32,
    /// Rate limit for claims, in appends per second summed over all entries.
    pub claim_appends: u32,
    /// Rate limit for refusal records, in appends per second summed over all entries.
    pub account_appends: u32,
    /// Time without a heartbeat after which a backend server is sent no new work.
    #[serde(with = "humantime_serde")]
    pub silent_after: Duration,
    /// Time without a heartbeat after which a backend server is forgotten.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
    /// Maximum number of backend servers considered for one placement.
    pub sample: usize,
    /// Average share of failed tasks, from 0 to 1, above which a backend server is quarantined.
    pub failure_share: f64,
    /// Number of consecutive failures that quarantine a backend server.
    pub failures_in_row: u32,
    /// Number of records after which the configuration is republished.
    pub snapshot_records: u64,
    /// Name of the placement policy, one of [`PlacementKind::ALL`].
    pub placement: String,
    /// Percentage of its run time by which a task has to finish earlier on a server in another
    /// failure domain to be placed there.
    pub cross_domain_percent: u32,
    /// Name of the overload policy, one of [`OverloadPolicy::ALL`].
    pub overload: String,
}

impl Default for EntryLimitSettings {
    fn default() -> Self {
        let limits = EntryLimits::default();
        Self {
            tasks_per_job: limits.tasks_per_job,
            tasks_held: limits.max_open_tasks,
            body_bytes: 1 << 20,
            longest_deadline: limits.longest_deadline,
            ahead: limits.prefetch_slots,
            task_surcharge: limits.task_queue_penalty,
            attempts: limits.max_attempts,
            retry_ratio: limits.retry_ratio,
            ask_after: limits.status_query_after,
            lease: limits.lease,
            warm_up: limits.warm_up,
            serves_unconfirmed: limits.serves_unconfirmed,
            run_lease: limits.run_lease,
            run_lapse: limits.run_lapse,
            claim_timeout: limits.claim_timeout,
            claim_window: limits.claim_window,
            answer_kept: limits.answer_retention,
            refusals_held: limits.max_buffered_refusals,
            ramp: limits.ramp,
            heartbeat: limits.heartbeat,
            heartbeats_per_second: limits.heartbeats_per_second,
            claim_appends: limits.claim_appends,
            account_appends: limits.refusal_appends,
            silent_after: limits.directory.silent_after,
            forget_after: limits.directory.forget_after,
            sample: limits.directory.sample_size,
            failure_share: limits.directory.quarantine.failure_share,
            failures_in_row: limits.directory.quarantine.failures_in_row,
            snapshot_records: limits.snapshot_records,
            placement: "earliest_finish".to_owned(),
            cross_domain_percent: limits.cross_domain_percent,
            overload: limits.overload.name().to_owned(),
        }
    }
}

/// Logging and timeline of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Log filter at startup, in the syntax of `tracing_subscriber::EnvFilter`.
    pub filter: String,
    /// Number of events retained for the timeline.
    pub events: usize,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self { filter: "info".to_owned(), events: 50_000 }
    }
}

/// Stream of the log that an entry can follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Changes of the configuration.
    Config,
    /// Claims of non-idempotent requests; an entry that does not follow it refuses these requests.
    Claims,
    /// Announcements of entries.
    Members,
}

/// Default of [`LogSettings::streams`]: all streams.
pub fn default_streams() -> BTreeSet<LogStream> {
    BTreeSet::from([LogStream::Config, LogStream::Claims, LogStream::Members])
}

fn default_drain() -> Duration {
    Duration::from_secs(30)
}

fn default_log_timeout() -> Duration {
    Duration::from_secs(1)
}

fn default_log_wait() -> Duration {
    Duration::from_millis(500)
}

fn default_retention() -> Duration {
    Duration::from_secs(3600)
}

impl EntrySettings {
    /// Other entries that the settings name.
    pub fn entry_seeds(&self) -> Vec<EntrySeed> {
        seed::entry_seeds(&self.peers, &self.seeds)
    }

    /// Limits for the state machine of the entry.
    pub fn entry_limits(&self) -> EntryLimits {
        let limits = &self.limits;
        let defaults = EntryLimits::default();
        let quarantine = QuarantinePolicy {
            failure_share: limits.failure_share,
            failures_in_row: limits.failures_in_row,
            ..QuarantinePolicy::default()
        };
        EntryLimits {
            tasks_per_job: limits.tasks_per_job,
            max_open_tasks: limits.tasks_held,
            longest_deadline: limits.longest_deadline,
            prefetch_slots: limits.ahead,
            task_queue_penalty: limits.task_surcharge,
            max_attempts: limits.attempts,
            retry_ratio: limits.retry_ratio,
            status_query_after: limits.ask_after,
            lease: limits.lease,
            warm_up: limits.warm_up,
            serves_unconfirmed: limits.serves_unconfirmed,
            run_lease: limits.run_lease,
            run_lapse: limits.run_lapse,
            claim_timeout: limits.claim_timeout,
            claim_window: limits.claim_window,
            answer_retention: limits.answer_kept,
            max_buffered_refusals: limits.refusals_held,
            ramp: limits.ramp,
            retention: self.log.retention,
            snapshot_records: limits.snapshot_records,
            heartbeat: limits.heartbeat,
            heartbeats_per_second: limits.heartbeats_per_second,
            claim_appends: limits.claim_appends,
            refusal_appends: limits.account_appends,
            placement: PlacementKind::from_name(&limits.placement).unwrap_or(defaults.placement),
            cross_domain_percent: limits.cross_domain_percent,
            overload: OverloadPolicy::from_name(&limits.overload).unwrap_or(defaults.overload),
            directory: DirectoryLimits {
                silent_after: limits.silent_after,
                forget_after: limits.forget_after,
                sample_size: limits.sample,
                quarantine,
                ..DirectoryLimits::default()
            },
            ..defaults
        }
    }
}
