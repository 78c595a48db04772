//! Actions of an entry.

use super::messages::{StartId, StartRequest};
use crate::audit_log::AuditLogRecord;
use crate::claim::ClaimStep;
use crate::config::ConfigSnapshot;
use crate::id::{Incarnation, PeerAddress, SubmissionId, TaskId, Version};
use crate::job::JobAnswer;
use crate::timeline::TimelineEvent;
use std::time::Duration;

/// Action that the daemon executes for an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Answer a caller.
    Answer {
        /// Identifies the caller that waits for the answer.
        waiter_id: u64,
        /// Submission that the answer belongs to; also sent to the caller.
        submission: SubmissionId,
        /// Complete answer or error.
        answer: JobAnswer,
        /// Configuration version in force at the entry.
        version: Version,
    },
    /// Send a start request to an agent.
    Start {
        /// Address of the agent.
        address: PeerAddress,
        /// Task with its permit.
        request: StartRequest,
        /// Time limit for the reply: what is left until the deadline of the job.
        timeout: Duration,
    },
    /// Query the status of a start over a new connection.
    QueryStatus {
        /// Address of the agent.
        address: PeerAddress,
        /// Start that the query is about.
        start: StartId,
        /// Lower bound of the send time of the start, on the clock of the agent.
        sent_at: Duration,
    },
    /// Tell an agent that a task is no longer needed, so that the agent drops it if it has not
    /// started, and may stop it otherwise.
    CancelTask {
        /// Address of the agent.
        address: PeerAddress,
        /// Task to cancel.
        task: TaskId,
        /// Incarnation of the agent that received the task.
        incarnation: Incarnation,
    },
    /// Append claim steps to the claim stream; answered by [`EntryEvent::ClaimsAppended`].
    ///
    /// [`EntryEvent::ClaimsAppended`]: super::EntryEvent::ClaimsAppended
    AppendClaims(Vec<ClaimStep>),
    /// Append a record to the audit log stream; answered by [`EntryEvent::RefusalsAppended`].
    ///
    /// [`EntryEvent::RefusalsAppended`]: super::EntryEvent::RefusalsAppended
    AppendRefusals(AuditLogRecord),
    /// Republish the configuration in the log as a snapshot.
    AppendSnapshot(ConfigSnapshot),
    /// Record an event in the timeline.
    RecordEvent(TimelineEvent),
}
