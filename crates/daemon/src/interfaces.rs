//! Outer edges of the daemons.
//!
//! Whoever embeds the daemons, or attaches a bench to them, implements these traits; each adapter
//! of the product is one file.

use bytes::Bytes;
use error_stack::Report;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::RunResult;
use parsleyspool_core::entry::{BrokenReach, StartOrder};
use parsleyspool_core::id::{Offset, PeerAddress, TaskId};
use parsleyspool_core::run::{
    HoldAnswer, HoldCall, RunLimits, StartAnswer, StartCall, StopAnswer, StopCall,
};
use parsleyspool_core::time::Moment;
use parsleyspool_wire::peer::{
    AskMessage, CancelMessage, DirectiveMessage, HeartbeatMessage, PeerQuestion, PeerStateMessage,
    StartMessage, TaskReplyMessage,
};
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use crate::error::DaemonError;

/// Source of the present time.
pub trait ClockSource: Debug + Send + Sync {
    /// Present time.
    fn now(&self) -> Moment;
}

/// Part of a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Oldest offset still held.
    pub earliest: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// Records in the order of their offsets.
    pub records: Vec<(Offset, Bytes)>,
}

/// The platform's append-only log.
pub trait LogStore: Debug + Send + Sync {
    /// Appends `record` to `stream` and returns its offset.
    ///
    /// After an error the record may or may not stand in the log.
    fn append(
        &self,
        stream: &'static str,
        record: Bytes,
    ) -> BoxFuture<'_, Result<Offset, Report<DaemonError>>>;

    /// Reads at most `limit` records of `stream` from the offset `from` on; where there is none,
    /// waits up to `wait` for one.
    fn read(
        &self,
        stream: &'static str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, Report<DaemonError>>>;
}

/// The backend server beside an agent.
pub trait BackendServer: Debug + Send + Sync {
    /// Runs one task.
    fn run(&self, order: StartOrder) -> BoxFuture<'_, RunResult>;
}

/// The platform's worker that a backend server runs on.
pub trait WorkerControl: Debug + Send + Sync {
    /// Asks the worker to stop a running task; the run then ends as failed. Nothing is promised.
    fn stop(&self, task: TaskId) -> BoxFuture<'_, ()>;
}

/// The worker of a backend server, where it runs tasks under leases.
///
/// Every call returns within a bounded time; an answer that did not come is said to be missing, and
/// what was ordered may then still be carried out.
pub trait RunExecutor: Debug + Send + Sync {
    /// Starts a run.
    fn start(&self, call: StartCall) -> BoxFuture<'_, StartAnswer>;

    /// Stops a run, or forbids its start.
    fn stop(&self, call: StopCall) -> BoxFuture<'_, StopAnswer>;

    /// Renews the lease and looks at the runs.
    fn poll_runs(&self, call: HoldCall) -> BoxFuture<'_, HoldAnswer>;
}

/// How an agent gets its tasks run.
#[derive(Debug, Clone)]
pub enum TaskRunner {
    /// The backend server answers the request that is the task.
    Direct {
        /// Backend server.
        backend: Arc<dyn BackendServer>,
        /// Its worker.
        worker: Arc<dyn WorkerControl>,
    },
    /// The worker runs tasks under leases.
    Leased {
        /// Worker.
        executor: Arc<dyn RunExecutor>,
        /// Limits of the runs.
        limits: RunLimits,
    },
}

/// The agents, as an entry reaches them.
pub trait AgentClient: Debug + Send + Sync {
    /// Sends a start and waits for its outcome, at most `within`.
    fn start(
        &self,
        address: PeerAddress,
        message: StartMessage,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<TaskReplyMessage, BrokenReach>>;

    /// Asks over a new connection what became of a start.
    fn query_status(
        &self,
        address: PeerAddress,
        message: AskMessage,
    ) -> BoxFuture<'_, Result<TaskReplyMessage, BrokenReach>>;

    /// Cancels tasks that have not started; nothing is promised.
    fn cancel(&self, address: PeerAddress, message: CancelMessage) -> BoxFuture<'_, ()>;
}

/// The entries, as agents and other entries reach them.
pub trait EntryClient: Debug + Send + Sync {
    /// Sends a heartbeat; `None` where no answer came.
    fn heartbeat(
        &self,
        address: PeerAddress,
        message: HeartbeatMessage,
    ) -> BoxFuture<'_, Option<DirectiveMessage>>;

    /// Asks for the state of another entry; `None` where no answer came.
    fn fetch_state(
        &self,
        address: PeerAddress,
        message: PeerQuestion,
    ) -> BoxFuture<'_, Option<PeerStateMessage>>;
}
