//! Room of an agent: what may run and queue, and what of it is stuck.

use super::AgentMachine;
use crate::time::Moment;

impl AgentMachine {
    /// Slots that may run and queue here together; behind stuck runs less may queue.
    pub fn admission_slots(&self) -> u32 {
        let total_slots = self.limits.capacity.slots;
        let live_slots = u64::from(total_slots.saturating_sub(self.stuck_slots));
        let queue_slots =
            u64::from(self.limits.queue_slots) * live_slots / u64::from(total_slots.max(1));
        total_slots + u32::try_from(queue_slots).unwrap_or(u32::MAX)
    }

    pub(super) fn update_stuck_slots(&mut self, now: Moment) {
        let running = self.held_tasks.values().filter(|held| held.started_at.is_some());
        let stuck = running.filter(|held| now.elapsed >= held.order.start_before);
        self.stuck_slots = stuck.map(|held| held.order.room.slots).sum();
    }

    /// Whether nothing that waits here can start before a stuck run ends.
    pub(super) fn is_blocked(&self) -> bool {
        self.stuck_slots > 0 && self.stuck_slots >= self.limits.capacity.slots
    }
}
