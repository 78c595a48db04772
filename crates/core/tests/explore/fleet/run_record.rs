//! Record of the runs in progress at all workers.

use parsleyspool_core::id::TaskName;
use parsleyspool_core::run::RunKey;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Two runs of one task at different workers at the same time.
#[derive(Debug, Clone)]
pub struct RunOverlap {
    pub task: TaskName,
    /// Agents of the earlier and the later run.
    pub agents: [usize; 2],
    pub began_at: Duration,
    pub ended_at: Duration,
}

impl fmt::Display for RunOverlap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second] = self.agents;
        let length = (self.ended_at - self.began_at).as_millis();
        let began_at = self.began_at.as_millis();
        write!(f, "{} at agents {first} and {second} from {began_at} ms for {length} ms", self.task)
    }
}

/// Run in progress.
#[derive(Debug)]
struct OpenRun {
    agent: usize,
    began_at: Duration,
}

#[derive(Debug, Default)]
pub struct RunRecord {
    open: HashMap<TaskName, Vec<OpenRun>>,
    overlaps: Vec<RunOverlap>,
    count: usize,
}

impl RunRecord {
    pub fn overlaps(&self) -> &[RunOverlap] {
        &self.overlaps
    }

    pub fn count(&self) -> usize {
        self.count
    }

    pub fn begin(&mut self, key: &RunKey, agent: usize, now: Duration) {
        self.count += 1;
        let runs = self.open.entry(key.task_name.clone()).or_default();
        runs.push(OpenRun { agent, began_at: now });
    }

    /// Records the end of a run, and each overlap with one that is still in progress.
    pub fn end(&mut self, key: &RunKey, agent: usize, now: Duration) {
        let Some(runs) = self.open.get_mut(&key.task_name) else { return };
        let Some(index) = runs.iter().position(|run| run.agent == agent) else { return };
        let ended = runs.remove(index);
        for other in runs {
            let is_first = ended.began_at <= other.began_at;
            let agents = if is_first { [agent, other.agent] } else { [other.agent, agent] };
            let began_at = ended.began_at.max(other.began_at);
            let task = key.task_name.clone();
            self.overlaps.push(RunOverlap { task, agents, began_at, ended_at: now });
        }
    }
}
