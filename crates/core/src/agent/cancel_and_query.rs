//! Cancellations, status queries and starts meant for another incarnation.

use super::{AgentAction, AgentMachine};
use crate::entry::{NotStartedReason, StartId, TaskReply};
use crate::id::{SubmissionId, TaskId};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, StopReason, micros};
use std::time::Duration;

impl AgentMachine {
    pub(super) fn cancel(&mut self, task: TaskId, now: Moment) {
        if !self.tasks.contains_key(&task) {
            self.forbid_all_starts(task, now);
            return;
        }
        self.end_task(task, NotStartedReason::Cancelled, StopReason::Cancelled, now);
        self.dispatch_queued(now);
    }

    /// Cancels the tasks of submissions that their entry no longer works on.
    pub(super) fn cancel_submissions(&mut self, ended: &[SubmissionId], now: Moment) {
        let held = self.tasks.keys().filter(|task| ended.contains(&task.submission));
        let mut tasks: Vec<TaskId> = held.copied().collect();
        tasks.sort_unstable();
        for task in tasks {
            self.end_task(task, NotStartedReason::Cancelled, StopReason::SubmissionEnded, now);
        }
        self.dispatch_queued(now);
    }

    /// Returns a queued task, or asks the worker to stop a running one.
    pub(super) fn end_task(
        &mut self,
        task: TaskId,
        not_started: NotStartedReason,
        stopped: StopReason,
        now: Moment,
    ) {
        let Some(accepted) = self.tasks.get(&task) else { return };
        if accepted.started_at.is_none() {
            self.return_task(task, not_started, now);
        } else {
            self.stop_run(task, stopped, now);
        }
    }

    /// Asks the worker to stop a running task, once, if it may be stopped.
    pub(super) fn stop_run(&mut self, task: TaskId, reason: StopReason, now: Moment) {
        let Some(accepted) = self.tasks.get_mut(&task) else { return };
        if !accepted.request.may_stop || accepted.stop_requested_at.is_some() {
            return;
        }
        accepted.stop_requested_at = Some(now.elapsed);
        self.record_event(EventKind::AgentStopped, task, &[EventField::StopReason(reason)]);
        self.actions.push(AgentAction::Stop { task });
    }

    /// Stores a refusal for every start of a cancelled task, since one may still be in transit.
    pub(super) fn forbid_all_starts(&mut self, task: TaskId, now: Moment) {
        let is_not_started = |reply: &TaskReply| matches!(reply, TaskReply::NotStarted(_));
        let is_undecided =
            self.outcomes.get(task).is_none_or(|stored| is_not_started(&stored.reply));
        if is_undecided && !self.outcomes.is_full() {
            let reply = TaskReply::NotStarted(NotStartedReason::Cancelled);
            self.outcomes.store(task, u32::MAX, reply, now.elapsed);
        }
    }

    pub(super) fn query(&mut self, entry: &str, start: StartId, sent_at: Duration, now: Moment) {
        let task = start.task;
        if start.incarnation == self.incarnation && self.tasks.contains_key(&task) {
            self.record_query(task, now);
            self.actions.push(AgentAction::AddWaiter { task });
            return;
        }
        let reply = self.reply_to_query(start, sent_at, now);
        let load = self.load_for(entry);
        self.actions.push(AgentAction::ReplyToSender { reply, load });
    }

    fn record_query(&mut self, task: TaskId, now: Moment) {
        let started_at = self.tasks.get(&task).and_then(|accepted| accepted.started_at);
        let run_time =
            started_at.map(|at| EventField::RunTimeUs(micros(now.elapsed.saturating_sub(at))));
        let fields: Vec<EventField> = run_time.into_iter().collect();
        self.record_event(EventKind::AgentAsked, task, &fields);
    }

    /// Reply to a query about a start that is neither queued nor running here.
    pub(super) fn reply_to_query(
        &mut self,
        start: StartId,
        sent_at: Duration,
        now: Moment,
    ) -> TaskReply {
        if start.incarnation != self.incarnation {
            // Until the server is known, runs of an earlier incarnation may still be in progress.
            return if self.is_server_absent { TaskReply::Pending } else { TaskReply::Lost };
        }
        match self.outcomes.get(start.task) {
            Some(stored) if matches!(stored.reply, TaskReply::Done { .. }) => stored.reply.clone(),
            Some(stored) if stored.attempt >= start.attempt => stored.reply.clone(),
            _ if now.elapsed >= sent_at + self.limits.outcome_retention => TaskReply::Lost,
            _ => self.forbid_start(start, now),
        }
    }

    /// Stores a refusal for a start that was not received, so that it never runs even if it still
    /// arrives.
    pub(super) fn forbid_start(&mut self, start: StartId, now: Moment) -> TaskReply {
        let reason = NotStartedReason::NeverReceived;
        self.record_event(EventKind::AgentRefused, start.task, &[EventField::Why(reason)]);
        let reply = TaskReply::NotStarted(reason);
        self.outcomes.store(start.task, start.attempt, reply.clone(), now.elapsed);
        reply
    }

    /// Replies to a start meant for another incarnation, which may have received a copy of it.
    pub(super) fn reply_other_incarnation(&mut self, task: TaskId, entry: &str) {
        let reason = EventField::Why(NotStartedReason::OtherIncarnation);
        self.record_event(EventKind::AgentRefused, task, &[reason]);
        let load = self.load_for(entry);
        self.actions.push(AgentAction::ReplyToSender { reply: TaskReply::Lost, load });
    }
}
