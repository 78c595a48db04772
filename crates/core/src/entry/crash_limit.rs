//! Gives up tasks that crash the servers that run them.
//!
//! A task that crashes its server would, started again, take down one server after the other. The
//! servers lost under a task are counted across submissions and entries: this entry counts those
//! that it saw itself, and the heartbeats of the agents name the rest.
//!
//! A loss counts for every task that ran on the server or may have run, most of which did not cause
//! it. The limit leaves room for a server that another task crashed, and for a start that was sent
//! just before the crash and not received.

use super::EntryMachine;
use crate::error::{ErrorKind, LimitDetails, LimitName};
use crate::id::{SubmissionId, TaskId, task_name};
use crate::time::Moment;

/// Number of servers lost under a task at which its job fails.
const MAX_SERVERS_LOST: u32 = 3;

/// Whether a job continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobFate {
    Continues,
    /// The job has failed and is answered.
    Failed,
}

impl EntryMachine {
    /// Fails the job if one of its tasks is known to crash servers.
    pub(super) fn check_crashing_job(&mut self, id: SubmissionId, now: Moment) -> JobFate {
        let task_count = match self.jobs.get(&id) {
            Some(job) if !self.losses.is_empty() => job.task_count(),
            _ => return JobFate::Continues,
        };
        for index in 0..task_count {
            if self.check_crashing_task(TaskId::new(id, index), now) == JobFate::Failed {
                return JobFate::Failed;
            }
        }
        JobFate::Continues
    }

    /// Fails the job of `task` if that many servers were lost under the task that it is their
    /// likely cause.
    pub(super) fn check_crashing_task(&mut self, task: TaskId, now: Moment) -> JobFate {
        let servers_lost = self.servers_lost_under(task);
        if servers_lost < MAX_SERVERS_LOST {
            return JobFate::Continues;
        }
        if let Some(job) = self.jobs.get_mut(&task.submission) {
            // It ran, if only for another submission of the job.
            job.tasks[task.index as usize].may_have_run = true;
        }
        let limit = LimitName::ServersLost;
        let details = LimitDetails::new(limit, MAX_SERVERS_LOST.into(), servers_lost.into());
        self.fail_job(task.submission, ErrorKind::TaskFailed, details, now);
        JobFate::Failed
    }

    /// Number of servers lost under a task, of all submissions of its job.
    fn servers_lost_under(&self, id: TaskId) -> u32 {
        let Some(job) = self.jobs.get(&id.submission) else { return 0 };
        let seen = job.tasks.get(id.index as usize).map_or(0, |task| task.servers_lost);
        if self.losses.is_empty() {
            return seen;
        }
        // A loss that this entry saw is also in the heartbeat of the agent, sooner or later.
        seen.max(self.losses.count(&task_name(&job.name, id.index)))
    }
}
