//! Run leases granted by entries, and the state of the backend server.

use super::{AgentMachine, ServerAvailability, entry_incarnation};
use crate::entry::NotStartedReason;
use crate::id::{Incarnation, TaskId};
use crate::time::Moment;
use crate::timeline::StopReason;
use std::time::Duration;

impl AgentMachine {
    /// Whether `task` must not run because its entry has not renewed its lease in time.
    pub(super) fn is_unleased(&self, task: TaskId, now: Moment) -> bool {
        let lease = self.entry_leases.get(&entry_incarnation(task));
        self.limits.is_leased && lease.is_none_or(|&until| until <= now.elapsed)
    }

    /// Extends the lease of the tasks of an entry to `until`, unless it lasts longer already.
    pub(super) fn extend_entry_lease(&mut self, entry: Incarnation, until: Duration, now: Moment) {
        // The entry treats its tasks as ended once its lease has expired, so tasks whose lease has
        // expired are stopped before the extension takes effect.
        self.stop_unleased_tasks(now);
        let lease = self.entry_leases.entry(entry).or_default();
        *lease = (*lease).max(until);
    }

    /// Returns the queued tasks of every entry without a valid lease, and stops its running tasks
    /// if they may be stopped.
    pub(super) fn stop_unleased_tasks(&mut self, now: Moment) {
        let accepted = self.tasks.iter();
        let unleased = accepted.filter(|(task, _)| self.is_unleased(**task, now));
        let mut tasks: Vec<TaskId> = unleased.map(|(task, _)| *task).collect();
        tasks.sort_unstable();
        for task in tasks {
            self.end_task(task, NotStartedReason::PermitLapsed, StopReason::LeaseExpired, now);
        }
        let retention = self.limits.outcome_retention;
        self.entry_leases.retain(|_, until| *until + retention > now.elapsed);
    }

    pub(super) fn set_availability(&mut self, availability: ServerAvailability, now: Moment) {
        self.limits.capacity = availability.capacity;
        self.is_server_leaving = availability.is_leaving;
        self.is_server_absent = false;
        self.recheck_queue(now);
    }

    /// Sets whether the server is unresponsive. While it is, queued tasks are returned and new ones
    /// are refused.
    pub(super) fn set_unresponsive(&mut self, is_unresponsive: bool, now: Moment) {
        self.is_server_unresponsive = is_unresponsive;
        self.recheck_queue(now);
    }

    pub(super) fn set_server_absent(&mut self, now: Moment) {
        self.is_server_absent = true;
        self.recheck_queue(now);
    }
}
