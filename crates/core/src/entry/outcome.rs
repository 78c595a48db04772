//! Task outcomes: handles replies, failed exchanges, expired run leases and status queries.

use super::crash_limit::JobFate;
use super::dispatch::{Contention, RetryCost};
use super::{
    EntryAction, EntryMachine, ExchangeFailure, InterruptCause, LoadReport, NotStartedReason,
    StartId, TaskReply,
};
use crate::directory::{RunSample, ServerRecord};
use crate::error::{ErrorKind, LimitDetails, LimitName};
use crate::id::{Incarnation, TaskId};
use crate::job::{ActiveJob, ActiveTask};
use crate::lifecycle::{ServerEvent, TaskEvent, TaskState};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent, micros};
use bytes::Bytes;
use std::collections::HashSet;
use std::time::Duration;

/// Interval between two status queries about the same task.
const STATUS_QUERY_INTERVAL: Duration = Duration::from_millis(500);

impl EntryMachine {
    pub(super) fn handle_reply(
        &mut self,
        start: StartId,
        reply: TaskReply,
        load: Option<LoadReport>,
        now: Moment,
    ) {
        let id = start.task;
        let Some(index) = self.server_of_start(start) else {
            self.record_orphaned_answer(id, &reply);
            return;
        };
        if let (Some(load), Some(server)) = (load, self.directory.get_mut(index)) {
            server.update_load(load, now.elapsed);
        }
        match reply {
            TaskReply::Done { answer, run_time } => {
                self.finish_task(id, index, answer, run_time, now);
            }
            TaskReply::Failed { run_time } => self.handle_failed_run(id, index, run_time, now),
            TaskReply::Interrupted(cause) => {
                self.count_server_failure(index, now);
                self.handle_interrupted_run(id, index, cause, now);
            }
            TaskReply::NotStarted(reason) => {
                self.release_slots(id, index);
                self.suspend_refusing_server(index, reason, now);
                self.handle_not_started(id, reason, now);
                self.dispatch_all(now);
            }
            TaskReply::Pending => self.schedule_status_query(id, Duration::ZERO, now),
            TaskReply::Lost => {
                self.handle_interrupted_run(id, index, InterruptCause::AgentReplaced, now);
            }
        }
        self.dispatch_to_server(index, Contention::Alone, now);
    }

    pub(super) fn handle_no_reply(
        &mut self,
        start: StartId,
        failure: ExchangeFailure,
        now: Moment,
    ) {
        let id = start.task;
        let Some(index) = self.server_of_start(start) else { return };
        match failure {
            ExchangeFailure::NothingSent => {
                self.release_slots(id, index);
                self.advance_server(index, ServerEvent::Silence);
                self.handle_not_started(id, NotStartedReason::NoConnection, now);
                self.dispatch_all(now);
            }
            ExchangeFailure::MaybeSent => self.schedule_status_query(id, Duration::ZERO, now),
            // The run may outlive the agent until the run lease has expired at the worker.
            ExchangeFailure::PeerGone if self.may_requeue_after_lapse(id) => {
                self.advance_server(index, ServerEvent::Silence);
                self.schedule_status_query(id, STATUS_QUERY_INTERVAL, now);
            }
            ExchangeFailure::PeerGone => self.fail_lost_task(id, index, now),
        }
    }

    /// Stops sending tasks to a server that would refuse the next ones too, until its next
    /// heartbeat. If it is unreachable or unhealthy, a failure is counted instead.
    fn suspend_refusing_server(&mut self, index: usize, reason: NotStartedReason, now: Moment) {
        match reason {
            NotStartedReason::Leaving | NotStartedReason::DomainOut => {
                self.advance_server(index, ServerEvent::Leave);
            }
            NotStartedReason::PermitLapsed => self.advance_server(index, ServerEvent::Silence),
            NotStartedReason::NoConnection => self.count_server_failure(index, now),
            NotStartedReason::Full => {
                if let Some(server) = self.directory.get_mut(index) {
                    server.mark_full();
                }
            }
            _ => {}
        }
    }

    fn advance_server(&mut self, index: usize, event: ServerEvent) {
        if let Some(server) = self.directory.get_mut(index) {
            server.advance(event);
        }
    }

    /// Counts a failure of a server, and records an event if the server is quarantined for it.
    fn count_server_failure(&mut self, index: usize, now: Moment) {
        let policy = self.directory.quarantine_policy().clone();
        let Some(server) = self.directory.get_mut(index) else { return };
        if server.record_failure(&policy, now.elapsed) {
            let name = server.name().clone();
            self.record_event(TimelineEvent::new(EventKind::ServerQuarantined).subject(&name));
        }
    }

