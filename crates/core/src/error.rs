//! Error kinds and the table that maps each kind to the answer for the caller.
//!
//! Answers to callers, audit log records, metric labels and timelines take the names of the kinds
//! from this table.

mod limit;

pub use limit::{LimitDetails, LimitName};

use std::time::Duration;

/// Why a job was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request could not be decoded, or one of its values is not allowed.
    InvalidRequest,
    /// The request body is larger than the settings allow.
    RequestTooLarge,
    /// The team is not in the configuration.
    UnknownTeam,
    /// The service is not in the configuration or belongs to another team.
    UnknownService,
    /// The service does not declare the request.
    UnknownRequest,
    /// The job has more tasks than the settings allow.
    JobTooLarge,
    /// One of the tasks needs more resources than any backend server of the service has.
    CannotRun,
    /// The job would exceed the quota of its team.
    QuotaExceeded,
    /// The entry has too many open tasks, or a waiting job exceeded its wait limit, the starts
    /// allowed for one of its tasks or the retry budget.
    Overloaded,
    /// The job cannot be answered within its deadline.
    DeadlineUnreachable,
    /// Every backend server of the service is out of service or absent.
    NoServerInService,
    /// The entry cannot confirm that its configuration is still in force.
    ConfigurationStale,
    /// The log did not confirm the claim that a non-idempotent request needs.
    LogUnavailable,
    /// The idempotency key of a non-idempotent request is older than the claim window.
    RequestKeyExpired,
    /// Another submission holds the claim of this idempotency key.
    AlreadyClaimed,
    /// The entry is stopping.
    Draining,
    /// The deadline passed before any task started.
    Expired,
    /// The caller cancelled the job.
    Cancelled,
    /// A task ran and failed.
    TaskFailed,
    /// A task may have run, and its answer did not arrive in time.
    OutcomeUnknown,
    /// The dispatcher violated one of its own invariants.
    Internal,
}

/// Whether a request may have run when it ends with an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// No task of the submission started.
    NotRun,
    /// A task of the submission started or may have started.
    MayHaveRun,
}

/// Whether the caller may submit the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resubmission {
    /// The same request would be refused again.
    Refused,
    /// The request may be submitted again after this delay.
    After(Duration),
    /// The request may be submitted again at once if it is idempotent.
    IfIdempotent,
}

