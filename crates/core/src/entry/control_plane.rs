//! Control plane: configuration, claims, reports of other entries and the tick.

use super::{DomainStatus, EntryAction, EntryMachine, EntryPhase, PeerLoad, StreamRead};
use crate::claim::{ClaimOutcome, ClaimStep};
use crate::config::{
    ApplyOutcome, ConfigRecord, ConfigSnapshot, ConfigSource, ConfigSubject, DomainAvailability,
};
use crate::error::{ErrorKind, LimitDetails};
use crate::freshness::{FreshnessStatus, PeerReport};
use crate::id::{DomainName, SubmissionId, TeamName, Version};
use crate::job::ActiveJob;
use crate::lifecycle::{DomainEvent, DomainState, JobEvent, JobState, LifecycleCharts};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use std::collections::BTreeMap;
use std::time::Duration;

impl EntryMachine {
    pub(super) fn handle_config_read(&mut self, read: StreamRead<ConfigRecord>, now: Moment) {
        let before = self.version();
        self.ledger.skip_to(read.earliest);
        for (offset, record) in read.records {
            if let ApplyOutcome::Rejected { current } = self.ledger.apply(offset, record) {
                let rejected = TimelineEvent::new(EventKind::ChangeRejected);
                let rejected = rejected.field(EventField::Offset(offset));
                self.record_event(rejected.field(EventField::Current(current)));
            }
        }
        if read.is_end && self.ledger.is_complete() {
            self.freshness.confirm(read.requested_at);
        }
        self.apply_new_version(before, ConfigSource::Log, now);
        self.update_freshness(now);
    }

    pub(super) fn handle_peer_snapshot(&mut self, snapshot: ConfigSnapshot, now: Moment) {
        let before = self.version();
        self.ledger.install_snapshot(snapshot);
        self.apply_new_version(before, ConfigSource::Entry, now);
        self.update_freshness(now);
    }

    pub(super) fn handle_config_fetched(
        &mut self,
        snapshot: Option<ConfigSnapshot>,
        requested_at: Duration,
        now: Moment,
    ) {
        let before = self.version();
        if let Some(snapshot) = snapshot {
            self.ledger.install_snapshot(snapshot);
        }
        self.freshness.confirm(requested_at);
        self.apply_new_version(before, ConfigSource::Log, now);
        self.update_freshness(now);
    }

    /// Applies the effects of the current configuration, which came from `source`, if its version
    /// differs from `before`.
    fn apply_new_version(&mut self, before: Version, source: ConfigSource, now: Moment) {
        let version = self.version();
        if version == before {
            return;
        }
        self.config_fetch.record_progress();
        let applied = TimelineEvent::new(EventKind::ConfigApplied);
        let applied = applied.field(EventField::Version(version));
        self.record_event(applied.field(EventField::Source(source)));
        let availabilities: Vec<(DomainName, DomainAvailability)> = {
            let domains = &self.ledger.configuration().domains;
            domains.iter().map(|(name, availability)| (name.clone(), *availability)).collect()
        };
        for (domain, availability) in availabilities {
            self.update_domain_state(&domain, availability, now);
        }
        self.record_config_events(before);
        let configuration = self.ledger.configuration();
        let is_kept = |service: &str, request: &str| configuration.has_request(service, request);
        self.run_times.retain(is_kept);
        self.deadline_probes.retain(is_kept);
        self.update_planned_services(now);
        self.dispatch_all(now);
    }

    /// Records an event for each change to a failure domain or backend server after version
    /// `before`, including changes that arrived in a snapshot.
    fn record_config_events(&mut self, before: Version) {
        let configuration = self.ledger.configuration();
        let changed =
            configuration.subject_versions.iter().filter(|(_, version)| **version > before);
        let events = changed.filter_map(|(subject, version)| {
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
            Some(event.field(EventField::Version(*version)))
        });
        for event in events.collect::<Vec<_>>() {
            self.record_event(event);
        }
    }

    /// Records an event once a majority of the electorate has applied the current version.
    fn record_accepted_version(&mut self) {
        let version = self.version();
        if version > self.accepted_version && self.is_accepted(version) {
            self.accepted_version = version;
            let accepted = TimelineEvent::new(EventKind::ConfigAccepted);
            self.record_event(accepted.field(EventField::Version(version)));
        }
    }

