//! Generates the configuration and settings of a deployment from a team's answers.

use super::answers::{EntryAnswer, RequestAnswer, ServerAnswer, TeamAnswers, TeamPriority};
use parsleyspool_daemon::settings::{
    AgentLimitSettings, AgentSettings, BackendSettings, EntryLimitSettings, EntrySettings,
    InboundSettings, ListenSettings, LogSettings, MachineSettings, ProcessSettings,
    TelemetrySettings, default_streams,
};
use parsleyspool_wire::config::{
    ChangeWire, DomainAvailabilityWire, QuotaWire, RequestWire, ServiceWire,
};
use std::time::Duration;

/// Settings file of one process.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    /// File name: the name of the process with the suffix `.entry.yaml` or `.agent.yaml`.
    pub name: String,
    /// Content of the file, to be written as YAML.
    pub settings: ProcessSettings,
}

/// Deployment generated from a team's answers.
#[derive(Debug, Clone)]
pub struct GeneratedDeployment {
    /// Configuration changes that an operator applies in this order.
    pub changes: Vec<ChangeWire>,
    /// Settings of every process, entries first.
    pub settings: Vec<SettingsFile>,
    /// How the answers determine the deployment, one line per item.
    pub explanation: Vec<String>,
}

/// Time limit for an append or a read of the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a read at the end of a stream waits for a new record.
const LOG_READ_WAIT: Duration = Duration::from_millis(500);
/// Ratio of the slots for queued tasks at an agent to the slots of its backend server.
const QUEUE_FACTOR: u32 = 4;
/// Time limit for a drain before a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the answer of a backend server.
const BACKEND_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest answer of a backend server, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Generates the deployment for `answers`, which should be valid according to
/// [`validate`](super::validate()).
pub fn generate(answers: &TeamAnswers) -> GeneratedDeployment {
    let entries = answers.entries.iter().enumerate();
    let entries = entries.map(|(index, entry)| SettingsFile {
        name: format!("{}.entry.yaml", entry.name),
        settings: ProcessSettings::Entry(Box::new(entry_settings(answers, index, entry))),
    });
    let agents = answers.servers.iter().map(|server| SettingsFile {
        name: format!("{}.agent.yaml", server.name),
        settings: ProcessSettings::Agent(Box::new(agent_settings(answers, server))),
    });
    GeneratedDeployment {
        changes: changes(answers),
        settings: entries.chain(agents).collect(),
        explanation: explain(answers),
    }
}

fn changes(answers: &TeamAnswers) -> Vec<ChangeWire> {
    let electorate = ChangeWire::SetElectorate {
        entries: answers.entries.iter().map(|entry| entry.name.clone()).collect(),
    };
    let quota = ChangeWire::SetQuota {
        team: answers.team.clone(),
        quota: QuotaWire {
            tasks_in_flight: answers.quota.tasks_in_flight,
            weight: answers.quota.weight,
        },
    };
    let domains = answers.domains.iter().map(|domain| ChangeWire::SetDomainAvailability {
        domain: domain.clone(),
        availability: DomainAvailabilityWire::InService,
    });
    let services = answers.services.iter().map(|(name, service)| {
        let requests = service.requests.iter();
        let spec = ServiceWire {
            team: answers.team.clone(),
            deadline: service.deadline,
            requests: requests.map(|(name, answer)| (name.clone(), request_rule(answer))).collect(),
        };
        ChangeWire::PutService { name: name.clone(), spec }
    });
    [electorate, quota].into_iter().chain(domains).chain(services).collect()
}

fn request_rule(answer: &RequestAnswer) -> RequestWire {
    RequestWire::new(answer.idempotent, answer.run_time, answer.slots)
}

fn entry_limits(answers: &TeamAnswers) -> EntryLimitSettings {
    let limits = EntryLimitSettings::default();
    match answers.priority {
        TeamPriority::ResponseTime => limits,
        TeamPriority::WorkDuringChanges => {
            EntryLimitSettings { ahead: limits.ahead + 1, ramp: limits.ramp / 2, ..limits }
        }
    }
}

fn entry_settings(answers: &TeamAnswers, index: usize, entry: &EntryAnswer) -> EntrySettings {
    let others = answers.entries.iter().filter(|other| other.name != entry.name);
    EntrySettings {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
        rank: u32::try_from(index).unwrap_or(u32::MAX),
        listen: ListenSettings { callers: entry.callers, peers: entry.peers, advertise: None },
        seeds: Vec::new(),
        log: LogSettings {
            url: answers.log.url.clone(),
            timeout: LOG_TIMEOUT,
            wait: LOG_READ_WAIT,
            retention: answers.log.retention,
            streams: default_streams(),
        },
        peers: others.map(|other| (other.name.clone(), other.peers)).collect(),
        limits: entry_limits(answers),
        machine: MachineSettings::default(),
        inbound: InboundSettings::default(),
        telemetry: TelemetrySettings::default(),
        drain: DRAIN_TIMEOUT,
    }
}

fn agent_settings(answers: &TeamAnswers, server: &ServerAnswer) -> AgentSettings {
    let entries = answers.entries.iter();
    AgentSettings {
        name: server.name.clone(),
        domain: server.domain.clone(),
        worker: server.worker.clone(),
        listen: server.agent,
        advertise: None,
        entries: entries.map(|entry| (entry.name.clone(), entry.peers)).collect(),
        seeds: Vec::new(),
        runs: None,
        backend: Some(BackendSettings {
            url: server.url.clone(),
            worker_url: server.worker_url.clone(),
            services: server.services.clone(),
            slots: server.slots,
            connections: server.connections,
            timeout: BACKEND_TIMEOUT,
            answer_bytes: MAX_ANSWER_BYTES,
        }),
        limits: AgentLimitSettings {
            queue: server.slots * QUEUE_FACTOR,
            ..AgentLimitSettings::default()
        },
        machine: MachineSettings::default(),
        inbound: InboundSettings::default(),
        telemetry: TelemetrySettings::default(),
        drain: DRAIN_TIMEOUT,
    }
}

fn explain(answers: &TeamAnswers) -> Vec<String> {
    let mut lines = vec![format!(
        "quota: at most {} tasks of {} are in flight at once, accepted and not yet answered",
        answers.quota.tasks_in_flight, answers.team
    )];
    let voter_count = answers.entries.len();
    lines.push(format!(
        "entries: {voter_count} vote; a change is accepted once {} of them have applied it, and as \
         many entries must be able to reach each other to keep working during an outage of the log",
        voter_count / 2 + 1
    ));
    for (name, service) in &answers.services {
        for (request, answer) in &service.requests {
            lines.push(explain_request(name, request, answer));
        }
        let servers = answers.servers.iter().filter(|server| server.services.contains(name));
        let slots: u32 = servers.map(|server| server.slots).sum();
        lines.push(format!("services.{name}: {slots} slots in total"));
    }
    let limits = entry_limits(answers);
    lines.push(format!(
        "priority: slots of tasks queued ahead at each server: {}; a returning failure domain is \
         ramped up to full load within {}",
        limits.ahead,
        humantime::format_duration(limits.ramp)
    ));
    lines
}

fn explain_request(service: &str, request: &str, answer: &RequestAnswer) -> String {
    let path = format!("services.{service}.requests.{request}");
    if answer.idempotent {
        return format!("{path}: idempotent, so it starts without a claim in the log");
    }
    format!(
        "{path}: non-idempotent, so it runs at most once per idempotency key and first waits for \
         one append to the log"
    )
}
