//! Queue of waiting tasks, with fair sharing between teams.
//!
//! Each service has a queue ordered by position, which is set by
//! [`ActiveJob::queue_position`](crate::job::ActiveJob::queue_position): the arrival time of the
//! job plus a penalty. Without a latency objective, the penalty grows with the number of tasks. A
//! single request, for example from a till, therefore overtakes the tasks of a large job that
//! arrived shortly before, and a large job is overtaken only by jobs that arrive within its
//! penalty. If a free slot can serve several services, stride scheduling picks the team with the
//! fewest tasks sent in proportion to its weight. A team that was idle resumes at the current pass
//! and gains no credit for the idle time.

use crate::id::{ServiceName, SubmissionId, TaskId, TaskIndex, TeamName};
use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

/// Increase of a team's pass for one task at weight 1.
const STRIDE: u64 = 1 << 20;

#[derive(Debug, Default)]
struct ServiceQueue {
    team: Option<TeamName>,
    tasks: BTreeSet<(Duration, TaskId)>,
}

/// Queues of all services, and the pass of each team in the stride scheduling.
#[derive(Debug, Default)]
pub struct TeamQueue {
    services: HashMap<ServiceName, ServiceQueue>,
    passes: HashMap<TeamName, u64>,
    current_pass: u64,
    len: usize,
}

impl TeamQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting tasks of all services.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no task is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting tasks of `service`.
    pub fn service_len(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |queue| queue.tasks.len())
    }

    /// Adds a task at `position`; lower positions are served first.
    pub fn push(
        &mut self,
        service: &ServiceName,
        team: &TeamName,
        task: TaskId,
        position: Duration,
    ) {
        if self.activate(service, team).tasks.insert((position, task)) {
            self.len += 1;
        }
    }

    fn activate(&mut self, service: &ServiceName, team: &TeamName) -> &mut ServiceQueue {
        let pass = self.passes.entry(team.clone()).or_insert(0);
        let queue = self.services.entry(service.clone()).or_default();
        if queue.tasks.is_empty() {
            *pass = (*pass).max(self.current_pass);
        }
        queue.team = Some(team.clone());
        queue
    }

    /// Removes the next task for a server that offers `services`; returns it with its team, which
    /// [`TeamQueue::charge`] has to charge if the task is sent.
    pub fn pop(&mut self, services: &[ServiceName]) -> Option<(TaskId, TeamName)> {
        let waiting = services.iter().filter_map(|name| {
            let queue = self.services.get(name).filter(|queue| !queue.tasks.is_empty())?;
            let team = queue.team.as_ref()?;
            Some((self.passes.get(team).copied().unwrap_or(0), name))
        });
        let (pass, name) = waiting.min_by_key(|(pass, _)| *pass)?;
        let queue = self.services.get_mut(name)?;
        let (_, task) = queue.tasks.pop_first()?;
        let team = queue.team.clone()?;
        self.current_pass = pass;
        self.len -= 1;
        Some((task, team))
    }

    /// Next task in the queue of `service`.
    pub fn next_task(&self, service: &str) -> Option<TaskId> {
        self.services.get(service)?.tasks.first().map(|(_, task)| *task)
    }

    /// Submissions of the waiting tasks of `service` in the order of the queue, at most `limit`. The
    /// tasks of a submission wait at the same position.
    pub fn waiting_jobs(&self, service: &str, limit: usize) -> Vec<SubmissionId> {
        let Some(queue) = self.services.get(service) else { return Vec::new() };
        let mut found = Vec::new();
        let mut next = queue.tasks.first().copied();
        while let Some((position, task)) = next {
            if found.len() == limit {
                break;
            }
            found.push(task.submission);
            let last = (position, TaskId::new(task.submission, TaskIndex::MAX));
            next = queue.tasks.range((Bound::Excluded(last), Bound::Unbounded)).next().copied();
        }
        found
    }

    /// Charges a team of `weight` for one task that was sent.
    pub fn charge(&mut self, team: &TeamName, weight: u32) {
        let stride = STRIDE / u64::from(weight.max(1));
        if let Some(pass) = self.passes.get_mut(team) {
            *pass += stride;
        }
    }

    /// Removes `task` from the queue of `service`; returns whether it waited there at `position`.
    pub fn remove(&mut self, service: &str, task: TaskId, position: Duration) -> bool {
        let queue = self.services.get_mut(service);
        let is_removed = queue.is_some_and(|queue| queue.tasks.remove(&(position, task)));
        if is_removed {
            self.len -= 1;
        }
        is_removed
    }
}
