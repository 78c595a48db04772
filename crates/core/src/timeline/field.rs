//! Figures of an event.

use crate::claim::ClaimKey;
use crate::entry::NotStartedReason;
use crate::error::ErrorKind;
use crate::id::{Offset, Version};
use std::fmt;

/// How a run at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// It answered.
    Answered,
    /// It failed the task.
    Failed,
    /// It took no connection.
    NoConnection,
    /// The backend server refused the task.
    Refused,
    /// The run ended without a result.
    Interrupted,
}

impl RunOutcome {
    const ALL: [(Self, &'static str); 5] = [
        (Self::Answered, "answered"),
        (Self::Failed, "failed"),
        (Self::NoConnection, "no_connection"),
        (Self::Refused, "refused"),
        (Self::Interrupted, "interrupted"),
    ];

    fn name(self) -> &'static str {
        Self::ALL.into_iter().find(|(word, _)| *word == self).map_or("", |(_, name)| name)
    }
}

/// One figure, written as key=value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventField {
    /// Tasks of a job.
    Tasks(u64),
    /// Number of a start.
    Attempt(u64),
    /// Configuration version.
    Version(Version),
    /// Version that a rejected change should have been based on.
    Current(Version),
    /// Offset in a stream.
    Offset(Offset),
    /// Run time in microseconds.
    RunTimeUs(u64),
    /// Time from arrival to answer in microseconds.
    TookUs(u64),
    /// Records dropped.
    Dropped(u64),
    /// Jobs or tasks cut off.
    Unfinished(u64),
    /// Whether no task started.
    NotRun(bool),
    /// Error kind.
    Kind(ErrorKind),
    /// Request key.
    Key(ClaimKey),
    /// Why a task was not started.
    Why(NotStartedReason),
    /// How a run ended.
    Result(RunOutcome),
}

impl fmt::Display for EventField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tasks(value) => write!(f, "tasks={value}"),
            Self::Attempt(value) => write!(f, "attempt={value}"),
            Self::Version(value) => write!(f, "version={value}"),
            Self::Current(value) => write!(f, "current={value}"),
            Self::Offset(value) => write!(f, "offset={value}"),
            Self::RunTimeUs(value) => write!(f, "run_time_us={value}"),
            Self::TookUs(value) => write!(f, "took_us={value}"),
            Self::Dropped(value) => write!(f, "dropped={value}"),
            Self::Unfinished(value) => write!(f, "unfinished={value}"),
            Self::NotRun(value) => write!(f, "not_run={value}"),
            Self::Kind(kind) => write!(f, "kind={}", kind.name()),
            Self::Key(key) => write!(f, "key={key:032x}"),
            Self::Why(reason) => write!(f, "why={}", reason.name()),
            Self::Result(word) => write!(f, "result={}", word.name()),
        }
    }
}

impl EventField {
    /// Figure from its key=value form; `None` where this version does not know it.
    pub fn parse(text: &str) -> Option<Self> {
        let (key, value) = text.split_once('=')?;
        let number = || value.parse::<u64>().ok();
        match key {
            "tasks" => number().map(Self::Tasks),
            "attempt" => number().map(Self::Attempt),
            "version" => number().map(Self::Version),
            "current" => number().map(Self::Current),
            "offset" => number().map(Self::Offset),
            "run_time_us" => number().map(Self::RunTimeUs),
            "took_us" => number().map(Self::TookUs),
            "dropped" => number().map(Self::Dropped),
            "unfinished" => number().map(Self::Unfinished),
            "not_run" => value.parse().ok().map(Self::NotRun),
            "kind" => ErrorKind::from_name(value).map(Self::Kind),
            "key" => crate::id::parse_id(value).map(Self::Key),
            "why" => NotStartedReason::from_name(value).map(Self::Why),
            "result" => {
                let word = RunOutcome::ALL.into_iter().find(|(_, name)| *name == value);
                word.map(|(word, _)| Self::Result(word))
            }
            _ => None,
        }
    }
}
