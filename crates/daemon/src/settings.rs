//! Settings of the daemons, in YAML.
//!
//! A file has one key at its top, `entry` or `agent`. [`load`] reads a file and refuses it with
//! every fault that it can find, each with the line and the key, before anything starts.

mod agent;
mod check;
mod locate;
mod reference;

pub use agent::{AgentLimitSettings, AgentSettings, BackendSettings, RunSettings};
pub use check::{SettingError, check_agent_settings, check_entry_settings};
pub use reference::{SETTING_TABLE, SettingRow};

use crate::error::DaemonError;
use error_stack::{Report, ResultExt};
use parsleyspool_core::directory::{DirectoryLimits, QuarantinePolicy};
use parsleyspool_core::entry::EntryLimits;
use parsleyspool_core::placement::PlacementKind;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of one process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessSettings {
    /// An entry.
    Entry(Box<EntrySettings>),
    /// An agent.
    Agent(Box<AgentSettings>),
}

/// Settings of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name, kept over replacements.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Position among the entries, to keep them out of step.
    #[serde(default)]
    pub rank: u32,
    /// Listeners.
    pub listen: EntryListen,
    /// The log.
    pub log: LogSettings,
    /// Peer listeners of entries whose names are not known, where the others are learnt.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of the other entries, by name.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// Limits.
    #[serde(default)]
    pub limits: EntryLimitSettings,
    /// Telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Longest time that a planned stop waits for jobs in progress.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain: Duration,
}

/// Listeners of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For agents, other entries and operators.
    pub peers: SocketAddr,
    /// Address under which those reach the listener, where it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
}

/// How the log is reached.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// URL of the log service.
    pub url: String,
    /// Time after which an append or read is given up.
    #[serde(default = "default_log_timeout", with = "humantime_serde")]
    pub timeout: Duration,
    /// Longest wait of one read at the end of a stream.
    #[serde(default = "default_log_wait", with = "humantime_serde")]
    pub wait: Duration,
    /// Time for which the log keeps records.
    #[serde(default = "default_retention", with = "humantime_serde")]
    pub retention: Duration,
    /// Streams that the entry follows; what it does not follow, others must tell it.
    #[serde(default = "default_streams")]
    pub streams: BTreeSet<LogStream>,
}

/// Limits of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimitSettings {
    /// Most tasks in one job.
    pub tasks_per_job: usize,
    /// Most tasks held.
    pub tasks_held: usize,
    /// Largest body of a submission in bytes.
    pub body_bytes: u64,
    /// Longest deadline of a job.
    #[serde(with = "humantime_serde")]
    pub longest_deadline: Duration,
    /// Slots filled ahead at each backend server.
    pub ahead: u32,
    /// Time by which each task of a job puts all its tasks back in the queue.
    #[serde(with = "humantime_serde")]
    pub task_surcharge: Duration,
    /// Starts of one task, all but the last proven not to have started.
    pub attempts: u32,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Time beyond the expected one after which an outcome is asked for.
    #[serde(with = "humantime_serde")]
    pub ask_after: Duration,
    /// Age of evidence after which nothing is started on it.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time after the start for which jobs wait for servers not heard of yet.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Whether work goes on while nothing confirms the configuration.
    pub serves_unconfirmed: bool,
    /// How long tasks run on after a heartbeat; zero where they run on without.
    #[serde(with = "humantime_serde")]
    pub run_lease: Duration,
    /// Time after that by which every run has ended; zero where this is never known.
    #[serde(with = "humantime_serde")]
    pub run_lapse: Duration,
    /// Time to wait for a claim.
    #[serde(with = "humantime_serde")]
    pub claim_timeout: Duration,
    /// Age after which a request key is refused.
    #[serde(with = "humantime_serde")]
    pub claim_window: Duration,
    /// How long the answer of a claimed job is kept.
    #[serde(with = "humantime_serde")]
    pub answer_kept: Duration,
    /// Refusals held for the log at most.
    pub refusals_held: usize,
    /// Time over which a returning failure domain is filled.
    #[serde(with = "humantime_serde")]
    pub ramp: Duration,
    /// Shortest heartbeat interval of the agents.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Heartbeats that the entry takes a second.
    pub heartbeats_per_second: u32,
    /// Appends of claims that all entries together make a second.
    pub claim_appends: u32,
    /// Appends of accounts that all entries together make a second.
    pub account_appends: u32,
    /// Silence after which a backend server takes no new work.
    #[serde(with = "humantime_serde")]
    pub silent_after: Duration,
    /// Silence after which a backend server is forgotten.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
    /// Backend servers looked at for one placement.
    pub sample: usize,
    /// Share of failures above which a backend server is set aside.
    pub failure_share: f64,
    /// Failures one after the other from which a backend server is set aside.
    pub failures_in_row: u32,
    /// Records after which the configuration is republished.
    pub snapshot_records: u64,
    /// Placement policy.
    pub placement: String,
}

