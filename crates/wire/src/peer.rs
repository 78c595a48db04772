//! MessagePack between the daemons.
//!
//! Every message travels in an [`Envelope`] with the stamp of its sender's hybrid clock.

use bytes::Bytes;
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    AgentDirective, LoadReport, NotStartedReason, SentStart, StartOrder, TaskReply,
};
use parsleyspool_core::freshness::PeerReport;
use parsleyspool_core::id::TaskId;
use parsleyspool_core::time::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

use crate::settings::ConfigurationWire;

/// Message with the time stamp of its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Wall clock part of the stamp, in microseconds.
    pub wall_us: u64,
    /// Counter part of the stamp.
    pub count: u32,
    /// Message.
    pub body: T,
}

impl<T> Envelope<T> {
    /// Envelope of `body` stamped `stamp`.
    pub fn new(stamp: Stamp, body: T) -> Self {
        Self { wall_us: stamp.wall_us, count: stamp.count, body }
    }

    /// Stamp of the sender.
    pub fn stamp(&self) -> Stamp {
        Stamp { wall_us: self.wall_us, count: self.count }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Task as two numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskIdWire(pub u128, pub u32);

impl From<TaskId> for TaskIdWire {
    fn from(id: TaskId) -> Self {
        Self(id.submission, id.index)
    }
}

impl From<TaskIdWire> for TaskId {
    fn from(wire: TaskIdWire) -> Self {
        Self::new(wire.0, wire.1)
    }
}

/// Start sent by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartMessage {
    /// Name of the entry.
    pub entry: String,
    /// Task.
    pub task: TaskIdWire,
    /// Number of the start.
    pub attempt: u32,
    /// Incarnation of the agent that is meant.
    pub incarnation: u64,
    /// Service.
    pub service: String,
    /// Kind of request.
    pub request: String,
    /// Slots.
    pub slots: u32,
    /// Time by which it goes back in the agent's queue, in microseconds.
    pub surcharge_us: u64,
    /// Body for the backend server.
    pub payload: Bytes,
    /// Configuration version that allowed the start.
    pub version: u64,
    /// End of the permit on the agent's clock, in microseconds.
    pub permit_until_us: u64,
    /// End of its use on the agent's clock, in microseconds.
    pub start_before_us: u64,
}

impl StartMessage {
    /// Message of `order` from the entry `entry`.
    pub fn new(entry: &str, order: StartOrder) -> Self {
        Self {
            entry: entry.to_owned(),
            task: order.task.into(),
            attempt: order.attempt,
            incarnation: order.incarnation,
            service: order.service.to_string(),
            request: order.request.to_string(),
            slots: order.slots,
            surcharge_us: micros(order.surcharge),
            payload: order.payload,
            version: order.version,
            permit_until_us: micros(order.permit_until),
            start_before_us: micros(order.start_before),
        }
    }
}

impl From<StartMessage> for StartOrder {
    fn from(wire: StartMessage) -> Self {
        Self {
            task: wire.task.into(),
            attempt: wire.attempt,
            incarnation: wire.incarnation,
            service: wire.service.into(),
            request: wire.request.into(),
            slots: wire.slots.max(1),
            surcharge: Duration::from_micros(wire.surcharge_us),
            payload: wire.payload,
            version: wire.version,
            permit_until: Duration::from_micros(wire.permit_until_us),
            start_before: Duration::from_micros(wire.start_before_us),
        }
    }
}

/// Question of an entry about a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskMessage {
    /// Name of the entry.
    pub entry: String,
    /// Task.
    pub task: TaskIdWire,
    /// Number of the start.
    pub attempt: u32,
    /// Incarnation that the start addressed.
    pub incarnation: u64,
    /// Agent's clock, not later than the sending of the start, in microseconds.
    pub sent_at_us: u64,
}

impl AskMessage {
    /// Question of the entry `entry` about `start`, sent when the agent's clock was at `sent_at`
    /// or later.
    pub fn new(entry: &str, start: SentStart, sent_at: Duration) -> Self {
        Self {
            entry: entry.to_owned(),
            task: start.task.into(),
            attempt: start.attempt,
            incarnation: start.incarnation,
            sent_at_us: micros(sent_at),
        }
    }

    /// Start that it is about.
    pub fn start(&self) -> SentStart {
        let (task, attempt) = (self.task.into(), self.attempt);
        SentStart { task, attempt, incarnation: self.incarnation }
    }
}

/// Cancellation by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Tasks to drop where they have not started.
    pub tasks: Vec<TaskIdWire>,
}

/// Why a task was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonWire {
    /// See [`NotStartedReason::Full`].
    Full,
    /// See [`NotStartedReason::DomainOut`].
    DomainOut,
    /// See [`NotStartedReason::Leaving`].
    Leaving,
    /// See [`NotStartedReason::PermitLapsed`].
    PermitLapsed,
    /// See [`NotStartedReason::TooLate`].
    TooLate,
    /// See [`NotStartedReason::NeverReceived`].
    NeverReceived,
    /// See [`NotStartedReason::OtherIncarnation`].
    OtherIncarnation,
    /// See [`NotStartedReason::NoConnection`].
    NoConnection,
    /// See [`NotStartedReason::Cancelled`].
    Cancelled,
}

