//! Admission: which jobs an entry takes.

use super::{AccountSubject, EntryAction, EntryMachine, EntryPhase};
use crate::claim::{ClaimKey, ClaimStep, content_digest};
use crate::config::{Configuration, ServiceSpec};
use crate::error::{ErrorKind, JobError, RefusalFigures};
use crate::id::{SubmissionId, submission_id};
use crate::job::{ActiveJob, JobAnswer, JobRequest};
use crate::lifecycle::{JobEvent, ServerState};
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventFigure, EventKind, TimelineEvent};
use std::time::Duration;

/// What to do with a job that arrived.
pub(super) enum Admission {
    /// Queue its tasks.
    Admit,
    /// Claim its key first.
    Claim(ClaimKey),
    /// Let it wait for the answer of the submission that runs it.
    Join(SubmissionId),
    /// Give the answer that its earlier submission got.
    Repeat(ClaimKey),
    /// Refuse it.
    Refuse(JobError),
}

/// Lead of a caller's clock that is let pass.
pub(super) const CLOCK_LEAD: Duration = Duration::from_secs(5);

impl EntryMachine {
    pub(super) fn submit(&mut self, ticket: u64, request: JobRequest, now: Moment) {
        let id = self.next_id();
        match self.judge(&request, now) {
            Admission::Admit => self.hold(id, ticket, request, None, now),
            Admission::Claim(key) => self.hold(id, ticket, request, Some(key), now),
            Admission::Join(other) => self.join(ticket, other),
            Admission::Repeat(key) => self.repeat(ticket, key),
            Admission::Refuse(error) => {
                let error = self.proven(&request, error, now);
                self.refuse(id, ticket, &request, error, now);
            }
        }
    }

    pub(super) fn refuse_malformed(&mut self, ticket: u64, error: JobError, now: Moment) {
        let id = self.next_id();
        let empty = AccountSubject {
            submission: id,
            job: "".into(),
            team: "".into(),
            service: "".into(),
            tasks: 0,
        };
        self.answer_refusal(ticket, empty, error, now);
    }

    fn next_id(&mut self) -> SubmissionId {
        self.next_submission += 1;
        submission_id(self.identity.incarnation, self.next_submission)
    }

    fn judge(&mut self, request: &JobRequest, now: Moment) -> Admission {
        let checks = [
            Self::check_phase,
            Self::check_freshness,
            Self::check_shape,
            Self::check_servers,
            Self::check_fit,
        ];
        for check in checks {
            if let Err(error) = check(self, request, now) {
                return Admission::Refuse(error);
            }
        }
        let key = match self.claim_for(request, now) {
            Ok(key) => key,
            Err(error) => return Admission::Refuse(error),
        };
        if let Some(known) = key.and_then(|key| self.find_claimed(key, request)) {
            return known;
        }
        let checks = [Self::check_room, Self::check_quota, Self::check_deadline];
        for check in checks {
            if let Err(error) = check(self, request, now) {
                return Admission::Refuse(error);
            }
        }
        key.map_or(Admission::Admit, Admission::Claim)
    }

    fn check_phase(&self, _request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        match self.phase {
            EntryPhase::Serving => Ok(()),
            EntryPhase::Draining | EntryPhase::Closing => Err(JobError::plain(ErrorKind::Draining)),
        }
    }

    fn check_freshness(&self, _request: &JobRequest, now: Moment) -> Result<(), JobError> {
        if self.is_fresh(now) {
            return Ok(());
        }
        let lease = millis(self.limits.lease);
        let figures = RefusalFigures::new("lease_ms", lease, 0);
        Err(JobError::new(ErrorKind::ConfigurationStale, figures))
    }

