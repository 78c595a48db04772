//! Configuration and its changes, in YAML and JSON.
//!
//! Operators and the questionnaire write these types. Messages between entries and records in the
//! log contain them in MessagePack.

mod change;
mod difference;
mod document;

pub use change::{
    ChangeRecordWire, ChangeWire, DomainAvailabilityWire, InvalidIdentifier, parse_subject,
};
pub use difference::{ConfigDifference, config_differences};
pub use document::{CheckedDocument, ConfigDocument, LocatedFinding, unknown_keys};

use parsleyspool_core::config::{
    Configuration, LatencyObjective, RequestRule, RouteRule, ServiceSpec, TeamQuota,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Properties that a service declares for one kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestWire {
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Declared run time on a backend server of average speed (slowdown 1).
    #[serde(with = "humantime_serde")]
    pub run_time: Duration,
    /// Slots that one task occupies while it runs; 1 if absent or 0.
    #[serde(default = "one")]
    pub slots: u32,
    /// Number of failed runs of one task at which its job fails; 1 if absent or 0, and always 1 if
    /// the request is not idempotent.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub attempts: u32,
    /// Time within which callers want the complete answer; `None` if the service declares none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<ObjectiveWire>,
    /// Priority of the jobs while capacity is short, 0 first; the lowest in use if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

/// Time within which the complete answer to a job is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWire {
    /// Objective as a percentage of the run time of the job's longest task; a value below 100
    /// counts as 100.
    pub stretch_percent: u32,
    /// Fixed time added to the stretched run time.
    #[serde(with = "humantime_serde")]
    pub allowance: Duration,
    /// Percentage of the objective, allowance included, after which the answer is of no use.
    #[serde(rename = "patience_percent")]
    pub expiry_percent: u32,
}

/// Route from a host and path to a service, for requests that name no service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteWire {
    /// Host name in lower case.
    pub host: String,
    /// Prefix that the path must start with.
    pub path_prefix: String,
    /// Service that runs the tasks.
    pub service: String,
    /// Kind of request within the service.
    pub request: String,
}

fn is_one(value: &u32) -> bool {
    *value == 1
}

fn one() -> u32 {
    1
}

/// Service of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Team that owns the service.
    pub team: String,
    /// Time allowed for an answer if the caller states no deadline.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Kinds of request that the service accepts, by name.
    pub requests: BTreeMap<String, RequestWire>,
}

/// Limits of one team across all entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaWire {
    /// Largest number of tasks that may be accepted and not yet answered, over all entries.
    pub tasks_in_flight: u32,
    /// Weight of the team when several teams wait for the same slots; 1 if absent or 0.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ConfigurationWire {
    /// Every record of the configuration stream below this offset has been applied.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, ServiceWire>,
    /// Quotas by team name.
    pub quotas: BTreeMap<String, QuotaWire>,
    /// Failure domains whose availability operators have set; all others are in service.
    pub domains: BTreeMap<String, DomainAvailabilityWire>,
    /// Backend servers that operators have ordered to leave.
    pub leaving: BTreeSet<String>,
    /// Entries that vote on which version is in force during an outage of the log.
    pub electorate: BTreeSet<String>,
    /// Routes for requests that name no service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteWire>,
    /// Version at which each subject last changed, by `kind/name` or `electorate`; subjects that
    /// never changed are absent.
    pub subjects: BTreeMap<String, u64>,
}

impl RequestWire {
    /// Creates the properties of a kind of request without a latency objective, whose tasks are run
    /// only once.
    pub fn new(idempotent: bool, run_time: Duration, slots: u32) -> Self {
        Self { idempotent, run_time, slots, attempts: 1, objective: None, priority: None }
    }
}

impl From<RequestWire> for RequestRule {
    fn from(wire: RequestWire) -> Self {
        Self {
            idempotent: wire.idempotent,
            run_time: wire.run_time,
            slots: wire.slots.max(1),
            max_failures: if wire.idempotent { wire.attempts.max(1) } else { 1 },
            objective: wire.objective.map(Into::into),
            priority: wire.priority,
        }
    }
}

impl From<&RequestRule> for RequestWire {
    fn from(rule: &RequestRule) -> Self {
        Self {
            idempotent: rule.idempotent,
            run_time: rule.run_time,
            slots: rule.slots,
            attempts: rule.max_failures,
            objective: rule.objective.map(Into::into),
            priority: rule.priority,
        }
    }
}