impl Default for EntryLimitSettings {
    fn default() -> Self {
        let limits = EntryLimits::default();
        Self {
            tasks_per_job: limits.tasks_per_job,
            tasks_held: limits.tasks_held,
            body_bytes: 1 << 20,
            longest_deadline: limits.longest_deadline,
            ahead: limits.ahead,
            task_surcharge: limits.task_surcharge,
            attempts: limits.attempts,
            retry_ratio: limits.retry_ratio,
            ask_after: limits.ask_after,
            lease: limits.lease,
            warm_up: limits.warm_up,
            serves_unconfirmed: limits.serves_unconfirmed,
            run_lease: limits.run_lease,
            run_lapse: limits.run_lapse,
            claim_timeout: limits.claim_timeout,
            claim_window: limits.claim_window,
            answer_kept: limits.answer_kept,
            refusals_held: limits.refusals_held,
            ramp: limits.ramp,
            heartbeat: limits.heartbeat,
            heartbeats_per_second: limits.heartbeats_per_second,
            claim_appends: limits.claim_appends,
            account_appends: limits.account_appends,
            silent_after: limits.directory.silent_after,
            forget_after: limits.directory.forget_after,
            sample: limits.directory.sample_size,
            failure_share: limits.directory.quarantine.failure_share,
            failures_in_row: limits.directory.quarantine.failures_in_row,
            snapshot_records: limits.snapshot_records,
            placement: "earliest_finish".to_owned(),
        }
    }
}

/// Logs and time line of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Log filter at the start.
    pub filter: String,
    /// Events kept for the time line.
    pub events: usize,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self { filter: "info".to_owned(), events: 50_000 }
    }
}

/// Stream of the log that an entry may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Changes of the configuration.
    Config,
    /// Claims of non-idempotent requests; without it they are refused.
    Claims,
    /// Entries that announce themselves.
    Members,
}

/// Every stream.
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

/// Settings in the file at `path`.
///
/// # Errors
/// Fails where the file cannot be read or has a fault; the report names file, line and key.
pub fn load(path: &Path) -> Result<ProcessSettings, Report<DaemonError>> {
    let text = std::fs::read_to_string(path)
        .change_context(DaemonError::Settings)
        .attach_with(|| path.display().to_string())?;
    parse(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        let lines: Vec<String> = lines.collect();
        Report::new(DaemonError::Settings).attach(lines.join("\n"))
    })
}

/// Settings from the text of a file.
///
/// # Errors
/// Fails with every fault found.
pub fn parse(text: &str) -> Result<ProcessSettings, Vec<SettingError>> {
    let settings: ProcessSettings = serde_saphyr::from_str(text)
        .map_err(|error| vec![SettingError::from_yaml_error(&error)])?;
    let faults = match &settings {
        ProcessSettings::Entry(entry) => check::check_entry_settings(entry),
        ProcessSettings::Agent(agent) => check::check_agent_settings(agent),
    };
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(faults.into_iter().map(|fault| fault.with_line(text)).collect())
}

impl EntrySettings {
    /// Limits for the decision part.
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
            tasks_held: limits.tasks_held,
            longest_deadline: limits.longest_deadline,
            ahead: limits.ahead,
            task_surcharge: limits.task_surcharge,
            attempts: limits.attempts,
            retry_ratio: limits.retry_ratio,
            ask_after: limits.ask_after,
            lease: limits.lease,
            warm_up: limits.warm_up,
            serves_unconfirmed: limits.serves_unconfirmed,
            run_lease: limits.run_lease,
            run_lapse: limits.run_lapse,
            claim_timeout: limits.claim_timeout,
            claim_window: limits.claim_window,
            answer_kept: limits.answer_kept,
            refusals_held: limits.refusals_held,
            ramp: limits.ramp,
            retention: self.log.retention,
            snapshot_records: limits.snapshot_records,
            heartbeat: limits.heartbeat,
            heartbeats_per_second: limits.heartbeats_per_second,
            claim_appends: limits.claim_appends,
            account_appends: limits.account_appends,
            placement: PlacementKind::from_name(&limits.placement).unwrap_or(defaults.placement),
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
