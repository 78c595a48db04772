//! Names and numeric identifiers of jobs, processes and records.
//!
//! Names come from operators and settings and are shared as reference-counted strings. The entry
//! that receives a submission allocates its identifier, which contains the incarnation of the entry
//! and is therefore unique across restarts.

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
/// Name of a backend server, kept when the instance is replaced.
pub type ServerName = Arc<str>;
/// Name of an entry, kept when the instance is replaced.
pub type EntryName = Arc<str>;
/// Socket address of a process, as `ip:port`.
pub type PeerAddress = Arc<str>;
/// Name that the caller gives to a job; resubmissions of the job share it.
pub type JobName = Arc<str>;
/// Random number that a process draws at each start.
pub type Incarnation = u64;
/// Number of configuration records applied; 0 is the empty configuration.
pub type Version = u64;
/// Position of a record in a log stream.
pub type Offset = u64;
/// Identifier of one submission of a job: the incarnation of the entry in the high 64 bits, a
/// counter in the low 64 bits.
pub type SubmissionId = u128;
/// Identifier of one configuration change, drawn at random by the operator's command.
pub type ChangeId = u128;
/// Position of a task in its job, starting at 0.
pub type TaskIndex = u32;

/// Name by which workers know a task; all submissions of its job share it.
pub type TaskName = Arc<str>;

/// Identifier of one task of one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Submission that the task belongs to.
    pub submission: SubmissionId,
    /// Position of the task in the job, starting at 0.
    pub index: TaskIndex,
}

impl TaskId {
    /// Identifier of task `index` of `submission`.
    pub fn new(submission: SubmissionId, index: TaskIndex) -> Self {
        Self { submission, index }
    }
}

/// Name of the task at `index` of `job`.
pub fn task_name(job: &JobName, index: TaskIndex) -> TaskName {
    format!("{job}.{index}").into()
}

/// Identifier of submission number `sequence` of the process with `incarnation`.
pub fn submission_id(incarnation: Incarnation, sequence: u64) -> SubmissionId {
    (u128::from(incarnation) << 64) | u128::from(sequence)
}

/// Incarnation of the process that allocated `submission`.
pub fn incarnation_of(submission: SubmissionId) -> Incarnation {
    (submission >> 64) as Incarnation
}

/// Text form of a submission or change identifier: 32 hexadecimal digits.
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}

/// Identifier from its text form; `None` if the text is not 1 to 32 hexadecimal digits.
pub fn parse_id(text: &str) -> Option<u128> {
    if text.is_empty() || text.len() > 32 || text.starts_with('+') {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
