//! Messages about tasks, between an entry and an agent.

use super::micros;
use bytes::Bytes;
use parsleyspool_core::entry::{LoadReport, NotStartedReason, StartId, StartRequest, TaskReply};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::resources::ResourceAmounts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

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
    /// Job, by the name that its resubmissions share.
    #[serde(default)]
    pub job: String,
    /// Memory that it takes, in MiB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators that it takes.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether it may be stopped halfway.
    pub may_stop: bool,
    /// Time by which it goes back in the agent's queue, in microseconds.
    #[serde(rename = "surcharge_us")]
    pub queue_penalty_us: u64,
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
    pub fn new(entry: &str, order: StartRequest) -> Self {
        Self {
            entry: entry.to_owned(),
            task: order.task.into(),
            attempt: order.attempt,
            incarnation: order.incarnation,
            service: order.service.to_string(),
            job: order.job.to_string(),
            request: order.request.to_string(),
            slots: order.demand.slots,
            memory_mb: order.demand.memory_mb,
            accelerators: order.demand.accelerators,
            may_stop: order.may_stop,
            queue_penalty_us: micros(order.queue_penalty),
            payload: order.payload,
            version: order.version,
            permit_until_us: micros(order.permit_until),
            start_before_us: micros(order.start_before),
        }
    }
}

impl From<StartMessage> for StartRequest {
    fn from(wire: StartMessage) -> Self {
        Self {
            task: wire.task.into(),
            attempt: wire.attempt,
            incarnation: wire.incarnation,
            service: wire.service.into(),
            job: wire.job.into(),
            request: wire.request.into(),
            demand: ResourceAmounts {
                slots: wire.slots.max(1),
                memory_mb: wire.memory_mb,
                accelerators: wire.accelerators,
            },
            may_stop: wire.may_stop,
            queue_penalty: Duration::from_micros(wire.queue_penalty_us),
            payload: wire.payload,
            version: wire.version,
            permit_until: Duration::from_micros(wire.permit_until_us),
            start_before: Duration::from_micros(wire.start_before_us),
        }
    }
}

/// Question of an entry about a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQueryMessage {
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

impl StatusQueryMessage {
    /// Question of the entry `entry` about `start`, sent when the agent's clock was at `sent_at`
    /// or later.
    pub fn new(entry: &str, start: StartId, sent_at: Duration) -> Self {
        Self {
            entry: entry.to_owned(),
            task: start.task.into(),
            attempt: start.attempt,
            incarnation: start.incarnation,
            sent_at_us: micros(sent_at),
        }
    }

    /// Start that it is about.
    pub fn start_id(&self) -> StartId {
        let (task, attempt) = (self.task.into(), self.attempt);
        StartId { task, attempt, incarnation: self.incarnation }
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
pub enum NotStartedReasonWire {
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

impl From<NotStartedReason> for NotStartedReasonWire {
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

impl From<NotStartedReasonWire> for NotStartedReason {
    fn from(wire: NotStartedReasonWire) -> Self {
        match wire {
            NotStartedReasonWire::Full => Self::Full,
            NotStartedReasonWire::DomainOut => Self::DomainOut,
            NotStartedReasonWire::Leaving => Self::Leaving,
            NotStartedReasonWire::PermitLapsed => Self::PermitLapsed,
            NotStartedReasonWire::TooLate => Self::TooLate,
            NotStartedReasonWire::NeverReceived => Self::NeverReceived,
            NotStartedReasonWire::OtherIncarnation => Self::OtherIncarnation,
            NotStartedReasonWire::NoConnection => Self::NoConnection,
            NotStartedReasonWire::Cancelled => Self::Cancelled,
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
    /// See [`TaskReply::Interrupted`].
    Interrupted,
    /// It did not start.
    NotStarted(NotStartedReasonWire),
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
            TaskReply::Interrupted => Self::Interrupted,
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
            TaskReplyWire::Interrupted => Self::Interrupted,
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
    #[serde(rename = "own")]
    pub own_load: u32,
}

impl TaskReplyMessage {
    /// Message of `reply` with the load beside it.
    pub fn new(reply: TaskReply, load: LoadReport) -> Self {
        Self { reply: reply.into(), load: load.load, own_load: load.own }
    }

    /// Load beside the reply.
    pub fn load_report(&self) -> LoadReport {
        LoadReport { load: self.load, own: self.own_load }
    }
}
