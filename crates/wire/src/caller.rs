//! JSON between callers and entries.

use bytes::Bytes;
use parsleyspool_core::error::{ErrorKind, JobError, Resubmission};
use parsleyspool_core::id::{SubmissionId, Version, format_id};
use parsleyspool_core::job::{JobRequest, TaskGroup, TaskRequest};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest name of a job, team, service or request in a submission, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Body of a submission, sent by a caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Name that the caller gives to the job; resubmissions of the job share it.
    pub job: String,
    /// Team that submits the job.
    pub team: String,
    /// Service that runs the tasks.
    pub service: String,
    /// Time allowed for the answer from the arrival of the job, in milliseconds; if `None`, the
    /// deadline of the service applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Time at which the caller first created the job, in milliseconds since the Unix epoch. It is
    /// the same in every resubmission and required if a request is non-idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub created_at_ms: Option<u64>,
    /// Tasks, in the order of their answers.
    pub tasks: Vec<TaskBody>,
}

/// One task of a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Kind of request, as declared by the service.
    pub request: String,
    /// Request body for the backend server; empty if absent.
    #[serde(default)]
    pub payload: String,
}

/// A name in a submission is longer than [`MAX_NAME_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NameTooLong {
    /// Size of the longest name, in bytes.
    pub size: usize,
}

impl TryFrom<SubmitBody> for JobRequest {
    type Error = NameTooLong;

    fn try_from(body: SubmitBody) -> Result<Self, NameTooLong> {
        let names = [&body.job, &body.team, &body.service];
        let requests = body.tasks.iter().map(|task| &task.request);
        let longest = names.into_iter().chain(requests).map(String::len).max().unwrap_or(0);
        if longest > MAX_NAME_BYTES {
            return Err(NameTooLong { size: longest });
        }
        let task = |task: TaskBody| TaskRequest {
            demand: None,
            request_name: task.request.into(),
            payload: Bytes::from(task.payload),
        };
        Ok(Self {
            name: body.job.into(),
            team: body.team.into(),
            service: body.service.into(),
            deadline: body.deadline_ms.map(Duration::from_millis),
            created_at: body.created_at_ms.map(Duration::from_millis),
            task_groups: body.tasks.into_iter().map(task).map(TaskGroup::from).collect(),
        })
    }
}

/// Body of the answer to a job whose tasks were all answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Submission id that the entry assigned, in hexadecimal.
    pub submission: String,
    /// Answers of the backend servers, in the order of the tasks.
    pub answers: Vec<String>,
}

impl AnswerBody {
    /// Creates the answer to `submission`; invalid UTF-8 in `answers` is replaced by U+FFFD.
    pub fn new(submission: SubmissionId, answers: &[Bytes]) -> Self {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        Self { submission: format_id(submission), answers: answers.iter().map(text).collect() }
    }
}

/// Body of the answer to a job that was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Submission id that the entry assigned, in hexadecimal.
    pub submission: String,
    /// Name of the [`ErrorKind`].
    pub kind: String,
    /// Short explanation, fixed for each kind; not meant to be parsed.
    pub reason: String,
    /// Whether it is known that no task of this submission started and, for a non-idempotent
    /// request, no task of an earlier submission with the same idempotency key.
    pub not_run: bool,
    /// Whether the same job may be submitted again; if it may have run, only if all its requests
    /// are idempotent.
    pub may_resubmit: bool,
    /// Shortest time to wait before a resubmission, in milliseconds; 0 if none is prescribed.
    pub retry_after_ms: u64,
    /// Name of the limit that led to the error; empty if there is none.
    pub limit: String,
    /// Value of the limit, in the unit given by the suffix of its name.
    pub allowed: u64,
    /// Value that was compared with the limit, in the same unit.
    pub actual: u64,
    /// Configuration version of the entry when it answered.
    pub config_version: u64,
}

impl ErrorBody {
    /// Creates the answer to `submission`, which ended with `error` under configuration `version`.
    pub fn new(submission: SubmissionId, error: &JobError, version: Version) -> Self {
        let answer = error.kind.answer();
        let resubmission = error.resubmission();
        let retry_after = match resubmission {
            Resubmission::After(time) => time,
            _ => Duration::ZERO,
        };
        Self {
            submission: format_id(submission),
            kind: answer.name.to_owned(),
            reason: answer.phrase.to_owned(),
            not_run: error.not_run,
            may_resubmit: resubmission != Resubmission::Refused,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            limit: error.details.name().to_owned(),
            allowed: error.details.allowed,
            actual: error.details.actual,
            config_version: version,
        }
    }

    /// Error kind; `None` if its name is unknown to this version of the software.
    pub fn kind(&self) -> Option<ErrorKind> {
        ErrorKind::from_name(&self.kind)
    }
}
