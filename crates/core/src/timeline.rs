//! Bounded ring of events of one process.
//!
//! Each event carries a [`Stamp`] of the hybrid clock, so that the rings of several processes merge
//! into one time line in which a cause stands before its effect. The ring counts the events that
//! it dropped, so a reader can tell where a time line is incomplete.

mod figure;

pub use figure::{EventFigure, RunWord};

use crate::id::{Incarnation, SubmissionId, TaskIndex, Version};
use crate::time::HybridTimestamp;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Whole microseconds of `duration`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Declares the closed list of event kinds and their words.
macro_rules! event_kinds {
    ($($(#[$meta:meta])* $variant:ident = $text:literal,)+) => {
        /// What happened.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum EventKind { $($(#[$meta])* $variant,)+ }

        impl EventKind {
            /// Every kind.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Kind in words.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Kind from its words.
            pub fn from_name(name: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|kind| kind.name() == name)
            }
        }
    };
}

event_kinds! {
    /// The process started.
    ProcessStarted = "process_started",
    /// The process stopped as planned.
    ProcessStopped = "process_stopped",
    /// The process began to drain.
    ProcessDraining = "process_draining",
    /// A submission was admitted.
    JobAdmitted = "job_admitted",
    /// A submission was refused; nothing ran.
    JobRefused = "job_refused",
    /// A submission was answered whole.
    JobComplete = "job_complete",
    /// A submission was answered with a failure.
    JobFailed = "job_failed",
    /// The caller gave a submission up.
    JobCancelled = "job_cancelled",
    /// A claim was appended to the log.
    ClaimSent = "claim_sent",
    /// A claim was read back and holds.
    ClaimWon = "claim_won",
    /// Another submission holds the claim.
    ClaimLost = "claim_lost",
    /// A start was sent to an agent.
    TaskSent = "task_sent",
    /// The same start was sent again over a new connection.
    TaskAsked = "task_asked",
    /// A task was proven not started and is queued again.
    TaskReturned = "task_returned",
    /// The answer of a task came.
    TaskAnswered = "task_answered",
    /// A task ran and failed.
    TaskFaulted = "task_faulted",
    /// A task may have run and no answer will come.
    TaskLost = "task_lost",
    /// A run ended without a result, and the task is queued again.
    TaskInterrupted = "task_interrupted",
    /// An answer came that nobody waits for.
    AnswerOrphaned = "answer_orphaned",
    /// An agent queued a task.
    AgentQueued = "agent_queued",
    /// An agent was asked about a task that it has, queued or running for the time given.
    AgentAsked = "agent_asked",
    /// An agent started a task.
    AgentStarted = "agent_started",
    /// An agent asked the worker to stop a running task.
    AgentStopped = "agent_stopped",
    /// A backend server finished a task.
    AgentFinished = "agent_finished",
    /// An agent refused a start; it did not start.
    AgentRefused = "agent_refused",
    /// A backend server announced itself.
    ServerAnnounced = "server_announced",
    /// A backend server came back as another incarnation.
    ServerReplaced = "server_replaced",
    /// A backend server stopped reporting.
    ServerSilent = "server_silent",
    /// Operators told a backend server to leave.
    ServerLeaving = "server_leaving",
    /// Operators let a backend server take work again.
    ServerRejoined = "server_rejoined",
    /// A backend server fails what it starts.
    ServerQuarantined = "server_quarantined",
    /// A configuration version came into force here.
    ConfigApplied = "config_applied",
    /// A majority of the voting entries holds a configuration version.
    ConfigAccepted = "config_accepted",
    /// A change was rejected, since another one of the same subject came first.
    ChangeRejected = "change_rejected",
    /// A failure domain was taken out.
    DomainOut = "domain_out",
    /// A failure domain was brought back.
    DomainBack = "domain_back",
    /// The configuration can no longer be confirmed.
    FreshnessLost = "freshness_lost",
    /// The configuration is confirmed again.
    FreshnessRegained = "freshness_regained",
    /// Refusals were dropped before they reached the log.
    AccountsDropped = "accounts_dropped",
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineEvent {
    /// Place in the order over all processes.
    pub stamp: HybridTimestamp,
    /// What happened.
    pub kind: EventKind,
    /// Submission that it concerns.
    pub submission: Option<SubmissionId>,
    /// Task that it concerns.
    pub task: Option<TaskIndex>,
    /// Server, failure domain or worker that it concerns, or the name of its job.
    pub subject: Option<Arc<str>>,
    /// Further figures; never job content.
    pub figures: Vec<EventFigure>,
}

impl TimelineEvent {
    /// Event about nothing in particular.
    pub fn new(kind: EventKind) -> Self {
        Self {
            stamp: HybridTimestamp::default(),
            kind,
            submission: None,
            task: None,
            subject: None,
            figures: Vec::new(),
        }
    }

    /// The same event about `submission`.
    pub fn submission(self, submission: SubmissionId) -> Self {
        Self { submission: Some(submission), ..self }
    }

    /// The same event about the task at `index`.
    pub fn task(self, index: TaskIndex) -> Self {
        Self { task: Some(index), ..self }
    }

    /// The same event about a server, failure domain or worker, or the job of this name.
    pub fn subject(self, subject: &Arc<str>) -> Self {
        Self { subject: Some(subject.clone()), ..self }
    }

    /// The same event with one more figure.
    pub fn figure(mut self, figure: EventFigure) -> Self {
        self.figures.push(figure);
        self
    }

    /// Configuration version among the figures.
    pub fn version(&self) -> Option<Version> {
        self.figures.iter().find_map(|figure| match figure {
            EventFigure::Version(version) => Some(*version),
            _ => None,
        })
    }
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={}", self.kind.name())?;
        if let Some(submission) = self.submission {
            write!(f, " submission={submission:032x}")?;
        }
        if let Some(task) = self.task {
            write!(f, " task={task}")?;
        }
        if let Some(subject) = &self.subject {
            write!(f, " subject={subject}")?;
        }
        for figure in &self.figures {
            write!(f, " {figure}")?;
        }
        Ok(())
    }
}

/// Latest events of a process.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
    dropped: u64,
    incarnation: Incarnation,
}

impl EventRing {
    /// Ring of at most `capacity` events.
    pub fn new(capacity: usize, incarnation: Incarnation) -> Self {
        Self { events: VecDeque::new(), capacity: capacity.max(1), dropped: 0, incarnation }
    }

    /// Adds an event and drops the oldest one where the ring is full.
    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Events from the oldest to the latest.
    pub fn events(&self) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter()
    }

    /// Number of events dropped since the process started.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}