/// Answer to the caller for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Name of the kind in answers, audit log records, metrics and timelines.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub run_status: RunStatus,
    /// Whether the caller may submit the request again.
    pub resubmission: Resubmission,
    /// Short explanation for people, sent to the caller.
    pub phrase: &'static str,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 21] = [
        Self::InvalidRequest,
        Self::RequestTooLarge,
        Self::UnknownTeam,
        Self::UnknownService,
        Self::UnknownRequest,
        Self::JobTooLarge,
        Self::CannotRun,
        Self::QuotaExceeded,
        Self::Overloaded,
        Self::DeadlineUnreachable,
        Self::NoServerInService,
        Self::ConfigurationStale,
        Self::LogUnavailable,
        Self::RequestKeyExpired,
        Self::AlreadyClaimed,
        Self::Draining,
        Self::Expired,
        Self::Cancelled,
        Self::TaskFailed,
        Self::OutcomeUnknown,
        Self::Internal,
    ];

    /// Row of the table for this kind.
    pub fn answer(self) -> ErrorAnswer {
        use Resubmission::{After, IfIdempotent, Refused};
        use RunStatus::{MayHaveRun, NotRun};
        let (name, status, run_status, resubmission, phrase) = match self {
            Self::InvalidRequest => {
                ("invalid_request", 400, NotRun, Refused, "the request could not be read")
            }
            Self::RequestTooLarge => {
                ("request_too_large", 413, NotRun, Refused, "the request body is too large")
            }
            Self::UnknownTeam => {
                ("unknown_team", 404, NotRun, Refused, "the team is not configured")
            }
            Self::UnknownService => {
                ("unknown_service", 404, NotRun, Refused, "the team has no such service")
            }
            Self::UnknownRequest => {
                ("unknown_request", 404, NotRun, Refused, "the service has no such request")
            }
            Self::JobTooLarge => {
                ("job_too_large", 413, NotRun, Refused, "the job has too many tasks")
            }
            Self::CannotRun => {
                ("cannot_run", 422, NotRun, Refused, "no backend server could run the job")
            }
            Self::QuotaExceeded => {
                ("quota_exceeded", 429, NotRun, After(SECOND), "the team's quota is used up")
            }
            Self::Overloaded => ("overloaded", 503, NotRun, After(SECOND), "the queue is full"),
            Self::DeadlineUnreachable => (
                "deadline_unreachable",
                503,
                NotRun,
                After(SECOND),
                "the job cannot be answered in time",
            ),
            Self::NoServerInService => (
                "no_server_in_service",
                503,
                NotRun,
                After(OUTAGE_RETRY_DELAY),
                "no backend server of the service is in service",
            ),
            Self::ConfigurationStale => (
                "configuration_stale",
                503,
                NotRun,
                After(OUTAGE_RETRY_DELAY),
                "the entry cannot confirm its configuration",
            ),
            Self::LogUnavailable => (
                "log_unavailable",
                503,
                NotRun,
                After(OUTAGE_RETRY_DELAY),
                "the log did not confirm the claim of the request",
            ),
            Self::RequestKeyExpired => {
                ("request_key_expired", 410, NotRun, Refused, "the request key is too old")
            }
            Self::AlreadyClaimed => (
                "already_claimed",
                409,
                MayHaveRun,
                Refused,
                "an earlier submission holds the request key",
            ),
            Self::Draining => {
                ("draining", 503, NotRun, After(Duration::ZERO), "the entry is stopping")
            }
            Self::Expired => {
                ("expired", 504, NotRun, After(SECOND), "the deadline passed before any start")
            }
            Self::Cancelled => {
                ("cancelled", 499, MayHaveRun, IfIdempotent, "the caller cancelled the job")
            }
            Self::TaskFailed => ("task_failed", 502, MayHaveRun, IfIdempotent, "a task failed"),
            Self::OutcomeUnknown => (
                "outcome_unknown",
                504,
                MayHaveRun,
                IfIdempotent,
                "a task may have run and its answer is missing",
            ),
            Self::Internal => (
                "internal",
                500,
                MayHaveRun,
                IfIdempotent,
                "the dispatcher broke a rule of its own",
            ),
        };
        ErrorAnswer { name, status, run_status, resubmission, phrase }
    }

    /// Name of the kind, such as `quota_exceeded`.
    pub fn name(self) -> &'static str {
        self.answer().name
    }

    /// Kind with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

const SECOND: Duration = Duration::from_secs(1);
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Refusal or failure of a job, with its limit details.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobError {
    /// Reason for the refusal or failure.
    pub kind: ErrorKind,
    /// Whether it is known that no task of this submission started and, if the request has an
    /// idempotency key, that no other submission with this key did; `false` if it is uncertain.
    pub not_run: bool,
    /// Limit that led to the error.
    pub details: LimitDetails,
    /// Time after which the request may be submitted again, if it was determined for this job; `None`
    /// for that of its kind.
    pub retry_after: Option<Duration>,
}

impl JobError {
    /// Creates an error whose `not_run` follows from the run status of its kind.
    pub fn new(kind: ErrorKind, details: LimitDetails) -> Self {
        let not_run = kind.answer().run_status == RunStatus::NotRun;
        Self { kind, not_run, details, retry_after: None }
    }

    /// Whether the caller may submit the request again, and when.
    pub fn resubmission(&self) -> Resubmission {
        match (self.kind.answer().resubmission, self.retry_after) {
            (Resubmission::After(_), Some(delay)) => Resubmission::After(delay),
            (resubmission, _) => resubmission,
        }
    }

    /// Creates an error without limit details.
    pub fn plain(kind: ErrorKind) -> Self {
        Self::new(kind, LimitDetails::default())
    }
}
