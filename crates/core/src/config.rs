//! Configuration as a state machine replicated through the log.
//!
//! Every process that needs the configuration applies the same records in offset order, so all
//! processes reach the same state. Concurrent changes are detected optimistically: a change states
//! the version of its subject that the operator saw. If another change of the subject came first,
//! every reader rejects the later one, and its operator can query the outcome.
//!
//! Records expire with the retention of the log, so entries republish the state as a
//! [`ConfigSnapshot`] in time. A snapshot states the offset up to which it includes all records. A
//! reader installs it only if it is ahead of the reader's own state, and then applies every change
//! from that offset on, whether the change precedes or follows the snapshot in the log. A snapshot
//! therefore never reverts a change that was appended concurrently.

mod change;
pub mod check;
mod fetch;
mod ledger;
mod republish;

pub use change::{ChangeRecord, ConfigChange, ConfigSubject};
pub use fetch::{ConfigFetch, FetchDecision, VersionGap};
pub use ledger::{ApplyOutcome, ConfigLedger, ConfigRecord, ConfigSnapshot};
pub use republish::SnapshotSchedule;

use crate::id::{DomainName, EntryName, RequestName, ServerName, ServiceName, TeamName, Version};
use crate::job::TaskRequest;
use crate::named_enum::named_enum;
use crate::resources::ResourceAmounts;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

named_enum! {
    /// Where a process got its configuration from.
    pub enum ConfigSource {
        /// Its own read of the log.
        Log = "log",
        /// Another entry.
        Entry = "entry",
    }
}

/// Properties that a service declares for one kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRule {
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Declared run time on a backend server of average speed (slowdown 1).
    pub run_time: Duration,
    /// Slots that one task occupies, at least 1.
    pub slots: u32,
    /// Number of failed runs of one task at which its job fails; more than 1 only for idempotent
    /// requests.
    pub max_failures: u32,
    /// Time within which callers want the complete answer; `None` if the service declares none.
    pub objective: Option<LatencyObjective>,
    /// Priority of the jobs, 0 first; `None` stands for the lowest priority in use.
    pub priority: Option<u8>,
}

impl Default for RequestRule {
    fn default() -> Self {
        Self {
            idempotent: false,
            run_time: Duration::ZERO,
            slots: 1,
            max_failures: 1,
            objective: None,
            priority: None,
        }
    }
}

/// Longest run time and longest slack that estimates use, whatever callers and operators state;
/// longer than any deadline.
pub const MAX_RUN_TIME: Duration = Duration::from_hours(24);

/// Time within which the complete answer to a job is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Proportional part of the objective, as a percentage of the run time of the longest task; at
    /// least 100.
    pub stretch_percent: u32,
    /// Fixed part of the objective, added to the proportional part.
    pub allowance: Duration,
    /// Percentage of the whole objective, run time plus slack, after which the answer is of no use.
    pub expiry_percent: u32,
}

impl LatencyObjective {
    /// Longest time that a job may wait until its longest task, which takes `run_time`, starts.
    pub fn slack(&self, run_time: Duration) -> Duration {
        let stretch = self.stretch_percent.saturating_sub(100);
        let slack = run_time.saturating_mul(stretch) / 100;
        slack.saturating_add(self.allowance).min(MAX_RUN_TIME)
    }

    /// Time after which the answer to a job is of no use if its longest task takes `run_time`.
    pub fn expires_after(&self, run_time: Duration) -> Duration {
        let objective = run_time.saturating_add(self.slack(run_time));
        (objective.saturating_mul(self.expiry_percent) / 100).min(MAX_RUN_TIME)
    }
}

/// Maps requests that name a host and a path to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Prefix that the path must start with.
    pub path_prefix: Arc<str>,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Name of the request within the service.
    pub request: RequestName,
}

/// Service of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Team that owns the service.
    pub team: TeamName,
    /// Time allowed for an answer if the caller states no deadline.
    pub default_deadline: Duration,
    /// Kinds of request that the service accepts, by name.
    pub requests: BTreeMap<RequestName, RequestRule>,
}

impl ServiceSpec {
    /// Resources and run time of a task: those that the task states, or else those of its request.
    /// The run time is at most [`MAX_RUN_TIME`].
    pub fn demand(&self, task: &TaskRequest) -> (ResourceAmounts, Duration) {
        if let Some(demand) = task.demand {
            return (demand.resources, demand.run_time.min(MAX_RUN_TIME));
        }
        let rule = self.requests.get(&task.request_name);
        let slots = rule.map_or(1, |rule| rule.slots.max(1));
        let run_time = rule.map_or(Duration::ZERO, |rule| rule.run_time);
        (ResourceAmounts::from_slots(slots), run_time.min(MAX_RUN_TIME))
    }
}

/// Limits of one team across all entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// Largest number of tasks that may be accepted and not yet answered.
    pub tasks_in_flight: u32,
    /// Weight of the team when several teams wait for the same slots, at least 1.
    pub weight: u32,
}

/// Whether operators allow a failure domain to take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DomainAvailability {
    /// The failure domain takes work.
    InService,
    /// No task starts in the failure domain.
    OutOfService,
}

/// Configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// Every record of the configuration stream below this offset has been applied.
    pub version: Version,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Quotas by team.
    pub quotas: BTreeMap<TeamName, TeamQuota>,
    /// Failure domains whose availability operators have set; all others are in service.
    pub domains: BTreeMap<DomainName, DomainAvailability>,
    /// Backend servers that operators have ordered to leave.
    pub leaving: BTreeSet<ServerName>,
    /// Routes for requests that name no service.
    pub routes: Vec<RouteRule>,
    /// Entries that vote on which version is in force during an outage of the log.
    pub electorate: BTreeSet<EntryName>,
    /// Version at which each subject last changed; subjects that never changed are absent.
    pub subject_versions: BTreeMap<ConfigSubject, Version>,
}

impl Configuration {
    /// Whether `domain` takes work, which is the default if no operator has set its availability.
    pub fn is_in_service(&self, domain: &str) -> bool {
        self.domains.get(domain) != Some(&DomainAvailability::OutOfService)
    }

    /// Whether `service` declares this kind of request.
    pub fn has_request(&self, service: &str, request: &str) -> bool {
        self.services.get(service).is_some_and(|spec| spec.requests.contains_key(request))
    }

    /// Whether operators have ordered `server` to leave.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.leaving.contains(server)
    }

    /// Version at which `subject` last changed, or 0 if it never did.
    pub fn subject_version(&self, subject: &ConfigSubject) -> Version {
        self.subject_versions.get(subject).copied().unwrap_or(0)
    }

    /// Configuration after `change`, with the version and the subject versions left as they are.
    pub fn with_change(mut self, change: ConfigChange) -> Self {
        self.apply(change);
        self
    }

    fn apply(&mut self, change: ConfigChange) {
        match change {
            ConfigChange::PutService { name, spec } => {
                self.services.insert(name, spec);
            }
            ConfigChange::RemoveService { name } => {
                self.services.remove(&name);
            }
            ConfigChange::SetQuota { team, quota } => {
                self.quotas.insert(team, quota);
            }
            ConfigChange::SetDomainAvailability { domain, availability } => {
                self.domains.insert(domain, availability);
            }
            ConfigChange::LeaveServer { server } => {
                self.leaving.insert(server);
            }
            ConfigChange::RejoinServer { server } => {
                self.leaving.remove(&server);
            }
            ConfigChange::SetElectorate { entries } => {
                self.electorate = entries;
            }
        }
    }
}
