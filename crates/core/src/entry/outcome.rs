//! Outcomes: what a reply, a broken exchange or the passing of time means for a task and its job.

use super::{
    BrokenReach, EntryAction, EntryMachine, LoadReport, NotStartedReason, SentStart, TaskReply,
};
use crate::directory::ServerRecord;
use crate::error::{ErrorKind, RefusalFigures};
use crate::id::{Incarnation, TaskId};
use crate::job::ActiveJob;
use crate::lifecycle::{ServerEvent, TaskEvent, TaskState};
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
            server.update_load(load);
        }
        match reply {
            TaskReply::Done { answer, run_time } => {
                self.finish_task(id, index, answer, run_time, now);
            }
            TaskReply::Failed { run_time } => self.fault_task(id, index, run_time, now),
            TaskReply::Interrupted => {
                self.count_failure(index, now);
                self.interrupt_task(id, index, now);
            }
            TaskReply::NotStarted(reason) => {
                self.settle(id, index);
                self.heed_refusal(index, reason, now);
                self.return_task(id, reason, now);
                self.pump_all(now);
            }
            TaskReply::Pending => self.ask_later(id, Duration::ZERO, now),
            TaskReply::Lost => self.interrupt_task(id, index, now),
        }
        self.pump_server(index, now);
    }

    pub(super) fn take_break(&mut self, start: SentStart, reach: BrokenReach, now: Moment) {
        let id = start.task;
        let Some(index) = self.server_of(start) else { return };
        match reach {
            BrokenReach::NothingSent => {
                self.settle(id, index);
                self.heed(index, ServerEvent::Silence);
                self.return_task(id, NotStartedReason::NoConnection, now);
                self.pump_all(now);
            }
            BrokenReach::MaybeSent => self.ask_later(id, Duration::ZERO, now),
            // Its run may outlive the agent until the lease of the worker ends.
            BrokenReach::PeerGone if self.may_lapse(id) => {
                self.heed(index, ServerEvent::Silence);
                self.ask_later(id, ASK_AGAIN, now);
            }
            BrokenReach::PeerGone => self.lose_task(id, index, now),
        }
    }

    /// Keeps further tasks from a server that would refuse them too, until its next heartbeat.
    fn heed_refusal(&mut self, index: usize, reason: NotStartedReason, now: Moment) {
        match reason {
            NotStartedReason::Leaving | NotStartedReason::DomainOut => {
                self.heed(index, ServerEvent::Leave);
            }
            NotStartedReason::PermitLapsed => self.heed(index, ServerEvent::Silence),
            NotStartedReason::NoConnection => self.count_failure(index, now),
            _ => {}
        }
    }

    fn heed(&mut self, index: usize, event: ServerEvent) {
        if let Some(server) = self.directory.get_mut(index) {
            server.advance(event);
        }
    }

    /// Counts a failure against a server, and notes when that sets it aside.
    fn count_failure(&mut self, index: usize, now: Moment) {
        let trust = self.directory.quarantine_policy().clone();
        let Some(server) = self.directory.get_mut(index) else { return };
        if server.record_failure(&trust, now.elapsed) {
            let name = server.name().clone();
            self.note(TimelineEvent::new(EventKind::ServerQuarantined).subject(&name));
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
        let (slots, ask_at, server) = (task.demand.slots, task.status_query_at, task.server);
        if let Some(at) = ask_at {
            self.asks.remove(&(at, id));
        }
        let Some((_, addressed)) = server else { return };
        if let Some(record) = self.directory.get_mut(index)
            && record.incarnation() == addressed
        {
            record.release(slots);
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
        let is_whole = job.store_answer(id.index as usize, answer);
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
        let request = &job.tasks[id.index as usize].request.request_name;
        let declared = job.tasks[id.index as usize].declared_run_time;
        let pace = server.slowdown();
        let sample = self.run_times.record(&job.service, request, declared, pace, run_time);
        server.record_success(sample, run_time);
    }

    fn fault_task(&mut self, id: TaskId, index: usize, run_time: Duration, now: Moment) {
        self.settle(id, index);
        let Some(name) = self.directory.get(index).map(|server| server.name().clone()) else {
            return;
        };
        let may_retry = self.count_fault(id, index);
        let faulted = TimelineEvent::new(EventKind::TaskFaulted).submission(id.submission);
        let figure = EventFigure::RunTimeUs(micros(run_time));
        self.note(faulted.task(id.index).subject(&name).figure(figure));
        self.count_failure(index, now);
        if may_retry {
            self.requeue(id, now);
            self.pump_all(now);
            return;
        }
        let figures = RefusalFigures::new("task_index", 0, id.index.into());
        self.end_failed(id.submission, ErrorKind::TaskFailed, figures, now);
    }

    /// Counts a failed run; returns whether the task may be run again.
    fn count_fault(&mut self, id: TaskId, index: usize) -> bool {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return false };
        let (may_repeat, attempts) = (job.is_repeatable(), job.max_attempts);
        let task = &mut job.tasks[id.index as usize];
        task.failures += 1;
        task.failed_on = Some(index);
        task.may_have_run = true;
        let may_retry = may_repeat && task.failures < attempts;
        task.advance(if may_retry { TaskEvent::Retry } else { TaskEvent::Fault }) && may_retry
    }

    /// Whether the end of a run of the task is known by time alone.
    fn may_lapse(&self, id: TaskId) -> bool {
        let job = self.jobs.get(&id.submission);
        !self.limits.run_lapse.is_zero() && job.is_some_and(ActiveJob::is_repeatable)
    }

    /// Queues a task again whose run has ended without a result; its job ends where a second run
    /// might have a further effect.
    pub(super) fn interrupt_task(&mut self, id: TaskId, index: usize, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        if !job.is_repeatable() {
            self.lose_task(id, index, now);
            return;
        }
        let task = &mut job.tasks[id.index as usize];
        task.may_have_run = true;
        task.failed_on = Some(index);
        if !task.advance(TaskEvent::Interrupt) {
            return;
        }
        self.settle(id, index);
        let interrupted = TimelineEvent::new(EventKind::TaskInterrupted).submission(id.submission);
        self.note(interrupted.task(id.index));
        self.requeue(id, now);
        self.pump_all(now);
    }

    fn lose_task(&mut self, id: TaskId, index: usize, now: Moment) {
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
        for id in self.sent_tasks(index, |was| Some(was) != present) {
            self.interrupt_task(id, index, now);
        }
    }

    /// Tasks sent to the server at `index`, by the incarnation addressed.
    fn sent_tasks(&self, index: usize, is_meant: impl Fn(Incarnation) -> bool) -> Vec<TaskId> {
        let is_there = |server: Option<(usize, Incarnation)>| {
            server.is_some_and(|(at, was)| at == index && is_meant(was))
        };
        let sent = self.jobs.values().flat_map(|job| {
            let tasks = job.tasks.iter().zip(0u32..);
            let sent =
                tasks.filter(|(task, _)| task.state() == TaskState::Sent && is_there(task.server));
            sent.map(|(_, position)| TaskId::new(job.id, position))
        });
        let mut sent: Vec<TaskId> = sent.collect();
        sent.sort_unstable();
        sent
    }

    /// Queues the tasks again of every server that was silent for so long that all its runs have
    /// ended.
    pub(super) fn end_lapsed(&mut self, now: Moment) {
        if self.limits.run_lapse.is_zero() {
            return;
        }
        let lapse = self.run_lease() + self.limits.run_lapse;
        let is_lapsed = |server: &ServerRecord| {
            server.own_load() > 0 && now.elapsed.saturating_sub(server.last_heartbeat()) >= lapse
        };
        let servers = self.directory.iter().filter(|(_, server)| is_lapsed(server));
        let lapsed: Vec<usize> = servers.map(|(index, _)| index).collect();
        for index in lapsed {
            for id in self.sent_tasks(index, |_| true) {
                if self.may_lapse(id) {
                    self.interrupt_task(id, index, now);
                }
            }
        }
    }

    fn ask_later(&mut self, id: TaskId, least: Duration, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        let at = now.elapsed + least;
        if let Some(old) = task.status_query_at.replace(at) {
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
        let address = server.latest_report().address.clone();
        let start = SentStart { task: id, attempt: task.attempts, incarnation };
        let sent_at = task.sent_at;
        let at = now.elapsed + ASK_AGAIN;
        task.status_query_at = Some(at);
        self.asks.insert((at, id));
        let asked = TimelineEvent::new(EventKind::TaskAsked).submission(id.submission);
        let asked = asked.task(id.index).subject(server.name());
        self.note(asked);
        self.actions.push(EntryAction::Ask { address, start, sent_at });
    }
}
