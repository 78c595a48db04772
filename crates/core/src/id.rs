//! Identifiers.
//!
//! Names come from operators and settings and are shared as reference-counted strings. Numbers are
//! allocated by the process that owns them and are unique across restarts, because each contains
//! the incarnation of that process.

use std::sync::Arc;

/// Name of a team, unique in the configuration.
pub type TeamName = Arc<str>;
/// Name of a service, unique in the configuration.
pub type ServiceName = Arc<str>;
/// Name of a request kind within its service.
pub type RequestName = Arc<str>;
/// Name of a failure domain.
pub type DomainName = Arc<str>;
/// Name of a worker.
pub type WorkerName = Arc<str>;
/// Name of a backend server instance; it survives a replacement of the instance.
pub type ServerName = Arc<str>;
/// Name of an entry instance; it survives a replacement of the instance.
pub type EntryName = Arc<str>;
/// Socket address of a process, as `ip:port`.
pub type PeerAddress = Arc<str>;
/// Name that the caller gave to its job; resubmissions of one job share it.
pub type JobName = Arc<str>;
/// Random number drawn at each start of a process.
pub type Incarnation = u64;
/// Number of configuration records folded; 0 is the empty configuration.
pub type Version = u64;
/// Position of a record in a stream of the log.
pub type Offset = u64;
/// One submission of a job: incarnation of the entry in the high half, counter in the low half.
pub type SubmissionId = u128;
/// One configuration change, drawn at random by the operator's command.
pub type ChangeId = u128;
/// Position of a task in its job, from 0.
pub type TaskIndex = u32;

/// One task of one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Submission that the task belongs to.
    pub submission: SubmissionId,
    /// Position in the job.
    pub index: TaskIndex,
}

impl TaskId {
    /// Task `index` of `submission`.
    pub fn new(submission: SubmissionId, index: TaskIndex) -> Self {
        Self { submission, index }
    }
}

/// Submission number `sequence` of the process with `incarnation`.
pub fn submission_id(incarnation: Incarnation, sequence: u64) -> SubmissionId {
    (u128::from(incarnation) << 64) | u128::from(sequence)
}

/// Incarnation of the process that numbered `submission`.
pub fn incarnation_of(submission: SubmissionId) -> Incarnation {
    (submission >> 64) as Incarnation
}

/// Text form of a submission or change id: 32 hexadecimal digits.
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}

/// Id from its text form; `None` where the text is not 1 to 32 hexadecimal digits.
pub fn parse_id(text: &str) -> Option<u128> {
    if text.is_empty() || text.len() > 32 || text.starts_with('+') {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