    fn update_domain_state(
        &mut self,
        domain: &DomainName,
        availability: DomainAvailability,
        now: Moment,
    ) {
        let chart = &LifecycleCharts::shared().domain;
        let initial = DomainStatus { state: chart.initial(), since: now.elapsed };
        let status = self.domains.entry(domain.clone()).or_insert(initial);
        let event = match availability {
            DomainAvailability::OutOfService => DomainEvent::TakeOut,
            DomainAvailability::InService => DomainEvent::BringBack,
        };
        if let Ok(state) = chart.next(status.state, event) {
            *status = DomainStatus { state, since: now.elapsed };
        }
    }

    /// Ends the ramp of failure domains that returned long enough ago; returns whether any domain
    /// was still ramping.
    fn finish_ramps(&mut self, now: Moment) -> bool {
        let chart = &LifecycleCharts::shared().domain;
        let mut is_ramping = false;
        for status in self.domains.values_mut() {
            if status.state != DomainState::Returning {
                continue;
            }
            is_ramping = true;
            if now.elapsed.saturating_sub(status.since) < self.limits.ramp {
                continue;
            }
            if let Ok(state) = chart.next(status.state, DomainEvent::Ramped) {
                *status = DomainStatus { state, since: now.elapsed };
            }
        }
        is_ramping
    }

    /// Evaluates whether the configuration is confirmed, and dispatches queued tasks once starts
    /// are permitted again.
    fn update_freshness(&mut self, now: Moment) {
        self.record_accepted_version();
        let was_permitted = self.is_start_permitted(now);
        let was_lapsed = self.freshness_status == FreshnessStatus::Lapsed;
        let configuration = self.ledger.configuration();
        let electorate = &configuration.electorate;
        self.freshness_status =
            self.freshness.evaluate(configuration.version, electorate, now.elapsed);
        let has_configuration = configuration.version > 0 && self.ledger.is_complete();
        if self.freshness_status == FreshnessStatus::Lapsed
            && self.limits.serves_unconfirmed
            && has_configuration
        {
            self.freshness_status =
                FreshnessStatus::Unconfirmed { until: now.elapsed + self.limits.lease };
        }
        let is_lapsed = self.freshness_status == FreshnessStatus::Lapsed;
        if is_lapsed != was_lapsed {
            let kind =
                if is_lapsed { EventKind::FreshnessLost } else { EventKind::FreshnessRegained };
            self.record_event(TimelineEvent::new(kind));
        }
        if !was_permitted && self.is_start_permitted(now) {
            self.dispatch_all(now);
        }
    }

    pub(super) fn handle_claims_read(&mut self, read: StreamRead<Vec<ClaimStep>>, now: Moment) {
        self.claims.skip_to(read.earliest);
        for (offset, steps) in read.records {
            for outcome in self.claims.apply(offset, &steps, now.elapsed) {
                self.handle_claim_outcome(outcome, now);
            }
        }
        if read.is_end {
            self.claims_read_at = self.claims_read_at.max(Some(read.requested_at));
        }
    }

    fn handle_claim_outcome(&mut self, outcome: ClaimOutcome, now: Moment) {
        let (ClaimOutcome::Won { submission } | ClaimOutcome::Lost { submission, .. }) = outcome;
        let Some(job) = self.jobs.get_mut(&submission) else { return };
        if job.state() != JobState::Claiming {
            return;
        }
        match outcome {
            ClaimOutcome::Won { .. } => {
                job.advance(JobEvent::Admit);
                self.record_job_event(EventKind::ClaimWon, submission);
                self.enqueue_job(submission, now);
            }
            ClaimOutcome::Lost { holder, .. } => self.handle_lost_claim(submission, holder, now),
        }
    }

    /// Moves the waiters of a submission to the job that holds the claim, if this entry has it and
    /// its content is the same; otherwise the submission fails.
    fn handle_lost_claim(&mut self, submission: SubmissionId, holder: SubmissionId, now: Moment) {
        self.record_job_event(EventKind::ClaimLost, submission);
        if let Some(key) = self.jobs.get(&submission).and_then(|job| job.claim) {
            self.remove_queued_claim(submission, key);
        }
        let Some(job) = self.jobs.get_mut(&submission) else { return };
        job.claim = None;
        let digest = job.digest;
        let has_same_content = |holder: &ActiveJob| holder.digest == digest;
        if !self.jobs.get(&holder).is_some_and(has_same_content) {
            let details = LimitDetails::default();
            self.fail_job(submission, ErrorKind::AlreadyClaimed, details, now);
            return;
        }
        let Some(job) = self.remove_job(submission, now) else { return };
        for &waiter_id in &job.waiters {
            self.waiters.insert(waiter_id, holder);
        }
        if let Some(other) = self.jobs.get_mut(&holder) {
            other.waiters.extend(job.waiters);
        }
    }

