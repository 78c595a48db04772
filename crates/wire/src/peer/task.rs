//! Messages about tasks between an entry and an agent.

use super::micros;
use bytes::Bytes;
use parsleyspool_core::entry::{
    InterruptCause, LoadReport, NotStartedReason, StartId, StartRequest, TaskReply,
};
use parsleyspool_core::freshness::VersionConfirmation;
use parsleyspool_core::id::TaskId;
use parsleyspool_core::resources::ResourceAmounts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Task id: the submission and the index of the task within it.
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

/// Start request of an entry for one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartMessage {
    /// Name of the entry that sends the request.
    pub entry: String,
    /// Task to start; the agent starts each start request at most once.
    pub task: TaskIdWire,
    /// Number of this start among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that the start is addressed to; another incarnation refuses it.
    pub incarnation: u64,
    /// Service that runs the task.
    pub service: String,
    /// Kind of request, as declared by the service.
    pub request: String,
    /// Slots that the task occupies while it runs; 0 counts as 1.
    pub slots: u32,
    /// Name of the job, shared by all its resubmissions; empty if absent.
    #[serde(default)]
    pub job: String,
    /// Memory that the task occupies, in MiB; 0 if absent.
    #[serde(default)]
    pub memory_mb: u32,
    /// Number of accelerators that the task occupies; 0 if absent.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether a running task may be stopped once nobody waits for its answer.
    pub may_stop: bool,
    /// Delay added to the position of the task in the queue of the agent, in microseconds.
    #[serde(rename = "surcharge_us")]
    pub queue_penalty_us: u64,
    /// Request body for the backend server.
    pub payload: Bytes,
    /// Configuration version that allowed the start.
    pub version: u64,
    /// End of the permit, in microseconds on the clock of the agent. The version is confirmed up to
    /// this time, and the agent refuses a start that arrives later.
    pub permit_until_us: u64,
    /// Latest confirmation of the version by the log; `None` if the entry does not state it.
    #[serde(default, rename = "confirmed", skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<ConfirmationWire>,
    /// End of the run lease that the start grants to the tasks of the entry, in microseconds on the
    /// clock of the agent; `None` if they run without a lease.
    #[serde(default)]
    pub run_lease_until_us: Option<u64>,
    /// Latest time to start the task, in microseconds on the clock of the agent: the deadline of
    /// the job, after which a start is of no use.
    pub start_before_us: u64,
}

impl StartMessage {
    /// Creates the message for `start_request` from the entry named `entry`.
    pub fn new(entry: &str, start_request: StartRequest) -> Self {
        Self {
            entry: entry.to_owned(),
            task: start_request.task.into(),
            attempt: start_request.attempt,
            incarnation: start_request.incarnation,
            service: start_request.service.to_string(),
            job: start_request.job.to_string(),
            request: start_request.request_name.to_string(),
            slots: start_request.demand.slots,
            memory_mb: start_request.demand.memory_mb,
            accelerators: start_request.demand.accelerators,
            may_stop: start_request.may_stop,
            queue_penalty_us: micros(start_request.queue_penalty),
            payload: start_request.payload,
            version: start_request.version,
            permit_until_us: micros(start_request.permit_until),
            confirmation: start_request.confirmation.map(Into::into),
            run_lease_until_us: start_request.run_lease_until.map(micros),
            start_before_us: micros(start_request.start_before),
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
            request_name: wire.request.into(),
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
            confirmation: wire.confirmation.map(Into::into),
            run_lease_until: wire.run_lease_until_us.map(Duration::from_micros),
            start_before: Duration::from_micros(wire.start_before_us),
        }
    }
}

/// Confirmation of a configuration version, on the clock of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationWire {
    /// Time at which the confirmation had `age_us`, or an earlier one, in microseconds.
    pub at_us: u64,
    /// Age at that time, in microseconds.
    pub age_us: u64,
}

impl From<VersionConfirmation> for ConfirmationWire {
    fn from(confirmation: VersionConfirmation) -> Self {
        Self { at_us: micros(confirmation.told_at), age_us: micros(confirmation.told_age) }
    }
}

impl From<ConfirmationWire> for VersionConfirmation {
    fn from(wire: ConfirmationWire) -> Self {
        Self {
            told_at: Duration::from_micros(wire.at_us),
            told_age: Duration::from_micros(wire.age_us),
        }
    }
}

/// Status query of an entry about a start that it has sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQueryMessage {
    /// Name of the entry that sends the query.
    pub entry: String,
    /// Task that the start was for.
    pub task: TaskIdWire,
    /// Number of the start among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that the start was addressed to.
    pub incarnation: u64,
    /// Time at which the start was sent, in microseconds on the clock of the agent; a lower bound.
    /// The agent replies [`TaskReplyWire::Lost`] once it may have discarded the outcome of a start
    /// sent then.
    pub sent_at_us: u64,
}

