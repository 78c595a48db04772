//! Checks of parsed settings, such as ranges and relations between settings.

use super::inbound::FILE_DESCRIPTORS;
use super::key_line::find_key_line;
use super::{
    AgentSettings, BackendSettings, EntrySettings, InboundSettings, LogStream, MachineSettings,
};
use parsleyspool_core::overload::OverloadPolicy;
use parsleyspool_core::placement::PlacementKind;
use parsleyspool_wire::codec::MAX_MESSAGE_BYTES;
use std::fmt;
use std::time::Duration;

/// One invalid setting, or one syntax or type error, in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Line, counted from 1; `None` if it is not known or the setting has its default.
    pub line: Option<usize>,
    /// Dotted path of the key; empty for an error of the YAML parser.
    pub key: String,
    /// Rule that the setting breaks, or the message of the YAML parser.
    pub message: String,
}

impl SettingError {
    /// Converts an error of the YAML parser, whose message names the line and the key.
    pub fn from_yaml_error(error: &serde_saphyr::Error) -> Self {
        let line = error.location().and_then(|at| usize::try_from(at.line()).ok());
        Self { line, key: String::new(), message: error.to_string() }
    }

    /// Adds the line of the key in `text`, unless the line is already known.
    pub fn with_line(self, text: &str) -> Self {
        let line = self.line.or_else(|| find_key_line(text, &self.key));
        Self { line, ..self }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "{line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// Collects the errors of one file.
#[derive(Debug, Default)]
struct ErrorList {
    errors: Vec<SettingError>,
}

impl ErrorList {
    fn require(&mut self, is_valid: bool, key: &str, message: &str) {
        if !is_valid {
            let error =
                SettingError { line: None, key: key.to_owned(), message: message.to_owned() };
            self.errors.push(error);
        }
    }
}

/// Shortest lease of an entry, long enough to outlast a read of the log and a heartbeat.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Longest lease of an entry. The lease bounds how long starts may still reach a failure domain
/// that was taken out of service, and that time must stay within a few seconds.
const MAX_LEASE: Duration = Duration::from_secs(5);

/// Checks the settings of an entry and returns all invalid ones, without their lines.
pub fn check_entry_settings(settings: &EntrySettings) -> Vec<SettingError> {
    let mut list = ErrorList::default();
    let limits = &settings.limits;
    list.require(!settings.name.is_empty(), "entry.name", "must not be empty");
    list.require(!settings.domain.is_empty(), "entry.domain", "must not be empty");
    list.require(
        settings.listen.callers != settings.listen.peers || settings.listen.callers.port() == 0,
        "entry.listen.peers",
        "must differ from entry.listen.callers",
    );
    list.require(
        settings.log.url.starts_with("http://"),
        "entry.log.url",
        "must start with http://",
    );
    list.require(
        !settings.peers.contains_key(&settings.name),
        "entry.peers",
        "must not name the entry itself",
    );
    list.require(
        (MIN_LEASE..=MAX_LEASE).contains(&limits.lease),
        "entry.limits.lease",
        "must be between 1s and 5s",
    );
    list.require(
        settings.log.wait * 2 <= limits.lease,
        "entry.log.wait",
        "must be at most half of entry.limits.lease",
    );
    list.require(
        limits.heartbeat * 2 <= limits.silent_after,
        "entry.limits.heartbeat",
        "must be at most half of entry.limits.silent_after",
    );
    list.require(
        limits.silent_after < limits.forget_after,
        "entry.limits.forget_after",
        "must be longer than entry.limits.silent_after",
    );
    let has_claims = settings.log.streams.contains(&LogStream::Claims);
    list.require(
        !has_claims || limits.claim_window + limits.longest_deadline < settings.log.retention,
        "entry.limits.claim_window",
        "must be shorter than entry.log.retention minus entry.limits.longest_deadline",
    );
    list.require(
        (1..=100_000).contains(&limits.tasks_per_job),
        "entry.limits.tasks_per_job",
        "must be between 1 and 100000",
    );
    list.require(
        limits.tasks_held >= limits.tasks_per_job,
        "entry.limits.tasks_held",
        "must be at least entry.limits.tasks_per_job",
    );
    list.require(
        limits.heartbeats_per_second >= 1,
        "entry.limits.heartbeats_per_second",
        "must be at least 1",
    );
    list.require(limits.claim_appends >= 1, "entry.limits.claim_appends", "must be at least 1");
    list.require(limits.account_appends >= 1, "entry.limits.account_appends", "must be at least 1");
    list.require(limits.attempts >= 1, "entry.limits.attempts", "must be at least 1");
    list.require(limits.sample >= 1, "entry.limits.sample", "must be at least 1");
    list.require(
        (0.0..=1.0).contains(&limits.retry_ratio),
        "entry.limits.retry_ratio",
        "must be between 0 and 1",
    );
    list.require(
        limits.failure_share > 0.0 && limits.failure_share <= 1.0,
        "entry.limits.failure_share",
        "must be above 0 and at most 1",
    );
    check_inbound("entry", &settings.machine, &settings.inbound, &mut list);
    let names: Vec<&str> = PlacementKind::ALL.iter().map(|kind| kind.name()).collect();
    list.require(
        names.contains(&limits.placement.as_str()),
        "entry.limits.placement",
        &format!("must be one of {}", names.join(", ")),
    );
    let names: Vec<&str> = OverloadPolicy::ALL.iter().map(|policy| policy.name()).collect();
    list.require(
        names.contains(&limits.overload.as_str()),
        "entry.limits.overload",
        &format!("must be one of {}", names.join(", ")),
    );
    list.errors
}

/// Checks the settings of an agent and returns all invalid ones, without their lines.
pub fn check_agent_settings(settings: &AgentSettings) -> Vec<SettingError> {
    let mut list = ErrorList::default();
    list.require(!settings.name.is_empty(), "agent.name", "must not be empty");
    list.require(!settings.domain.is_empty(), "agent.domain", "must not be empty");
    list.require(!settings.worker.is_empty(), "agent.worker", "must not be empty");
    list.require(
        settings.limits.outcome_kept > MAX_LEASE,
        "agent.limits.outcome_kept",
        "must be longer than 5s, the longest lease of an entry",
    );
    list.require(
        settings.limits.check_after <= settings.limits.start_for,
        "agent.limits.start_for",
        "must be at least agent.limits.check_after",
    );
    check_inbound("agent", &settings.machine, &settings.inbound, &mut list);
    if let Some(backend) = &settings.backend {
        check_backend(backend, &mut list);
    }
    if let Some(runs) = &settings.runs {
        list.require(
            runs.renewal * 2 <= runs.lease,
            "agent.runs.renewal",
            "must be at most half of agent.runs.lease",
        );
    }
    list.require(
        settings.backend.is_some() != settings.runs.is_some(),
        "agent.backend",
        "must be set if and only if agent.runs is not set",
    );
    list.errors
}

/// Least memory for received bytes: the largest message between the daemons, and as many legal bodies
/// as fit into 1 MiB.
const MIN_INBOUND_BYTES: u64 = MAX_MESSAGE_BYTES as u64 + (1 << 20);
/// Least size of a read buffer.
const MIN_HEAD_BYTES: usize = 8 << 10;
const MAX_HEAD_BYTES: usize = 1 << 20;
/// Least time for receiving a head or a body, so that a lost segment does not end the request.
const MIN_RECEIVE_TIME: Duration = Duration::from_secs(1);

fn check_inbound(
    role: &str,
    machine: &MachineSettings,
    inbound: &InboundSettings,
    list: &mut ErrorList,
) {
    let limits = inbound.limits(machine);
    let mut require = |is_valid, key: &str, message: &str| {
        list.require(is_valid, &format!("{role}.{key}"), message);
    };
    require(
        machine.descriptors > FILE_DESCRIPTORS + 4,
        "machine.descriptors",
        "must be above 204, since 200 are for files",
    );
    require(
        inbound.connections == 0 || inbound.connections + FILE_DESCRIPTORS < machine.descriptors,
        "inbound.connections",
        &format!("must be below {role}.machine.descriptors minus 200"),
    );
    let memory_key =
        if inbound.memory_bytes == 0 { "machine.memory_mb" } else { "inbound.memory_bytes" };
    require(
        limits.memory_bytes >= MIN_INBOUND_BYTES
            && limits.memory_bytes <= machine.memory_mb.saturating_mul(1 << 20),
        memory_key,
        "must allow for 5242880 bytes of requests, and not more than the machine has",
    );
    require(
        (MIN_HEAD_BYTES..=MAX_HEAD_BYTES).contains(&inbound.head_bytes),
        "inbound.head_bytes",
        "must be between 8192 and 1048576",
    );
    require(inbound.head_time >= MIN_RECEIVE_TIME, "inbound.head_time", "must be at least 1s");
    require(inbound.body_time >= MIN_RECEIVE_TIME, "inbound.body_time", "must be at least 1s");
}

fn check_backend(backend: &BackendSettings, list: &mut ErrorList) {
    list.require(
        backend.url.starts_with("http://"),
        "agent.backend.url",
        "must start with http://",
    );
    list.require(
        !backend.services.is_empty(),
        "agent.backend.services",
        "must name at least one service",
    );
    list.require(
        (1..=10_000).contains(&backend.slots),
        "agent.backend.slots",
        "must be between 1 and 10000",
    );
    list.require(
        backend.connections >= backend.slots as usize,
        "agent.backend.connections",
        "must be at least agent.backend.slots",
    );
}
