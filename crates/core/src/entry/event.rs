//! Events that an entry processes.

use super::messages::{LoadReport, StartId, TaskReply};
use crate::claim::ClaimStep;
use crate::config::{ConfigRecord, ConfigSnapshot};
use crate::directory::ServerReport;
use crate::error::{ErrorKind, LimitDetails};
use crate::freshness::PeerReport;
use crate::id::{Offset, TeamName};
use crate::job::JobRequest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Input of [`EntryMachine::handle`].
///
/// [`EntryMachine::handle`]: super::EntryMachine::handle
#[derive(Debug)]
pub enum EntryEvent {
    /// A caller submits a job.
    Submit {
        /// Identifies the caller in [`EntryAction::Answer`] and [`EntryEvent::Cancel`].
        ///
        /// [`EntryAction::Answer`]: super::EntryAction::Answer
        waiter_id: u64,
        /// Job as sent by the caller.
        request: JobRequest,
    },
    /// A caller sent a request that could not be decoded into a job.
    Malformed {
        /// Identifies the caller in [`EntryAction::Answer`] and [`EntryEvent::Cancel`].
        ///
        /// [`EntryAction::Answer`]: super::EntryAction::Answer
        waiter_id: u64,
        /// Why the request is rejected.
        kind: ErrorKind,
        /// Limit that the request violated.
        details: LimitDetails,
    },
    /// A caller disconnected before its answer.
    Cancel {
        /// Caller, as given with the job.
        waiter_id: u64,
    },
    /// An agent sent a heartbeat.
    Heartbeat(ServerReport),
    /// An agent replied to a start request or a status query.
    Reply {
        /// Start that the exchange was about.
        start: StartId,
        /// State or outcome of the task.
        reply: TaskReply,
        /// Load at the agent, if the reply contained it.
        load: Option<LoadReport>,
    },
    /// A start request or status query failed without a reply.
    NoReply {
        /// Start that the exchange was about.
        start: StartId,
        /// How the exchange failed, and whether the agent may have received the message.
        failure: ExchangeFailure,
    },
    /// A read of the configuration stream returned.
    ConfigRead(StreamRead<ConfigRecord>),
    /// The complete configuration was fetched from the platform.
    ConfigFetched {
        /// Fetched configuration; `None` if it has not changed since the latest fetch.
        snapshot: Option<ConfigSnapshot>,
        /// When the fetch was started, on the clock of this entry.
        requested_at: Duration,
    },
    /// A read of the claim stream returned.
    ClaimsRead(StreamRead<Vec<ClaimStep>>),
    /// An append to the claim stream finished.
    ClaimsAppended {
        /// Whether the log confirmed the append; an unconfirmed one may still be in the log.
        is_confirmed: bool,
    },
    /// An append to the audit log stream finished.
    RefusalsAppended {
        /// Whether the log confirmed the append; an unconfirmed one may still be in the log.
        is_confirmed: bool,
    },
    /// Another entry reported its state.
    PeerReported {
        /// Configuration version that it holds, and when it was confirmed.
        report: PeerReport,
        /// Tasks of each team accepted there and not yet answered.
        team_load: BTreeMap<TeamName, u32>,
        /// When the report was requested, on the clock of this entry.
        requested_at: Duration,
    },
    /// Another entry sent its complete configuration.
    PeerSnapshot(ConfigSnapshot),
    /// Periodic timer.
    Tick,
    /// The process stood still for so long that callers may have left and submitted their jobs
    /// elsewhere. It comes before all that was received in the meantime.
    Resumed,
    /// A planned stop begins; no further job is accepted.
    Drain,
    /// The listeners are closed; the closing record of the audit log is appended once the last job
    /// is answered.
    CloseAuditLog,
}

/// How an exchange with an agent failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection could be opened, so nothing was sent.
    NothingSent,
    /// The exchange failed after sending may have begun; the agent may have received the message.
    MaybeSent,
    /// The agent's address refused a connection, although it had accepted an earlier one.
    PeerGone,
}

/// Result of one read of a stream.
#[derive(Debug)]
pub struct StreamRead<R> {
    /// Records with their offsets, in ascending order.
    pub records: Vec<(Offset, R)>,
    /// Oldest offset that the log still holds.
    pub earliest: Offset,
    /// Whether the read reached the end of the stream.
    pub is_end: bool,
    /// When the read was started, on the clock of this entry.
    pub requested_at: Duration,
}
