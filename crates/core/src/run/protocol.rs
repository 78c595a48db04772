//! What an agent and the worker beside it say to each other about runs.

use crate::id::{JobName, ServerName, TaskIndex};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Task as the worker knows it; the submissions of one job share it.
pub type TaskName = Arc<str>;
/// Number of a run among the runs of its task at one worker, from 1.
pub type RunNumber = u64;
/// Number that outranks every order given under a lower one.
pub type FenceToken = u64;
/// Number of one look at the runs.
pub type PollNumber = u64;
/// Number that a worker gives to the end of a run, rising within its life.
pub type EndNumber = u64;

/// Name under which the worker knows the task at `index` of `job`.
pub fn worker_task_name(job: &JobName, index: TaskIndex) -> TaskName {
    format!("{job}.{index}").into()
}

/// One run of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// Task.
    pub task_name: TaskName,
    /// Number of the run.
    pub number: RunNumber,
}

/// One life of a backend server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// Id that the server gave itself.
    pub server: ServerName,
    /// When it started, by its own wall clock since the Unix epoch.
    pub started_at: Duration,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// Life that is meant.
    pub incarnation: ServerIncarnation,
    /// Run.
    pub key: RunKey,
    /// Body for the task.
    pub payload: Bytes,
    /// End of the lease of all runs, on the worker's clock.
    pub lease_until: Duration,
    /// Fence.
    pub fence: FenceToken,
}

/// Order to stop a run, or never to start it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCall {
    /// Life that is meant.
    pub incarnation: ServerIncarnation,
    /// Run.
    pub key: RunKey,
    /// Fence.
    pub fence: FenceToken,
}

/// Renewal of the lease and question for what runs and what has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCall {
    /// Number of the call.
    pub number: PollNumber,
    /// Life that is meant.
    pub incarnation: ServerIncarnation,
    /// Fence; none in the first call to a life.
    pub fence: Option<FenceToken>,
    /// End of the lease of all runs, on the worker's clock; none where it is not renewed.
    pub lease_until: Option<Duration>,
    /// Highest end that was taken note of.
    pub last_seen: EndNumber,
    /// How long the worker may wait for an end.
    pub wait: Duration,
}

/// Why a worker did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// A higher fence was seen.
    Fenced,
    /// A run of this or a higher number was stopped or has ended there.
    NotNewer,
    /// The lease was over when the order arrived.
    LeaseExpired,
    /// There is no room.
    NoCapacity,
    /// The server is unhealthy and has done nothing.
    Unhealthy,
    /// The order could not be read.
    Malformed,
}

/// Answer to [`StartCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// It was not started.
    Refused(StartRefusal),
    /// The server is in another life.
    OtherLife,
    /// No answer came; the run may start at any time.
    Unanswered,
}

/// Answer to [`StopCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run ends within the worker's stopping time, or will never start.
    Confirmed,
    /// A higher fence was seen.
    Fenced,
    /// The server is in another life.
    OtherLife,
    /// No answer came.
    Unanswered,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It reached its result.
    Done,
    /// It failed.
    Failed,
    /// It was ended from outside: stopped, its lease over.
    Interrupted,
}

/// Run that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// Run.
    pub key: RunKey,
    /// Share of its work that is done, in percent.
    pub percent: u8,
}

/// Run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// Number of the end.
    pub number: EndNumber,
    /// Run.
    pub key: RunKey,
    /// How it ended.
    pub end: RunEnd,
}

/// What runs and what has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunListing {
    /// Clock of the worker.
    pub clock: Duration,
    /// When the life that answered started, where it says so.
    pub started_at: Option<Duration>,
    /// Runs under way.
    pub running: Vec<RunningRow>,
    /// Ends not taken note of yet, by number.
    pub ended: Vec<EndedRow>,
}

/// Answer to [`HoldCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollAnswer {
    /// The lists.
    Listing(RunListing),
    /// A higher fence was seen.
    Fenced {
        /// Clock of the worker.
        clock: Duration,
    },
    /// The server is in another life.
    OtherLife,
    /// No answer came.
    Unanswered,
}
