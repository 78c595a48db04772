//! Settings of an agent.

use super::{TelemetrySettings, default_drain};
use parsleyspool_core::agent::AgentLimits;
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::run::RunLimits;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the backend server.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Worker.
    pub worker: String,
    /// Listener for entries and operators.
    pub listen: SocketAddr,
    /// Address under which entries reach the listener, where it differs.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of the entries, by name.
    #[serde(default)]
    pub entries: BTreeMap<String, SocketAddr>,
    /// Peer listeners of entries whose names are not known, where the others are learnt.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<BackendSettings>,
    /// Leases of the worker, where it runs tasks under leases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<RunSettings>,
    /// Limits.
    #[serde(default)]
    pub limits: AgentLimitSettings,
    /// Telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Longest time that a planned stop waits for tasks in progress.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain: Duration,
}

/// Leases of a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunSettings {
    /// Length of the lease that each call gives to all runs.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time between two renewals.
    #[serde(with = "humantime_serde")]
    pub renewal: Duration,
    /// Looks under way at once.
    #[serde(default = "default_looks")]
    pub looks: usize,
}

fn default_looks() -> usize {
    1
}

impl From<&RunSettings> for RunLimits {
    fn from(settings: &RunSettings) -> Self {
        Self {
            lease: settings.lease,
            poll_wait: settings.renewal,
            open_polls: settings.looks,
            ..Self::default()
        }
    }
}

/// The backend server beside an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// URL under which it takes tasks.
    pub url: String,
    /// URL of the worker, where it can stop tasks.
    #[serde(default)]
    pub worker_url: Option<String>,
    /// Services that it offers.
    pub services: Vec<String>,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Connections to it at most.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Time after which a task is given up.
    #[serde(default = "default_backend_timeout", with = "humantime_serde")]
    pub timeout: Duration,
    /// Largest answer in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
}

/// Limits of an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimitSettings {
    /// Slots of tasks that may wait at the agent.
    pub queue: u32,
    /// How long outcomes are kept.
    #[serde(with = "humantime_serde")]
    pub outcome_kept: Duration,
    /// Outcomes kept at most.
    pub outcomes_kept: usize,
    /// Bytes of answers kept at most.
    pub answer_bytes: usize,
}

impl Default for AgentLimitSettings {
    fn default() -> Self {
        let limits = AgentLimits::default();
        Self {
            queue: limits.queue_slots,
            outcome_kept: limits.outcome_retention,
            outcomes_kept: limits.max_outcomes,
            answer_bytes: limits.max_answer_bytes,
        }
    }
}

fn default_connections() -> usize {
    60
}

fn default_backend_timeout() -> Duration {
    Duration::from_secs(60)
}

fn default_answer_bytes() -> usize {
    1 << 20
}

impl AgentSettings {
    /// Limits for the decision part.
    pub fn agent_limits(&self) -> AgentLimits {
        AgentLimits {
            capacity: ResourceAmounts::from_slots(
                self.backend.as_ref().map_or(0, |backend| backend.slots),
            ),
            is_leased: self.runs.is_some(),
            queue_slots: self.limits.queue,
            outcome_retention: self.limits.outcome_kept,
            max_outcomes: self.limits.outcomes_kept,
            max_answer_bytes: self.limits.answer_bytes,
        }
    }
}
