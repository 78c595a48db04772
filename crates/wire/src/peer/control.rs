//! Heartbeats, and the talk between entries.

use super::micros;
use crate::settings::ConfigurationWire;
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::AgentDirective;
use parsleyspool_core::freshness::PeerReport;
use parsleyspool_core::resources::ResourceAmounts;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Heartbeat of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Name of the backend server.
    pub name: String,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Number of the heartbeat.
    pub sequence: u64,
    /// Where the agent takes starts.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Worker.
    pub worker: String,
    /// Services offered.
    pub services: Vec<String>,
    /// Slots.
    pub slots: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Slots that may run and queue there together.
    #[serde(rename = "room")]
    pub load_limit: u32,
    /// Slots taken.
    pub load: u32,
    /// Of these, slots of the entry that is told.
    #[serde(rename = "own")]
    pub own_load: u32,
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Clock of the agent in microseconds.
    pub clock_us: u64,
    /// Configuration version known.
    pub version: u64,
}

impl From<HeartbeatMessage> for ServerReport {
    fn from(wire: HeartbeatMessage) -> Self {
        Self {
            name: wire.name.into(),
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            address: wire.address.into(),
            domain: wire.domain.into(),
            worker: wire.worker.into(),
            services: wire.services.into_iter().map(Into::into).collect(),
            capacity: ResourceAmounts {
                slots: wire.slots,
                memory_mb: wire.memory_mb,
                accelerators: wire.accelerators,
            },
            load_limit: wire.load_limit,
            load: wire.load,
            own_load: wire.own_load,
            is_leaving: wire.is_leaving,
            clock: Duration::from_micros(wire.clock_us),
            version: wire.version,
        }
    }
}

impl From<&ServerReport> for HeartbeatMessage {
    fn from(report: &ServerReport) -> Self {
        Self {
            name: report.name.to_string(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            address: report.address.to_string(),
            domain: report.domain.to_string(),
            worker: report.worker.to_string(),
            services: report.services.iter().map(ToString::to_string).collect(),
            slots: report.capacity.slots,
            memory_mb: report.capacity.memory_mb,
            accelerators: report.capacity.accelerators,
            load_limit: report.load_limit,
            load: report.load,
            own_load: report.own_load,
            is_leaving: report.is_leaving,
            clock_us: micros(report.clock),
            version: report.version,
        }
    }
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectiveMessage {
    /// Name of the entry.
    #[serde(default)]
    pub entry: String,
    /// Incarnation of the entry.
    #[serde(default)]
    pub incarnation: u64,
    /// How long its tasks may run on, in microseconds.
    #[serde(default)]
    pub run_lease_us: Option<u64>,
    /// Configuration version.
    pub version: u64,
    /// Whether the failure domain takes work.
    pub is_in_service: bool,
    /// Whether operators told the server to leave.
    pub is_leaving: bool,
    /// How long that is vouched for, in microseconds from the sending of the heartbeat.
    pub valid_for_us: u64,
    /// Time until the next heartbeat, in microseconds.
    #[serde(rename = "next_in_us")]
    pub heartbeat_interval_us: u64,
    /// Peer addresses of the entries known here, by name.
    pub entries: BTreeMap<String, String>,
}

impl DirectiveMessage {
    /// Message of `directive` with the entries known.
    pub fn new(entry: &str, directive: &AgentDirective, entries: BTreeMap<String, String>) -> Self {
        Self {
            entry: entry.to_owned(),
            incarnation: directive.entry,
            run_lease_us: directive.run_lease.map(micros),
            version: directive.version,
            is_in_service: directive.is_in_service,
            is_leaving: directive.is_leaving,
            valid_for_us: micros(directive.valid_for),
            heartbeat_interval_us: micros(directive.heartbeat_interval),
            entries,
        }
    }
}

impl From<&DirectiveMessage> for AgentDirective {
    fn from(wire: &DirectiveMessage) -> Self {
        Self {
            entry: wire.incarnation,
            run_lease: wire.run_lease_us.map(Duration::from_micros),
            version: wire.version,
            is_in_service: wire.is_in_service,
            is_leaving: wire.is_leaving,
            valid_for: Duration::from_micros(wire.valid_for_us),
            heartbeat_interval: Duration::from_micros(wire.heartbeat_interval_us),
        }
    }
}

/// Question of an entry to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStateQuery {
    /// Name of the entry that asks.
    pub entry: String,
    /// Its peer address.
    pub address: String,
    /// Version that it holds; a higher one is sent along with the answer.
    pub version: u64,
    /// Whether it misses the state altogether.
    pub wants_state: bool,
}

/// Answer of an entry to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStateMessage {
    /// Name of the entry that answers.
    pub entry: String,
    /// Its version.
    pub version: u64,
    /// Whether it has read the log to its end.
    #[serde(rename = "voter")]
    pub is_voter: bool,
    /// Age of its confirmation by the log, in microseconds.
    pub confirmed_age_us: Option<u64>,
    /// Tasks that each team has open there.
    pub team_load: BTreeMap<String, u32>,
    /// Its configuration, where the asking entry is behind.
    pub state: Option<ConfigurationWire>,
}

impl PeerStateMessage {
    /// Message of `report` with the load of the teams.
    pub fn new(report: &PeerReport, team_load: BTreeMap<String, u32>) -> Self {
        Self {
            entry: report.entry.to_string(),
            version: report.version,
            is_voter: report.is_voter,
            confirmed_age_us: report.confirmed_age.map(micros),
            team_load,
            state: None,
        }
    }

    /// Report in it.
    pub fn report(&self) -> PeerReport {
        PeerReport {
            entry: self.entry.as_str().into(),
            version: self.version,
            is_voter: self.is_voter,
            confirmed_age: self.confirmed_age_us.map(Duration::from_micros),
        }
    }
}