impl From<NotStartedReason> for ReasonWire {
    fn from(reason: NotStartedReason) -> Self {
        match reason {
            NotStartedReason::Full => Self::Full,
            NotStartedReason::DomainOut => Self::DomainOut,
            NotStartedReason::Leaving => Self::Leaving,
            NotStartedReason::PermitLapsed => Self::PermitLapsed,
            NotStartedReason::TooLate => Self::TooLate,
            NotStartedReason::NeverReceived => Self::NeverReceived,
            NotStartedReason::OtherIncarnation => Self::OtherIncarnation,
            NotStartedReason::NoConnection => Self::NoConnection,
            NotStartedReason::Cancelled => Self::Cancelled,
        }
    }
}

impl From<ReasonWire> for NotStartedReason {
    fn from(wire: ReasonWire) -> Self {
        match wire {
            ReasonWire::Full => Self::Full,
            ReasonWire::DomainOut => Self::DomainOut,
            ReasonWire::Leaving => Self::Leaving,
            ReasonWire::PermitLapsed => Self::PermitLapsed,
            ReasonWire::TooLate => Self::TooLate,
            ReasonWire::NeverReceived => Self::NeverReceived,
            ReasonWire::OtherIncarnation => Self::OtherIncarnation,
            ReasonWire::NoConnection => Self::NoConnection,
            ReasonWire::Cancelled => Self::Cancelled,
        }
    }
}

/// What an agent says of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskReplyWire {
    /// It ran.
    Done {
        /// Answer.
        answer: Bytes,
        /// Run time in microseconds.
        run_time_us: u64,
    },
    /// It ran, or may have, and failed.
    Failed {
        /// Run time in microseconds.
        run_time_us: u64,
    },
    /// It did not start.
    NotStarted(ReasonWire),
    /// It is queued or runs.
    Pending,
    /// Its outcome is gone.
    Lost,
}

impl From<TaskReply> for TaskReplyWire {
    fn from(reply: TaskReply) -> Self {
        match reply {
            TaskReply::Done { answer, run_time } => {
                Self::Done { answer, run_time_us: micros(run_time) }
            }
            TaskReply::Failed { run_time } => Self::Failed { run_time_us: micros(run_time) },
            TaskReply::NotStarted(reason) => Self::NotStarted(reason.into()),
            TaskReply::Pending => Self::Pending,
            TaskReply::Lost => Self::Lost,
        }
    }
}

impl From<TaskReplyWire> for TaskReply {
    fn from(wire: TaskReplyWire) -> Self {
        match wire {
            TaskReplyWire::Done { answer, run_time_us } => {
                Self::Done { answer, run_time: Duration::from_micros(run_time_us) }
            }
            TaskReplyWire::Failed { run_time_us } => {
                Self::Failed { run_time: Duration::from_micros(run_time_us) }
            }
            TaskReplyWire::NotStarted(reason) => Self::NotStarted(reason.into()),
            TaskReplyWire::Pending => Self::Pending,
            TaskReplyWire::Lost => Self::Lost,
        }
    }
}

/// Reply to a start or a question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReplyMessage {
    /// What the agent says.
    pub reply: TaskReplyWire,
    /// Slots taken at the agent.
    pub load: u32,
    /// Of these, slots of the entry that is told.
    pub own: u32,
}

impl TaskReplyMessage {
    /// Message of `reply` with the load beside it.
    pub fn new(reply: TaskReply, load: LoadReport) -> Self {
        Self { reply: reply.into(), load: load.load, own: load.own }
    }

    /// Load beside the reply.
    pub fn load(&self) -> LoadReport {
        LoadReport { load: self.load, own: self.own }
    }
}

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
    /// Slots that may run and queue there together.
    pub room: u32,
    /// Slots taken.
    pub load: u32,
    /// Of these, slots of the entry that is told.
    pub own: u32,
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
            slots: wire.slots,
            room: wire.room,
            load: wire.load,
            own: wire.own,
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
            slots: report.slots,
            room: report.room,
            load: report.load,
            own: report.own,
            is_leaving: report.is_leaving,
            clock_us: micros(report.clock),
            version: report.version,
        }
    }
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectiveMessage {
    /// Configuration version.
    pub version: u64,
    /// Whether the failure domain takes work.
    pub is_in_service: bool,
    /// Whether operators told the server to leave.
    pub is_leaving: bool,
    /// How long that is vouched for, in microseconds from the sending of the heartbeat.
    pub valid_for_us: u64,
    /// Time until the next heartbeat, in microseconds.
    pub next_in_us: u64,
    /// Peer addresses of the entries known here, by name.
    pub entries: BTreeMap<String, String>,
}

impl DirectiveMessage {
    /// Message of `directive` with the entries known.
    pub fn new(directive: &AgentDirective, entries: BTreeMap<String, String>) -> Self {
        Self {
            version: directive.version,
            is_in_service: directive.is_in_service,
            is_leaving: directive.is_leaving,
            valid_for_us: micros(directive.valid_for),
            next_in_us: micros(directive.next_in),
            entries,
        }
    }
}

impl From<&DirectiveMessage> for AgentDirective {
    fn from(wire: &DirectiveMessage) -> Self {
        Self {
            version: wire.version,
            is_in_service: wire.is_in_service,
            is_leaving: wire.is_leaving,
            valid_for: Duration::from_micros(wire.valid_for_us),
            next_in: Duration::from_micros(wire.next_in_us),
        }
    }
}

/// Question of an entry to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerQuestion {
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
    pub voter: bool,
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
            voter: report.voter,
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
            voter: self.voter,
            confirmed_age: self.confirmed_age_us.map(Duration::from_micros),
        }
    }
}
