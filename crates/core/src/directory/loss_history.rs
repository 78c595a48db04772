//! Servers lost under each task, as the agents report it.
//!
//! The reports of all agents together tell whether a task has crashed several servers, whichever
//! entries started it. The latest report of an agent replaces its earlier ones. The losses that an
//! agent reported before it was replaced remain known for [`REPORT_RETENTION`].

use crate::id::{Incarnation, ServerName, TaskName};
use std::collections::HashMap;
use std::time::Duration;

/// How long a report counts after it was received, if no later one of the same agent replaces it.
const REPORT_RETENTION: Duration = Duration::from_secs(30);

/// Losses that one incarnation of an agent reported.
#[derive(Debug)]
struct LossReport {
    tasks: Vec<TaskName>,
    received_at: Duration,
}

/// Number of servers lost under each task.
#[derive(Debug, Default)]
pub struct LossHistory {
    reports: HashMap<(ServerName, Incarnation), LossReport>,
    counts: HashMap<TaskName, u32>,
}

impl LossHistory {
    /// Records the latest report of an agent, received at `now`.
    pub fn record(
        &mut self,
        server: &ServerName,
        incarnation: Incarnation,
        tasks: Vec<TaskName>,
        now: Duration,
    ) {
        let key = (server.clone(), incarnation);
        let is_same = match self.reports.get_mut(&key) {
            Some(report) => {
                report.received_at = now;
                report.tasks == tasks
            }
            None => tasks.is_empty(),
        };
        if is_same {
            return;
        }
        if tasks.is_empty() {
            self.reports.remove(&key);
        } else {
            self.reports.insert(key, LossReport { tasks, received_at: now });
        }
        self.count_tasks();
    }

    /// Drops the reports of agents that have been silent for the retention time.
    pub fn expire(&mut self, now: Duration) {
        let known = self.reports.len();
        self.reports.retain(|_, report| report.received_at + REPORT_RETENTION > now);
        if self.reports.len() != known {
            self.count_tasks();
        }
    }

    /// Whether no loss is known.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Number of servers lost under `task`.
    pub fn count(&self, task: &str) -> u32 {
        self.counts.get(task).copied().unwrap_or(0)
    }

    fn count_tasks(&mut self) {
        self.counts.clear();
        for task in self.reports.values().flat_map(|report| &report.tasks) {
            *self.counts.entry(task.clone()).or_default() += 1;
        }
    }
}
