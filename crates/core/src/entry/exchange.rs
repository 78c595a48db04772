//! What an entry and an agent say to each other.

use crate::id::{Incarnation, JobName, RequestName, ServiceName, TaskId, Version};
use crate::resources::ResourceAmounts;
use bytes::Bytes;
use std::time::Duration;

/// Start as sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Task; the agent starts it at most once.
    pub task: TaskId,
    /// Number of this start among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that is meant.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Job, by the name that its resubmissions share.
    pub job: JobName,
    /// Kind of request.
    pub request: RequestName,
    /// Room that it takes.
    pub room: ResourceAmounts,
    /// Whether the task may be stopped halfway once nobody waits for it.
    pub may_stop: bool,
    /// Time that it may still wait, by which it is put back in the agent's queue.
    pub surcharge: Duration,
    /// Body for the backend server.
    pub payload: Bytes,
    /// Configuration version that allowed the start.
    pub version: Version,
    /// Clock of the agent up to which that version is vouched for; a start that arrives later is
    /// refused.
    pub permit_until: Duration,
    /// Clock of the agent after which the start is useless.
    pub start_before: Duration,
}

/// One start of a task, as its entry and its agent both name it.
///
/// An answer about an earlier start of the same task says nothing of the present one, even where
/// both went to the same agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SentStart {
    /// Task.
    pub task: TaskId,
    /// Number among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that is meant.
    pub incarnation: Incarnation,
}

impl StartOrder {
    /// Which start this is.
    pub fn sent_start(&self) -> SentStart {
        SentStart { task: self.task, attempt: self.attempt, incarnation: self.incarnation }
    }
}

/// Why an agent did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotStartedReason {
    /// The queue of the agent is full.
    Full,
    /// The failure domain is out of service.
    DomainOut,
    /// The backend server or its agent is leaving.
    Leaving,
    /// The permit ran out.
    PermitLapsed,
    /// The start came too late to be of use.
    TooLate,
    /// The agent never received the start, and now never will start it.
    NeverReceived,
    /// The agent is another incarnation than the one meant; no proof that the task did not start.
    OtherIncarnation,
    /// The backend server took no connection.
    NoConnection,
    /// The entry cancelled it in time.
    Cancelled,
}

/// Load of a backend server, sent along with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Slots running and queued, from all entries.
    pub load: u32,
    /// Of these, slots of the entry that is told.
    pub own: u32,
}

/// What an agent says of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskReply {
    /// It ran; this is the answer.
    Done {
        /// Body from the backend server.
        answer: Bytes,
        /// Time between start and answer at the backend server.
        run_time: Duration,
    },
    /// It ran, or may have, and the backend server failed it.
    Failed {
        /// Time between start and failure.
        run_time: Duration,
    },
    /// It ran or may have, and does not run any more; there is no result.
    Interrupted,
    /// It did not start and never will under this start.
    NotStarted(NotStartedReason),
    /// It is queued or runs.
    Pending,
    /// The agent that had it is gone.
    Lost,
}

/// Instruction to an agent, given with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentDirective {
    /// Incarnation of the entry that gives it.
    pub entry: Incarnation,
    /// Configuration version.
    pub version: Version,
    /// Whether the failure domain takes work.
    pub is_in_service: bool,
    /// Whether operators told the server to leave.
    pub is_leaving: bool,
    /// How long the version is vouched for, from the sending of the heartbeat.
    pub valid_for: Duration,
    /// Time until the next heartbeat.
    pub next_in: Duration,
    /// How long the entry's tasks may run on, from the sending of the heartbeat; `None` where they
    /// run on without it.
    pub run_lease: Option<Duration>,
}

impl NotStartedReason {
    /// Every reason with its name.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::Full, "full"),
        (Self::DomainOut, "domain_out"),
        (Self::Leaving, "leaving"),
        (Self::PermitLapsed, "permit_lapsed"),
        (Self::TooLate, "too_late"),
        (Self::NeverReceived, "never_received"),
        (Self::OtherIncarnation, "other_incarnation"),
        (Self::NoConnection, "no_connection"),
        (Self::Cancelled, "cancelled"),
    ];

    /// Reason in words.
    pub fn name(self) -> &'static str {
        Self::ALL.into_iter().find(|(reason, _)| *reason == self).map_or("", |(_, name)| name)
    }

    /// Reason from its words.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|(_, other)| *other == name).map(|(reason, _)| reason)
    }
}
