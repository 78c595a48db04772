//! Messages about runs between an agent and its worker.

use crate::id::{ServerName, TaskName};
use bytes::Bytes;
use std::time::Duration;

/// Number of a run among the runs of its task at one worker, starting at 1.
pub type RunNumber = u64;
/// Fencing token; the worker rejects a request whose token is lower than one it has seen.
pub type FenceToken = u64;
/// Sequence number of a poll.
pub type PollNumber = u64;
/// Number that the worker gives to the end of a run, increasing within an incarnation.
pub type EndNumber = u64;

/// Identifies one run of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// Task, by its name at the worker.
    pub task_name: TaskName,
    /// Number of the run among the runs of the task.
    pub number: RunNumber,
}

/// One incarnation of a backend server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// Id that the server gave itself.
    pub server: ServerName,
    /// Start time on the server's wall clock, since the Unix epoch.
    pub started_at: Duration,
}

/// Request to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// Incarnation that the request is meant for.
    pub incarnation: ServerIncarnation,
    /// Run to start.
    pub key: RunKey,
    /// Body passed to the task.
    pub payload: Bytes,
    /// End of the lease of all runs, on the worker's clock.
    pub lease_until: Duration,
    /// Fencing token of the agent.
    pub fence: FenceToken,
}

/// Request to stop a run, or never to start it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCall {
    /// Incarnation that the request is meant for.
    pub incarnation: ServerIncarnation,
    /// Run to stop.
    pub key: RunKey,
    /// Fencing token of the agent.
    pub fence: FenceToken,
}

/// Long poll that renews the lease and asks for the running and the ended runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCall {
    /// Number of this poll.
    pub number: PollNumber,
    /// Incarnation that the poll is meant for.
    pub incarnation: ServerIncarnation,
    /// Fencing token; `None` while the agent has not chosen one for this incarnation.
    pub fence: Option<FenceToken>,
    /// End of the lease of all runs, on the worker's clock; `None` if it is not renewed.
    pub lease_until: Option<Duration>,
    /// Highest end number that the agent has recorded, which acknowledges all ends up to it.
    pub last_seen: EndNumber,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// Why a worker did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// A run of the task with this or a higher number was stopped or has ended at the worker.
    NotNewer,
    /// The lease had expired when the request arrived.
    LeaseExpired,
    /// The worker has no free capacity.
    NoCapacity,
    /// The server is unhealthy and did nothing.
    Unhealthy,
    /// The worker could not parse the request.
    Malformed,
}

/// Result of a [`StartCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has the run.
    Started,
    /// The worker did not start the run.
    Refused(StartRefusal),
    /// The server that answered is another incarnation.
    OtherIncarnation,
    /// The server accepted no connection, so the worker has not received the request.
    ConnectionRefused,
    /// No answer arrived; the worker may still start the run at any time.
    Unanswered,
}

impl StartAnswer {
    /// Whether the server did not answer.
    pub fn is_missing(self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::Unanswered)
    }
}

/// Result of a [`StopCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run ends within the worker's stop timeout, or will never start.
    Confirmed,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The server that answered is another incarnation.
    OtherIncarnation,
    /// No answer arrived; the run may still be running.
    Unanswered,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It completed with its result.
    Done,
    /// The task failed.
    Failed,
    /// It was ended from outside: it was stopped, or its lease expired.
    Interrupted,
}

/// Run that is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// Run in progress.
    pub key: RunKey,
    /// Progress, in percent of its work.
    pub percent: u8,
}

/// Run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// Number that the worker gave to this end.
    pub number: EndNumber,
    /// Run that ended.
    pub key: RunKey,
    /// How it ended.
    pub end: RunEnd,
}

/// Running and ended runs, as the worker lists them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunListing {
    /// Reading of the worker's clock.
    pub clock: Duration,
    /// Start time of the incarnation that answered; `None` if the server does not report it.
    pub started_at: Option<Duration>,
    /// Runs in progress.
    pub running: Vec<RunningRow>,
    /// Ended runs that are not acknowledged yet, ordered by end number.
    pub ended: Vec<EndedRow>,
    /// Whether more ended runs may follow once these are acknowledged.
    pub is_truncated: bool,
    /// Tasks named by rows, of running or ended runs, that could not be read otherwise.
    pub unreadable: Vec<TaskName>,
}

/// Result of a [`PollCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollAnswer {
    /// The worker listed its runs.
    Listing(RunListing),
    /// The worker has seen a higher fencing token.
    Fenced {
        /// Reading of the worker's clock.
        clock: Duration,
    },
    /// The server that answered is another incarnation.
    OtherIncarnation,
    /// No answer arrived.
    Unanswered,
}
