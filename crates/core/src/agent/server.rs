//! What an agent knows of its server and of the entries whose tasks it runs.

use super::{AgentMachine, ServerAvailability, entry_of};
use crate::entry::NotStartedReason;
use crate::id::TaskId;
use crate::time::Moment;

impl AgentMachine {
    /// Whether the entry of `task` was not heard from for so long that its tasks must not run.
    pub(super) fn is_unleased(&self, task: TaskId, now: Moment) -> bool {
        let lease = self.leases.get(&entry_of(task));
        self.limits.is_leased && lease.is_none_or(|&until| until <= now.elapsed)
    }

    /// Ends the tasks of every entry whose lease ran out.
    pub(super) fn end_unleased(&mut self, now: Moment) {
        let held = self.held.iter();
        let unleased = held.filter(|(task, _)| self.is_unleased(**task, now));
        let mut tasks: Vec<TaskId> = unleased.map(|(task, _)| *task).collect();
        tasks.sort_unstable();
        for task in tasks {
            let Some(held) = self.held.get_mut(&task) else { continue };
            if held.started.is_none() {
                self.give_back(task, NotStartedReason::PermitLapsed, now);
            } else if held.order.may_stop && !std::mem::replace(&mut held.is_stopping, true) {
                self.stop(task);
            }
        }
        let kept = self.limits.outcome_retention;
        self.leases.retain(|_, until| *until + kept > now.elapsed);
    }

    pub(super) fn take_offer(&mut self, offer: ServerAvailability, now: Moment) {
        self.limits.capacity = offer.capacity;
        self.is_server_leaving = offer.is_leaving;
        self.is_server_absent = false;
        self.recheck(now);
    }

    /// Gives back what waits for a server that does not answer, and takes no more.
    pub(super) fn note_silence(&mut self, is_silent: bool, now: Moment) {
        self.is_server_silent = is_silent;
        self.recheck(now);
    }

    pub(super) fn withdraw(&mut self, now: Moment) {
        self.is_server_absent = true;
        self.recheck(now);
    }
}
