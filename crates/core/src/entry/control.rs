//! Control: configuration, claims, peers, heartbeats and the passing of time.

use super::{
    AgentDirective, DomainLife, EntryAction, EntryMachine, EntryPhase, PeerLoad, StreamRead,
};
use crate::claim::{ClaimStep, ClaimVerdict};
use crate::config::{ApplyOutcome, ConfigRecord, ConfigSnapshot, ConfigSubject, DomainOrder};
use crate::directory::{ReportOutcome, ServerReport};
use crate::error::{ErrorKind, RefusalFigures};
use crate::freshness::{FreshnessVerdict, PeerReport};
use crate::id::{DomainName, SubmissionId, TeamName, Version};
use crate::job::ActiveJob;
use crate::lifecycle::{DomainEvent, DomainState, JobEvent, JobState, LifecycleCharts};
use crate::time::Moment;
use crate::timeline::{EventFigure, EventKind, TimelineEvent};
use std::collections::BTreeMap;
use std::time::Duration;

/// Heartbeats within the lease of the tasks that an agent runs.
const HEARTBEATS_IN_LEASE: u32 = 3;

impl EntryMachine {
    pub(super) fn take_config(&mut self, read: StreamRead<ConfigRecord>, now: Moment) {
        let before = self.version();
        self.ledger.note_earliest(read.earliest);
        for (offset, record) in read.records {
            if let ApplyOutcome::Rejected { current } = self.ledger.apply(offset, record) {
                let rejected = TimelineEvent::new(EventKind::ChangeRejected);
                let rejected = rejected.figure(EventFigure::Offset(offset));
                self.note(rejected.figure(EventFigure::Current(current)));
            }
        }
        if read.is_end && self.ledger.is_whole() {
            self.freshness.confirm(read.sent);
        }
        self.follow_config(before, now);
        self.judge_freshness(now);
    }

    pub(super) fn take_peer_snapshot(&mut self, snapshot: ConfigSnapshot, now: Moment) {
        let before = self.version();
        self.ledger.adopt(snapshot);
        self.follow_config(before, now);
        self.judge_freshness(now);
    }

    pub(super) fn take_whole_config(
        &mut self,
        snapshot: Option<ConfigSnapshot>,
        sent: Duration,
        now: Moment,
    ) {
        let before = self.version();
        if let Some(snapshot) = snapshot {
            self.ledger.adopt(snapshot);
        }
        self.freshness.confirm(sent);
        self.follow_config(before, now);
        self.judge_freshness(now);
    }

    fn follow_config(&mut self, before: Version, now: Moment) {
        let version = self.version();
        if version == before {
            return;
        }
        let applied = TimelineEvent::new(EventKind::ConfigApplied);
        self.note(applied.figure(EventFigure::Version(version)));
        let orders: Vec<(DomainName, DomainOrder)> = {
            let domains = &self.ledger.configuration().domains;
            domains.iter().map(|(name, order)| (name.clone(), *order)).collect()
        };
        for (domain, order) in orders {
            self.order_domain(&domain, order, now);
        }
        self.note_orders(before);
        let configuration = self.ledger.configuration();
        self.run_times.retain(|service| configuration.services.contains_key(service));
        self.pump_all(now);
    }

    /// Notes each order about a failure domain or backend server that came after `before`, also
    /// where a snapshot brought it.
    fn note_orders(&mut self, before: Version) {
        let configuration = self.ledger.configuration();
        let later = configuration.subjects.iter().filter(|(_, version)| **version > before);
        let events = later.filter_map(|(subject, version)| {
            let (kind, name) = match subject {
                ConfigSubject::Domain(name) if configuration.is_in_service(name) => {
                    (EventKind::DomainBack, name)
                }
                ConfigSubject::Domain(name) => (EventKind::DomainOut, name),
                ConfigSubject::Server(name) if configuration.is_leaving(name) => {
                    (EventKind::ServerLeaving, name)
                }
                ConfigSubject::Server(name) => (EventKind::ServerRejoined, name),
                _ => return None,
            };
            let event = TimelineEvent::new(kind).subject(name);
            Some(event.figure(EventFigure::Version(*version)))
        });
        for event in events.collect::<Vec<_>>() {
            self.note(event);
        }
    }

    /// Notes the highest version that a majority of the voting entries holds.
    fn note_accepted(&mut self) {
        let version = self.version();
        if version > self.accepted && self.is_accepted(version) {
            self.accepted = version;
            let accepted = TimelineEvent::new(EventKind::ConfigAccepted);
            self.note(accepted.figure(EventFigure::Version(version)));
        }
    }

    fn order_domain(&mut self, domain: &DomainName, order: DomainOrder, now: Moment) {
        let chart = &LifecycleCharts::shared().domain;
        let initial = DomainLife { state: chart.initial(), since: now.elapsed };
        let life = self.domains.entry(domain.clone()).or_insert(initial);
        let event = match order {
            DomainOrder::OutOfService => DomainEvent::TakeOut,
            DomainOrder::InService => DomainEvent::BringBack,
        };
        if let Ok(state) = chart.next(life.state, event) {
            *life = DomainLife { state, since: now.elapsed };
        }
    }

