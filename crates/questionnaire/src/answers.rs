//! Answers of a team to the questionnaire, in the format of the answer file (YAML).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Complete answers of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamAnswers {
    /// Name of the team; must not be empty.
    pub team: String,
    /// What the settings of the entries favour.
    pub priority: TeamPriority,
    /// Quota of the team.
    pub quota: QuotaAnswer,
    /// Log service of the platform.
    pub log: LogAnswer,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceAnswer>,
    /// Entries; each one votes during an outage of the log.
    pub entries: Vec<EntryAnswer>,
    /// Backend servers, each with an agent next to it.
    pub servers: Vec<ServerAnswer>,
}

/// What the generated settings favour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamPriority {
    /// Short response times, and few start requests that do not lead to a run.
    ResponseTime,
    /// Throughput while a failure domain goes out of service and returns.
    WorkDuringChanges,
}

/// Limits of the team across all entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaAnswer {
    /// Largest number of tasks accepted and not yet answered, over all entries; at least 1.
    pub tasks_in_flight: u32,
    /// Weight of the team when several teams wait for the same slots, at least 1.
    pub weight: u32,
}

/// Log service of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogAnswer {
    /// Base URL, starting with `http://`.
    pub url: String,
    /// How long the log keeps records, at least 20 minutes.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
}

/// Service of the team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswer {
    /// Time allowed for an answer if the caller states no deadline; at most 2 minutes.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Kinds of request by name.
    pub requests: BTreeMap<String, RequestAnswer>,
}

/// Kind of request within a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestAnswer {
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Usual run time of one task, used until run times are measured; above zero and at most the
    /// deadline of the service.
    #[serde(with = "humantime_serde")]
    pub run_time: Duration,
    /// Slots that one task occupies while it runs, at least 1; 1 if absent.
    #[serde(default = "one")]
    pub slots: u32,
}

fn one() -> u32 {
    1
}

/// Entry of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAnswer {
    /// Name, unique among the entries and backend servers.
    pub name: String,
    /// Failure domain in which the entry runs.
    pub domain: String,
    /// Address on which the entry listens for callers.
    pub callers: SocketAddr,
    /// Address on which the entry listens for agents, other entries and operators.
    pub peers: SocketAddr,
}

/// Backend server, with the agent next to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnswer {
    /// Name, unique among the entries and backend servers.
    pub name: String,
    /// Failure domain in which the server runs.
    pub domain: String,
    /// Name of the worker that the server runs on.
    pub worker: String,
    /// Address on which the agent listens for entries and operators.
    pub agent: SocketAddr,
    /// URL to which the agent sends tasks, starting with `http://`.
    pub url: String,
    /// URL of the worker; `None` if it cannot stop running tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker_url: Option<String>,
    /// Slots for tasks that run at the same time, at least 1.
    pub slots: u32,
    /// Largest number of connections that the server accepts, at least one per slot.
    pub connections: usize,
    /// Names of the services that the server offers.
    pub services: Vec<String>,
}
