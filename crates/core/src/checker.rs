//! Checks invariants over the event timelines of a run.
//!
//! Each [`TimelineInvariant`] is a predicate over the merged events of all processes. [`check`]
//! reports every event that violates one, earliest first. It cannot detect violations in events
//! that an event ring has dropped; [`CheckReport::gaps`] lists the processes that dropped some.

mod config;
mod jobs;
mod starts;

use crate::id::{DomainName, Incarnation};
use crate::named_enum::named_enum;
use crate::time::HybridTimestamp;
use crate::timeline::TimelineEvent;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

named_enum! {
    /// Property that must hold in every run.
    #[derive(PartialOrd, Ord)]
    pub enum TimelineInvariant {
        /// No task of one submission starts twice.
        StartsOnce = "starts_once",
        /// A job ends at most once, and a complete answer contains the answers of all tasks.
        WholeAnswer = "whole_answer",
        /// No task starts in a failure domain that has been out of service for longer than
        /// [`GracePeriods::last_start`].
        DomainOut = "domain_out",
        /// Task answers are recorded by the process that admitted the job, once for each of its
        /// tasks.
        OwnAnswer = "own_answer",
        /// No task of a submission that was reported as not run has started.
        NotRun = "not_run",
        /// A non-idempotent request runs at most once across its submissions.
        AtMostOnce = "at_most_once",
        /// A leaving backend server starts no task after [`GracePeriods::last_start`].
        LeavingServer = "leaving_server",
        /// A graceful stop leaves no job or task unfinished.
        GracefulStop = "graceful_stop",
        /// The version of a process never decreases, and no task starts under a version older than
        /// the latest one accepted at least [`GracePeriods::propagation`] before.
        ConfigForward = "config_forward",
    }
}

/// Event with the process that recorded it.
#[derive(Debug, Clone)]
pub struct ObservedEvent {
    /// Name of the entry or agent that recorded the event.
    pub process: Arc<str>,
    /// Incarnation of that process; a restart changes it.
    pub incarnation: Incarnation,
    /// Failure domain in which that process runs.
    pub domain: DomainName,
    /// Event as recorded, with its timestamp.
    pub event: TimelineEvent,
}

/// Delays that the invariants allow for a configuration change to take effect.
#[derive(Debug, Clone, Copy)]
pub struct GracePeriods {
    /// Longest time from the acceptance of a change that takes a failure domain or backend server
    /// out of service to the last start there.
    pub last_start: Duration,
    /// Longest time from the acceptance of a change until it is in force everywhere.
    pub propagation: Duration,
}

impl Default for GracePeriods {
    fn default() -> Self {
        Self { last_start: Duration::from_secs(5), propagation: Duration::from_secs(10) }
    }
}

/// Event that violates an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Violated invariant.
    pub invariant: TimelineInvariant,
    /// Process that recorded the violating event.
    pub process: Arc<str>,
    /// Time of the violating event.
    pub stamp: HybridTimestamp,
    /// Violating event and what contradicts it.
    pub text: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "promise={} at={}.{} process={} {}",
            self.invariant.name(),
            self.stamp.wall_us,
            self.stamp.counter,
            self.process,
            self.text
        )
    }
}

/// Result of a check.
#[derive(Debug, Clone, Default)]
pub struct CheckReport {
    /// Violations in the time order of their events.
    pub violations: Vec<InvariantViolation>,
    /// Number of submissions seen.
    pub submissions: usize,
    /// Number of task starts checked.
    pub starts: usize,
    /// Processes whose events are incomplete, with the number of events dropped; [`check`] leaves
    /// it empty for the caller to fill in.
    pub gaps: BTreeMap<Arc<str>, u64>,
}

impl CheckReport {
    /// Earliest violation of `invariant`.
    pub fn first_violation(&self, invariant: TimelineInvariant) -> Option<&InvariantViolation> {
        self.violations.iter().find(|violation| violation.invariant == invariant)
    }
}

/// Violations in the order in which the checks find them.
#[derive(Debug, Default)]
struct ViolationList {
    violations: Vec<InvariantViolation>,
}

impl ViolationList {
    /// Adds a violation; `against` states the fact that the event contradicts.
    fn add(&mut self, invariant: TimelineInvariant, observed: &ObservedEvent, against: &str) {
        self.violations.push(InvariantViolation {
            invariant,
            process: observed.process.clone(),
            stamp: observed.event.stamp,
            text: format!("{} against=\"{against}\"", observed.event),
        });
    }
}

/// Checks the events of all processes of a run, in any order.
pub fn check(events: &[ObservedEvent], grace: GracePeriods) -> CheckReport {
    let mut ordered: Vec<&ObservedEvent> = events.iter().collect();
    ordered.sort_by_key(|observed| observed.event.stamp);
    let ordered = starts::without_unconnected(ordered);
    let mut list = ViolationList::default();
    let starts = starts::check(&ordered, &mut list);
    let submissions = jobs::check(&ordered, &mut list);
    config::check(&ordered, grace, &mut list);
    list.violations.sort_by_key(|violation| violation.stamp);
    CheckReport { violations: list.violations, submissions, starts, gaps: BTreeMap::new() }
}
