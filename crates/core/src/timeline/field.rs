//! Key=value fields of an event.

use crate::claim::ClaimKey;
use crate::config::ConfigSource;
use crate::directory::EstimateSource;
use crate::entry::{InterruptCause, NotStartedReason};
use crate::error::{ErrorKind, LimitName};
use crate::id::{Offset, Version};
use crate::named_enum::named_enum;
use std::fmt;

named_enum! {
    /// Outcome of a run at a backend server.
    pub enum RunOutcome {
        /// The backend server answered the task.
        Answered = "answered",
        /// The task failed.
        Failed = "failed",
        /// The backend server accepted no connection, so nothing ran.
        NoConnection = "no_connection",
        /// The backend server refused the task.
        Refused = "refused",
        /// The run ended without a result.
        Interrupted = "interrupted",
    }
}

named_enum! {
    /// Why an agent asked the worker to stop a run.
    pub enum StopReason {
        /// The entry cancelled the task.
        Cancelled = "cancelled",
        /// The answer to a heartbeat shows that the entry no longer works on the submission, so its
        /// cancellation has not arrived.
        SubmissionEnded = "submission_ended",
        /// The entry has not renewed its run lease.
        LeaseExpired = "lease_expired",
    }
}

/// Field of an event, written as key=value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventField {
    /// Number of tasks of a job.
    Tasks(u64),
    /// Number of the start of a task, from 1.
    Attempt(u64),
    /// Configuration version.
    Version(Version),
    /// Where the configuration came from.
    Source(ConfigSource),
    /// Current version of the subject of a rejected change.
    Current(Version),
    /// Offset of a record in a log stream.
    Offset(Offset),
    /// Run time in microseconds.
    RunTimeUs(u64),
    /// Time from the arrival of a job to its answer in microseconds.
    TookUs(u64),
    /// Number of refusal records dropped since the process started.
    Dropped(u64),
    /// Number of jobs or tasks that were unfinished when the process stopped.
    Unfinished(u64),
    /// Whether the request is known not to have run, as in [`JobError::not_run`].
    ///
    /// [`JobError::not_run`]: crate::error::JobError::not_run
    NotRun(bool),
    /// Kind of the error that a job ended with.
    Kind(ErrorKind),
    /// Limit that decided.
    Limit(LimitName),
    /// Value of the limit.
    Allowed(u64),
    /// Value that was compared with the limit.
    Actual(u64),
    /// What the estimated run time of the longest task is based on.
    Estimate(EstimateSource),
    /// Estimated run time of the longest task, in milliseconds.
    EstimateMs(u64),
    /// Run time that the longest task declares, in milliseconds.
    DeclaredMs(u64),
    /// Measured runs that the estimate is based on.
    Samples(u64),
    /// Age of the latest of them, in milliseconds.
    SampleAgeMs(u64),
    /// Number of servers to which a task may be sent, whether or not they have free capacity.
    Servers(u64),
    /// Slots of running and queued tasks at a server, as known to the process.
    Load(u64),
    /// Slots that running and queued tasks may take together at a server.
    LoadLimit(u64),
    /// Slots that the task needs.
    Demand(u64),
    /// Age of the load report that decided, in milliseconds; the greatest age if there were several.
    ReportAgeMs(u64),
    /// Work of the waiting jobs of a service, in slot-milliseconds.
    BacklogMs(u64),
    /// Rate at which this entry can start tasks of a service, in slot-milliseconds per second.
    Room(u64),
    /// Number of waiting jobs.
    Waiting(u64),
    /// Rank of the priority of a job, 0 for the highest.
    Priority(u8),
    /// Number of jobs that wait behind those in time.
    Delayed(u64),
    /// Number of refused jobs.
    Refused(u64),
    /// Idempotency key.
    Key(ClaimKey),
    /// Reason why a task was not started.
    Why(NotStartedReason),
    /// Outcome of a run.
    Result(RunOutcome),
    /// Why a run ended without a result.
    Cause(InterruptCause),
    /// Why a run was asked to stop.
    StopReason(StopReason),
}

