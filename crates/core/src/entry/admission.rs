//! Admission: checks a submitted job and accepts, joins, answers or refuses it.

use super::estimate::{CompletionEstimate, DeadlineDecision};
use super::{EntryAction, EntryMachine, EntryPhase, RefusalSubject};
use crate::claim::{ClaimKey, ClaimStep, content_digest};
use crate::config::{Configuration, ServiceSpec};
use crate::error::{ErrorKind, JobError, LimitDetails, LimitName};
use crate::id::{SubmissionId, submission_id};
use crate::job::{ActiveJob, JobAnswer, JobRequest};
use crate::lifecycle::{JobEvent, ServerState};
use crate::overload::urgency;
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use std::time::Duration;

/// How to handle a submitted job.
pub(super) enum AdmissionDecision {
    /// Accept the job.
    Admit(JobAdmission),
    /// Attach the caller to the submission that already runs the job.
    Join(SubmissionId),
    /// Answer with the cached answer of an earlier submission.
    AnswerFromCache(ClaimKey),
    /// Refuse the job.
    Refuse(JobError),
    /// Refuse the job, which would miss its deadline by this estimate.
    RefuseByEstimate(CompletionEstimate),
}

/// How an accepted job is handled.
#[derive(Debug)]
pub(super) struct JobAdmission {
    /// Idempotency key whose claim must be confirmed before the tasks are queued.
    claim: Option<ClaimKey>,
    /// Estimate that the job tests.
    probe: Option<CompletionEstimate>,
}

/// How far the clock of a caller may be ahead of the clock of the entry.
pub(super) const MAX_CLOCK_LEAD: Duration = Duration::from_secs(5);

impl EntryMachine {
    pub(super) fn submit(&mut self, waiter_id: u64, request: JobRequest, now: Moment) {
        let id = self.next_submission_id();
        match self.evaluate_admission(&request, now) {
            AdmissionDecision::Admit(admission) => {
                self.admit_job(id, waiter_id, request, admission, now);
            }
            AdmissionDecision::Join(running) => self.join_submission(waiter_id, running),
            AdmissionDecision::AnswerFromCache(key) => self.answer_from_cache(waiter_id, key),
            AdmissionDecision::Refuse(error) => {
                self.refuse_request(id, waiter_id, &request, error, Vec::new(), now);
            }
            AdmissionDecision::RefuseByEstimate(estimate) => {
                let (error, evidence) = (estimate.error(), estimate.fields());
                self.refuse_request(id, waiter_id, &request, error, evidence, now);
            }
        }
    }

    pub(super) fn refuse_malformed(&mut self, waiter_id: u64, error: JobError, now: Moment) {
        let id = self.next_submission_id();
        let subject = RefusalSubject {
            submission: id,
            job: "".into(),
            team: "".into(),
            service: "".into(),
            tasks: 0,
        };
        self.send_refusal(waiter_id, subject, error, Vec::new(), now);
    }

    fn next_submission_id(&mut self) -> SubmissionId {
        self.next_submission += 1;
        submission_id(self.identity.incarnation, self.next_submission)
    }

    /// Runs the checks in order. A resubmission is joined or answered before the checks of quota
    /// and load, which apply to new work only.
    fn evaluate_admission(&mut self, request: &JobRequest, now: Moment) -> AdmissionDecision {
        let early_checks = [
            Self::check_phase,
            Self::check_freshness,
            Self::check_request,
            Self::check_servers_in_service,
            Self::check_server_size,
        ];
        for check in early_checks {
            if let Err(error) = check(self, request, now) {
                return AdmissionDecision::Refuse(error);
            }
        }
        let key = match self.claim_key_for(request, now) {
            Ok(key) => key,
            Err(error) => return AdmissionDecision::Refuse(error),
        };
        if let Some(decision) = key.and_then(|key| self.resolve_claimed_key(key, request)) {
            return decision;
        }
        let load_checks = [Self::check_open_tasks, Self::check_quota];
        for check in load_checks {
            if let Err(error) = check(self, request, now) {
                return AdmissionDecision::Refuse(error);
            }
        }
        let admit = |probe| AdmissionDecision::Admit(JobAdmission { claim: key, probe });
        match self.evaluate_deadline(request, now) {
            DeadlineDecision::Reachable => admit(None),
            DeadlineDecision::Probe(estimate) => admit(Some(estimate)),
            DeadlineDecision::Unreachable(estimate) => {
                AdmissionDecision::RefuseByEstimate(estimate)
            }
            DeadlineDecision::Impossible(error) => AdmissionDecision::Refuse(error),
        }
    }

    fn check_phase(&self, _request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        match self.phase {
            EntryPhase::Serving => Ok(()),
            EntryPhase::Draining | EntryPhase::Closing => Err(JobError::plain(ErrorKind::Draining)),
        }
    }

