//! The closed list of error kinds and the table from kind to answer.
//!
//! The caller's answer, the refusal account, the metric label and the time line all take their
//! words from this one table.

use std::time::Duration;

/// Why a job was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The request could not be read.
    InvalidRequest,
    /// The body is larger than the settings allow.
    RequestTooLarge,
    /// The team is not in the configuration.
    UnknownTeam,
    /// The service is not in the configuration or belongs to another team.
    UnknownService,
    /// The service declares no such request.
    UnknownRequest,
    /// The job has more tasks than the settings allow.
    JobTooLarge,
    /// No backend server could ever run one of the tasks.
    CannotRun,
    /// The team's quota is used up.
    QuotaExceeded,
    /// The queue of the entry is full.
    Overloaded,
    /// The job cannot be answered within its deadline.
    DeadlineUnreachable,
    /// Every backend server of the service is out of service or absent.
    NoServerInService,
    /// The entry cannot tell whether its configuration is still in force.
    ConfigurationStale,
    /// The log did not confirm the claim that a non-idempotent request needs.
    LogUnavailable,
    /// The request key of a non-idempotent request is older than claims are kept.
    RequestKeyExpired,
    /// Another submission holds the claim of this request key.
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
    /// The process broke one of its own rules.
    Internal,
}

/// Whether the table vouches that the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// No task of the submission started.
    NotRun,
    /// Some task started, or may have.
    MayHaveRun,
}

/// Whether the caller may send the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resubmission {
    /// The same request would be refused again.
    Refused,
    /// It may be sent again after the given time.
    After(Duration),
    /// It may be sent again at once, where its requests are idempotent.
    IfIdempotent,
}

/// What the caller is told for one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Kind in words, the same in answers, accounts, metrics and time lines.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request is known not to have run.
    pub run_status: RunStatus,
    /// Whether the caller may send it again.
    pub resubmission: Resubmission,
    /// Short phrase for a person.
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
                After(FEW_SECONDS),
                "no backend server of the service is in service",
            ),
            Self::ConfigurationStale => (
                "configuration_stale",
                503,
                NotRun,
                After(FEW_SECONDS),
                "the entry cannot confirm its configuration",
            ),
            Self::LogUnavailable => (
                "log_unavailable",
                503,
                NotRun,
                After(FEW_SECONDS),
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

    /// Kind in words.
    pub fn name(self) -> &'static str {
        self.answer().name
    }

    /// Kind from its words.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

const SECOND: Duration = Duration::from_secs(1);
const FEW_SECONDS: Duration = Duration::from_secs(3);

/// Figures behind a refusal: the limit that decided it and the value that met it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitDetails {
    /// Name of the limit, empty where none applies.
    pub limit: &'static str,
    /// Value of the limit, in the unit that its name ends in.
    pub allowed: u64,
    /// Value that was met.
    pub actual: u64,
}

impl LimitDetails {
    /// Figures of the limit called `limit`.
    pub fn new(limit: &'static str, allowed: u64, actual: u64) -> Self {
        Self { limit, allowed, actual }
    }
}

/// One refusal or failure with its figures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobError {
    /// Kind out of the closed list.
    pub kind: ErrorKind,
    /// Whether no task of this submission started; never stronger than what is known.
    pub not_run: bool,
    /// Limit and value that decided.
    pub details: LimitDetails,
}

impl JobError {
    /// Error whose kind proves that nothing ran, or whose kind proves nothing.
    pub fn new(kind: ErrorKind, details: LimitDetails) -> Self {
        let not_run = kind.answer().run_status == RunStatus::NotRun;
        Self { kind, not_run, details }
    }

    /// Error without figures.
    pub fn plain(kind: ErrorKind) -> Self {
        Self::new(kind, LimitDetails::default())
    }
}
