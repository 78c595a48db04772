//! Tasks that were in progress when the backend server was lost.
//!
//! A task may crash every server that runs it. Its entry counts the servers lost under it, but the
//! count ends with the entry, and a resubmission may reach another one. The agents outlive both, so
//! each lists its recent losses in its heartbeats to all entries.

use crate::id::TaskName;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a loss is listed: longer than the life of a job and its resubmissions.
const LOSS_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of listed losses; beyond it, the oldest are dropped.
const MAX_LOSSES: usize = 64;

/// Recent losses, oldest first.
#[derive(Debug, Default)]
pub(super) struct LossLog {
    losses: VecDeque<(Duration, TaskName)>,
}

impl LossLog {
    /// Records that the server was lost at `now` while `task` ran or may have run.
    pub fn record(&mut self, task: TaskName, now: Duration) {
        if self.losses.len() == MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back((now, task));
    }

    /// Drops the losses that are older than the retention time.
    pub fn expire(&mut self, now: Duration) {
        while self.losses.front().is_some_and(|(at, _)| *at + LOSS_RETENTION <= now) {
            self.losses.pop_front();
        }
    }

    /// Names of the tasks, one for each loss.
    pub fn tasks(&self) -> Vec<TaskName> {
        self.losses.iter().map(|(_, task)| task.clone()).collect()
    }
}
