//! What an entry decides to do.

use super::exchange::{SentStart, StartOrder};
use crate::audit_log::AuditLogRecord;
use crate::claim::ClaimStep;
use crate::config::ConfigSnapshot;
use crate::id::{Incarnation, PeerAddress, SubmissionId, TaskId, Version};
use crate::job::JobAnswer;
use crate::timeline::TimelineEvent;
use std::time::Duration;

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Answer a caller.
    Answer {
        /// Where the answer goes.
        ticket: u64,
        /// Submission, for the caller's records.
        submission: SubmissionId,
        /// The answer.
        answer: JobAnswer,
        /// Configuration version in force.
        version: Version,
    },
    /// Send a start.
    Start {
        /// Address of the agent.
        address: PeerAddress,
        /// The start.
        order: StartOrder,
    },
    /// Ask over a new connection what became of a task.
    Ask {
        /// Address of the agent.
        address: PeerAddress,
        /// Start.
        start: SentStart,
        /// Clock of the agent that is surely not later than the sending of the start.
        sent_at: Duration,
    },
    /// Tell an agent to drop a task if it has not started.
    CancelTask {
        /// Address of the agent.
        address: PeerAddress,
        /// Task.
        task: TaskId,
        /// Incarnation that has it.
        incarnation: Incarnation,
    },
    /// Append to the claim stream.
    AppendClaims(Vec<ClaimStep>),
    /// Append to the account stream.
    AppendAccounts(AuditLogRecord),
    /// Republish the configuration.
    AppendSnapshot(ConfigSnapshot),
    /// Keep an event for the time line.
    Note(TimelineEvent),
}
