//! Tasks that wait at an entry, shared fairly between teams.
//!
//! Each service has a queue ordered by the rank of the tasks: the arrival of the job, later for a
//! larger job. A till's single request so passes the tasks of a large job that came shortly before,
//! and a large job is passed only by what comes within its surcharge. Where a freed slot could serve several services,
//! stride scheduling picks the team that has had the least service for its weight. A team that was
//! idle starts at the present pass and gains no credit for its absence.

use crate::id::{ServiceName, TaskId, TeamName};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Pass that one task of a team with weight 1 costs.
const STRIDE: u64 = 1 << 20;

#[derive(Debug, Default)]
struct ServiceQueue {
    team: Option<TeamName>,
    tasks: BTreeSet<(Duration, TaskId)>,
}

/// Queues of all services.
#[derive(Debug, Default)]
pub struct TeamQueue {
    services: HashMap<ServiceName, ServiceQueue>,
    passes: HashMap<TeamName, u64>,
    present: u64,
    len: usize,
}

impl TeamQueue {
    /// Queue without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of tasks that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of tasks that wait for `service`.
    pub fn service_len(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |queue| queue.tasks.len())
    }

    /// Adds a task of `rank`; the least rank comes first.
    pub fn push(&mut self, service: &ServiceName, team: &TeamName, task: TaskId, rank: Duration) {
        if self.enter(service, team).tasks.insert((rank, task)) {
            self.len += 1;
        }
    }

    fn enter(&mut self, service: &ServiceName, team: &TeamName) -> &mut ServiceQueue {
        let pass = self.passes.entry(team.clone()).or_insert(0);
        let queue = self.services.entry(service.clone()).or_default();
        if queue.tasks.is_empty() {
            *pass = (*pass).max(self.present);
        }
        queue.team = Some(team.clone());
        queue
    }

    /// Next task for a server that offers `services`, with its team, which is to be charged for it.
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
        self.present = pass;
        self.len -= 1;
        Some((task, team))
    }

    /// Charges a team of `weight` for one task sent.
    pub fn charge(&mut self, team: &TeamName, weight: u32) {
        let stride = STRIDE / u64::from(weight.max(1));
        if let Some(pass) = self.passes.get_mut(team) {
            *pass += stride;
        }
    }

    /// Takes `task` out of the queue of `service`; returns whether it waited there under `rank`.
    pub fn remove(&mut self, service: &str, task: TaskId, rank: Duration) -> bool {
        let queue = self.services.get_mut(service);
        let is_removed = queue.is_some_and(|queue| queue.tasks.remove(&(rank, task)));
        if is_removed {
            self.len -= 1;
        }
        is_removed
    }
}
