//! Queue of accepted tasks that wait for free capacity of the backend server.

use super::confirmation::StartConfirmation;
use super::{AcceptedTask, AgentAction, AgentMachine};
use crate::entry::{NotStartedReason, StartRequest, TaskReply};
use crate::id::{EntryName, TaskId};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind};

impl AgentMachine {
    pub(super) fn enqueue(&mut self, entry: EntryName, request: StartRequest, now: Moment) {
        let task = request.task;
        self.outcomes.forget(task);
        self.queued_slots += request.demand.slots;
        *self.slots_by_entry.entry(entry.clone()).or_insert(0) += request.demand.slots;
        let queue_position = now.elapsed + request.queue_penalty;
        self.tasks.insert(
            task,
            AcceptedTask {
                entry,
                request,
                queue_position,
                started_at: None,
                stop_requested_at: None,
            },
        );
        self.queue.insert((queue_position, task));
        self.actions.push(AgentAction::AddWaiter { task });
        self.dispatch_queued(now);
        if self.tasks.get(&task).is_some_and(|accepted| accepted.started_at.is_none()) {
            self.record_event(EventKind::AgentQueued, task, &[]);
        }
    }

    /// Starts queued tasks while there is free capacity.
    pub(super) fn dispatch_queued(&mut self, now: Moment) {
        while let Some(&(queue_position, task)) = self.queue.first() {
            let Some(accepted) =
                self.tasks.get(&task).filter(|accepted| accepted.queue_position == queue_position)
            else {
                self.queue.pop_first();
                continue;
            };
            if !accepted.request.demand.fits(&self.limits.capacity, &self.used_capacity) {
                return;
            }
            self.queue.pop_first();
            let request = accepted.request.clone();
            if let Some(reason) = self.refusal_reason(&request, now) {
                self.return_task(task, reason, now);
                continue;
            }
            match self.confirm_start(&request, now) {
                StartConfirmation::Sufficient => {}
                StartConfirmation::Pending => {
                    self.queue.insert((queue_position, task));
                    return;
                }
                StartConfirmation::Lapsed => {
                    self.return_task(task, NotStartedReason::PermitLapsed, now);
                    continue;
                }
            }
            if let Some(accepted) = self.tasks.get_mut(&task) {
                accepted.started_at = Some(now.elapsed);
            }
            self.queued_slots -= request.demand.slots;
            self.used_capacity += request.demand;
            let version = EventField::Version(self.directive.version.max(request.version));
            self.record_event(EventKind::AgentStarted, task, &[version]);
            self.actions.push(AgentAction::Run(request));
        }
    }

    /// Returns a queued task to its entry.
    pub(super) fn return_task(&mut self, task: TaskId, reason: NotStartedReason, now: Moment) {
        let Some(accepted) = self.tasks.remove(&task) else { return };
        self.queued_slots -= accepted.request.demand.slots;
        self.release_entry_slots(&accepted);
        self.record_refused(&accepted.request, reason);
        self.complete(&accepted, TaskReply::NotStarted(reason), now);
    }

    /// Returns every queued task that may no longer start, then starts others while there is free
    /// capacity.
    pub(super) fn recheck_queue(&mut self, now: Moment) {
        let queued: Vec<TaskId> = self.queue.iter().map(|(_, task)| *task).collect();
        for task in queued {
            let Some(accepted) = self.tasks.get(&task) else { continue };
            if let Some(reason) = self.refusal_reason(&accepted.request.clone(), now) {
                self.return_task(task, reason, now);
            }
        }
        self.queue.retain(|(_, task)| self.tasks.contains_key(task));
        self.dispatch_queued(now);
    }
}
