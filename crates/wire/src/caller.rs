//! JSON between callers and entries.

use bytes::Bytes;
use parsleyspool_core::error::{ErrorKind, JobError, Resubmission};
use parsleyspool_core::id::{SubmissionId, Version, format_id};
use parsleyspool_core::job::{JobRequest, TaskRequest};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest name that a caller may give, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Body of a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Name of the job; resubmissions share it.
    pub job: String,
    /// Team that sends it.
    pub team: String,
    /// Service that it is for.
    pub service: String,
    /// Time for the answer in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// When the request was first created, in milliseconds since the Unix epoch; the same in every
    /// resubmission, and needed where a request is non-idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub created_at_ms: Option<u64>,
    /// Tasks.
    pub tasks: Vec<TaskBody>,
}

/// One task of a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Kind of request.
    pub request: String,
    /// Body for the backend server.
    #[serde(default)]
    pub payload: String,
}

/// Field of a submission that is out of bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NameTooLong {
    /// Size met, in bytes.
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
            tasks: body.tasks.into_iter().map(task).collect(),
        })
    }
}

/// Body of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Submission.
    pub submission: String,
    /// Answers in the order of the tasks.
    pub answers: Vec<String>,
}

impl AnswerBody {
    /// Body of the answer to `submission`; bytes that are not UTF-8 are replaced.
    pub fn new(submission: SubmissionId, answers: &[Bytes]) -> Self {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        Self { submission: format_id(submission), answers: answers.iter().map(text).collect() }
    }
}

/// Body of a refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Submission.
    pub submission: String,
    /// Kind out of the closed list.
    pub kind: String,
    /// Short phrase for a person.
    pub reason: String,
    /// Whether no task of this submission started and, for a non-idempotent request, none of an
    /// earlier submission under the same key.
    pub not_run: bool,
    /// Whether the same request may be sent again; for a job that may have run, only where all its
    /// requests are idempotent.
    pub may_resubmit: bool,
    /// Time to wait before that, in milliseconds.
    pub retry_after_ms: u64,
    /// Limit that decided, empty where none did.
    pub limit: String,
    /// Value of the limit.
    pub allowed: u64,
    /// Value that met it.
    pub actual: u64,
    /// Configuration version in force.
    pub config_version: u64,
}

impl ErrorBody {
    /// Body of `error` for `submission`.
    pub fn new(submission: SubmissionId, error: &JobError, version: Version) -> Self {
        let answer = error.kind.answer();
        let retry_after = match answer.resubmission {
            Resubmission::After(time) => time,
            _ => Duration::ZERO,
        };
        Self {
            submission: format_id(submission),
            kind: answer.name.to_owned(),
            reason: answer.phrase.to_owned(),
            not_run: error.not_run,
            may_resubmit: answer.resubmission != Resubmission::Refused,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            limit: error.details.limit.to_owned(),
            allowed: error.details.allowed,
            actual: error.details.actual,
            config_version: version,
        }
    }

    /// Kind, where this version knows it.
    pub fn kind(&self) -> Option<ErrorKind> {
        ErrorKind::from_name(&self.kind)
    }
}