    /// Index of the server that has the task; `None` if `start` is not its current start.
    fn server_of_start(&self, start: StartId) -> Option<usize> {
        let id = start.task;
        let task = self.jobs.get(&id.submission)?.tasks.get(id.index as usize)?;
        let (index, addressed) = task.server?;
        let is_current = addressed == start.incarnation && task.attempts == start.attempt;
        (task.state() == TaskState::Sent && is_current).then_some(index)
    }

    fn record_orphaned_answer(&mut self, id: TaskId, reply: &TaskReply) {
        if matches!(reply, TaskReply::Done { .. } | TaskReply::Failed { .. }) {
            let orphan = TimelineEvent::new(EventKind::AnswerOrphaned).submission(id.submission);
            self.record_event(orphan.task(id.index));
        }
    }

    /// Releases the slots of a task at its server and cancels its next status query.
    fn release_slots(&mut self, id: TaskId, index: usize) {
        let Some(job) = self.jobs.get(&id.submission) else { return };
        let task = &job.tasks[id.index as usize];
        let (slots, query_at, server) = (task.demand.slots, task.status_query_at, task.server);
        if let Some(at) = query_at {
            self.status_queries.remove(&(at, id));
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
        self.release_slots(id, index);
        self.record_run_time(id, index, run_time, now);
        self.record_served_task(id, run_time, now);
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        job.tasks[id.index as usize].advance(TaskEvent::Answer);
        let is_complete = job.store_answer(id.index as usize, answer);
        let answered = TimelineEvent::new(EventKind::TaskAnswered).submission(id.submission);
        let field = EventField::RunTimeUs(micros(run_time));
        self.record_event(answered.task(id.index).field(field));
        if is_complete {
            self.complete_job(id.submission, now);
        }
    }

    fn record_run_time(&mut self, id: TaskId, index: usize, run_time: Duration, now: Moment) {
        let Some(job) = self.jobs.get(&id.submission) else { return };
        let Some(server) = self.directory.get_mut(index) else { return };
        let request = &job.tasks[id.index as usize].request.request_name;
        let declared = job.tasks[id.index as usize].declared_run_time;
        let sample = RunSample { declared, run_time, slowdown: server.slowdown() };
        let slowdown = self.run_times.record(&job.service, request, sample, now.elapsed);
        server.record_success(slowdown, run_time, now.elapsed);
    }

    fn handle_failed_run(&mut self, id: TaskId, index: usize, run_time: Duration, now: Moment) {
        self.release_slots(id, index);
        let Some(name) = self.directory.get(index).map(|server| server.name().clone()) else {
            return;
        };
        let may_retry = self.count_failed_run(id, index);
        let faulted = TimelineEvent::new(EventKind::TaskFaulted).submission(id.submission);
        let field = EventField::RunTimeUs(micros(run_time));
        self.record_event(faulted.task(id.index).subject(&name).field(field));
        self.count_server_failure(index, now);
        if may_retry {
            self.retry_task(id, RetryCost::One, now);
            self.dispatch_all(now);
            return;
        }
        let details = LimitDetails::new(LimitName::TaskIndex, 0, id.index.into());
        self.fail_job(id.submission, ErrorKind::TaskFailed, details, now);
    }

    /// Counts a failed run; returns whether the task may be run again.
    fn count_failed_run(&mut self, id: TaskId, index: usize) -> bool {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return false };
        let (is_repeatable, max_failures) = (job.is_repeatable(), job.max_failures);
        let task = &mut job.tasks[id.index as usize];
        task.failures += 1;
        task.failed_on = Some(index);
        task.may_have_run = true;
        let may_retry = is_repeatable && task.failures < max_failures;
        task.advance(if may_retry { TaskEvent::Retry } else { TaskEvent::Fault }) && may_retry
    }

    /// Whether the task may be queued again once `run_lapse` proves that its run has ended.
    fn may_requeue_after_lapse(&self, id: TaskId) -> bool {
        let job = self.jobs.get(&id.submission);
        !self.limits.run_lapse.is_zero() && job.is_some_and(ActiveJob::is_repeatable)
    }

    /// Queues a task again whose run has ended without a result. If a second run might have a
    /// further effect, the job fails instead.
    pub(super) fn handle_interrupted_run(
        &mut self,
        id: TaskId,
        index: usize,
        cause: InterruptCause,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        if !job.is_repeatable() {
            self.fail_lost_task(id, index, now);
            return;
        }
        let task = &mut job.tasks[id.index as usize];
        task.may_have_run = true;
        task.failed_on = Some(index);
        if cause == InterruptCause::ServerLost {
            task.servers_lost += 1;
        }
        if !task.advance(TaskEvent::Interrupt) {
            return;
        }
        self.release_slots(id, index);
        self.record_interrupted_run(id, index, cause);
        if self.check_crashing_task(id, now) == JobFate::Continues {
            self.retry_task(id, RetryCost::One, now);
        }
        self.dispatch_all(now);
    }

