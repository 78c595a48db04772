//! Heartbeats of agents, and state queries between entries.

use super::micros;
use crate::config::ConfigurationWire;
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::AgentDirective;
use parsleyspool_core::freshness::PeerReport;
use parsleyspool_core::resources::ResourceAmounts;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Heartbeat that an agent sends to each entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Name of the backend server, kept when the instance is replaced.
    pub name: String,
    /// Incarnation of the agent, new after each start.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation; lower numbers are outdated.
    pub sequence: u64,
    /// Address at which the agent listens for entries and operators, as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub domain: String,
    /// Worker that the server runs on.
    pub worker: String,
    /// Services that the server offers.
    pub services: Vec<String>,
    /// Slots for tasks that run at the same time.
    pub slots: u32,
    /// Memory for running tasks, in MiB; 0 if absent.
    #[serde(default)]
    pub memory_mb: u32,
    /// Number of accelerators for running tasks; 0 if absent.
    #[serde(default)]
    pub accelerators: u32,
    /// Slots that running and queued tasks may take together; the agent refuses starts beyond it.
    #[serde(rename = "room")]
    pub load_limit: u32,
    /// Slots of running and queued tasks of all entries.
    pub load: u32,
    /// Part of `load` that belongs to tasks of the entry that receives the heartbeat.
    #[serde(rename = "own")]
    pub own_load: u32,
    /// Whether the server is leaving and takes no new work.
    pub is_leaving: bool,
    /// Reading of the agent's monotonic clock when it sent the heartbeat, in microseconds.
    pub clock_us: u64,
    /// Latest configuration version known to the agent; 0 before it has received a directive.
    pub version: u64,
    /// Names of the tasks that ran, or may have run, when the server was lost; a task is listed
    /// once for each loss.
    #[serde(default)]
    pub lost_tasks: Vec<String>,
    /// Submissions of the receiving entry with tasks that are queued or running at the agent; the
    /// oldest of them if there are very many.
    #[serde(default, rename = "held")]
    pub held_submissions: Vec<u128>,
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
            lost_tasks: wire.lost_tasks.into_iter().map(Into::into).collect(),
            held_submissions: wire.held_submissions,
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
            lost_tasks: report.lost_tasks.iter().map(ToString::to_string).collect(),
            held_submissions: report.held_submissions.clone(),
        }
    }
}

/// Answer of an entry to a heartbeat, with the leases and instructions for the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectiveMessage {
    /// Name of the entry that answers; empty if absent.
    #[serde(default)]
    pub entry: String,
    /// Incarnation of the entry that answers; 0 if absent.
    #[serde(default)]
    pub incarnation: u64,
    /// How long tasks of this entry may run, in microseconds counted from when the heartbeat was
    /// sent; `None` if they run without a lease.
    #[serde(default)]
    pub run_lease_us: Option<u64>,
    /// Configuration version of the entry.
    pub version: u64,
    /// Whether the failure domain of the server is in service.
    pub is_in_service: bool,
    /// Whether operators have ordered the server to leave.
    pub is_leaving: bool,
    /// How long this version is confirmed to be in force, in microseconds counted from when the
    /// heartbeat was sent; 0 if it is not confirmed.
    pub valid_for_us: u64,
    /// Age of the latest confirmation of this version, in microseconds counted back from when the
    /// answer was sent; `None` if the entry does not state it.
    #[serde(default, rename = "confirmed_us", skip_serializing_if = "Option::is_none")]
    pub confirmed_age_us: Option<u64>,
    /// Interval until the next heartbeat, in microseconds.
    #[serde(rename = "next_in_us")]
    pub heartbeat_interval_us: u64,
    /// Interval until the next heartbeat of an agent with tasks of this entry, in microseconds; that of
    /// every agent if absent.
    #[serde(default, rename = "renew_in_us")]
    pub renewal_interval_us: Option<u64>,
    /// Peer address of each entry that the answering entry knows, itself included, by entry name.
    pub entries: BTreeMap<String, String>,
    /// Submissions of the heartbeat that the entry has answered or given up.
    #[serde(default, rename = "ended")]
    pub ended_submissions: Vec<u128>,
}

impl DirectiveMessage {
    /// Creates the answer of the entry named `entry`, with the addresses of all known `entries`.
    pub fn new(entry: &str, directive: &AgentDirective, entries: BTreeMap<String, String>) -> Self {
        Self {
            entry: entry.to_owned(),
            incarnation: directive.entry_incarnation,
            run_lease_us: directive.run_lease.map(micros),
            version: directive.version,
            is_in_service: directive.is_in_service,
            is_leaving: directive.is_leaving,
            valid_for_us: micros(directive.valid_for),
            confirmed_age_us: directive.confirmed_age.map(micros),
            heartbeat_interval_us: micros(directive.heartbeat_interval),
            renewal_interval_us: Some(micros(directive.renewal_interval)),
            entries,
            ended_submissions: directive.ended_submissions.clone(),
        }
    }
}

impl From<&DirectiveMessage> for AgentDirective {
    fn from(wire: &DirectiveMessage) -> Self {
        Self {
            entry_incarnation: wire.incarnation,
            run_lease: wire.run_lease_us.map(Duration::from_micros),
            version: wire.version,
            is_in_service: wire.is_in_service,
            is_leaving: wire.is_leaving,
            valid_for: Duration::from_micros(wire.valid_for_us),
            confirmed_age: wire.confirmed_age_us.map(Duration::from_micros),
            heartbeat_interval: Duration::from_micros(wire.heartbeat_interval_us),
            renewal_interval: Duration::from_micros(
                wire.renewal_interval_us.unwrap_or(wire.heartbeat_interval_us),
            ),
            ended_submissions: wire.ended_submissions.clone(),
        }
    }
}

/// State query of an entry to another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStateQuery {
    /// Name of the querying entry.
    pub entry: String,
    /// Peer address of the querying entry, as `ip:port`.
    pub address: String,
    /// Configuration version of the querying entry.
    pub version: u64,
    /// Whether the answer should contain the configuration.
    pub wants_state: bool,
}

/// Answer to a [`PeerStateQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStateMessage {
    /// Name of the answering entry.
    pub entry: String,
    /// Configuration version of the answering entry.
    pub version: u64,
    /// Whether the answering entry has read the log to its end since it started, so that its vote
    /// counts.
    #[serde(rename = "voter")]
    pub is_voter: bool,
    /// Age of the answering entry's latest confirmation by the log when it answered, in
    /// microseconds; `None` if it has none.
    pub confirmed_age_us: Option<u64>,
    /// Number of accepted and not yet answered tasks of each team at the answering entry.
    pub team_load: BTreeMap<String, u32>,
    /// Configuration of the answering entry; `None` if the query does not ask for it or the
    /// answering entry has no complete one.
    pub state: Option<ConfigurationWire>,
}

impl PeerStateMessage {
    /// Creates the answer from `report` and the load of the teams, without a configuration.
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

    /// Version and confirmation of the answering entry.
    pub fn report(&self) -> PeerReport {
        PeerReport {
            entry: self.entry.as_str().into(),
            version: self.version,
            is_voter: self.is_voter,
            confirmed_age: self.confirmed_age_us.map(Duration::from_micros),
        }
    }
}