    /// Ends the ramp of failure domains that have been back for long enough.
    fn end_ramps(&mut self, now: Moment) -> bool {
        let chart = &LifecycleCharts::shared().domain;
        let mut is_ramping = false;
        for life in self.domains.values_mut() {
            if life.state != DomainState::Returning {
                continue;
            }
            is_ramping = true;
            if now.elapsed.saturating_sub(life.since) < self.limits.ramp {
                continue;
            }
            if let Ok(state) = chart.next(life.state, DomainEvent::Ramped) {
                *life = DomainLife { state, since: now.elapsed };
            }
        }
        is_ramping
    }

    fn judge_freshness(&mut self, now: Moment) {
        self.note_accepted();
        let was_fresh = self.is_fresh(now);
        let was_lapsed = self.verdict == FreshnessVerdict::Lapsed;
        let configuration = self.ledger.configuration();
        let electorate = &configuration.electorate;
        self.verdict = self.freshness.judge(configuration.version, electorate, now.elapsed);
        let is_held = configuration.version > 0 && self.ledger.is_whole();
        if self.verdict == FreshnessVerdict::Lapsed && self.limits.serves_unconfirmed && is_held {
            self.verdict = FreshnessVerdict::Unconfirmed { until: now.elapsed + self.limits.lease };
        }
        let is_lapsed = self.verdict == FreshnessVerdict::Lapsed;
        if is_lapsed != was_lapsed {
            let kind =
                if is_lapsed { EventKind::FreshnessLost } else { EventKind::FreshnessRegained };
            self.note(TimelineEvent::new(kind));
        }
        if !was_fresh && self.is_fresh(now) {
            self.pump_all(now);
        }
    }

    pub(super) fn take_claims(&mut self, read: StreamRead<Vec<ClaimStep>>, now: Moment) {
        self.claims.note_earliest(read.earliest);
        for (offset, steps) in read.records {
            for verdict in self.claims.apply(offset, &steps, now.elapsed) {
                self.follow_claim(verdict, now);
            }
        }
        if read.is_end {
            self.claims_read = self.claims_read.max(Some(read.sent));
        }
    }

    fn follow_claim(&mut self, verdict: ClaimVerdict, now: Moment) {
        let (ClaimVerdict::Won { submission } | ClaimVerdict::Lost { submission, .. }) = verdict;
        let Some(job) = self.jobs.get_mut(&submission) else { return };
        if job.state() != JobState::Claiming {
            return;
        }
        match verdict {
            ClaimVerdict::Won { .. } => {
                job.advance(JobEvent::Admit);
                self.note_kind(EventKind::ClaimWon, submission);
                self.enqueue(submission, now);
            }
            ClaimVerdict::Lost { holder, .. } => self.lose_claim(submission, holder, now),
        }
    }

    /// Hands the callers of a submission to the one that holds its claim, where that is here.
    fn lose_claim(&mut self, submission: SubmissionId, holder: SubmissionId, now: Moment) {
        self.note_kind(EventKind::ClaimLost, submission);
        if let Some(key) = self.jobs.get(&submission).and_then(|job| job.claim) {
            self.drop_claim(submission, key);
        }
        let Some(job) = self.jobs.get_mut(&submission) else { return };
        job.claim = None;
        let digest = job.digest;
        let is_same = |holder: &ActiveJob| holder.digest == digest;
        if !self.jobs.get(&holder).is_some_and(is_same) {
            let figures = RefusalFigures::default();
            self.end_failed(submission, ErrorKind::AlreadyClaimed, figures, now);
            return;
        }
        let Some(job) = self.remove_job(submission) else { return };
        for &ticket in &job.waiters {
            self.tickets.insert(ticket, holder);
        }
        if let Some(other) = self.jobs.get_mut(&holder) {
            other.waiters.extend(job.waiters);
        }
    }

    fn drop_claim(&mut self, submission: SubmissionId, key: crate::claim::ClaimKey) {
        let step = ClaimStep::Claim { key, submission };
        self.claim_outbox.retain(|other| *other != step);
    }

    /// Sends the claims that wait, one append at a time.
    pub(super) fn append_claims(&mut self, now: Moment) {
        let is_wanted = self.claims_in_flight.is_empty() && !self.claim_outbox.is_empty();
        if is_wanted && self.claim_pace.admit(self.entries(), now.elapsed) {
            self.claims_in_flight = std::mem::take(&mut self.claim_outbox);
            self.actions.push(EntryAction::AppendClaims(self.claims_in_flight.clone()));
        }
    }

