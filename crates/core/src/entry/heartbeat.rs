//! Heartbeats of agents, and the directives that answer them.

use super::dispatch::Contention;
use super::{AgentDirective, EntryMachine};
use crate::directory::{ReportOutcome, ServerReport};
use crate::id::{Incarnation, SubmissionId, incarnation_of};
use crate::time::Moment;
use crate::timeline::{EventKind, TimelineEvent};
use std::time::Duration;

/// Shortest run lease, in heartbeat intervals.
const HEARTBEATS_PER_RUN_LEASE: u32 = 3;

impl EntryMachine {
    pub(super) fn handle_heartbeat(&mut self, mut report: ServerReport, now: Moment) {
        let name = report.name.clone();
        let (incarnation, lost_tasks) =
            (report.incarnation, std::mem::take(&mut report.lost_tasks));
        let (outcome, index) = self.directory.handle_report(report, now.elapsed);
        self.record_run_lease(index, incarnation, now);
        if outcome != ReportOutcome::Outdated {
            self.losses.record(&name, incarnation, lost_tasks, now.elapsed);
        }
        let kind = match outcome {
            ReportOutcome::Announced => Some(EventKind::ServerAnnounced),
            ReportOutcome::Replaced => Some(EventKind::ServerReplaced),
            ReportOutcome::Updated | ReportOutcome::Outdated => None,
        };
        if let Some(kind) = kind {
            self.record_event(TimelineEvent::new(kind).subject(&name));
        }
        if outcome == ReportOutcome::Replaced {
            self.query_other_incarnations(index, now);
        }
        if outcome != ReportOutcome::Outdated {
            self.dispatch_to_server(index, Contention::Shared, now);
        }
    }

    /// Records the run lease in the directive that answers a heartbeat of `incarnation`, whatever the
    /// directory makes of it. The agent counts it from when it sent the heartbeat, so there it ends
    /// earlier.
    fn record_run_lease(&mut self, index: usize, incarnation: Incarnation, now: Moment) {
        let until = now.elapsed + self.run_lease();
        let lease = self.run_leases.entry((index, incarnation)).or_default();
        *lease = (*lease).max(until);
    }

    /// Directive for the agent that sent `report`, returned in reply to this heartbeat.
    pub fn directive(&self, report: &ServerReport, now: Moment) -> AgentDirective {
        let configuration = self.ledger.configuration();
        let until = self.freshness_status.until().filter(|_| self.ledger.is_complete());
        AgentDirective {
            entry_incarnation: self.identity.incarnation,
            version: configuration.version,
            is_in_service: configuration.is_in_service(&report.domain),
            is_leaving: configuration.is_leaving(&report.name),
            valid_for: until.map_or(Duration::ZERO, |until| until.saturating_sub(now.elapsed)),
            heartbeat_interval: self.heartbeat_interval(),
            run_lease: (!self.limits.run_lease.is_zero()).then(|| self.run_lease()),
            ended_submissions: self.ended_submissions(&report.held_submissions),
        }
    }

    /// Those of the `held` submissions that this incarnation of the entry received and no longer
    /// works on.
    fn ended_submissions(&self, held: &[SubmissionId]) -> Vec<SubmissionId> {
        let is_ended = |id: &SubmissionId| {
            incarnation_of(*id) == self.identity.incarnation && !self.jobs.contains_key(id)
        };
        held.iter().copied().filter(is_ended).collect()
    }

    /// How long tasks may run after a heartbeat. The lease spans several heartbeats, so that one of
    /// them may be lost.
    pub(super) fn run_lease(&self) -> Duration {
        self.limits.run_lease.max(self.heartbeat_interval() * HEARTBEATS_PER_RUN_LEASE)
    }

    /// Heartbeat interval that keeps all known servers within `heartbeats_per_second`.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        let servers = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        let rate_limited =
            Duration::from_secs(1) * servers / self.limits.heartbeats_per_second.max(1);
        self.limits.heartbeat.max(rate_limited)
    }
}
