//! Room of an agent: what may run and queue, and what of it is stuck.

use super::AgentMachine;
use crate::time::Moment;

impl AgentMachine {
    /// Slots that may run and queue here together; behind stuck runs less may queue.
    pub fn admission_slots(&self) -> u32 {
        let whole = self.limits.capacity.slots;
        let live = u64::from(whole.saturating_sub(self.stuck));
        let queue = u64::from(self.limits.queue_slots) * live / u64::from(whole.max(1));
        whole + u32::try_from(queue).unwrap_or(u32::MAX)
    }

    pub(super) fn count_stuck(&mut self, now: Moment) {
        let running = self.held.values().filter(|held| held.started.is_some());
        let stuck = running.filter(|held| now.elapsed >= held.order.start_before);
        self.stuck = stuck.map(|held| held.order.room.slots).sum();
    }

    /// Whether nothing that waits here can start before a stuck run ends.
    pub(super) fn is_blocked(&self) -> bool {
        self.stuck > 0 && self.stuck >= self.limits.capacity.slots
    }
}
