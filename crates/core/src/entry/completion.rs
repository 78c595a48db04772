//! Completion: answers a job, and releases its slots and its claim.

use super::deadline_probe::ProbeResult;
use super::{CachedAnswer, EntryAction, EntryMachine, JobFailure, RefusalSubject};
use crate::claim::{ClaimKey, ClaimStep};
use crate::error::{ErrorKind, JobError, LimitDetails, LimitName};
use crate::id::{SubmissionId, TaskId};
use crate::job::{ActiveJob, JobAnswer};
use crate::lifecycle::{JobEvent, JobState, TaskEvent, TaskState};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent, micros};

impl EntryMachine {
    pub(super) fn complete_job(&mut self, id: SubmissionId, now: Moment) {
        self.refute_estimate(id, now);
        let Some(mut job) = self.remove_job(id, now) else { return };
        job.advance(JobEvent::Finish);
        let Some(answers) = job.take_answers() else { return };
        let took_us = micros(now.elapsed.saturating_sub(job.arrived_at));
        let complete = TimelineEvent::new(EventKind::JobComplete).submission(id);
        self.record_event(complete.field(EventField::TookUs(took_us)));
        self.answer_waiters(&job, &JobAnswer::Complete(answers), now);
    }

    /// Creates an error of `kind` that states `not_run` only if no task of the job and no other
    /// submission under its idempotency key can have run.
    fn job_error(&self, job: &ActiveJob, failure: JobFailure, now: Moment) -> JobError {
        let JobFailure { kind, details, retry_after } = failure;
        let is_key_unused = job.claim.is_none_or(|key| self.is_key_unused(key, Some(job.id), now));
        let not_run = job.has_not_started() && is_key_unused && kind != ErrorKind::AlreadyClaimed;
        JobError { not_run, retry_after, ..JobError::new(kind, details) }
    }

    /// Answers a job with an error and cancels the tasks that may still be running.
    pub(super) fn fail_job(
        &mut self,
        id: SubmissionId,
        kind: ErrorKind,
        details: LimitDetails,
        now: Moment,
    ) {
        self.end_job(id, JobFailure { kind, details, retry_after: None }, now);
    }

    /// Answers a job with the error that `failure` describes and cancels its tasks.
    pub(super) fn end_job(&mut self, id: SubmissionId, failure: JobFailure, now: Moment) {
        let Some(mut job) = self.remove_job(id, now) else { return };
        let error = self.job_error(&job, failure, now);
        let job_event = if job.has_not_started() { JobEvent::Refuse } else { JobEvent::Fail };
        job.advance(job_event);
        let event_kind =
            if job.has_not_started() { EventKind::JobRefused } else { EventKind::JobFailed };
        let ended = TimelineEvent::new(event_kind).submission(id);
        let ended =
            job.priority.into_iter().map(EventField::Priority).fold(ended, TimelineEvent::field);
        self.record_job_error(ended, &job.service, &error, now);
        self.abandon_tasks(&mut job);
        self.release_claim(&job);
        self.record_refusal(refusal_subject(&job), error.clone(), now);
        self.answer_waiters(&job, &JobAnswer::Failed(error), now);
    }

    /// Removes a waiter whose caller disconnected, and cancels the job if no waiter is left.
    ///
    /// A claimed job that may have run is finished; its answer is cached for a resubmission.
    pub(super) fn handle_cancel(&mut self, waiter_id: u64, now: Moment) {
        let Some(id) = self.waiters.remove(&waiter_id) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.waiters.retain(|&other| other != waiter_id);
        let has_claimed_run = job.claim.is_some() && !job.has_not_started();
        if !job.waiters.is_empty() || has_claimed_run {
            return;
        }
        let Some(mut job) = self.remove_job(id, now) else { return };
        let (kind, details) = (ErrorKind::Cancelled, LimitDetails::default());
        let error = self.job_error(&job, JobFailure { kind, details, retry_after: None }, now);
        job.advance(JobEvent::Cancel);
        let cancelled = TimelineEvent::new(EventKind::JobCancelled).submission(id);
        self.record_event(cancelled.field(EventField::NotRun(error.not_run)));
        self.abandon_tasks(&mut job);
        self.release_claim(&job);
        self.record_refusal(refusal_subject(&job), error, now);
    }

    fn answer_waiters(&mut self, job: &ActiveJob, answer: &JobAnswer, now: Moment) {
        let version = self.version();
        let has_no_claimed_run = job.claim.is_none() || job.has_not_started();
        if let Some(key) = job.claim.filter(|_| !has_no_claimed_run) {
            self.cache_answer(key, job, answer, now);
        }
        for &waiter_id in &job.waiters {
            self.waiters.remove(&waiter_id);
            let (submission, answer) = (job.id, answer.clone());
            self.actions.push(EntryAction::Answer { waiter_id, submission, answer, version });
        }
    }