    /// An append that the log did not confirm may stand in it; its steps are appended again.
    pub(super) fn end_claim_append(&mut self, is_confirmed: bool) {
        let steps = std::mem::take(&mut self.claims_in_flight);
        if is_confirmed {
            return;
        }
        let is_wanted = |step: &ClaimStep| match step {
            ClaimStep::Release { .. } => true,
            ClaimStep::Claim { submission, .. } => self.jobs.contains_key(submission),
        };
        let again = steps.into_iter().filter(is_wanted);
        let waiting = std::mem::take(&mut self.claim_outbox);
        self.claim_outbox = again.chain(waiting).collect();
    }

    pub(super) fn end_account_append(&mut self, is_confirmed: bool) {
        if is_confirmed {
            self.book.confirm();
        } else {
            self.book.retry();
        }
    }

    pub(super) fn take_peer(
        &mut self,
        report: PeerReport,
        team_load: BTreeMap<TeamName, u32>,
        asked: Duration,
        now: Moment,
    ) {
        let load = PeerLoad { asked, teams: team_load };
        self.peer_load.insert(report.entry.clone(), load);
        self.freshness.hear(report, asked);
        self.judge_freshness(now);
    }

    pub(super) fn take_report(&mut self, report: ServerReport, now: Moment) {
        let name = report.name.clone();
        let (outcome, index) = self.directory.handle_report(report, now.elapsed);
        let kind = match outcome {
            ReportOutcome::Announced => Some(EventKind::ServerAnnounced),
            ReportOutcome::Replaced => Some(EventKind::ServerReplaced),
            ReportOutcome::Known | ReportOutcome::Outdated => None,
        };
        if let Some(kind) = kind {
            self.note(TimelineEvent::new(kind).subject(&name));
        }
        if outcome == ReportOutcome::Replaced {
            self.lose_incarnation(index, now);
        }
        if outcome != ReportOutcome::Outdated {
            self.pump_server(index, now);
        }
    }

    /// Instruction for the agent of `server`.
    pub fn directive(&self, server: &str, domain: &str, now: Moment) -> AgentDirective {
        let configuration = self.ledger.configuration();
        let until = self.verdict.until().filter(|_| self.ledger.is_whole());
        AgentDirective {
            entry: self.identity.incarnation,
            version: configuration.version,
            is_in_service: configuration.is_in_service(domain),
            is_leaving: configuration.is_leaving(server),
            valid_for: until.map_or(Duration::ZERO, |until| until.saturating_sub(now.elapsed)),
            next_in: self.heartbeat_interval(),
            run_lease: (!self.limits.run_lease.is_zero()).then(|| self.run_lease()),
        }
    }

    /// How long tasks run on after a heartbeat; several heartbeats, so that one may be lost.
    pub(super) fn run_lease(&self) -> Duration {
        self.limits.run_lease.max(self.heartbeat_interval() * HEARTBEATS_IN_LEASE)
    }

    /// Heartbeat interval at which the servers known stay within the entry's rate.
    fn heartbeat_interval(&self) -> Duration {
        let servers = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        let paced = Duration::from_secs(1) * servers / self.limits.heartbeats_per_second.max(1);
        self.limits.heartbeat.max(paced)
    }

    pub(super) fn tick(&mut self, now: Moment) {
        self.judge_freshness(now);
        self.end_unclaimed(now);
        self.end_overdue(now);
        self.follow_patience(now);
        self.ask_overdue(now);
        self.end_lapsed(now);
        for index in self.directory.sweep(self.heartbeat_interval(), now.elapsed) {
            let Some(name) = self.directory.get(index).map(|server| server.name().clone()) else {
                continue;
            };
            self.note(TimelineEvent::new(EventKind::ServerSilent).subject(&name));
        }
        let lease = self.limits.lease;
        self.peer_load.retain(|_, load| load.asked + lease > now.elapsed);
        self.kept.retain(|_, kept| kept.until > now.elapsed);
        if self.end_ramps(now) || !self.queue.is_empty() {
            self.pump_all(now);
        }
        self.append_accounts(now);
        self.republish(now);
    }

    fn append_accounts(&mut self, now: Moment) {
        if self.phase == EntryPhase::Closing && self.jobs.is_empty() {
            self.book.close();
        }
        if !self.book.has_step() || !self.account_pace.admit(self.entries(), now.elapsed) {
            return;
        }
        if let Some(step) = self.book.take_step() {
            self.actions.push(EntryAction::AppendAccounts(step));
        }
    }

    fn republish(&mut self, now: Moment) {
        let (latest, next) = (self.ledger.latest_snapshot(), self.ledger.next_offset());
        if !self.schedule.is_due(latest, next, now.elapsed) {
            return;
        }
        if let Some(snapshot) = self.ledger.snapshot() {
            self.actions.push(EntryAction::AppendSnapshot(snapshot));
        }
    }

    pub(super) fn drain(&mut self) {
        self.phase = EntryPhase::Draining;
        self.note(TimelineEvent::new(EventKind::ProcessDraining));
    }
}
