//! What an agent says and does about a task that it is asked for or told to drop.

use super::{AgentAction, AgentMachine};
use crate::entry::{NotStartedReason, SentStart, TaskReply};
use crate::id::TaskId;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, micros};
use std::time::Duration;

impl AgentMachine {
    pub(super) fn cancel(&mut self, task: TaskId, now: Moment) {
        let Some(held) = self.held.get(&task) else {
            self.forbid_all(task, now);
            return;
        };
        if held.started.is_none() {
            self.give_back(task, NotStartedReason::Cancelled, now);
            self.run_next(now);
        } else if held.order.may_stop {
            self.stop(task);
        }
    }

    pub(super) fn stop(&mut self, task: TaskId) {
        self.note(EventKind::AgentStopped, task, &[]);
        self.actions.push(AgentAction::Stop { task });
    }

    /// Refuses every start of a cancelled task that is still under way.
    pub(super) fn forbid_all(&mut self, task: TaskId, now: Moment) {
        let is_given_back = |reply: &TaskReply| matches!(reply, TaskReply::NotStarted(_));
        let is_open = self.memory.get(task).is_none_or(|kept| is_given_back(&kept.reply));
        if is_open && !self.memory.is_full() {
            let reply = TaskReply::NotStarted(NotStartedReason::Cancelled);
            self.memory.keep(task, u32::MAX, reply, now.elapsed);
        }
    }

    pub(super) fn ask(&mut self, entry: &str, asked: SentStart, sent_at: Duration, now: Moment) {
        let task = asked.task;
        if asked.incarnation == self.incarnation && self.held.contains_key(&task) {
            self.note_asked(task, now);
            self.actions.push(AgentAction::Wait { task });
            return;
        }
        let reply = self.recall(asked, sent_at, now);
        let load = self.load_for(entry);
        self.actions.push(AgentAction::Respond { reply, load });
    }

    fn note_asked(&mut self, task: TaskId, now: Moment) {
        let started = self.held.get(&task).and_then(|held| held.started);
        let ran = started.map(|at| EventField::RunTimeUs(micros(now.elapsed.saturating_sub(at))));
        let figures: Vec<EventField> = ran.into_iter().collect();
        self.note(EventKind::AgentAsked, task, &figures);
    }

    /// What became of a start that is not held.
    pub(super) fn recall(&mut self, asked: SentStart, sent_at: Duration, now: Moment) -> TaskReply {
        if asked.incarnation != self.incarnation {
            // Runs of an earlier incarnation may last until the server is known.
            return if self.is_withdrawn { TaskReply::Pending } else { TaskReply::Lost };
        }
        match self.memory.get(asked.task) {
            Some(kept) if matches!(kept.reply, TaskReply::Done { .. }) => kept.reply.clone(),
            Some(kept) if kept.attempt >= asked.attempt => kept.reply.clone(),
            _ if now.elapsed >= sent_at + self.limits.outcome_kept => TaskReply::Lost,
            _ => self.forbid(asked, now),
        }
    }

    /// Promises never to start what was not received.
    pub(super) fn forbid(&mut self, asked: SentStart, now: Moment) -> TaskReply {
        let reason = NotStartedReason::NeverReceived;
        self.note(EventKind::AgentRefused, asked.task, &[EventField::Why(reason)]);
        let reply = TaskReply::NotStarted(reason);
        self.memory.keep(asked.task, asked.attempt, reply.clone(), now.elapsed);
        reply
    }

    /// Answers a start meant for another incarnation, which may have received a copy of it.
    pub(super) fn disown(&mut self, task: TaskId, entry: &str) {
        let reason = EventField::Why(NotStartedReason::OtherIncarnation);
        self.note(EventKind::AgentRefused, task, &[reason]);
        let load = self.load_for(entry);
        self.actions.push(AgentAction::Respond { reply: TaskReply::Lost, load });
    }
}
