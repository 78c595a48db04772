//! Configuration in force, folded from the log.
//!
//! Every process that needs the configuration folds the same records in the order of their offsets,
//! so all reach the same state. A change names the version of its subject that the operator saw;
//! where another change came first, every reader rejects the later one, and its operator is told.
//!
//! Records expire, so any entry republishes the state as a [`ConfigSnapshot`] before they do. A
//! snapshot states the offset that it was folded through. A reader takes it only where it is ahead
//! of what the reader holds, and then applies every change from that offset on, whether the change
//! stands before or after the snapshot in the log. A republished state therefore never undoes a
//! change that raced with it.

mod change;
mod ledger;
mod republish;

pub use change::{ChangeRecord, ConfigChange, ConfigSubject};
pub use ledger::{ApplyOutcome, ConfigLedger, ConfigRecord, ConfigSnapshot};
pub use republish::SnapshotSchedule;

use crate::id::{DomainName, EntryName, RequestName, ServerName, ServiceName, TeamName, Version};
use crate::job::TaskRequest;
use crate::resources::ResourceAmounts;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What a service declares of one kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRule {
    /// Whether a second run has no further effect.
    pub idempotent: bool,
    /// Declared run time on a backend server of speed 1.
    pub run_time: Duration,
    /// Slots that one task takes, at least 1.
    pub slots: u32,
    /// Runs of one task that may fail before its job fails; more than one only where a second run
    /// has no further effect.
    pub attempts: u32,
    /// Time in which callers want the whole answer, where they say so.
    pub objective: Option<LatencyObjective>,
}

impl Default for RequestRule {
    fn default() -> Self {
        Self { idempotent: false, run_time: Duration::ZERO, slots: 1, attempts: 1, objective: None }
    }
}

/// Time in which the whole answer to a job is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Percentage of the run time of the longest task, at least 100.
    pub stretch_percent: u32,
    /// Time allowed on top of that.
    pub allowance: Duration,
    /// Percentage of the objective after which the answer is of no use.
    pub patience_percent: u32,
}

impl LatencyObjective {
    /// Time that a job may wait before its longest task, of `run_time`, starts.
    pub fn slack(&self, run_time: Duration) -> Duration {
        let stretch = self.stretch_percent.saturating_sub(100);
        run_time * stretch / 100 + self.allowance
    }

    /// Time after which the answer to a job, whose longest task takes `run_time`, is of no use.
    pub fn patience(&self, run_time: Duration) -> Duration {
        (run_time + self.slack(run_time)) * self.patience_percent / 100
    }
}

/// Where requests that name a host and a path go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Host name, in lower case.
    pub host: Arc<str>,
    /// Prefix that the path begins with.
    pub path_prefix: Arc<str>,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Kind of request within the service.
    pub request: RequestName,
}

/// Service of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Team that owns the service.
    pub team: TeamName,
    /// Time for an answer where the caller states none.
    pub deadline: Duration,
    /// Kinds of request.
    pub requests: BTreeMap<RequestName, RequestRule>,
}

impl ServiceSpec {
    /// Room and declared run time of a task.
    pub fn demand(&self, task: &TaskRequest) -> (ResourceAmounts, Duration) {
        if let Some(demand) = task.demand {
            return (demand.resources, demand.run_time);
        }
        let rule = self.requests.get(&task.request_name);
        let slots = rule.map_or(1, |rule| rule.slots.max(1));
        (ResourceAmounts::from_slots(slots), rule.map_or(Duration::ZERO, |rule| rule.run_time))
    }
}

/// Limits of one team, over all entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// Most tasks accepted and not yet answered.
    pub tasks_in_flight: u32,
    /// Weight of the team where several wait for the same slots, at least 1.
    pub weight: u32,
}

/// Whether operators let a failure domain take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DomainOrder {
    /// It takes work.
    InService,
    /// It starts nothing.
    OutOfService,
}

/// Configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// Records folded so far.
    pub version: Version,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Quotas by team.
    pub quotas: BTreeMap<TeamName, TeamQuota>,
    /// Failure domains that operators named.
    pub domains: BTreeMap<DomainName, DomainOrder>,
    /// Backend servers that operators told to leave.
    pub leaving: BTreeSet<ServerName>,
    /// Routes for requests that name no service.
    pub routes: Vec<RouteRule>,
    /// Entries that vote on what is in force during an outage of the log.
    pub electorate: BTreeSet<EntryName>,
    /// Version at which each subject last changed.
    pub subjects: BTreeMap<ConfigSubject, Version>,
}

impl Configuration {
    /// Whether `domain` takes work; a domain that no operator named does.
    pub fn is_in_service(&self, domain: &str) -> bool {
        self.domains.get(domain) != Some(&DomainOrder::OutOfService)
    }

    /// Whether operators told `server` to leave.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.leaving.contains(server)
    }

    /// Version at which `subject` last changed, 0 where it never did.
    pub fn subject_version(&self, subject: &ConfigSubject) -> Version {
        self.subjects.get(subject).copied().unwrap_or(0)
    }

    fn put(&mut self, change: ConfigChange) {
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
            ConfigChange::OrderDomain { domain, order } => {
                self.domains.insert(domain, order);
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
