//! Heartbeats of agents, and the directives that answer them.

use super::dispatch::Contention;
use super::{AgentDirective, EntryMachine};
use crate::directory::{ReportOutcome, ServerReport};
use crate::freshness::FreshnessStatus;
use crate::id::{Incarnation, SubmissionId, incarnation_of};
use crate::time::Moment;
use crate::timeline::{EventKind, TimelineEvent};
use std::time::Duration;

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

    /// Records the run lease that a start, or the directive that answers a heartbeat, grants to an
    /// incarnation of an agent, whatever the directory makes of it. There the lease ends earlier: the
    /// agent counts it from when it sent the heartbeat.
    pub(super) fn record_run_lease(&mut self, index: usize, incarnation: Incarnation, now: Moment) {
        if let Some(run_lease) = self.run_lease() {
            self.run_leases.insert((index, incarnation), now.elapsed + run_lease);
        }
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
            confirmed_age: Some(self.confirmed_age(now)),
            valid_for: until.map_or(Duration::ZERO, |until| until.saturating_sub(now.elapsed)),
            heartbeat_interval: self.heartbeat_interval(),
            renewal_interval: self.limits.heartbeat,
            run_lease: self.run_lease(),
            ended_submissions: self.ended_submissions(&report.held_submissions),
        }
    }

    /// Age of what confirms the configuration; the longest time if nothing ever did.
    ///
    /// While the configuration is unconfirmed, that is the age of the latest confirmation by the log.
    pub(super) fn confirmed_age(&self, now: Moment) -> Duration {
        if let FreshnessStatus::Agreed { until } = self.freshness_status {
            return (now.elapsed + self.limits.lease).saturating_sub(until);
        }
        let age = self.freshness.confirmation_age(self.version(), now.elapsed);
        age.unwrap_or(Duration::MAX)
    }

    /// Those of the `held` submissions that this incarnation of the entry received and no longer
    /// works on.
    fn ended_submissions(&self, held: &[SubmissionId]) -> Vec<SubmissionId> {
        let is_ended = |id: &SubmissionId| {
            incarnation_of(*id) == self.identity.incarnation && !self.jobs.contains_key(id)
        };
        held.iter().copied().filter(is_ended).collect()
    }

    /// How long tasks may run after a heartbeat or a start; `None` if they run without a lease. It
    /// spans several renewals, so that one of them may be lost.
    pub(super) fn run_lease(&self) -> Option<Duration> {
        (!self.limits.run_lease.is_zero()).then_some(self.limits.run_lease)
    }

    /// Heartbeat interval of agents without tasks of this entry, which keeps all known servers
    /// within `heartbeats_per_second`.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        let servers = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        let rate_limited =
            Duration::from_secs(1) * servers / self.limits.heartbeats_per_second.max(1);
        self.limits.heartbeat.max(rate_limited)
    }
}
