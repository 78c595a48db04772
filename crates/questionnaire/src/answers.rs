//! Answers of a team.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Everything that a team answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamAnswers {
    /// Name of the team.
    pub team: String,
    /// What weighs more.
    pub priority: TeamPriority,
    /// Limits of the team.
    pub quota: QuotaAnswer,
    /// The platform's log.
    pub log: LogAnswer,
    /// Failure domains.
    pub domains: Vec<String>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceAnswer>,
    /// Entry instances.
    pub entries: Vec<EntryAnswer>,
    /// Backend servers.
    pub servers: Vec<ServerAnswer>,
}

/// What weighs more for a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamPriority {
    /// Response time and few wasted messages.
    ResponseTime,
    /// Work done while a failure domain leaves and returns.
    WorkDuringChanges,
}

/// Limits of the team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaAnswer {
    /// Most tasks accepted and not yet answered.
    pub tasks_in_flight: u32,
    /// Weight beside other teams.
    pub weight: u32,
}

/// The platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogAnswer {
    /// URL.
    pub url: String,
    /// Time for which records are kept.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswer {
    /// Time for an answer where the caller states none.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Kinds of request by name.
    pub requests: BTreeMap<String, RequestAnswer>,
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestAnswer {
    /// Whether a second run has no further effect.
    pub idempotent: bool,
    /// Usual run time.
    #[serde(with = "humantime_serde")]
    pub run_time: Duration,
    /// Slots that one task takes.
    #[serde(default = "one")]
    pub slots: u32,
}

fn one() -> u32 {
    1
}

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAnswer {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for agents, other entries and operators.
    pub peers: SocketAddr,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnswer {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Worker.
    pub worker: String,
    /// Listener of the agent beside it.
    pub agent: SocketAddr,
    /// URL under which it takes tasks.
    pub url: String,
    /// URL of the worker, where it can stop running tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker_url: Option<String>,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: usize,
    /// Services that it offers.
    pub services: Vec<String>,
}
