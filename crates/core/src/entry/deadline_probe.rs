//! Probes of run time estimates that refuse jobs.
//!
//! A job whose estimated completion exceeds its deadline is refused at once, which is best for its
//! caller if the estimate is right. If it is wrong, it refuses the only work that could correct it. So
//! one job of each kind of request is admitted all the same, as a probe, while the others are refused:
//!
//! * The first run of a probe replaces the measured averages of its kind.
//! * Once a probe is answered in time, the next job that would be refused is the next probe.
//! * A probe that is not answered in time delays the next one, each time for longer. Its caller has
//!   waited in vain, which happens to one job of a kind in each delay.

use crate::id::{RequestName, ServiceName, SubmissionId};
use std::collections::HashMap;
use std::time::Duration;

/// Delay after the first of several probes in a row that were not answered in time.
const FIRST_DELAY: Duration = Duration::from_secs(1);
/// Longest delay; it bounds how long a wrong estimate refuses jobs.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Kind of request of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// Service that runs the request.
    pub service: ServiceName,
    /// Name of the request within the service.
    pub request: RequestName,
}

/// How to handle a job whose estimated completion exceeds its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeDecision {
    /// Admit the job as a probe.
    Probe,
    /// Refuse the job.
    Refuse,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// Its job was answered in time, so the estimate was wrong.
    Refuted,
    /// Its job ended otherwise.
    NotRefuted,
}

/// Probes of one kind of request.
#[derive(Debug, Default)]
struct KindProbes {
    open: Option<SubmissionId>,
    next_at: Duration,
    /// Delay after the latest probe; zero if it was answered in time.
    delay: Duration,
}

/// Probes of all kinds of request.
#[derive(Debug, Default)]
pub(super) struct DeadlineProbes {
    kinds: HashMap<RequestKind, KindProbes>,
}

impl DeadlineProbes {
    /// Decides about a job of `kind` that arrives at `now`.
    pub(super) fn decide(&self, kind: &RequestKind, now: Duration) -> ProbeDecision {
        match self.kinds.get(kind) {
            Some(probes) if probes.open.is_some() || now < probes.next_at => ProbeDecision::Refuse,
            _ => ProbeDecision::Probe,
        }
    }

    /// Records that `job` is admitted as the probe of `kind`.
    pub(super) fn begin(&mut self, kind: RequestKind, job: SubmissionId) {
        self.kinds.entry(kind).or_default().open = Some(job);
    }

    /// Records how `job` ended at `now`, if it is the probe of `kind`.
    pub(super) fn end(
        &mut self,
        kind: &RequestKind,
        job: SubmissionId,
        result: ProbeResult,
        now: Duration,
    ) {
        let Some(probes) = self.kinds.get_mut(kind) else { return };
        if probes.open != Some(job) {
            return;
        }
        probes.open = None;
        probes.delay = match result {
            ProbeResult::Refuted => Duration::ZERO,
            ProbeResult::NotRefuted => (probes.delay * 2).clamp(FIRST_DELAY, MAX_DELAY),
        };
        probes.next_at = now + probes.delay;
    }

    /// Drops the kinds of request for which `is_kept` returns `false`.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&str, &str) -> bool) {
        self.kinds.retain(|kind, _| is_kept(&kind.service, &kind.request));
    }
}
