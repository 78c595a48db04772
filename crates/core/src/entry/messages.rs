//! Messages between an entry and an agent.

use crate::freshness::VersionConfirmation;
use crate::id::{Incarnation, JobName, RequestName, ServiceName, SubmissionId, TaskId, Version};
use crate::named_enum::named_enum;
use crate::resources::ResourceAmounts;
use bytes::Bytes;
use std::time::Duration;

/// Request to an agent to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Task to start; the agent carries out each start request at most once.
    pub task: TaskId,
    /// Number of this start among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that the start is addressed to; another incarnation refuses it.
    pub incarnation: Incarnation,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Name of the job, shared by all its resubmissions.
    pub job: JobName,
    /// Request kind of the task.
    pub request_name: RequestName,
    /// Resources that the task occupies while it runs.
    pub demand: ResourceAmounts,
    /// Whether a running task may be stopped once nobody waits for its answer.
    pub may_stop: bool,
    /// Queue penalty: delay added to the position of the task in the queue of the agent.
    pub queue_penalty: Duration,
    /// Request body for the backend server.
    pub payload: Bytes,
    /// Configuration version that allowed the start.
    pub version: Version,
    /// End of the permit, on the clock of the agent. The version is confirmed up to this time, and
    /// the agent refuses a start that arrives later.
    pub permit_until: Duration,
    /// Latest confirmation of the version by the log, on the clock of the agent; `None` if the entry
    /// does not state it.
    pub confirmation: Option<VersionConfirmation>,
    /// End of the run lease that the start grants to the tasks of its entry, on the clock of the
    /// agent; `None` if they run without a lease.
    pub run_lease_until: Option<Duration>,
    /// Latest time to start the task, on the clock of the agent; a later start is of no use.
    pub start_before: Duration,
}

/// Identifies one start of a task to its entry and its agent.
///
/// A reply about an earlier start of the same task does not apply to the current one, even if both
/// were sent to the same agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartId {
    /// Task that was started.
    pub task: TaskId,
    /// Number of this start among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that the start is addressed to; another incarnation refuses it.
    pub incarnation: Incarnation,
}

impl StartRequest {
    /// Identifier of this start, used in replies and status queries.
    pub fn start_id(&self) -> StartId {
        StartId { task: self.task, attempt: self.attempt, incarnation: self.incarnation }
    }
}

named_enum! {
    /// Why an agent did not start a task.
    #[derive(Hash)]
    pub enum NotStartedReason {
        /// The agent or its worker cannot take the task now, because its queue, its outcome store
        /// or the worker is full, or because the worker rejected the lease or the fencing token.
        Full = "full",
        /// The failure domain is out of service.
        DomainOut = "domain_out",
        /// The backend server or its agent is leaving, or the server is not available yet.
        Leaving = "leaving",
        /// The permit or the run lease expired before the task started.
        PermitLapsed = "permit_lapsed",
        /// The latest time to start the task had passed.
        TooLate = "too_late",
        /// The agent has not received the start and will refuse it from now on.
        NeverReceived = "never_received",
        /// The agent has a different incarnation than the start was addressed to. This does not
        /// prove that the task did not start, so the agent replies [`TaskReply::Lost`].
        OtherIncarnation = "other_incarnation",
        /// The backend server accepted no connection, does not respond or is unhealthy.
        NoConnection = "no_connection",
        /// The entry cancelled the task before it started.
        Cancelled = "cancelled",
    }
}

named_enum! {
    /// Why a run ended without a result.
    pub enum InterruptCause {
        /// The backend server ended while the task ran or may have run.
        ServerLost = "server_lost",
        /// The lease of the run expired: the backend server did not answer, or is leaving.
        LeaseExpired = "lease_expired",
        /// The run was stopped.
        Stopped = "stopped",
        /// Another incarnation has replaced the agent that had the task.
        AgentReplaced = "agent_replaced",
        /// The agent has been silent for so long that all its runs have ended.
        AgentSilent = "agent_silent",
    }
}

/// Load of a backend server, included in each reply of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Slots of running and queued tasks of all entries.
    pub load: u32,
    /// Part of `load` that belongs to tasks of the entry that receives the reply.
    pub own_load: u32,
}

/// State or outcome of one start, as reported by the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskReply {
    /// The task ran and was answered.
    Done {
        /// Response body of the backend server.
        answer: Bytes,
        /// Time from the start to the answer at the backend server.
        run_time: Duration,
    },
    /// The task ran or may have run, and failed at the backend server.
    Failed {
        /// Time from the start to the failure.
        run_time: Duration,
    },
    /// The task ran or may have run, and has ended without a result.
    Interrupted(InterruptCause),
    /// The task has not started, and this start will never run it.
    NotStarted(NotStartedReason),
    /// The task is queued or running, or may be running while the agent does not know its server.
    Pending,
    /// The outcome is unknown: the incarnation of the agent that received the start is gone or no
    /// longer has the outcome.
    Lost,
}

/// Reply of an entry to a heartbeat of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentDirective {
    /// Incarnation of the entry that replies.
    pub entry_incarnation: Incarnation,
    /// Configuration version in force at the entry.
    pub version: Version,
    /// Whether the failure domain of the server is in service.
    pub is_in_service: bool,
    /// Whether operators have ordered the server to leave.
    pub is_leaving: bool,
    /// How long the version is confirmed, counted from when the heartbeat was sent; zero if it is
    /// not confirmed.
    pub valid_for: Duration,
    /// Age of the latest confirmation of the version by the log, or by a majority of the entries;
    /// `None` if the entry does not state it.
    pub confirmed_age: Option<Duration>,
    /// Interval until the next heartbeat.
    pub heartbeat_interval: Duration,
    /// Interval between the heartbeats of an agent that has tasks of this entry. At most as long as
    /// `heartbeat_interval`, which grows with the number of servers.
    pub renewal_interval: Duration,
    /// How long tasks of this entry may run, counted from when the heartbeat was sent; `None` if
    /// they run without a lease.
    pub run_lease: Option<Duration>,
    /// Submissions of the heartbeat that the entry has answered or given up. Their tasks are of no
    /// use, and the cancellations that the entry sent for them may be lost.
    pub ended_submissions: Vec<SubmissionId>,
}
