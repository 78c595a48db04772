//! Slots for running and queued tasks, and slots occupied by stuck runs.
//!
//! A run is stuck if it continues after [`StartRequest::start_before`], the deadline of its job.

use super::AgentMachine;
use crate::entry::{NotStartedReason, StartRequest};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind};

impl AgentMachine {
    /// Slots that running and queued tasks may take together. The queue shrinks in proportion to
    /// the slots occupied by stuck runs.
    pub fn admission_slots(&self) -> u32 {
        let total_slots = self.limits.capacity.slots;
        let live_slots = u64::from(total_slots.saturating_sub(self.stuck_slots));
        let queue_slots =
            u64::from(self.limits.queue_slots) * live_slots / u64::from(total_slots.max(1));
        total_slots.saturating_add(u32::try_from(queue_slots).unwrap_or(u32::MAX))
    }

    pub(super) fn update_stuck_slots(&mut self, now: Moment) {
        let running = self.tasks.values().filter(|accepted| accepted.started_at.is_some());
        let stuck = running.filter(|accepted| now.elapsed >= accepted.request.start_before);
        let slots = stuck.map(|accepted| accepted.request.demand.slots);
        self.stuck_slots = slots.fold(0, u32::saturating_add);
    }

    /// Whether stuck runs occupy all slots, so that no queued task can start before one of them
    /// ends.
    pub(super) fn is_blocked(&self) -> bool {
        self.stuck_slots > 0 && self.stuck_slots >= self.limits.capacity.slots
    }

    /// Records that a start is refused; if there is no room for it, with the slots that decided.
    pub(super) fn record_refused(&mut self, request: &StartRequest, reason: NotStartedReason) {
        let mut fields = vec![EventField::Why(reason)];
        if reason == NotStartedReason::Full {
            fields.push(EventField::Load(self.load_slots().into()));
            fields.push(EventField::Demand(request.demand.slots.into()));
            fields.push(EventField::LoadLimit(self.admission_slots().into()));
        }
        self.record_event(EventKind::AgentRefused, request.task, &fields);
    }
}
