//! What reaches the ledger of runs, and what it decides to do.

use super::protocol::{
    PollAnswer, PollCall, PollNumber, RunKey, ServerIncarnation, StartAnswer, StartCall,
    StopAnswer, StopCall,
};
use crate::agent::RunResult;
use crate::entry::StartOrder;
use crate::id::TaskId;
use std::time::Duration;

/// Limits of the runs; all come from the settings of the agent.
#[derive(Debug, Clone)]
pub struct RunLimits {
    /// Length of the lease that every call gives to all runs.
    pub lease: Duration,
    /// Longest wait of one look, which also renews the lease.
    pub poll_wait: Duration,
    /// Looks under way at once while something runs, so that one may be lost.
    pub open_polls: usize,
    /// Time without any answer, while looks are under way, after which the server counts as silent.
    pub silence_timeout: Duration,
    /// Time without progress after which a run counts as hung; several looks.
    pub stall_timeout: Duration,
    /// How long the number of a task's latest run is kept; longer than any order is under way.
    pub number_retention: Duration,
}

impl Default for RunLimits {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            poll_wait: Duration::from_millis(200),
            open_polls: 1,
            silence_timeout: Duration::from_millis(450),
            stall_timeout: Duration::from_millis(500),
            number_retention: Duration::from_secs(30),
        }
    }
}

/// What reaches the ledger.
#[derive(Debug)]
pub enum RunEvent {
    /// The server announced itself.
    Announced {
        /// Its life.
        incarnation: ServerIncarnation,
        /// Clock of the worker, where it said so.
        clock: Option<Duration>,
    },
    /// The server left.
    Deregistered(ServerIncarnation),
    /// Start a task.
    Run(StartOrder),
    /// Stop a task.
    Stop(TaskId),
    /// A start was answered.
    StartReturned {
        /// Run.
        key: RunKey,
        /// Answer.
        answer: StartAnswer,
    },
    /// A stop was answered.
    StopReturned {
        /// Run.
        key: RunKey,
        /// Answer.
        answer: StopAnswer,
    },
    /// A look was answered.
    PollReturned {
        /// Number of the look.
        number: PollNumber,
        /// Answer.
        answer: PollAnswer,
    },
    /// Time passed.
    Tick,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAction {
    /// Send a start.
    Start(StartCall),
    /// Send a stop.
    Stop(StopCall),
    /// Send a look.
    Poll(PollCall),
    /// A task does not run any more.
    Finished {
        /// Task.
        task: TaskId,
        /// How it ended.
        result: RunResult,
    },
    /// Nothing runs in this life but what was started here.
    ServerReady(ServerIncarnation),
    /// The server answers nothing any more; what it has is not known to have ended.
    Unresponsive,
    /// It answers again.
    Responsive,
    /// The life is over, and all its runs with it.
    IncarnationEnded(ServerIncarnation),
}
