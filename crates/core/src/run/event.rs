//! What reaches the ledger of runs, and what it decides to do.

use super::call::{
    HoldAnswer, HoldCall, HoldNumber, RunKey, ServerLife, StartAnswer, StartCall, StopAnswer,
    StopCall,
};
use crate::agent::RunResult;
use crate::entry::StartRequest;
use crate::id::TaskId;
use std::time::Duration;

/// Limits of the runs; all come from the settings of the agent.
#[derive(Debug, Clone)]
pub struct RunLimits {
    /// Length of the lease that every call gives to all runs.
    pub lease: Duration,
    /// Longest wait of one look, which also renews the lease.
    pub renewal: Duration,
    /// Looks under way at once while something runs, so that one may be lost.
    pub looks: usize,
    /// Time without any answer, while looks are under way, after which the server counts as silent.
    pub silence: Duration,
    /// Time without progress after which a run counts as hung; several looks.
    pub stall: Duration,
    /// How long the number of a task's latest run is kept; longer than any order is under way.
    pub numbers_kept: Duration,
}

impl Default for RunLimits {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            renewal: Duration::from_millis(200),
            looks: 1,
            silence: Duration::from_millis(450),
            stall: Duration::from_millis(500),
            numbers_kept: Duration::from_secs(30),
        }
    }
}

/// What reaches the ledger.
#[derive(Debug)]
pub enum RunEvent {
    /// The server announced itself.
    Announced {
        /// Its life.
        life: ServerLife,
        /// Clock of the worker, where it said so.
        clock: Option<Duration>,
    },
    /// The server left.
    Left(ServerLife),
    /// Start a task.
    Run(StartRequest),
    /// Stop a task.
    Stop(TaskId),
    /// A start was answered.
    Started {
        /// Run.
        key: RunKey,
        /// Answer.
        answer: StartAnswer,
    },
    /// A stop was answered.
    Stopped {
        /// Run.
        key: RunKey,
        /// Answer.
        answer: StopAnswer,
    },
    /// A look was answered.
    Held {
        /// Number of the look.
        number: HoldNumber,
        /// Answer.
        answer: HoldAnswer,
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
    Hold(HoldCall),
    /// A task does not run any more.
    Finished {
        /// Task.
        task: TaskId,
        /// How it ended.
        result: RunResult,
    },
    /// Nothing runs in this life but what was started here.
    Settled(ServerLife),
    /// The server answers nothing any more; what it has is not known to have ended.
    Silent,
    /// It answers again.
    Heard,
    /// The life is over, and all its runs with it.
    LifeOver(ServerLife),
}
