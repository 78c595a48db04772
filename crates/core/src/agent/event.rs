//! Events, actions and limits of an agent.

use super::confirmation::{ConfirmationLimits, DomainReading};
use crate::entry::{
    AgentDirective, InterruptCause, LoadReport, NotStartedReason, StartId, StartRequest, TaskReply,
};
use crate::id::{EntryName, TaskId};
use crate::resources::ResourceAmounts;
use crate::timeline::TimelineEvent;
use bytes::Bytes;
use std::time::Duration;

/// Limits of an agent, from its settings.
#[derive(Debug, Clone)]
pub struct AgentLimits {
    /// Capacity of the backend server; zero until the first announcement of a server that announces
    /// itself.
    pub capacity: ResourceAmounts,
    /// Whether tasks run only under a lease, which their entry renews with each answer to a
    /// heartbeat.
    pub is_leased: bool,
    /// Limits on starts without a recent confirmation of the configuration.
    pub confirmation: ConfirmationLimits,
    /// Time after the end of its run lease, or after it was asked to stop, by which a run must be over
    /// even if every stop is lost and the agent dies.
    pub stop_grace: Duration,
    /// Slots of tasks that may be queued here.
    pub queue_slots: u32,
    /// How long the outcome of a task is stored for queries; a start whose permit lasts longer is
    /// refused.
    pub outcome_retention: Duration,
    /// Maximum number of stored outcomes; starts are refused once it is reached.
    pub max_outcomes: usize,
    /// Maximum size of all stored answers in bytes; beyond it, the oldest answers are dropped.
    pub max_answer_bytes: usize,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            capacity: ResourceAmounts::from_slots(8),
            is_leased: false,
            confirmation: ConfirmationLimits::default(),
            stop_grace: Duration::from_millis(300),
            queue_slots: 32,
            outcome_retention: Duration::from_secs(10),
            max_outcomes: 100_000,
            max_answer_bytes: 16 << 20,
        }
    }
}

/// How a run at the backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// The server answered the task with these bytes.
    Answered(Bytes),
    /// The server failed the task, or the connection broke after the task may have reached it.
    Failed,
    /// The server accepted no connection, so the task did not start.
    NoConnection,
    /// The server refused the task, which did not start.
    Refused(NotStartedReason),
    /// The run, if it ever started, has ended without a result.
    Interrupted(InterruptCause),
}

/// Capacity and state that a backend server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerAvailability {
    /// Capacity for tasks that run at the same time.
    pub capacity: ResourceAmounts,
    /// Whether the server is leaving and takes no new tasks.
    pub is_leaving: bool,
}

/// Input of an [`AgentMachine`](super::AgentMachine).
#[derive(Debug)]
pub enum AgentEvent {
    /// An entry sent a start request.
    Start {
        /// Entry that sent the request.
        entry: EntryName,
        /// Task with its permit.
        request: StartRequest,
    },
    /// An entry queries the outcome of a start.
    Query {
        /// Entry that sent the query.
        entry: EntryName,
        /// Start that the query is about.
        start: StartId,
        /// Lower bound of the send time of the start, on the clock of the agent.
        sent_at: Duration,
    },
    /// An entry no longer needs a task.
    Cancel {
        /// Task to cancel.
        task: TaskId,
    },
    /// A run ended.
    Finished {
        /// Task that ran.
        task: TaskId,
        /// How the run ended.
        result: RunResult,
    },
    /// An entry answered a heartbeat.
    Directive {
        /// Directive in the answer.
        directive: AgentDirective,
        /// When the heartbeat was sent, on the clock of the agent.
        sent_at: Duration,
    },
    /// A check of the failure domain ended.
    DomainChecked {
        /// What was read; `None` if the log did not answer.
        reading: Option<DomainReading>,
        /// When the check was sent, on the clock of the agent.
        sent_at: Duration,
    },
    /// The backend server announced its capacity, and can be advertised.
    ServerAvailable(ServerAvailability),
    /// The backend server stopped answering.
    ServerUnresponsive,
    /// The backend server answers again.
    ServerResponsive,
    /// The incarnation of the backend server ended or deregistered, and no later one is ready yet.
    ServerLost,
    /// Periodic timer.
    Tick,
    /// A planned stop begins; no further task is started.
    Drain,
}

/// Action that the daemon carries out for an [`AgentMachine`](super::AgentMachine).
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a task to the backend server.
    Run(StartRequest),
    /// Ask the worker to stop a running task that nobody waits for.
    Stop {
        /// Task to stop.
        task: TaskId,
    },
    /// Read from the log whether the failure domain is in service, after what is known so far.
    CheckDomain(DomainReading),
    /// Reply to the sender of the current event, and to nobody else.
    ReplyToSender {
        /// Reply to send.
        reply: TaskReply,
        /// Load report to attach.
        load: LoadReport,
    },
    /// Reply to everyone who waits for the outcome of a task.
    ReplyToWaiters {
        /// Task with the outcome.
        task: TaskId,
        /// Reply to send.
        reply: TaskReply,
        /// Load report to attach.
        load: LoadReport,
    },
    /// Let the sender of the current event wait for the outcome of a task.
    AddWaiter {
        /// Task to wait for.
        task: TaskId,
    },
    /// Record an event in the timeline.
    RecordEvent(TimelineEvent),
}
