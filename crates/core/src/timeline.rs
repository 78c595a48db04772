//! Events of a process and the ring buffer that holds the latest ones.
//!
//! Each event has a [`HybridTimestamp`]. Sorted by it, the events of several processes form one
//! timeline in which every cause precedes its effects. The ring buffer counts the events that it
//! drops, so a reader knows whether a timeline is incomplete.

mod field;

pub use field::{EventField, RunOutcome, StopReason};

use crate::id::{Incarnation, SubmissionId, TaskIndex, Version};
use crate::named_enum::named_enum;
use crate::time::HybridTimestamp;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Converts `duration` to microseconds, rounded down and saturating at `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

named_enum! {
    /// Kind of an event, recorded and stored under its name.
    #[derive(Hash)]
    pub enum EventKind {
        /// The process started.
        ProcessStarted = "process_started",
        /// The process shut down gracefully.
        ProcessStopped = "process_stopped",
        /// The process started to drain.
        ProcessDraining = "process_draining",
        /// A submission was admitted.
        JobAdmitted = "job_admitted",
        /// A submission was refused; none of its tasks ran.
        JobRefused = "job_refused",
        /// A submission was admitted although it would miss its deadline by an estimate, to test the
        /// estimate; the subject is its kind of request.
        EstimateTested = "estimate_tested",
        /// A submission that tests an estimate was answered in time.
        EstimateRefuted = "estimate_refuted",
        /// A submission was answered with the results of all its tasks.
        JobComplete = "job_complete",
        /// A submission was answered with an error after a task started or may have started.
        JobFailed = "job_failed",
        /// The caller cancelled a submission.
        JobCancelled = "job_cancelled",
        /// A claim of an idempotency key was submitted to the log.
        ClaimSent = "claim_sent",
        /// A claim was read back from the log and holds the key.
        ClaimWon = "claim_won",
        /// Another submission holds the claimed key.
        ClaimLost = "claim_lost",
        /// A start request was sent to an agent.
        TaskSent = "task_sent",
        /// A status query about a start was sent over a new connection, since no answer had
        /// arrived.
        TaskAsked = "task_asked",
        /// A task is known not to have started; it is queued again, or its job fails.
        TaskReturned = "task_returned",
        /// The answer of a task arrived.
        TaskAnswered = "task_answered",
        /// A task ran and failed.
        TaskFaulted = "task_faulted",
        /// A task may have run, and its answer will not arrive.
        TaskLost = "task_lost",
        /// A run ended without a result; its task is queued again, or its job fails.
        TaskInterrupted = "task_interrupted",
        /// An answer arrived that no job waits for.
        AnswerOrphaned = "answer_orphaned",
        /// An agent queued a task.
        AgentQueued = "agent_queued",
        /// An agent received a status query about a task that is queued or running; the run time is
        /// given if it is running.
        AgentAsked = "agent_asked",
        /// An agent started a task.
        AgentStarted = "agent_started",
        /// An agent asked the worker to stop a running task.
        AgentStopped = "agent_stopped",
        /// A run at a backend server ended.
        AgentFinished = "agent_finished",
        /// An agent refused a start, returned a queued task, or was queried about a start that it
        /// never received; this incarnation of the agent did not carry out that start.
        AgentRefused = "agent_refused",
        /// A backend server that was unknown or gone reported itself.
        ServerAnnounced = "server_announced",
        /// A backend server reported as a new incarnation.
        ServerReplaced = "server_replaced",
        /// A backend server stopped reporting.
        ServerSilent = "server_silent",
        /// Operators ordered a backend server to leave.
        ServerLeaving = "server_leaving",
        /// Operators allowed a leaving backend server to take work again.
        ServerRejoined = "server_rejoined",
        /// A backend server was quarantined because its tasks fail.
        ServerQuarantined = "server_quarantined",
        /// The servers of a service, all of which were quarantined, are probed at once.
        QuarantineLifted = "quarantine_lifted",
        /// Waiting jobs of a service are delayed or refused because capacity is short.
        OverloadEntered = "overload_entered",
        /// No waiting job of a service was delayed or refused for a while.
        OverloadLeft = "overload_left",
        /// The process applied a configuration version.
        ConfigApplied = "config_applied",
        /// A majority of the voting entries has applied a configuration version.
        ConfigAccepted = "config_accepted",
        /// A configuration change was rejected, since another change of the same subject came
        /// first.
        ChangeRejected = "change_rejected",
        /// A failure domain was taken out of service.
        DomainOut = "domain_out",
        /// A failure domain was put back in service.
        DomainBack = "domain_back",
        /// The freshness lease of the configuration lapsed.
        FreshnessLost = "freshness_lost",
        /// The freshness lease of the configuration was renewed after it had lapsed.
        FreshnessRegained = "freshness_regained",
        /// Refusal records were dropped from the full buffer before the log confirmed them.
        RefusalsDropped = "accounts_dropped",
    }
}

/// Event recorded by a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineEvent {
    /// Hybrid logical timestamp, which orders events across processes.
    pub stamp: HybridTimestamp,
    /// Kind of the event.
    pub kind: EventKind,
    /// Submission that the event concerns.
    pub submission: Option<SubmissionId>,
    /// Index of the task that the event concerns, within its submission.
    pub task: Option<TaskIndex>,
    /// Backend server, failure domain or worker that the event concerns, or the name of its job.
    pub subject: Option<Arc<str>>,
    /// Additional key=value fields; they never contain job content.
    pub fields: Vec<EventField>,
}

impl TimelineEvent {
    /// Creates an event without timestamp, subject or fields.
    pub fn new(kind: EventKind) -> Self {
        Self {
            stamp: HybridTimestamp::default(),
            kind,
            submission: None,
            task: None,
            subject: None,
            fields: Vec::new(),
        }
    }

    /// Sets the submission.
    pub fn submission(self, submission: SubmissionId) -> Self {
        Self { submission: Some(submission), ..self }
    }

    /// Sets the index of the task.
    pub fn task(self, index: TaskIndex) -> Self {
        Self { task: Some(index), ..self }
    }

    /// Sets the name of the backend server, failure domain, worker or job that the event concerns.
    pub fn subject(self, subject: &Arc<str>) -> Self {
        Self { subject: Some(subject.clone()), ..self }
    }

    /// Appends a field.
    pub fn field(mut self, field: EventField) -> Self {
        self.fields.push(field);
        self
    }

    /// Configuration version in the fields, if there is one.
    pub fn version(&self) -> Option<Version> {
        self.fields.iter().find_map(|field| match field {
            EventField::Version(version) => Some(*version),
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
        for field in &self.fields {
            write!(f, " {field}")?;
        }
        Ok(())
    }
}

/// Ring buffer of the latest events of a process.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
    dropped: u64,
    incarnation: Incarnation,
}

impl EventRing {
    /// Creates a ring buffer of at most `capacity` events, and at least one.
    pub fn new(capacity: usize, incarnation: Incarnation) -> Self {
        Self { events: VecDeque::new(), capacity: capacity.max(1), dropped: 0, incarnation }
    }

    /// Adds an event; a full ring buffer drops its oldest event.
    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Events from oldest to latest.
    pub fn events(&self) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter()
    }

    /// Number of events dropped since the process started.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Incarnation of the process that recorded the events.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}