    fn check_shape(&self, request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        let configuration = self.ledger.configuration();
        let spec = find_spec(configuration, request)?;
        let count = request.tasks.len();
        if count == 0 {
            let figures = RefusalFigures::new("least_tasks", 1, 0);
            return Err(JobError::new(ErrorKind::InvalidRequest, figures));
        }
        if count > self.limits.tasks_per_job {
            let allowed = self.limits.tasks_per_job as u64;
            let figures = RefusalFigures::new("tasks_per_job", allowed, count as u64);
            return Err(JobError::new(ErrorKind::JobTooLarge, figures));
        }
        let is_known = |name| spec.requests.contains_key(name);
        if !request.tasks.iter().all(|task| is_known(&task.request_name)) {
            return Err(JobError::plain(ErrorKind::UnknownRequest));
        }
        let deadline = request.deadline.unwrap_or(spec.deadline);
        if deadline > self.limits.longest_deadline {
            let allowed = millis(self.limits.longest_deadline);
            let figures = RefusalFigures::new("longest_deadline_ms", allowed, millis(deadline));
            return Err(JobError::new(ErrorKind::InvalidRequest, figures));
        }
        Ok(())
    }

    fn check_servers(&self, request: &JobRequest, now: Moment) -> Result<(), JobError> {
        if self.is_warming(now) {
            return Ok(());
        }
        let configuration = self.ledger.configuration();
        let offering = self.directory.offering(&request.service);
        let may_serve = |&index: &usize| {
            let Some(server) = self.directory.get(index) else { return false };
            let is_present = !matches!(
                server.state(),
                ServerState::Silent | ServerState::Leaving | ServerState::Gone
            );
            is_present
                && configuration.is_in_service(server.domain())
                && !configuration.is_leaving(server.name())
        };
        if offering.iter().any(may_serve) {
            return Ok(());
        }
        let figures = RefusalFigures::new("servers_in_service", 1, 0);
        Err(JobError::new(ErrorKind::NoServerInService, figures))
    }

    fn check_fit(&self, request: &JobRequest, now: Moment) -> Result<(), JobError> {
        if self.is_warming(now) && self.directory.offering(&request.service).is_empty() {
            return Ok(());
        }
        let spec = find_spec(self.ledger.configuration(), request)?;
        let offering = self.directory.offering(&request.service).iter();
        let rooms =
            offering.filter_map(|&index| Some(self.directory.get(index)?.latest_report().capacity));
        for task in &request.tasks {
            let (room, _) = spec.demand(task);
            // Mostly the first server looked at is large enough.
            if rooms.clone().any(|whole| room.fits(&whole, &ResourceAmounts::default())) {
                continue;
            }
            let most = rooms.map(|whole| whole.slots).max().unwrap_or(0);
            let figures = RefusalFigures::new("slots_per_server", most.into(), room.slots.into());
            return Err(JobError::new(ErrorKind::CannotRun, figures));
        }
        Ok(())
    }

    fn check_room(&self, request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        let held = self.held_tasks + request.tasks.len();
        if held <= self.limits.tasks_held {
            return Ok(());
        }
        let allowed = self.limits.tasks_held as u64;
        let figures = RefusalFigures::new("tasks_held", allowed, held as u64);
        Err(JobError::new(ErrorKind::Overloaded, figures))
    }

    fn check_quota(&self, request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        let Some(quota) = self.ledger.configuration().quotas.get(&request.team) else {
            return Ok(());
        };
        let here = self.team_open.get(&request.team).copied().unwrap_or(0);
        let asked = here.saturating_add(u32::try_from(request.tasks.len()).unwrap_or(u32::MAX));
        let elsewhere: u32 =
            self.peer_load.values().filter_map(|load| load.teams.get(&request.team)).sum();
        let share = quota.tasks_in_flight / self.entries();
        let allowed = share.max(quota.tasks_in_flight.saturating_sub(elsewhere));
        if asked <= allowed {
            return Ok(());
        }
        let figures = RefusalFigures::new("tasks_in_flight", allowed.into(), asked.into());
        Err(JobError::new(ErrorKind::QuotaExceeded, figures))
    }

