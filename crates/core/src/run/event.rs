//! Events, actions and limits of the run ledger.

use super::ending::{EndRecord, IncarnationEnd};
use super::protocol::{
    FenceToken, PollAnswer, PollCall, PollNumber, RunKey, ServerIncarnation, StartAnswer,
    StartCall, StopAnswer, StopCall,
};
use crate::agent::RunResult;
use crate::entry::StartRequest;
use crate::id::TaskId;
use std::time::Duration;

/// Limits of the runs at one worker, from the agent's settings or the defaults.
#[derive(Debug, Clone)]
pub struct RunLimits {
    /// Lease that each start request, and each poll of a ready server, grants to all runs.
    pub lease: Duration,
    /// Longest time from a call until the worker has ended all runs if no call follows: its longest
    /// lease, and the time that it takes to end a run, on its own clock.
    pub longest_hold: Duration,
    /// Longest time that the worker holds one poll open; each poll of a ready server renews the
    /// lease.
    pub poll_wait: Duration,
    /// Polls kept open while runs are tracked; with more than one, one of them may be lost.
    pub open_polls: usize,
    /// Time without any answer, while polls are open, after which the server is unresponsive.
    pub silence_timeout: Duration,
    /// Time without progress after which a run counts as hung; must span several polls.
    pub stall_timeout: Duration,
    /// How long the latest run number of a task is retained; must exceed the longest time that a
    /// request is in transit.
    pub number_retention: Duration,
}

impl Default for RunLimits {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            longest_hold: Duration::from_millis(1_050),
            poll_wait: Duration::from_millis(200),
            open_polls: 1,
            silence_timeout: Duration::from_millis(450),
            stall_timeout: Duration::from_millis(500),
            number_retention: Duration::from_secs(30),
        }
    }
}

/// Input of a [`RunLedger`](super::RunLedger).
#[derive(Debug)]
pub enum RunEvent {
    /// The server announced itself.
    Announced {
        /// Incarnation of the server that made the announcement.
        incarnation: ServerIncarnation,
        /// Reading of the worker's clock; `None` if the announcement has none.
        clock: Option<Duration>,
    },
    /// The server deregistered.
    Deregistered(ServerIncarnation),
    /// The agent starts a task.
    Run(StartRequest),
    /// The agent stops a task.
    Stop(TaskId),
    /// A start request was answered or timed out.
    StartReturned {
        /// Run that the request was for.
        key: RunKey,
        /// Fencing token that the request carried.
        fence: FenceToken,
        /// Answer of the worker, if any.
        answer: StartAnswer,
    },
    /// A stop request was answered or timed out.
    StopReturned {
        /// Run that the request was for.
        key: RunKey,
        /// Fencing token that the request carried.
        fence: FenceToken,
        /// Answer of the worker, if any.
        answer: StopAnswer,
    },
    /// A poll was answered or timed out.
    PollReturned {
        /// Number of the poll.
        number: PollNumber,
        /// Answer of the worker, if any.
        answer: PollAnswer,
    },
    /// Periodic timer.
    Tick,
}

/// Action that the daemon carries out for a [`RunLedger`](super::RunLedger).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAction {
    /// Send a start request to the worker.
    Start(StartCall),
    /// Send a stop request to the worker.
    Stop(StopCall),
    /// Send a poll to the worker.
    Poll(PollCall),
    /// A task is no longer running.
    Finished {
        /// Task whose run ended or never started.
        task: TaskId,
        /// How the run ended.
        result: RunResult,
        /// What that is concluded from.
        record: EndRecord,
    },
    /// Only runs started by this agent are running in this incarnation.
    ServerReady(ServerIncarnation),
    /// A run must be over, so the lease is no longer renewed.
    RenewalWithheld,
    /// The server stopped answering; its runs are not known to have ended.
    Unresponsive,
    /// The server answers again.
    Responsive,
    /// The incarnation has ended or deregistered. Each of its runs is reported separately by
    /// `Finished`, possibly later.
    IncarnationEnded {
        /// Incarnation that has ended.
        incarnation: ServerIncarnation,
        /// How the agent learned of the end.
        reason: IncarnationEnd,
    },
}