    fn remove_queued_claim(&mut self, submission: SubmissionId, key: crate::claim::ClaimKey) {
        let step = ClaimStep::Claim { key, submission };
        self.claim_outbox.retain(|other| *other != step);
    }

    /// Appends the queued claim steps; at most one append is in flight.
    pub(super) fn append_claims(&mut self, now: Moment) {
        let is_ready = self.claims_in_flight.is_empty() && !self.claim_outbox.is_empty();
        if is_ready && self.claim_limiter.try_acquire(self.entry_count(), now.elapsed) {
            self.claims_in_flight = std::mem::take(&mut self.claim_outbox);
            self.actions.push(EntryAction::AppendClaims(self.claims_in_flight.clone()));
        }
    }

    /// Handles the end of an append of claims. The log may contain an append that it did not
    /// confirm, so the steps are appended again.
    pub(super) fn end_claim_append(&mut self, is_confirmed: bool) {
        let steps = std::mem::take(&mut self.claims_in_flight);
        if is_confirmed {
            return;
        }
        let is_needed = |step: &ClaimStep| match step {
            ClaimStep::Release { .. } => true,
            ClaimStep::Claim { submission, .. } => self.jobs.contains_key(submission),
        };
        let retried = steps.into_iter().filter(is_needed);
        let queued = std::mem::take(&mut self.claim_outbox);
        self.claim_outbox = retried.chain(queued).collect();
    }

    pub(super) fn end_refusal_append(&mut self, is_confirmed: bool) {
        if is_confirmed {
            self.refusal_buffer.confirm();
        } else {
            self.refusal_buffer.retry();
        }
    }

    pub(super) fn handle_peer_report(
        &mut self,
        report: PeerReport,
        team_load: BTreeMap<TeamName, u32>,
        requested_at: Duration,
        now: Moment,
    ) {
        let load = PeerLoad { requested_at, teams: team_load };
        self.peer_loads.insert(report.entry.clone(), load);
        self.freshness.record_report(report, requested_at);
        self.update_freshness(now);
    }

    pub(super) fn handle_tick(&mut self, now: Moment) {
        self.update_freshness(now);
        self.expire_claims(now);
        self.expire_jobs(now);
        self.reclassify_due_jobs(now);
        self.send_due_status_queries(now);
        self.requeue_lapsed_runs(now);
        for index in self.directory.sweep(self.heartbeat_interval(), now.elapsed) {
            let Some(name) = self.directory.get(index).map(|server| server.name().clone()) else {
                continue;
            };
            self.record_event(TimelineEvent::new(EventKind::ServerSilent).subject(&name));
        }
        self.probe_last_servers(now);
        self.losses.expire(now.elapsed);
        let lease = self.limits.lease;
        self.peer_loads.retain(|_, load| load.requested_at + lease > now.elapsed);
        self.cached_answers.retain(|_, answer| answer.expires_at > now.elapsed);
        if self.finish_ramps(now) || !self.queue.is_empty() {
            self.dispatch_all(now);
        }
        self.plan_all(now);
        self.append_refusals(now);
        self.republish_config(now);
    }

    fn probe_last_servers(&mut self, now: Moment) {
        let configuration = self.ledger.configuration();
        for service in self.directory.probe_last_servers(configuration, now.elapsed) {
            let lifted = TimelineEvent::new(EventKind::QuarantineLifted).subject(&service);
            self.record_event(lifted);
        }
    }

    fn append_refusals(&mut self, now: Moment) {
        if self.phase == EntryPhase::Closing && self.jobs.is_empty() {
            self.refusal_buffer.close();
        }
        if !self.refusal_buffer.has_append()
            || !self.refusal_limiter.try_acquire(self.entry_count(), now.elapsed)
        {
            return;
        }
        if let Some(record) = self.refusal_buffer.start_append() {
            self.actions.push(EntryAction::AppendRefusals(record));
        }
    }

    fn republish_config(&mut self, now: Moment) {
        let (latest, next) = (self.ledger.latest_snapshot(), self.ledger.next_offset());
        if !self.snapshot_schedule.is_due(latest, next, now.elapsed) {
            return;
        }
        if let Some(snapshot) = self.ledger.snapshot() {
            self.actions.push(EntryAction::AppendSnapshot(snapshot));
        }
    }

    pub(super) fn begin_drain(&mut self) {
        self.phase = EntryPhase::Draining;
        self.record_event(TimelineEvent::new(EventKind::ProcessDraining));
    }
}