impl StatusQueryMessage {
    /// Creates a query of the entry named `entry` about `start`, which was sent when the clock of
    /// the agent was at `sent_at` or later.
    pub fn new(entry: &str, start: StartId, sent_at: Duration) -> Self {
        Self {
            entry: entry.to_owned(),
            task: start.task.into(),
            attempt: start.attempt,
            incarnation: start.incarnation,
            sent_at_us: micros(sent_at),
        }
    }

    /// Id of the start that the query concerns.
    pub fn start_id(&self) -> StartId {
        let (task, attempt) = (self.task.into(), self.attempt);
        StartId { task, attempt, incarnation: self.incarnation }
    }
}

/// Cancellation of tasks by the entry that sent their starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelMessage {
    /// Tasks to drop if they have not started; running tasks are stopped if their start allows it.
    pub tasks: Vec<TaskIdWire>,
}

/// Why a task was not started, as [`NotStartedReason`].
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

/// Why a run ended without a result, as [`InterruptCause`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InterruptCauseWire {
    /// See [`InterruptCause::ServerLost`].
    ServerLost,
    /// See [`InterruptCause::LeaseExpired`].
    LeaseExpired,
    /// See [`InterruptCause::Stopped`].
    Stopped,
    /// See [`InterruptCause::AgentReplaced`].
    AgentReplaced,
    /// See [`InterruptCause::AgentSilent`].
    AgentSilent,
}

impl From<InterruptCause> for InterruptCauseWire {
    fn from(cause: InterruptCause) -> Self {
        match cause {
            InterruptCause::ServerLost => Self::ServerLost,
            InterruptCause::LeaseExpired => Self::LeaseExpired,
            InterruptCause::Stopped => Self::Stopped,
            InterruptCause::AgentReplaced => Self::AgentReplaced,
            InterruptCause::AgentSilent => Self::AgentSilent,
        }
    }
}

impl From<InterruptCauseWire> for InterruptCause {
    fn from(wire: InterruptCauseWire) -> Self {
        match wire {
            InterruptCauseWire::ServerLost => Self::ServerLost,
            InterruptCauseWire::LeaseExpired => Self::LeaseExpired,
            InterruptCauseWire::Stopped => Self::Stopped,
            InterruptCauseWire::AgentReplaced => Self::AgentReplaced,
            InterruptCauseWire::AgentSilent => Self::AgentSilent,
        }
    }
}

/// State or outcome of one start, as [`TaskReply`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskReplyWire {
    /// The task ran and was answered.
    Done {
        /// Response body of the backend server.
        answer: Bytes,
        /// Time from the start to the answer, in microseconds.
        run_time_us: u64,
    },
    /// The task ran or may have run, and failed at the backend server.
    Failed {
        /// Time from the start to the failure, in microseconds.
        run_time_us: u64,
    },
    /// The task ran or may have run, and has ended without a result.
    Interrupted(InterruptCauseWire),
    /// The task has not started, and this start will never run it.
    NotStarted(NotStartedReasonWire),
    /// The task is queued or running, or may be running while the agent does not know its server.
    Pending,
    /// The outcome is unknown: the incarnation of the agent that received the start is gone or no
    /// longer has the outcome.
    Lost,
}

impl From<TaskReply> for TaskReplyWire {
    fn from(reply: TaskReply) -> Self {
        match reply {
            TaskReply::Done { answer, run_time } => {
                Self::Done { answer, run_time_us: micros(run_time) }
            }
            TaskReply::Failed { run_time } => Self::Failed { run_time_us: micros(run_time) },
            TaskReply::Interrupted(cause) => Self::Interrupted(cause.into()),
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
            TaskReplyWire::Interrupted(cause) => Self::Interrupted(cause.into()),
            TaskReplyWire::NotStarted(reason) => Self::NotStarted(reason.into()),
            TaskReplyWire::Pending => Self::Pending,
            TaskReplyWire::Lost => Self::Lost,
        }
    }
}

/// Reply of an agent to a start request or a status query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReplyMessage {
    /// State or outcome of the start.
    pub reply: TaskReplyWire,
    /// Slots of running and queued tasks of all entries at the agent.
    pub load: u32,
    /// Part of `load` that belongs to tasks of the entry that receives the reply.
    #[serde(rename = "own")]
    pub own_load: u32,
}

impl TaskReplyMessage {
    /// Creates the message from `reply` and the load of the agent.
    pub fn new(reply: TaskReply, load: LoadReport) -> Self {
        Self { reply: reply.into(), load: load.load, own_load: load.own_load }
    }

    /// Load of the agent when it sent the reply.
    pub fn load_report(&self) -> LoadReport {
        LoadReport { load: self.load, own_load: self.own_load }
    }
}
