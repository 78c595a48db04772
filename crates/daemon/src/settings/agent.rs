//! Settings of an agent.

use super::seed::{EntrySeed, entry_seeds};
use super::{InboundSettings, MachineSettings, TelemetrySettings, default_drain};
use parsleyspool_core::agent::{AgentLimits, ConfirmationLimits};
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
    /// Name of the backend server; its replacement uses the same name.
    pub name: String,
    /// Failure domain of the backend server; entries receive the announced one if the server
    /// announces itself.
    pub domain: String,
    /// Worker that the backend server runs on; entries receive the announced one if the server
    /// announces itself.
    pub worker: String,
    /// Listener for entries and operators.
    pub listen: SocketAddr,
    /// Address at which entries reach the listener; `None` if it is the address of the listener.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Peer listeners of the entries, by name.
    #[serde(default)]
    pub entries: BTreeMap<String, SocketAddr>,
    /// Peer listeners through which the agent discovers entries whose names it does not know.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Backend server that tasks are sent to; `None` if the worker runs them under leases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<BackendSettings>,
    /// Leases of the runs; `None` if tasks are sent to the backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<RunSettings>,
    /// Limits of the agent; those left out have their defaults.
    #[serde(default)]
    pub limits: AgentLimitSettings,
    /// Resources of the machine.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Limits on what clients send.
    #[serde(default)]
    pub inbound: InboundSettings,
    /// Logging and timeline.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Longest time that a planned stop waits for running tasks.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain: Duration,
}

/// Leases of runs at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunSettings {
    /// Lease that each start request, and each poll of a ready server, grants to all runs.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time between two renewals of the lease, for which the worker holds a poll open.
    #[serde(with = "humantime_serde")]
    pub renewal: Duration,
    /// Number of polls kept open at the worker.
    #[serde(default = "default_looks")]
    pub looks: usize,
    /// Time after the end of its run lease, or after it was asked to stop, by which a run must be over
    /// even if every stop is lost and the agent dies.
    #[serde(default = "default_stop_grace", with = "humantime_serde")]
    pub stop_grace: Duration,
}

fn default_stop_grace() -> Duration {
    AgentLimits::default().stop_grace
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

/// Backend server next to an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Base URL that tasks are sent to.
    pub url: String,
    /// Base URL of the worker; `None` if it cannot stop tasks.
    #[serde(default)]
    pub worker_url: Option<String>,
    /// Services that the server offers.
    pub services: Vec<String>,
    /// Number of tasks that the server runs at the same time.
    pub slots: u32,
    /// Maximum number of idle connections kept open to the server.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Time after which a running task counts as failed.
    #[serde(default = "default_backend_timeout", with = "humantime_serde")]
    pub timeout: Duration,
    /// Largest answer of a task, in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
}

/// Limits of an agent, with the defaults of [`AgentLimits`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentLimitSettings {
    /// Slots of tasks that may be queued at the agent.
    pub queue: u32,
    /// How long the outcome of a task is stored for status queries.
    #[serde(with = "humantime_serde")]
    pub outcome_kept: Duration,
    /// Age of the latest confirmation of the configuration from which on the agent reads the state of
    /// its failure domain itself, if it can.
    #[serde(with = "humantime_serde")]
    pub check_after: Duration,
    /// Age of the latest confirmation of the configuration from which on a start waits for that read, or
    /// is refused if the agent cannot read the state itself.
    #[serde(with = "humantime_serde")]
    pub start_for: Duration,
    /// Maximum number of stored outcomes; once reached, starts are refused.
    pub outcomes_kept: usize,
    /// Maximum size of all stored answers, in bytes; beyond it, the oldest answers are dropped.
    pub answer_bytes: usize,
}

impl Default for AgentLimitSettings {
    fn default() -> Self {
        let limits = AgentLimits::default();
        Self {
            queue: limits.queue_slots,
            outcome_kept: limits.outcome_retention,
            check_after: limits.confirmation.check_after,
            start_for: limits.confirmation.start_for,
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
    /// Entries that the settings name.
    pub fn entry_seeds(&self) -> Vec<EntrySeed> {
        entry_seeds(&self.entries, &self.seeds)
    }

    /// Limits for the state machine of the agent.
    pub fn agent_limits(&self) -> AgentLimits {
        let runs = self.runs.as_ref();
        AgentLimits {
            stop_grace: runs.map_or_else(default_stop_grace, |runs| runs.stop_grace),
            capacity: ResourceAmounts::from_slots(
                self.backend.as_ref().map_or(0, |backend| backend.slots),
            ),
            is_leased: self.runs.is_some(),
            confirmation: ConfirmationLimits {
                check_after: self.limits.check_after,
                start_for: self.limits.start_for,
                can_check: false,
            },
            queue_slots: self.limits.queue,
            outcome_retention: self.limits.outcome_kept,
            max_outcomes: self.limits.outcomes_kept,
            max_answer_bytes: self.limits.answer_bytes,
        }
    }
}
