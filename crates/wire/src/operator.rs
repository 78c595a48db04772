//! JSON between the commands of operators and the daemons.

use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_core::id::{format_id, parse_id};
use parsleyspool_core::time::HybridTimestamp;
use parsleyspool_core::timeline::{EventField, EventKind, EventRing, TimelineEvent};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::config::{ChangeRecordWire, ConfigurationWire, InvalidIdentifier};

/// Request to make a configuration change.
pub type ChangeBody = ChangeRecordWire;

/// Outcome of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcomeBody {
    /// The change is in the log, and a majority of the voting entries has applied it.
    Accepted {
        /// Configuration version from which the change is in force.
        version: u64,
    },
    /// The change was not applied, because another change of the same subject came first.
    Rejected {
        /// Current version of the subject, on which a new change must be based.
        current: u64,
    },
    /// The change is in the log, but no majority of the voting entries has applied it yet.
    Unconfirmed {
        /// Configuration version from which the change will be in force.
        version: u64,
    },
    /// The log did not confirm the change, which may still come into force. It may be sent again
    /// with the same id.
    Unknown,
}

/// Configuration of the answering entry, and whether it is known to be in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Name of the answering entry.
    pub entry: String,
    /// Whether the entry knows that the configuration is in force: `confirmed` by the log, `agreed`
    /// by a majority of the voting entries, `unconfirmed` if neither holds but the settings allow
    /// work to continue, or `lapsed` if no task may start.
    pub freshness: String,
    /// Configuration of the entry, possibly outdated if `freshness` is `lapsed`.
    pub configuration: ConfigurationWire,
}

/// Process that the answering entry knows, possibly the entry itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessBody {
    /// Name of the entry, or of the backend server of the agent.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Address on which it listens for peers and operators.
    pub address: String,
    /// Failure domain; empty if unknown, as for entries other than the answering one.
    pub domain: String,
    /// Worker of an agent; empty for an entry or if unknown.
    pub worker: String,
    /// Lifecycle state as in [`StatusBody::state`] for the answering entry, `known` for other
    /// entries, and the state in the server chart for agents.
    pub state: String,
    /// Configuration version that the process last reported.
    pub version: u64,
    /// Time since its latest message, in milliseconds; 0 for the answering entry.
    #[serde(rename = "heard_ms")]
    pub message_age_ms: u64,
    /// Slots of running and queued tasks, as estimated by the answering entry; 0 if the process is
    /// an entry.
    pub load: u32,
    /// Slots of the backend server; 0 for an entry.
    pub slots: u32,
}

/// Status of a process and of the processes that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the entry, or of the backend server of the agent.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Lifecycle state of the daemon: `starting`, `serving`, `draining` or `stopped`.
    #[serde(rename = "life")]
    pub state: String,
    /// Configuration version of the process.
    pub version: u64,
    /// Whether the entry knows that this version is in force, as in [`ConfigBody::freshness`];
    /// empty for an agent.
    pub freshness: String,
    /// Number of jobs not yet answered; 0 for an agent.
    pub jobs: usize,
    /// Number of queued tasks; for an agent, of queued and running tasks.
    pub queued: usize,
    /// Processes that the entry knows, itself included; empty for an agent.
    pub processes: Vec<ProcessBody>,
}

/// Event of a timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventBody {
    /// Wall clock part of the timestamp, in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Counter part of the timestamp.
    #[serde(rename = "count")]
    pub counter: u32,
    /// Name of the [`EventKind`].
    pub event: String,
    /// Submission id in hexadecimal; `None` if the event concerns no submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<String>,
    /// Index of the task within its submission; `None` if the event concerns no task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// Backend server, failure domain, worker or job that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// Fields specific to the kind of event, each as `key=value`.
    #[serde(rename = "figures")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<String>,
}

impl From<&TimelineEvent> for EventBody {
    fn from(event: &TimelineEvent) -> Self {
        Self {
            wall_us: event.stamp.wall_us,
            counter: event.stamp.counter,
            event: event.kind.name().to_owned(),
            submission: event.submission.map(format_id),
            task: event.task,
            subject: event.subject.as_ref().map(ToString::to_string),
            fields: event.fields.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<&EventBody> for TimelineEvent {
    type Error = InvalidIdentifier;

    fn try_from(body: &EventBody) -> Result<Self, InvalidIdentifier> {
        let invalid = |text: &str| InvalidIdentifier(text.to_owned());
        let kind = EventKind::from_name(&body.event).ok_or_else(|| invalid(&body.event))?;
        let submission = match &body.submission {
            Some(text) => Some(parse_id(text).ok_or_else(|| invalid(text))?),
            None => None,
        };
        Ok(Self {
            stamp: body.stamp(),
            kind,
            submission,
            task: body.task,
            subject: body.subject.as_deref().map(Into::into),
            fields: body.fields.iter().filter_map(|text| EventField::parse(text)).collect(),
        })
    }
}

impl EventBody {
    /// Hybrid timestamp, by which the events of all processes are ordered.
    pub fn stamp(&self) -> HybridTimestamp {
        HybridTimestamp { wall_us: self.wall_us, counter: self.counter }
    }
}

/// Timeline of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineBody {
    /// Name of the entry or agent.
    pub process: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Failure domain in which the process runs.
    pub domain: String,
    /// Worker of an agent; empty for an entry or if unknown.
    pub worker: String,
    /// Incarnation of the process, in hexadecimal.
    pub incarnation: String,
    /// Number of events dropped from the full ring buffer since the process started.
    pub dropped: u64,
    /// Events that the ring buffer still holds, oldest first.
    pub events: Vec<EventBody>,
}

impl TimelineBody {
    /// Events in the form that the checker takes; events that cannot be converted are omitted.
    pub fn observed_events(&self) -> Vec<ObservedEvent> {
        let incarnation = parse_id(&self.incarnation).and_then(|id| u64::try_from(id).ok());
        let process: Arc<str> = self.process.as_str().into();
        let domain: Arc<str> = self.domain.as_str().into();
        let events = self.events.iter().filter_map(|event| TimelineEvent::try_from(event).ok());
        let events = events.map(|event| ObservedEvent {
            process: process.clone(),
            incarnation: incarnation.unwrap_or_default(),
            domain: domain.clone(),
            event,
        });
        events.collect()
    }

    /// Creates the timeline from the events in `ring`; the caller sets `domain` and `worker`.
    pub fn new(process: &str, role: &str, ring: &EventRing) -> Self {
        Self {
            process: process.to_owned(),
            role: role.to_owned(),
            domain: String::new(),
            worker: String::new(),
            incarnation: format_id(ring.incarnation().into()),
            dropped: ring.dropped(),
            events: ring.events().map(Into::into).collect(),
        }
    }
}

/// Request to set the log levels of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelBody {
    /// Filter in the syntax of `tracing-subscriber`, such as `info,parsleyspool_daemon=debug`.
    pub filter: String,
}

/// Answer to an operator request that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorErrorBody {
    /// Description of the error; not meant to be parsed.
    pub error: String,
}