    fn check_freshness(&self, _request: &JobRequest, now: Moment) -> Result<(), JobError> {
        if self.is_start_permitted(now) {
            return Ok(());
        }
        let lease = millis(self.limits.lease);
        let details = LimitDetails::new(LimitName::LeaseMs, lease, 0);
        Err(JobError::new(ErrorKind::ConfigurationStale, details))
    }

    fn check_request(&self, request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        let configuration = self.ledger.configuration();
        let spec = find_spec(configuration, request)?;
        let count = request.task_count();
        if count == 0 {
            let details = LimitDetails::new(LimitName::LeastTasks, 1, 0);
            return Err(JobError::new(ErrorKind::InvalidRequest, details));
        }
        let allowed = self.limits.tasks_per_job as u64;
        if count > allowed {
            let details = LimitDetails::new(LimitName::TasksPerJob, allowed, count);
            return Err(JobError::new(ErrorKind::JobTooLarge, details));
        }
        let is_known_kind = |name| spec.requests.contains_key(name);
        if !request.task_groups.iter().all(|group| is_known_kind(&group.task.request_name)) {
            return Err(JobError::plain(ErrorKind::UnknownRequest));
        }
        let deadline = request.deadline.unwrap_or(spec.default_deadline);
        if !self.limits.allows_deadline(deadline) {
            let allowed = millis(self.limits.longest_deadline);
            let details =
                LimitDetails::new(LimitName::LongestDeadlineMs, allowed, millis(deadline));
            return Err(JobError::new(ErrorKind::InvalidRequest, details));
        }
        Ok(())
    }

    fn check_servers_in_service(&self, request: &JobRequest, now: Moment) -> Result<(), JobError> {
        if self.is_warming_up(now) {
            return Ok(());
        }
        let configuration = self.ledger.configuration();
        let offering = self.directory.offering(&request.service);
        let is_available = |&index: &usize| {
            let Some(server) = self.directory.get(index) else { return false };
            let is_present = !matches!(
                server.state(),
                ServerState::Silent | ServerState::Leaving | ServerState::Gone
            );
            is_present
                && configuration.is_in_service(server.domain())
                && !configuration.is_leaving(server.name())
        };
        if offering.iter().any(is_available) {
            return Ok(());
        }
        let details = LimitDetails::new(LimitName::ServersInService, 1, 0);
        Err(JobError::new(ErrorKind::NoServerInService, details))
    }

    fn check_server_size(&self, request: &JobRequest, now: Moment) -> Result<(), JobError> {
        if self.is_warming_up(now) && self.directory.offering(&request.service).is_empty() {
            return Ok(());
        }
        let spec = find_spec(self.ledger.configuration(), request)?;
        let offering = self.directory.offering(&request.service).iter();
        let capacities =
            offering.filter_map(|&index| Some(self.directory.get(index)?.latest_report().capacity));
        for group in &request.task_groups {
            let (demand, _) = spec.demand(&group.task);
            // Usually the first server is large enough, so this ends early.
            if capacities
                .clone()
                .any(|capacity| demand.fits(&capacity, &ResourceAmounts::default()))
            {
                continue;
            }
            let largest = capacities.map(|capacity| capacity.slots).max().unwrap_or(0);
            let details =
                LimitDetails::new(LimitName::SlotsPerServer, largest.into(), demand.slots.into());
            return Err(JobError::new(ErrorKind::CannotRun, details));
        }
        Ok(())
    }

    fn check_open_tasks(&self, request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        let open_tasks = (self.open_tasks as u64).saturating_add(request.task_count());
        let allowed = self.limits.max_open_tasks as u64;
        if open_tasks <= allowed {
            return Ok(());
        }
        let details = LimitDetails::new(LimitName::TasksHeld, allowed, open_tasks);
        Err(JobError::new(ErrorKind::Overloaded, details))
    }

    fn check_quota(&self, request: &JobRequest, _now: Moment) -> Result<(), JobError> {
        let Some(quota) = self.ledger.configuration().quotas.get(&request.team) else {
            return Ok(());
        };
        let local = self.team_load.get(&request.team).copied().unwrap_or(0);
        let requested = local.saturating_add(saturated(request.task_count()));
        let remote: u32 =
            self.peer_loads.values().filter_map(|load| load.teams.get(&request.team)).sum();
        let share = quota.tasks_in_flight / self.entry_count();
        let allowed = share.max(quota.tasks_in_flight.saturating_sub(remote));
        if requested <= allowed {
            return Ok(());
        }
        let details = LimitDetails::new(LimitName::TasksInFlight, allowed.into(), requested.into());
        Err(JobError::new(ErrorKind::QuotaExceeded, details))
    }