    fn record_interrupted_run(&mut self, id: TaskId, index: usize, cause: InterruptCause) {
        let Some(name) = self.directory.get(index).map(|server| server.name().clone()) else {
            return;
        };
        let interrupted = TimelineEvent::new(EventKind::TaskInterrupted).submission(id.submission);
        let interrupted = interrupted.task(id.index).subject(&name);
        self.record_event(interrupted.field(EventField::Cause(cause)));
    }

    fn fail_lost_task(&mut self, id: TaskId, index: usize, now: Moment) {
        self.release_slots(id, index);
        if let Some(job) = self.jobs.get_mut(&id.submission) {
            job.tasks[id.index as usize].advance(TaskEvent::Lose);
        }
        let lost = TimelineEvent::new(EventKind::TaskLost).submission(id.submission);
        self.record_event(lost.task(id.index));
        let details = LimitDetails::new(LimitName::TaskIndex, 0, id.index.into());
        self.fail_job(id.submission, ErrorKind::OutcomeUnknown, details, now);
    }

    /// Asks at once about the tasks sent to incarnations other than the one that has just reported.
    /// The heartbeat may be late, so only the reply from the address tells which one lives there.
    pub(super) fn query_other_incarnations(&mut self, index: usize, now: Moment) {
        let current = self.directory.get(index).map(ServerRecord::incarnation);
        let others = |(server, addressed)| server == index && Some(addressed) != current;
        for (_, id) in self.sent_tasks(others) {
            self.schedule_status_query(id, Duration::ZERO, now);
        }
        self.send_due_status_queries(now);
    }

    /// Sent tasks whose server and addressed incarnation satisfy `is_match`, sorted by these.
    fn sent_tasks(
        &self,
        is_match: impl Fn((usize, Incarnation)) -> bool,
    ) -> Vec<((usize, Incarnation), TaskId)> {
        let server_of = |task: &ActiveTask| {
            let is_sent = task.state() == TaskState::Sent;
            task.server.filter(|server| is_sent && is_match(*server))
        };
        let mut sent = Vec::new();
        for job in self.jobs.values() {
            for (task, position) in job.tasks.iter().zip(0u32..) {
                let server = server_of(task);
                sent.extend(server.map(|server| (server, TaskId::new(job.id, position))));
            }
        }
        sent.sort_unstable();
        sent
    }

    /// Queues the tasks of an agent again once the run leases granted to its incarnation have ended for
    /// so long that all its runs have ended, whatever became of the incarnation.
    pub(super) fn requeue_lapsed_runs(&mut self, now: Moment) {
        let run_lapse = self.limits.run_lapse;
        let is_lapsed = |until: Duration| now.elapsed >= until + run_lapse;
        let ended = self.run_leases.extract_if(|_, until| is_lapsed(*until));
        let lapsed: HashSet<(usize, Incarnation)> = ended.map(|(agent, _)| agent).collect();
        if lapsed.is_empty() {
            return;
        }
        // All of these are known before the first is started again, which may be at another agent of
        // the set: that start grants it a new lease.
        for ((index, _), id) in self.sent_tasks(|server| lapsed.contains(&server)) {
            if self.may_requeue_after_lapse(id) {
                self.handle_interrupted_run(id, index, InterruptCause::AgentSilent, now);
            }
        }
    }

    fn schedule_status_query(&mut self, id: TaskId, delay: Duration, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        let at = now.elapsed + delay;
        if let Some(old) = task.status_query_at.replace(at) {
            self.status_queries.remove(&(old, id));
        }
        self.status_queries.insert((at, id));
    }

    /// Sends every status query that is due.
    pub(super) fn send_due_status_queries(&mut self, now: Moment) {
        while let Some(&(at, id)) = self.status_queries.first() {
            if at > now.elapsed {
                return;
            }
            self.status_queries.pop_first();
            self.send_status_query(id, now);
        }
    }

    fn send_status_query(&mut self, id: TaskId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        let Some((index, incarnation)) = task.server else { return };
        let Some(server) = self.directory.get(index) else { return };
        let address = server.latest_report().address.clone();
        let start = StartId { task: id, attempt: task.attempts, incarnation };
        let sent_at = task.sent_at;
        let at = now.elapsed + STATUS_QUERY_INTERVAL;
        task.status_query_at = Some(at);
        self.status_queries.insert((at, id));
        let queried = TimelineEvent::new(EventKind::TaskAsked).submission(id.submission);
        let queried = queried.task(id.index).subject(server.name());
        self.record_event(queried);
        self.actions.push(EntryAction::QueryStatus { address, start, sent_at });
    }
}
