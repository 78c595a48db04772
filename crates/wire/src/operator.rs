//! JSON between the command line and the daemons.

use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_core::id::{format_id, parse_id};
use parsleyspool_core::time::HybridTimestamp;
use parsleyspool_core::timeline::{EventField, EventKind, EventRing, TimelineEvent};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::settings::{ChangeRecordWire, ConfigurationWire, InvalidIdentifier};

/// Order to make a change.
pub type ChangeBody = ChangeRecordWire;

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcomeBody {
    /// In the log, and applied by a majority of the voting entries.
    Accepted {
        /// Version from which it is in force.
        version: u64,
    },
    /// Another change of the same subject came first.
    Rejected {
        /// Version of the subject in force.
        current: u64,
    },
    /// In the log, and not yet applied by a majority of the voting entries.
    Unconfirmed {
        /// Version from which it will be in force.
        version: u64,
    },
    /// The log did not confirm it; it may still come into force. The same id may be sent again.
    Unknown,
}

/// Configuration with its state at the answering entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Name of the answering entry.
    pub entry: String,
    /// Whether the entry can confirm that it is in force: `confirmed`, `agreed` or `lapsed`.
    pub freshness: String,
    /// Configuration.
    pub configuration: ConfigurationWire,
}

/// One process as the answering entry knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessBody {
    /// Name.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Address of its peer and operator listener.
    pub address: String,
    /// Failure domain, empty where unknown.
    pub domain: String,
    /// Worker, empty where unknown.
    pub worker: String,
    /// State in words.
    pub state: String,
    /// Configuration version that it confirmed last.
    pub version: u64,
    /// Time since it was heard from, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub message_age_ms: u64,
    /// Slots taken.
    pub load: u32,
    /// Slots.
    pub slots: u32,
}

/// State of a process and of those that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Life of the daemon: `starting`, `serving`, `draining` or `stopped`.
    #[serde(rename = "life")]
    pub state: String,
    /// Configuration version.
    pub version: u64,
    /// Evidence for it: `confirmed`, `agreed` or `lapsed`.
    pub freshness: String,
    /// Jobs not yet answered.
    pub jobs: usize,
    /// Tasks queued.
    pub queued: usize,
    /// Processes that it knows, itself included.
    pub processes: Vec<ProcessBody>,
}

/// One event of a time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventBody {
    /// Wall clock part of the stamp, in microseconds.
    pub wall_us: u64,
    /// Counter part of the stamp.
    #[serde(rename = "count")]
    pub counter: u32,
    /// Kind in words.
    pub event: String,
    /// Submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<String>,
    /// Task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// Server, failure domain or worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// Further figures, each as key=value.
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
        let bad = |text: &str| InvalidIdentifier(text.to_owned());
        let kind = EventKind::from_name(&body.event).ok_or_else(|| bad(&body.event))?;
        let submission = match &body.submission {
            Some(text) => Some(parse_id(text).ok_or_else(|| bad(text))?),
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
    /// Place in the order over all processes.
    pub fn stamp(&self) -> HybridTimestamp {
        HybridTimestamp { wall_us: self.wall_us, counter: self.counter }
    }
}

/// Events of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineBody {
    /// Name of the process.
    pub process: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Failure domain.
    pub domain: String,
    /// Worker.
    pub worker: String,
    /// Incarnation, hexadecimal.
    pub incarnation: String,
    /// Events dropped because the ring turned over.
    pub dropped: u64,
    /// Events from the oldest to the latest.
    pub events: Vec<EventBody>,
}

impl TimelineBody {
    /// Events with their process, for the checker; those of an unknown kind are left out.
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

    /// Body of `ring`; the caller fills in who the process is.
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

/// Filter of log levels, in the syntax of `tracing-subscriber`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelBody {
    /// Filter, as in `info,parsleyspool_daemon=debug`.
    pub filter: String,
}

/// Error of an operator's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorErrorBody {
    /// What could not be done.
    pub error: String,
}
