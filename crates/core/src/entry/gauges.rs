//! Counts of jobs, tasks and servers, for metrics, the status and the readiness of an entry.

use super::EntryMachine;
use crate::job::ActiveJob;

/// Number of priorities that are counted apart.
pub const PRIORITY_COUNTS: usize = 4;

/// Gauge values for metrics and the status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryGauges {
    /// Jobs accepted and not yet answered.
    pub jobs: usize,
    /// Tasks queued at this entry.
    pub queued: usize,
    /// Tasks of all jobs not yet answered, in any state.
    pub open_tasks: usize,
    /// Servers in the directory; servers that were silent for too long are removed.
    pub servers: usize,
    /// Refusal records that the log has not confirmed.
    pub refusals_waiting: usize,
    /// Refusal records dropped because the buffer was full.
    pub refusals_dropped: u64,
    /// Claims that have not expired.
    pub claims: usize,
    /// Other entries that reported within the lease.
    pub peers: usize,
    /// Waiting jobs of services with overload plans, by the rank of their priority; the last count
    /// includes all lower ones.
    pub waiting_by_priority: [usize; PRIORITY_COUNTS],
    /// Rate at which tasks of the services with waiting jobs and overload plans can be started, in
    /// slot-milliseconds per second.
    pub room: u64,
}

impl EntryMachine {
    /// Current gauge values.
    pub fn gauges(&self) -> EntryGauges {
        EntryGauges {
            jobs: self.jobs.len(),
            queued: self.queue.len(),
            open_tasks: self.open_tasks,
            servers: self.directory.len(),
            refusals_waiting: self.refusal_buffer.len(),
            refusals_dropped: self.refusal_buffer.dropped(),
            claims: self.claims.len(),
            peers: self.peer_loads.len(),
            waiting_by_priority: self.waiting_by_priority(),
            room: self.planned_room(),
        }
    }

    /// Number of servers to which a task may be sent.
    pub fn ready_servers(&self) -> usize {
        let configuration = self.ledger.configuration();
        let servers = self.directory.iter();
        servers.filter(|(index, _)| self.directory.is_eligible(*index, configuration)).count()
    }

    /// Number of jobs whose first task has the kind `request` and of which no task has started.
    pub fn waiting_jobs(&self, service: &str, request: &str) -> usize {
        let is_waiting = |job: &&ActiveJob| {
            let is_kind =
                job.tasks.first().is_some_and(|task| *task.request.request_name == *request);
            *job.service == *service && is_kind && job.has_not_started()
        };
        self.jobs.values().filter(is_waiting).count()
    }
}