    /// Accepts the job, and queues its tasks or first claims its idempotency key.
    fn admit_job(
        &mut self,
        id: SubmissionId,
        waiter_id: u64,
        request: JobRequest,
        admission: JobAdmission,
        now: Moment,
    ) {
        let JobAdmission { claim, probe } = admission;
        let Some(spec) = self.ledger.configuration().services.get(&request.service) else { return };
        let digest = claim.map_or(0, |_| content_digest(&request.task_groups));
        let mut job = ActiveJob::new(id, waiter_id, request, spec, now.elapsed);
        job.wait_limits = self.wait_limits(&job);
        let size_penalty = self.limits.task_queue_penalty * job.task_count();
        job.queue_penalty = job.wait_limits.map_or(size_penalty, |limits| limits.slack);
        job.priority = self.priority_rank(&job);
        if let (Some(limits), Some(priority)) = (job.wait_limits, job.priority) {
            job.queue_penalty = urgency(limits.slack, priority);
        }
        job.claim = claim;
        job.digest = digest;
        job.probed_kind = probe.as_ref().map(|estimate| estimate.kind.clone());
        self.open_tasks += job.tasks.len();
        *self.team_load.entry(job.team.clone()).or_insert(0) += job.task_count();
        self.waiters.insert(waiter_id, id);
        self.deadlines.insert((job.deadline_at, id));
        let admitted = TimelineEvent::new(EventKind::JobAdmitted).submission(id);
        let admitted = admitted.subject(&job.name).field(EventField::Tasks(job.tasks.len() as u64));
        self.record_event(admitted);
        if let Some(estimate) = &probe {
            self.begin_probe(id, estimate);
        }
        match claim {
            None => {
                job.advance(JobEvent::Admit);
                self.jobs.insert(id, job);
                self.schedule_reclassification(id, now);
                self.enqueue_job(id, now);
            }
            Some(key) => {
                job.advance(JobEvent::Claim);
                let deadline = job.deadline_at.min(now.elapsed + self.limits.claim_timeout);
                self.claim_deadlines.insert((deadline, id));
                self.jobs.insert(id, job);
                self.schedule_reclassification(id, now);
                self.claim_outbox.push(ClaimStep::Claim { key, submission: id });
                let sent = TimelineEvent::new(EventKind::ClaimSent).submission(id);
                self.record_event(sent.field(EventField::Key(key)));
            }
        }
    }

    fn join_submission(&mut self, waiter_id: u64, id: SubmissionId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiters.push(waiter_id);
            self.waiters.insert(waiter_id, id);
        }
    }

    fn answer_from_cache(&mut self, waiter_id: u64, key: ClaimKey) {
        let version = self.version();
        if let Some(cached) = self.cached_answers.get(&key) {
            self.actions.push(EntryAction::Answer {
                waiter_id,
                submission: cached.submission,
                answer: cached.answer.clone(),
                version,
            });
        }
    }

    fn refuse_request(
        &mut self,
        id: SubmissionId,
        waiter_id: u64,
        request: &JobRequest,
        error: JobError,
        evidence: Vec<EventField>,
        now: Moment,
    ) {
        let error = self.clear_uncertain_not_run(request, error, now);
        let subject = RefusalSubject {
            submission: id,
            job: request.name.clone(),
            team: request.team.clone(),
            service: request.service.clone(),
            tasks: saturated(request.task_count()),
        };
        self.send_refusal(waiter_id, subject, error, evidence, now);
    }

    /// Answers a refused job; `evidence` is what the refusal is based on.
    fn send_refusal(
        &mut self,
        waiter_id: u64,
        subject: RefusalSubject,
        error: JobError,
        evidence: Vec<EventField>,
        now: Moment,
    ) {
        let submission = subject.submission;
        let refused = TimelineEvent::new(EventKind::JobRefused).submission(submission);
        let refused = evidence.into_iter().fold(refused, TimelineEvent::field);
        let refused = refused.subject(&subject.job);
        self.record_job_error(refused, &subject.service, &error, now);
        self.record_refusal(subject, error.clone(), now);
        let answer = JobAnswer::Failed(error);
        let version = self.version();
        self.actions.push(EntryAction::Answer { waiter_id, submission, answer, version });
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
    let is_known_team = configuration.quotas.contains_key(&request.team)
        || configuration.services.values().any(|spec| spec.team == request.team);
    let kind = if is_known_team { ErrorKind::UnknownService } else { ErrorKind::UnknownTeam };
    Err(JobError::plain(kind))
}

pub(super) fn is_idempotent(spec: &ServiceSpec, request: &JobRequest) -> bool {
    let is_kind_idempotent = |name| spec.requests.get(name).is_some_and(|rule| rule.idempotent);
    request.task_groups.iter().all(|group| is_kind_idempotent(&group.task.request_name))
}

/// `count` in the integer type of the records, at most its largest value.
pub(super) fn saturated(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
