//! External interfaces of the daemons.
//!
//! Embedders and benchmarks implement these traits to replace the clock, the log, the backend
//! server or the clients for other daemons. Each implementation in this crate is a file of its own.

use bytes::Bytes;
use error_stack::Report;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::{ConnectPatience, DomainReading, RunResult};
use parsleyspool_core::entry::{ExchangeFailure, StartRequest};
use parsleyspool_core::id::{DomainName, Offset, PeerAddress, TaskId};
use parsleyspool_core::run::{
    PollAnswer, PollCall, RunLimits, StartAnswer, StartCall, StopAnswer, StopCall,
};
use parsleyspool_core::time::Moment;
use parsleyspool_wire::peer::{
    CancelMessage, DirectiveMessage, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
    StartMessage, StatusQueryMessage, TaskReplyMessage,
};
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use crate::error::DaemonError;
use crate::settings::EntrySeed;

/// Source of the current time.
pub trait ClockSource: Debug + Send + Sync {
    /// Current time.
    fn now(&self) -> Moment;
}

/// Result of one read from a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Oldest offset that the log still holds.
    pub earliest: Offset,
    /// Offset that the next append will receive.
    pub end: Offset,
    /// Records with their offsets, in ascending order.
    pub records: Vec<(Offset, Bytes)>,
}

/// Largest number of records that the daemons ask for in one read.
pub(crate) const MAX_RECORDS_PER_READ: usize = 1000;

/// The platform's append-only log.
pub trait LogStore: Debug + Send + Sync {
    /// Appends `record` to `stream` and returns its offset.
    ///
    /// After an error the record may or may not be in the log.
    fn append(
        &self,
        stream: &'static str,
        record: Bytes,
    ) -> BoxFuture<'_, Result<Offset, Report<DaemonError>>>;

    /// Reads at most `limit` records of `stream`, starting at the offset `from`; if there are none,
    /// waits up to `wait` for one.
    fn read(
        &self,
        stream: &'static str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, Report<DaemonError>>>;
}

/// Source of the state of failure domains that does not depend on an entry.
pub trait DomainSource: Debug + Send + Sync {
    /// Reads whether `domain` is in service, from the changes after `known`.
    ///
    /// The call returns within a bounded time.
    ///
    /// # Errors
    /// Fails if the log does not answer, or rejects the request.
    fn read_domain(
        &self,
        domain: DomainName,
        known: DomainReading,
    ) -> BoxFuture<'_, Result<DomainReading, Report<DaemonError>>>;
}

/// Source of the entries that the settings of an agent name, which may change while it runs.
pub trait SeedSource: Debug + Send + Sync {
    /// Reads the entries that the settings name now.
    ///
    /// # Errors
    /// Fails if the settings cannot be read or are invalid, as those of a file that is being written.
    fn read_seeds(&self) -> Result<Vec<EntrySeed>, Report<DaemonError>>;
}

/// The backend server of an agent.
pub trait BackendServer: Debug + Send + Sync {
    /// Runs one task and returns its result.
    fn run(&self, request: StartRequest) -> BoxFuture<'_, RunResult>;
}

/// Control of the platform's worker that a backend server runs on.
pub trait WorkerControl: Debug + Send + Sync {
    /// Asks the worker, on a best-effort basis, to stop a running task, which then ends as failed.
    fn stop(&self, task: TaskId) -> BoxFuture<'_, ()>;
}

/// The worker of a backend server, if it runs tasks under leases.
///
/// Every call returns within a bounded time. If the worker does not answer in that time, the result
/// says so, and the worker may still execute the command later.
pub trait RunExecutor: Debug + Send + Sync {
    /// Starts a run.
    fn start(&self, call: StartCall) -> BoxFuture<'_, StartAnswer>;

    /// Stops a run, or prevents it from starting later.
    fn stop(&self, call: StopCall) -> BoxFuture<'_, StopAnswer>;

    /// Renews the lease if the call asks for it, and returns the running and the ended runs.
    fn poll_runs(&self, call: PollCall) -> BoxFuture<'_, PollAnswer>;
}

/// How an agent runs its tasks.
#[derive(Debug, Clone)]
pub enum TaskRunner {
    /// The agent sends each task to the backend server, whose response is the result.
    Direct {
        /// Backend server that runs the tasks.
        backend: Arc<dyn BackendServer>,
        /// Worker of the backend server, which can stop a running task.
        worker: Arc<dyn WorkerControl>,
    },
    /// The worker runs tasks under leases that the agent renews.
    Leased {
        /// Worker that runs the tasks.
        executor: Arc<dyn RunExecutor>,
        /// Lease and polling limits of the runs.
        limits: RunLimits,
    },
}

/// Client for the agents, used by entries.
pub trait AgentClient: Debug + Send + Sync {
    /// Sends a start request and waits for its outcome, at most `timeout`.
    fn start(
        &self,
        address: PeerAddress,
        message: StartMessage,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<TaskReplyMessage, ExchangeFailure>>;

    /// Queries the status of a start, over a new connection.
    fn query_status(
        &self,
        address: PeerAddress,
        message: StatusQueryMessage,
    ) -> BoxFuture<'_, Result<TaskReplyMessage, ExchangeFailure>>;

    /// Cancels tasks, on a best-effort basis: the answer to the agent's next heartbeat makes good a
    /// cancellation that is lost.
    fn cancel(&self, address: PeerAddress, message: CancelMessage) -> BoxFuture<'_, ()>;
}

/// Client for the entries, used by agents and other entries.
pub trait EntryClient: Debug + Send + Sync {
    /// Sends a heartbeat, over a new connection if necessary; `None` if the entry does not answer.
    fn heartbeat(
        &self,
        address: PeerAddress,
        message: HeartbeatMessage,
        patience: ConnectPatience,
    ) -> BoxFuture<'_, Option<DirectiveMessage>>;

    /// Fetches the state of another entry; `None` if it does not answer.
    fn fetch_state(
        &self,
        address: PeerAddress,
        message: PeerStateQuery,
    ) -> BoxFuture<'_, Option<PeerStateMessage>>;
}