impl From<ObjectiveWire> for LatencyObjective {
    fn from(wire: ObjectiveWire) -> Self {
        Self {
            stretch_percent: wire.stretch_percent,
            allowance: wire.allowance,
            expiry_percent: wire.expiry_percent,
        }
    }
}

impl From<LatencyObjective> for ObjectiveWire {
    fn from(objective: LatencyObjective) -> Self {
        Self {
            stretch_percent: objective.stretch_percent,
            allowance: objective.allowance,
            expiry_percent: objective.expiry_percent,
        }
    }
}

impl From<RouteWire> for RouteRule {
    fn from(wire: RouteWire) -> Self {
        Self {
            host: wire.host.into(),
            path_prefix: wire.path_prefix.into(),
            service: wire.service.into(),
            request: wire.request.into(),
        }
    }
}

impl From<&RouteRule> for RouteWire {
    fn from(rule: &RouteRule) -> Self {
        Self {
            host: rule.host.to_string(),
            path_prefix: rule.path_prefix.to_string(),
            service: rule.service.to_string(),
            request: rule.request.to_string(),
        }
    }
}

impl From<ServiceWire> for ServiceSpec {
    fn from(wire: ServiceWire) -> Self {
        let requests = wire.requests.into_iter();
        Self {
            team: wire.team.into(),
            default_deadline: wire.deadline,
            requests: requests.map(|(name, rule)| (name.into(), rule.into())).collect(),
        }
    }
}

impl From<&ServiceSpec> for ServiceWire {
    fn from(spec: &ServiceSpec) -> Self {
        let requests = spec.requests.iter();
        Self {
            team: spec.team.to_string(),
            deadline: spec.default_deadline,
            requests: requests.map(|(name, rule)| (name.to_string(), rule.into())).collect(),
        }
    }
}

impl From<QuotaWire> for TeamQuota {
    fn from(wire: QuotaWire) -> Self {
        Self { tasks_in_flight: wire.tasks_in_flight, weight: wire.weight.max(1) }
    }
}

impl From<&TeamQuota> for QuotaWire {
    fn from(quota: &TeamQuota) -> Self {
        Self { tasks_in_flight: quota.tasks_in_flight, weight: quota.weight }
    }
}

impl From<&Configuration> for ConfigurationWire {
    fn from(configuration: &Configuration) -> Self {
        let services = configuration.services.iter();
        let quotas = configuration.quotas.iter();
        let domains = configuration.domains.iter();
        let subjects = configuration.subject_versions.iter();
        Self {
            version: configuration.version,
            services: services.map(|(name, spec)| (name.to_string(), spec.into())).collect(),
            quotas: quotas.map(|(team, quota)| (team.to_string(), quota.into())).collect(),
            domains: domains
                .map(|(name, availability)| (name.to_string(), (*availability).into()))
                .collect(),
            leaving: configuration.leaving.iter().map(ToString::to_string).collect(),
            electorate: configuration.electorate.iter().map(ToString::to_string).collect(),
            routes: configuration.routes.iter().map(Into::into).collect(),
            subjects: subjects.map(|(subject, version)| (subject.to_string(), *version)).collect(),
        }
    }
}

impl TryFrom<ConfigurationWire> for Configuration {
    type Error = InvalidIdentifier;

    fn try_from(wire: ConfigurationWire) -> Result<Self, InvalidIdentifier> {
        let subjects = wire.subjects.iter();
        let subjects: Result<_, InvalidIdentifier> =
            subjects.map(|(text, version)| Ok((parse_subject(text)?, *version))).collect();
        let services = wire.services.into_iter();
        let quotas = wire.quotas.into_iter();
        let domains = wire.domains.into_iter();
        Ok(Self {
            version: wire.version,
            services: services.map(|(name, spec)| (name.into(), spec.into())).collect(),
            quotas: quotas.map(|(team, quota)| (team.into(), quota.into())).collect(),
            domains: domains
                .map(|(name, availability)| (name.into(), availability.into()))
                .collect(),
            leaving: wire.leaving.into_iter().map(Into::into).collect(),
            electorate: wire.electorate.into_iter().map(Into::into).collect(),
            routes: wire.routes.into_iter().map(Into::into).collect(),
            subject_versions: subjects?,
        })
    }
}
