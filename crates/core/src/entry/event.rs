//! What reaches an entry.

use super::exchange::{LoadReport, SentStart, TaskReply};
use crate::claim::ClaimStep;
use crate::config::{ConfigRecord, ConfigSnapshot};
use crate::directory::ServerReport;
use crate::error::{ErrorKind, LimitDetails};
use crate::freshness::PeerReport;
use crate::id::{Offset, TeamName};
use crate::job::JobRequest;
use std::collections::BTreeMap;
use std::time::Duration;

/// What reaches an entry.
#[derive(Debug)]
pub enum EntryEvent {
    /// A caller submits a job.
    Submit {
        /// Where the answer goes.
        ticket: u64,
        /// The job.
        request: JobRequest,
    },
    /// A caller sent something that is no job.
    Malformed {
        /// Where the answer goes.
        ticket: u64,
        /// Why it is none.
        kind: ErrorKind,
        /// Limit that it broke.
        figures: LimitDetails,
    },
    /// A caller no longer waits.
    Cancel {
        /// Where the answer would have gone.
        ticket: u64,
    },
    /// An agent sent a heartbeat.
    Report(ServerReport),
    /// An agent replied to a start or a question.
    Reply {
        /// Start that the exchange is about.
        start: SentStart,
        /// What the agent says.
        reply: TaskReply,
        /// Load at the agent, where it said.
        load: Option<LoadReport>,
    },
    /// The exchange about a task broke.
    Broken {
        /// Start that the exchange is about.
        start: SentStart,
        /// Whether anything may have reached the agent.
        reach: BrokenReach,
    },
    /// A read of the configuration stream returned.
    ConfigRead(StreamRead<ConfigRecord>),
    /// The platform's configuration was read whole.
    ConfigSeen {
        /// Configuration, unless it is the one held.
        snapshot: Option<ConfigSnapshot>,
        /// When the read was sent.
        sent: Duration,
    },
    /// A read of the claim stream returned.
    ClaimRead(StreamRead<Vec<ClaimStep>>),
    /// An append of claims ended.
    ClaimsAppended {
        /// Whether the log confirmed it.
        is_confirmed: bool,
    },
    /// An append of accounts ended.
    AccountsAppended {
        /// Whether the log confirmed it.
        is_confirmed: bool,
    },
    /// Another entry reported.
    Peer {
        /// Its configuration.
        report: PeerReport,
        /// Tasks that each team has open there.
        team_load: BTreeMap<TeamName, u32>,
        /// When it was asked.
        asked: Duration,
    },
    /// Another entry sent its configuration.
    PeerSnapshot(ConfigSnapshot),
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Drain,
    /// No caller can come any more, so that the accounts can be closed.
    CloseAccounts,
}

/// How far an exchange came before it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenReach {
    /// No byte was sent: there was no connection.
    NothingSent,
    /// The message may have arrived.
    MaybeSent,
    /// The agent's address refused a connection, after an earlier one had been accepted.
    PeerGone,
}

/// Result of one read of a stream.
#[derive(Debug)]
pub struct StreamRead<R> {
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, R)>,
    /// Oldest offset that the log still holds.
    pub earliest: Offset,
    /// Whether the read reached the end of the stream.
    pub is_end: bool,
    /// When the read was sent, on the own clock.
    pub sent: Duration,
}
