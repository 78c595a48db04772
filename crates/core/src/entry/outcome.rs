//! Outcomes: what a reply, a broken exchange or the passing of time means for a task and its job.

use super::{
    AccountSubject, BrokenReach, EntryAction, EntryMachine, KeptAnswer, LoadReport,
    NotStartedReason, SentStart, TaskReply,
};
use crate::claim::{ClaimKey, ClaimStep};
use crate::directory::ServerRecord;
use crate::error::{ErrorKind, JobError, RefusalFigures};
use crate::id::{Incarnation, SubmissionId, TaskId};
use crate::job::{HeldJob, JobAnswer};
use crate::lifecycle::{JobEvent, JobState, TaskEvent, TaskState};
use crate::time::Moment;
use crate::timeline::{EventFigure, EventKind, TimelineEvent, micros};
use bytes::Bytes;
use std::time::Duration;

/// Time between two questions about the same task.
const ASK_AGAIN: Duration = Duration::from_millis(500);

impl EntryMachine {
    pub(super) fn take_reply(
        &mut self,
        start: SentStart,
        reply: TaskReply,
        load: Option<LoadReport>,
        now: Moment,
    ) {
        let id = start.task;
        let Some(index) = self.server_of(start) else {
            self.note_orphan(id, &reply);
            return;
        };
        if let (Some(load), Some(server)) = (load, self.directory.get_mut(index)) {
            server.note_load(load);
        }
        match reply {
            TaskReply::Done { answer, run_time } => {
                self.finish_task(id, index, answer, run_time, now);
            }
            TaskReply::Failed { run_time } => self.fault_task(id, index, run_time, now),
            TaskReply::NotStarted(reason) => {
                self.settle(id, index);
                self.return_task(id, reason, now);
            }
            TaskReply::Pending => self.ask_later(id, Duration::ZERO, now),
            TaskReply::Lost => self.lose_task(id, index, now),
        }
        self.pump_server(index, now);
    }

    pub(super) fn take_break(&mut self, start: SentStart, reach: BrokenReach, now: Moment) {
        let id = start.task;
        let Some(index) = self.server_of(start) else { return };
        match reach {
            BrokenReach::NothingSent => {
                self.settle(id, index);
                self.return_task(id, NotStartedReason::NoConnection, now);
                self.pump_all(now);
            }
            BrokenReach::MaybeSent => self.ask_later(id, Duration::ZERO, now),
            BrokenReach::PeerGone => self.lose_task(id, index, now),
        }
    }

    /// Index of the server that has the task, where the exchange is about its present start.
    fn server_of(&self, start: SentStart) -> Option<usize> {
        let id = start.task;
        let task = self.jobs.get(&id.submission)?.tasks.get(id.index as usize)?;
        let (index, addressed) = task.server?;
        let is_present = addressed == start.incarnation && task.attempts == start.attempt;
        (task.state() == TaskState::Sent && is_present).then_some(index)
    }

    fn note_orphan(&mut self, id: TaskId, reply: &TaskReply) {
        if matches!(reply, TaskReply::Done { .. } | TaskReply::Failed { .. }) {
            let orphan = TimelineEvent::new(EventKind::AnswerOrphaned).submission(id.submission);
            self.note(orphan.task(id.index));
        }
    }

    /// Takes the task off the books of its server.
    fn settle(&mut self, id: TaskId, index: usize) {
        let Some(job) = self.jobs.get(&id.submission) else { return };
        let task = &job.tasks[id.index as usize];
        let (slots, ask_at, server) = (task.slots, task.ask_at, task.server);
        if let Some(at) = ask_at {
            self.asks.remove(&(at, id));
        }
        let Some((_, addressed)) = server else { return };
        if let Some(record) = self.directory.get_mut(index)
            && record.incarnation() == addressed
        {
            record.settle(slots);
        }
    }

    fn finish_task(
        &mut self,
        id: TaskId,
        index: usize,
        answer: Bytes,
        run_time: Duration,
        now: Moment,
    ) {
        self.settle(id, index);
        self.learn(id, index, run_time);
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        job.tasks[id.index as usize].advance(TaskEvent::Answer);
        let is_whole = job.store(id.index as usize, answer);
        let answered = TimelineEvent::new(EventKind::TaskAnswered).submission(id.submission);
        let figure = EventFigure::RunTimeUs(micros(run_time));
        self.note(answered.task(id.index).figure(figure));
        if is_whole {
            self.end_complete(id.submission, now);
        }
    }

