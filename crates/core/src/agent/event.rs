//! What reaches an agent, and what it decides to do.

use crate::entry::{
    AgentDirective, LoadReport, NotStartedReason, SentStart, StartOrder, TaskReply,
};
use crate::id::{EntryName, TaskId};
use crate::resources::ResourceAmounts;
use crate::timeline::TimelineEvent;
use bytes::Bytes;
use std::time::Duration;

/// Limits of an agent; all come from its settings.
#[derive(Debug, Clone)]
pub struct AgentLimits {
    /// Room of the backend server; nothing until it announces itself, where it does.
    pub whole: ResourceAmounts,
    /// Whether a task runs only while its entry answers heartbeats.
    pub is_leased: bool,
    /// Slots of tasks that may wait here.
    pub queue: u32,
    /// How long the outcome of a task is kept for a question; longer than any permit.
    pub outcome_kept: Duration,
    /// Outcomes kept at most; no start is taken beyond.
    pub outcomes_kept: usize,
    /// Bytes of answers kept at most; the oldest are dropped first.
    pub answer_bytes: usize,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            whole: ResourceAmounts::from_slots(8),
            is_leased: false,
            queue: 32,
            outcome_kept: Duration::from_secs(10),
            outcomes_kept: 100_000,
            answer_bytes: 16 << 20,
        }
    }
}

/// How a run at the backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// It answered.
    Answered(Bytes),
    /// It failed the task, or the exchange broke after the task may have reached it.
    Failed,
    /// It took no connection, so the task did not start.
    NoConnection,
    /// It refused the task, which did not start.
    Refused(NotStartedReason),
    /// The run has ended without a result, if there was one.
    Interrupted,
}

/// What a backend server announces of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerOffer {
    /// Room for tasks.
    pub whole: ResourceAmounts,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// What reaches an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// An entry sends a start.
    Start {
        /// Name of the entry.
        entry: EntryName,
        /// The start.
        order: StartOrder,
    },
    /// An entry asks what became of a start.
    Ask {
        /// Name of the entry.
        entry: EntryName,
        /// Start.
        start: SentStart,
        /// Own clock, surely not later than the sending of the start.
        sent_at: Duration,
    },
    /// An entry no longer wants a task.
    Cancel {
        /// Task.
        task: TaskId,
    },
    /// A run ended.
    Finished {
        /// Task.
        task: TaskId,
        /// How it ended.
        result: RunResult,
    },
    /// An entry answered a heartbeat that was sent at `sent`.
    Directive {
        /// Instruction.
        directive: AgentDirective,
        /// When the heartbeat was sent, on the own clock.
        sent: Duration,
    },
    /// The backend server announces what it has.
    Offer(ServerOffer),
    /// The backend server answers nothing any more.
    ServerSilent,
    /// The backend server answers again.
    ServerHeard,
    /// The backend server is gone, or its state is not known yet.
    Withdrawn,
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Drain,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a task to the backend server.
    Run(StartOrder),
    /// Ask the worker to stop a running task that nobody waits for.
    Stop {
        /// Task.
        task: TaskId,
    },
    /// Reply to the sender of the present event, and to nobody else.
    Respond {
        /// What to say.
        reply: TaskReply,
        /// Load to send along.
        load: LoadReport,
    },
    /// Reply to everyone who waits for this task.
    Reply {
        /// Task.
        task: TaskId,
        /// What to say.
        reply: TaskReply,
        /// Load to send along.
        load: LoadReport,
    },
    /// Let whoever asked wait for the outcome.
    Wait {
        /// Task.
        task: TaskId,
    },
    /// Keep an event for the time line.
    Note(TimelineEvent),
}
