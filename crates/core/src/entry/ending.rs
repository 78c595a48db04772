//! Endings: how a job is answered, and what it frees.

use super::{AccountSubject, EntryAction, EntryMachine, KeptAnswer};
use crate::claim::{ClaimKey, ClaimStep};
use crate::error::{ErrorKind, JobError, RefusalFigures};
use crate::id::{SubmissionId, TaskId};
use crate::job::{ActiveJob, JobAnswer};
use crate::lifecycle::{JobEvent, JobState, TaskEvent, TaskState};
use crate::time::Moment;
use crate::timeline::{EventFigure, EventKind, TimelineEvent, micros};

impl EntryMachine {
    pub(super) fn end_complete(&mut self, id: SubmissionId, now: Moment) {
        let Some(mut job) = self.remove_job(id) else { return };
        job.advance(JobEvent::Finish);
        let Some(answers) = job.take_answers() else { return };
        let took = micros(now.elapsed.saturating_sub(job.arrived_at));
        let complete = TimelineEvent::new(EventKind::JobComplete).submission(id);
        self.note(complete.figure(EventFigure::TookUs(took)));
        self.answer(&job, &JobAnswer::Complete(answers), now);
    }

    /// Error of `kind` that says no more than what is proven of the job and its key.
    fn job_error(
        &self,
        job: &ActiveJob,
        kind: ErrorKind,
        figures: RefusalFigures,
        now: Moment,
    ) -> JobError {
        let is_clear = job.claim.is_none_or(|key| self.is_key_clear(key, Some(job.id), now));
        let not_run = job.has_not_started() && is_clear && kind != ErrorKind::AlreadyClaimed;
        JobError { not_run, ..JobError::new(kind, figures) }
    }

    /// Ends a job with an error; what still runs is no longer waited for.
    pub(super) fn end_failed(
        &mut self,
        id: SubmissionId,
        kind: ErrorKind,
        figures: RefusalFigures,
        now: Moment,
    ) {
        let Some(mut job) = self.remove_job(id) else { return };
        let error = self.job_error(&job, kind, figures, now);
        let event = if job.has_not_started() { JobEvent::Refuse } else { JobEvent::Fail };
        job.advance(event);
        let noted =
            if job.has_not_started() { EventKind::JobRefused } else { EventKind::JobFailed };
        let ended = TimelineEvent::new(noted).submission(id).figure(EventFigure::Kind(kind));
        self.note(ended.figure(EventFigure::NotRun(error.not_run)));
        self.abandon_tasks(&mut job);
        self.release(&job);
        self.account(subject_of(&job), error.clone(), now);
        self.answer(&job, &JobAnswer::Failed(error), now);
    }

    /// Frees what a job holds that nobody waits for.
    pub(super) fn cancel(&mut self, ticket: u64, now: Moment) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.waiters.retain(|&other| other != ticket);
        let is_kept = job.claim.is_some() && !job.has_not_started();
        if !job.waiters.is_empty() || is_kept {
            return;
        }
        let Some(mut job) = self.remove_job(id) else { return };
        let error = self.job_error(&job, ErrorKind::Cancelled, RefusalFigures::default(), now);
        job.advance(JobEvent::Cancel);
        let cancelled = TimelineEvent::new(EventKind::JobCancelled).submission(id);
        self.note(cancelled.figure(EventFigure::NotRun(error.not_run)));
        self.abandon_tasks(&mut job);
        self.release(&job);
        self.account(subject_of(&job), error, now);
    }

    fn answer(&mut self, job: &ActiveJob, answer: &JobAnswer, now: Moment) {
        let version = self.version();
        let is_unclaimed = job.claim.is_none() || job.has_not_started();
        if let Some(key) = job.claim.filter(|_| !is_unclaimed) {
            self.keep_answer(key, job, answer, now);
        }
        for &ticket in &job.waiters {
            self.tickets.remove(&ticket);
            let (submission, answer) = (job.id, answer.clone());
            self.actions.push(EntryAction::Answer { ticket, submission, answer, version });
        }
    }

    fn keep_answer(&mut self, key: ClaimKey, job: &ActiveJob, answer: &JobAnswer, now: Moment) {
        if self.kept.len() < self.limits.answers_kept {
            let until = now.elapsed + self.limits.answer_kept;
            let (submission, digest, answer) = (job.id, job.digest, answer.clone());
            self.kept.insert(key, KeptAnswer { submission, digest, answer, until });
        }
    }

    /// Releases the claim of a job that is proven not run.
    fn release(&mut self, job: &ActiveJob) {
        if let Some(key) = job.claim.filter(|_| job.has_not_started()) {
            self.claim_outbox.push(ClaimStep::Release { key, submission: job.id });
        }
    }

    pub(super) fn remove_job(&mut self, id: SubmissionId) -> Option<ActiveJob> {
        let job = self.jobs.remove(&id)?;
        self.dues.remove(&(job.deadline_at, id));
        if let Some(due) = job.reclassify_at {
            self.band_dues.remove(&(due, id));
        }
        self.held_tasks -= job.tasks.len();
        if let Some(open) = self.team_open.get_mut(&job.team) {
            *open = open.saturating_sub(job.task_count());
            if *open == 0 {
                self.team_open.remove(&job.team);
            }
        }
        Some(job)
    }

    fn abandon_tasks(&mut self, job: &mut ActiveJob) {
        let rank = job.queue_position();
        for (task, index) in job.tasks.iter_mut().zip(0u32..) {
            let id = TaskId::new(job.id, index);
            if task.state() == TaskState::Queued {
                self.queue.remove(&job.service, id, rank);
            }
            if let Some(at) = task.status_query_at.take() {
                self.asks.remove(&(at, id));
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

    /// Ends every job whose answer is due.
    pub(super) fn end_overdue(&mut self, now: Moment) {
        while let Some(&(due, id)) = self.dues.first() {
            if due > now.elapsed {
                return;
            }
            self.dues.pop_first();
            let Some(job) = self.jobs.get(&id) else { continue };
            let figures = RefusalFigures::new(
                "deadline_ms",
                u64::try_from((job.deadline_at - job.arrived_at).as_millis()).unwrap_or(u64::MAX),
                u64::try_from((now.elapsed - job.arrived_at).as_millis()).unwrap_or(u64::MAX),
            );
            let is_not_run = job.has_not_started();
            let kind = if is_not_run { ErrorKind::Expired } else { ErrorKind::OutcomeUnknown };
            self.end_failed(id, kind, figures, now);
        }
    }

    /// Ends every job whose claim the log did not confirm in time.
    pub(super) fn end_unclaimed(&mut self, now: Moment) {
        while let Some(&(due, id)) = self.claim_dues.first() {
            if due > now.elapsed {
                return;
            }
            self.claim_dues.pop_first();
            let is_waiting = |job: &ActiveJob| job.state() == JobState::Claiming;
            if !self.jobs.get(&id).is_some_and(is_waiting) {
                continue;
            }
            let limit = u64::try_from(self.limits.claim_timeout.as_millis()).unwrap_or(u64::MAX);
            let figures = RefusalFigures::new("claim_timeout_ms", limit, limit);
            self.end_failed(id, ErrorKind::LogUnavailable, figures, now);
        }
    }
}

fn subject_of(job: &ActiveJob) -> AccountSubject {
    AccountSubject {
        submission: job.id,
        job: job.name.clone(),
        team: job.team.clone(),
        service: job.service.clone(),
        tasks: job.task_count(),
    }
}