    fn cache_answer(&mut self, key: ClaimKey, job: &ActiveJob, answer: &JobAnswer, now: Moment) {
        if self.cached_answers.len() < self.limits.max_cached_answers {
            let expires_at = now.elapsed + self.limits.answer_retention;
            let (submission, digest, answer) = (job.id, job.digest, answer.clone());
            self.cached_answers
                .insert(key, CachedAnswer { submission, digest, answer, expires_at });
        }
    }

    /// Releases the claim of a job of which no task has started.
    fn release_claim(&mut self, job: &ActiveJob) {
        if let Some(key) = job.claim.filter(|_| job.has_not_started()) {
            self.claim_outbox.push(ClaimStep::Release { key, submission: job.id });
        }
    }

    pub(super) fn remove_job(&mut self, id: SubmissionId, now: Moment) -> Option<ActiveJob> {
        let job = self.jobs.remove(&id)?;
        if let Some(kind) = &job.probed_kind {
            self.deadline_probes.end(kind, id, ProbeResult::NotRefuted, now.elapsed);
        }
        self.deadlines.remove(&(job.deadline_at, id));
        if let Some(at) = job.reclassify_at {
            self.reclassify_times.remove(&(at, id));
        }
        self.open_tasks -= job.tasks.len();
        if let Some(open) = self.team_load.get_mut(&job.team) {
            *open = open.saturating_sub(job.task_count());
            if *open == 0 {
                self.team_load.remove(&job.team);
            }
        }
        Some(job)
    }

    /// Drops the queued tasks of an ended job, and cancels those that were sent.
    fn abandon_tasks(&mut self, job: &mut ActiveJob) {
        let position = job.queue_position();
        for (task, index) in job.tasks.iter_mut().zip(0u32..) {
            let id = TaskId::new(job.id, index);
            if task.state() == TaskState::Queued {
                self.queue.remove(&job.service, id, position);
            }
            if let Some(at) = task.status_query_at.take() {
                self.status_queries.remove(&(at, id));
            }
            task.advance(TaskEvent::Drop);
            if task.state() != TaskState::Sent {
                continue;
            }
            task.advance(TaskEvent::Abandon);
            let Some((server, incarnation)) = task.server else { continue };
            let Some(record) = self.directory.get_mut(server) else { continue };
            if record.incarnation() != incarnation {
                continue;
            }
            record.release(task.demand.slots);
            let address = record.latest_report().address.clone();
            self.actions.push(EntryAction::CancelTask { address, task: id, incarnation });
        }
    }

    /// Fails every job whose deadline has passed.
    pub(super) fn expire_jobs(&mut self, now: Moment) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now.elapsed {
                return;
            }
            self.deadlines.pop_first();
            let Some(job) = self.jobs.get(&id) else { continue };
            let details = LimitDetails::new(
                LimitName::DeadlineMs,
                u64::try_from((job.deadline_at - job.arrived_at).as_millis()).unwrap_or(u64::MAX),
                u64::try_from((now.elapsed - job.arrived_at).as_millis()).unwrap_or(u64::MAX),
            );
            let is_not_run = job.has_not_started();
            let kind = if is_not_run { ErrorKind::Expired } else { ErrorKind::OutcomeUnknown };
            self.fail_job(id, kind, details, now);
        }
    }

    /// Fails every job whose claim the log did not confirm within `claim_timeout`.
    pub(super) fn expire_claims(&mut self, now: Moment) {
        while let Some(&(deadline, id)) = self.claim_deadlines.first() {
            if deadline > now.elapsed {
                return;
            }
            self.claim_deadlines.pop_first();
            let is_claiming = |job: &ActiveJob| job.state() == JobState::Claiming;
            if !self.jobs.get(&id).is_some_and(is_claiming) {
                continue;
            }
            let limit = u64::try_from(self.limits.claim_timeout.as_millis()).unwrap_or(u64::MAX);
            let details = LimitDetails::new(LimitName::ClaimTimeoutMs, limit, limit);
            self.fail_job(id, ErrorKind::LogUnavailable, details, now);
        }
    }
}

fn refusal_subject(job: &ActiveJob) -> RefusalSubject {
    RefusalSubject {
        submission: job.id,
        job: job.name.clone(),
        team: job.team.clone(),
        service: job.service.clone(),
        tasks: job.task_count(),
    }
}
