//! Checker of the promises, fed with the time lines of a run.
//!
//! Each [`Promise`] is a predicate over the merged events of all processes. [`check`] names, for
//! each promise that is broken, the events that break it, the first one first. It says nothing of
//! what a ring has dropped: [`CheckReport::gaps`] lists the processes whose events are incomplete.

mod config;
mod jobs;
mod starts;

use crate::id::{DomainName, Incarnation};
use crate::time::HybridTimestamp;
use crate::timeline::TimelineEvent;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// No task of one submission starts twice.
    StartsOnce,
    /// A job is answered once, whole or failed.
    WholeAnswer,
    /// No task starts in a failure domain out of service for longer than the grace.
    DomainOut,
    /// Every answer belongs to the job that it is given to.
    OwnAnswer,
    /// A refusal that says so was not run.
    NotRun,
    /// A non-idempotent request runs at most once across its submissions.
    AtMostOnce,
    /// A leaving backend server starts nothing after the grace.
    LeavingServer,
    /// A planned stop cuts nothing in progress.
    GracefulStop,
    /// Configuration goes forward, and an accepted one is in force everywhere in time.
    ConfigForward,
}

impl Promise {
    /// Every promise with its name.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::StartsOnce, "starts_once"),
        (Self::WholeAnswer, "whole_answer"),
        (Self::DomainOut, "domain_out"),
        (Self::OwnAnswer, "own_answer"),
        (Self::NotRun, "not_run"),
        (Self::AtMostOnce, "at_most_once"),
        (Self::LeavingServer, "leaving_server"),
        (Self::GracefulStop, "graceful_stop"),
        (Self::ConfigForward, "config_forward"),
    ];

    /// Name of the promise.
    pub fn name(self) -> &'static str {
        Self::ALL.into_iter().find(|(promise, _)| *promise == self).map_or("", |(_, name)| name)
    }
}

/// Event with the process that saw it.
#[derive(Debug, Clone)]
pub struct ObservedEvent {
    /// Name of the process.
    pub process: Arc<str>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Event.
    pub event: TimelineEvent,
}

/// Times that the promises leave.
#[derive(Debug, Clone, Copy)]
pub struct CheckGrace {
    /// Between the acceptance of a take-out or a leave and the last start that it allows.
    pub few_seconds: Duration,
    /// Between the acceptance of a change and its being in force everywhere.
    pub in_force: Duration,
}

impl Default for CheckGrace {
    fn default() -> Self {
        Self { few_seconds: Duration::from_secs(5), in_force: Duration::from_secs(10) }
    }
}

/// One broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseBreach {
    /// Promise.
    pub promise: Promise,
    /// Process at which the breaking event happened.
    pub process: Arc<str>,
    /// Time of the breaking event.
    pub stamp: HybridTimestamp,
    /// Breaking event and what contradicts it.
    pub text: String,
}

impl fmt::Display for PromiseBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "promise={} at={}.{} process={} {}",
            self.promise.name(),
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
    /// Broken promises in the order of their events.
    pub breaches: Vec<PromiseBreach>,
    /// Submissions seen.
    pub submissions: usize,
    /// Starts seen.
    pub starts: usize,
    /// Processes whose events are incomplete, with the number of events dropped.
    pub gaps: BTreeMap<Arc<str>, u64>,
}

impl CheckReport {
    /// First breach of `promise`.
    pub fn first(&self, promise: Promise) -> Option<&PromiseBreach> {
        self.breaches.iter().find(|breach| breach.promise == promise)
    }
}

/// Collects breaches.
#[derive(Debug, Default)]
struct BreachList {
    breaches: Vec<PromiseBreach>,
}

impl BreachList {
    fn add(&mut self, promise: Promise, observed: &ObservedEvent, against: &str) {
        self.breaches.push(PromiseBreach {
            promise,
            process: observed.process.clone(),
            stamp: observed.event.stamp,
            text: format!("{} against=\"{against}\"", observed.event),
        });
    }
}

/// Checks the merged events of all processes of a run.
pub fn check(events: &[ObservedEvent], grace: CheckGrace) -> CheckReport {
    let mut ordered: Vec<&ObservedEvent> = events.iter().collect();
    ordered.sort_by_key(|observed| observed.event.stamp);
    let ordered = starts::without_unreached(ordered);
    let mut list = BreachList::default();
    let starts = starts::check(&ordered, &mut list);
    let submissions = jobs::check(&ordered, &mut list);
    config::check(&ordered, grace, &mut list);
    list.breaches.sort_by_key(|breach| breach.stamp);
    CheckReport { breaches: list.breaches, submissions, starts, gaps: BTreeMap::new() }
}