    fn hold(
        &mut self,
        id: SubmissionId,
        ticket: u64,
        request: JobRequest,
        claim: Option<ClaimKey>,
        now: Moment,
    ) {
        let Some(spec) = self.ledger.configuration().services.get(&request.service) else { return };
        let digest = claim.map_or(0, |_| content_digest(&request.tasks));
        let mut job = ActiveJob::new(id, ticket, request, spec, now.elapsed);
        job.wait_limits = self.patience(&job);
        let by_size = self.limits.task_surcharge * job.task_count();
        job.queue_penalty = job.wait_limits.map_or(by_size, |patience| patience.slack);
        job.claim = claim;
        job.digest = digest;
        self.held_tasks += job.tasks.len();
        *self.team_open.entry(job.team.clone()).or_insert(0) += job.task_count();
        self.tickets.insert(ticket, id);
        self.dues.insert((job.deadline_at, id));
        let admitted = TimelineEvent::new(EventKind::JobAdmitted).submission(id);
        let admitted =
            admitted.subject(&job.name).figure(EventFigure::Tasks(job.tasks.len() as u64));
        self.note(admitted);
        match claim {
            None => {
                job.advance(JobEvent::Admit);
                self.jobs.insert(id, job);
                self.follow_band(id, now);
                self.enqueue(id, now);
            }
            Some(key) => {
                job.advance(JobEvent::Claim);
                let due = job.deadline_at.min(now.elapsed + self.limits.claim_timeout);
                self.claim_dues.insert((due, id));
                self.jobs.insert(id, job);
                self.follow_band(id, now);
                self.claim_outbox.push(ClaimStep::Claim { key, submission: id });
                let sent = TimelineEvent::new(EventKind::ClaimSent).submission(id);
                self.note(sent.figure(EventFigure::Key(key)));
            }
        }
    }

    fn join(&mut self, ticket: u64, id: SubmissionId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiters.push(ticket);
            self.tickets.insert(ticket, id);
        }
    }

    fn repeat(&mut self, ticket: u64, key: ClaimKey) {
        let version = self.version();
        if let Some(kept) = self.kept.get(&key) {
            self.actions.push(EntryAction::Answer {
                ticket,
                submission: kept.submission,
                answer: kept.answer.clone(),
                version,
            });
        }
    }

    fn refuse(
        &mut self,
        id: SubmissionId,
        ticket: u64,
        request: &JobRequest,
        error: JobError,
        now: Moment,
    ) {
        let subject = AccountSubject {
            submission: id,
            job: request.name.clone(),
            team: request.team.clone(),
            service: request.service.clone(),
            tasks: u32::try_from(request.tasks.len()).unwrap_or(u32::MAX),
        };
        self.answer_refusal(ticket, subject, error, now);
    }

    fn answer_refusal(
        &mut self,
        ticket: u64,
        subject: AccountSubject,
        error: JobError,
        now: Moment,
    ) {
        let submission = subject.submission;
        let refused = TimelineEvent::new(EventKind::JobRefused).submission(submission);
        let refused = refused.subject(&subject.job);
        self.note(
            refused
                .figure(EventFigure::Kind(error.kind))
                .figure(EventFigure::NotRun(error.not_run)),
        );
        self.account(subject, error.clone(), now);
        let answer = JobAnswer::Failed(error);
        let version = self.version();
        self.actions.push(EntryAction::Answer { ticket, submission, answer, version });
    }
}

pub(super) fn find_spec<'a>(
    configuration: &'a Configuration,
    request: &JobRequest,
) -> Result<&'a ServiceSpec, JobError> {
    let spec = configuration.services.get(&request.service);
    if let Some(spec) = spec.filter(|spec| spec.team == request.team) {
        return Ok(spec);
    }
    let is_known = configuration.quotas.contains_key(&request.team)
        || configuration.services.values().any(|spec| spec.team == request.team);
    let kind = if is_known { ErrorKind::UnknownService } else { ErrorKind::UnknownTeam };
    Err(JobError::plain(kind))
}

pub(super) fn is_idempotent(spec: &ServiceSpec, request: &JobRequest) -> bool {
    let is_idempotent = |name| spec.requests.get(name).is_some_and(|rule| rule.idempotent);
    request.tasks.iter().all(|task| is_idempotent(&task.request_name))
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