    fn learn(&mut self, id: TaskId, index: usize, run_time: Duration) {
        let Some(job) = self.jobs.get(&id.submission) else { return };
        let Some(server) = self.directory.get_mut(index) else { return };
        let request = &job.tasks[id.index as usize].request.request;
        let spec = self.ledger.configuration().services.get(&job.service);
        let rule = spec.and_then(|spec| spec.requests.get(request));
        let declared = rule.map_or(run_time, |rule| rule.run_time);
        let pace = server.pace();
        let sample = self.run_times.learn(&job.service, request, declared, pace, run_time);
        server.succeed(sample, run_time);
    }

    fn fault_task(&mut self, id: TaskId, index: usize, run_time: Duration, now: Moment) {
        self.settle(id, index);
        let trust = self.directory.trust().clone();
        let Some(server) = self.directory.get_mut(index) else { return };
        let is_set_aside = server.fail(&trust, now.elapsed);
        let name = server.name().clone();
        if let Some(job) = self.jobs.get_mut(&id.submission) {
            job.tasks[id.index as usize].advance(TaskEvent::Fault);
        }
        let faulted = TimelineEvent::new(EventKind::TaskFaulted).submission(id.submission);
        let figure = EventFigure::RunTimeUs(micros(run_time));
        self.note(faulted.task(id.index).subject(&name).figure(figure));
        if is_set_aside {
            self.note(TimelineEvent::new(EventKind::ServerQuarantined).subject(&name));
        }
        let figures = RefusalFigures::new("task_index", 0, id.index.into());
        self.end_failed(id.submission, ErrorKind::TaskFailed, figures, now);
    }

    pub(super) fn lose_task(&mut self, id: TaskId, index: usize, now: Moment) {
        self.settle(id, index);
        if let Some(job) = self.jobs.get_mut(&id.submission) {
            job.tasks[id.index as usize].advance(TaskEvent::Lose);
        }
        let lost = TimelineEvent::new(EventKind::TaskLost).submission(id.submission);
        self.note(lost.task(id.index));
        let figures = RefusalFigures::new("task_index", 0, id.index.into());
        self.end_failed(id.submission, ErrorKind::OutcomeUnknown, figures, now);
    }

    /// Every task that an incarnation had is lost with it.
    pub(super) fn lose_incarnation(&mut self, index: usize, now: Moment) {
        let present = self.directory.get(index).map(ServerRecord::incarnation);
        let is_lost = |job: &HeldJob| {
            let lost = |server: Option<(usize, Incarnation)>| {
                server.is_some_and(|(at, was)| at == index && Some(was) != present)
            };
            let tasks = job.tasks.iter().zip(0u32..);
            let lost =
                tasks.filter(|(task, _)| task.state() == TaskState::Sent && lost(task.server));
            lost.map(|(_, position)| TaskId::new(job.id, position)).next()
        };
        let lost: Vec<TaskId> = self.jobs.values().filter_map(is_lost).collect();
        for id in lost {
            self.lose_task(id, index, now);
        }
    }

    fn ask_later(&mut self, id: TaskId, least: Duration, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        let at = now.elapsed + least;
        if let Some(old) = task.ask_at.replace(at) {
            self.asks.remove(&(old, id));
        }
        self.asks.insert((at, id));
    }

    /// Asks for every outcome that is overdue.
    pub(super) fn ask_overdue(&mut self, now: Moment) {
        while let Some(&(at, id)) = self.asks.first() {
            if at > now.elapsed {
                return;
            }
            self.asks.pop_first();
            self.ask(id, now);
        }
    }

    fn ask(&mut self, id: TaskId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        let Some((index, incarnation)) = task.server else { return };
        let Some(server) = self.directory.get(index) else { return };
        let address = server.latest().address.clone();
        let start = SentStart { task: id, attempt: task.attempts, incarnation };
        let sent_at = task.sent_at;
        let at = now.elapsed + ASK_AGAIN;
        task.ask_at = Some(at);
        self.asks.insert((at, id));
        let asked = TimelineEvent::new(EventKind::TaskAsked).submission(id.submission);
        let asked = asked.task(id.index).subject(server.name());
        self.note(asked);
        self.actions.push(EntryAction::Ask { address, start, sent_at });
    }