impl fmt::Display for EventField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tasks(value) => write!(f, "tasks={value}"),
            Self::Attempt(value) => write!(f, "attempt={value}"),
            Self::Version(value) => write!(f, "version={value}"),
            Self::Source(source) => write!(f, "source={}", source.name()),
            Self::Current(value) => write!(f, "current={value}"),
            Self::Offset(value) => write!(f, "offset={value}"),
            Self::RunTimeUs(value) => write!(f, "run_time_us={value}"),
            Self::TookUs(value) => write!(f, "took_us={value}"),
            Self::Dropped(value) => write!(f, "dropped={value}"),
            Self::Unfinished(value) => write!(f, "unfinished={value}"),
            Self::NotRun(value) => write!(f, "not_run={value}"),
            Self::Kind(kind) => write!(f, "kind={}", kind.name()),
            Self::Limit(limit) => write!(f, "limit={limit}"),
            Self::Allowed(value) => write!(f, "allowed={value}"),
            Self::Actual(value) => write!(f, "actual={value}"),
            Self::Estimate(source) => write!(f, "estimate={}", source.name()),
            Self::EstimateMs(value) => write!(f, "estimate_ms={value}"),
            Self::DeclaredMs(value) => write!(f, "declared_ms={value}"),
            Self::Samples(value) => write!(f, "samples={value}"),
            Self::SampleAgeMs(value) => write!(f, "sample_age_ms={value}"),
            Self::Servers(value) => write!(f, "servers={value}"),
            Self::Load(value) => write!(f, "load={value}"),
            Self::LoadLimit(value) => write!(f, "load_limit={value}"),
            Self::Demand(value) => write!(f, "demand={value}"),
            Self::BacklogMs(value) => write!(f, "backlog_ms={value}"),
            Self::Room(value) => write!(f, "room={value}"),
            Self::Waiting(value) => write!(f, "waiting={value}"),
            Self::Priority(value) => write!(f, "priority={value}"),
            Self::Delayed(value) => write!(f, "delayed={value}"),
            Self::Refused(value) => write!(f, "refused={value}"),
            Self::ReportAgeMs(value) => write!(f, "report_age_ms={value}"),
            Self::Key(key) => write!(f, "key={key:032x}"),
            Self::Why(reason) => write!(f, "why={}", reason.name()),
            Self::Result(outcome) => write!(f, "result={}", outcome.name()),
            Self::Cause(cause) => write!(f, "cause={}", cause.name()),
            Self::StopReason(reason) => write!(f, "reason={}", reason.name()),
        }
    }
}

impl EventField {
    /// Parses the key=value form; returns `None` if the key is unknown or the value is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let (key, value) = text.split_once('=')?;
        let number = || value.parse::<u64>().ok();
        match key {
            "tasks" => number().map(Self::Tasks),
            "attempt" => number().map(Self::Attempt),
            "version" => number().map(Self::Version),
            "source" => ConfigSource::from_name(value).map(Self::Source),
            "current" => number().map(Self::Current),
            "offset" => number().map(Self::Offset),
            "run_time_us" => number().map(Self::RunTimeUs),
            "took_us" => number().map(Self::TookUs),
            "dropped" => number().map(Self::Dropped),
            "unfinished" => number().map(Self::Unfinished),
            "not_run" => value.parse().ok().map(Self::NotRun),
            "kind" => ErrorKind::from_name(value).map(Self::Kind),
            "limit" => LimitName::from_name(value).map(Self::Limit),
            "allowed" => number().map(Self::Allowed),
            "actual" => number().map(Self::Actual),
            "estimate" => EstimateSource::from_name(value).map(Self::Estimate),
            "estimate_ms" => number().map(Self::EstimateMs),
            "declared_ms" => number().map(Self::DeclaredMs),
            "samples" => number().map(Self::Samples),
            "sample_age_ms" => number().map(Self::SampleAgeMs),
            "servers" => number().map(Self::Servers),
            "load" => number().map(Self::Load),
            "load_limit" => number().map(Self::LoadLimit),
            "demand" => number().map(Self::Demand),
            "backlog_ms" => number().map(Self::BacklogMs),
            "room" => number().map(Self::Room),
            "waiting" => number().map(Self::Waiting),
            "priority" => value.parse().ok().map(Self::Priority),
            "delayed" => number().map(Self::Delayed),
            "refused" => number().map(Self::Refused),
            "report_age_ms" => number().map(Self::ReportAgeMs),
            "key" => crate::id::parse_id(value).map(Self::Key),
            "why" => NotStartedReason::from_name(value).map(Self::Why),
            "cause" => InterruptCause::from_name(value).map(Self::Cause),
            "reason" => StopReason::from_name(value).map(Self::StopReason),
            "result" => RunOutcome::from_name(value).map(Self::Result),
            _ => None,
        }
    }
}