    fn end_complete(&mut self, id: SubmissionId, now: Moment) {
        let Some(mut job) = self.remove_job(id) else { return };
        job.advance(JobEvent::Finish);
        let Some(answers) = job.take_answers() else { return };
        let took = micros(now.elapsed.saturating_sub(job.arrived));
        let complete = TimelineEvent::new(EventKind::JobComplete).submission(id);
        self.note(complete.figure(EventFigure::TookUs(took)));
        self.answer(&job, &JobAnswer::Complete(answers), now);
    }

    /// Error of `kind` that says no more than what is proven of the job and its key.
    fn job_error(
        &self,
        job: &HeldJob,
        kind: ErrorKind,
        figures: RefusalFigures,
        now: Moment,
    ) -> JobError {
        let is_clear = job.claim.is_none_or(|key| self.is_key_clear(key, Some(job.id), now));
        let not_run = job.is_not_run() && is_clear && kind != ErrorKind::AlreadyClaimed;
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
        let event = if job.is_not_run() { JobEvent::Refuse } else { JobEvent::Fail };
        job.advance(event);
        let noted = if job.is_not_run() { EventKind::JobRefused } else { EventKind::JobFailed };
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
        job.tickets.retain(|&other| other != ticket);
        let is_kept = job.claim.is_some() && !job.is_not_run();
        if !job.tickets.is_empty() || is_kept {
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

    fn answer(&mut self, job: &HeldJob, answer: &JobAnswer, now: Moment) {
        let version = self.version();
        let is_unclaimed = job.claim.is_none() || job.is_not_run();
        if let Some(key) = job.claim.filter(|_| !is_unclaimed) {
            self.keep_answer(key, job, answer, now);
        }
        for &ticket in &job.tickets {
            self.tickets.remove(&ticket);
            let (submission, answer) = (job.id, answer.clone());
            self.actions.push(EntryAction::Answer { ticket, submission, answer, version });
        }
    }

    fn keep_answer(&mut self, key: ClaimKey, job: &HeldJob, answer: &JobAnswer, now: Moment) {
        if self.kept.len() < self.limits.answers_kept {
            let until = now.elapsed + self.limits.answer_kept;
            let (submission, digest, answer) = (job.id, job.digest, answer.clone());
            self.kept.insert(key, KeptAnswer { submission, digest, answer, until });
        }
    }

    /// Releases the claim of a job that is proven not run.
    fn release(&mut self, job: &HeldJob) {
        if let Some(key) = job.claim.filter(|_| job.is_not_run()) {
            self.claim_outbox.push(ClaimStep::Release { key, submission: job.id });
        }
    }

    pub(super) fn remove_job(&mut self, id: SubmissionId) -> Option<HeldJob> {
        let job = self.jobs.remove(&id)?;
        self.dues.remove(&(job.due, id));
        self.held_tasks -= job.tasks.len();
        if let Some(open) = self.team_open.get_mut(&job.team) {
            *open = open.saturating_sub(job.task_count());
            if *open == 0 {
                self.team_open.remove(&job.team);
            }
        }
        Some(job)
    }

    fn abandon_tasks(&mut self, job: &mut HeldJob) {
        for (task, index) in job.tasks.iter_mut().zip(0u32..) {
            let id = TaskId::new(job.id, index);
            if let Some(at) = task.ask_at.take() {
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
            record.settle(task.slots);
            let address = record.latest().address.clone();
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
                u64::try_from((job.due - job.arrived).as_millis()).unwrap_or(u64::MAX),
                u64::try_from((now.elapsed - job.arrived).as_millis()).unwrap_or(u64::MAX),
            );
            let is_not_run = job.is_not_run();
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
            let is_waiting = |job: &HeldJob| job.state() == JobState::Claiming;
            if !self.jobs.get(&id).is_some_and(is_waiting) {
                continue;
            }
            let limit = u64::try_from(self.limits.claim_timeout.as_millis()).unwrap_or(u64::MAX);
            let figures = RefusalFigures::new("claim_timeout_ms", limit, limit);
            self.end_failed(id, ErrorKind::LogUnavailable, figures, now);
        }
    }
}

fn subject_of(job: &HeldJob) -> AccountSubject {
    AccountSubject {
        submission: job.id,
        job: job.job.clone(),
        team: job.team.clone(),
        service: job.service.clone(),
        tasks: job.task_count(),
    }
}
