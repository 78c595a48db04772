//! Runs at one incarnation of a worker, on its own clock, which starts at zero.
//!
//! One lease covers all runs. It never shortens, and is never longer than [`MAX_LEASE`] from the
//! receipt of the call that grants it. Every call first ends the runs whose time is over, so that
//! the state is that of the moment of the call.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Longest lease that a call may grant.
pub const MAX_LEASE: Duration = Duration::from_millis(1000);
/// Time from a stop to the end of the run.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Processor of the worker, in thousandths of a core.
pub const CAPACITY_CPU: u32 = 32_000;
/// Largest number of ends in one list.
const MAX_LISTED_ENDS: usize = 500;

/// Run of a task, by the name of the task and the number of the run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunName {
    pub task: String,
    pub number: u64,
}

/// What a task does and needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskWork {
    pub run_time: Duration,
    pub cpu: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnding {
    Done,
    Stopped,
    LeaseExpired,
    /// The worker crashed, and nothing of the run is left.
    Crashed,
}

impl RunEnding {
    /// Name of the ending in the list of ends.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::Crashed => "crashed",
        }
    }
}

/// Why a call did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    Fenced,
    LeaseExpired,
    NotNewer,
    NoCapacity,
}

impl CallRefusal {
    /// Name of the reason in the response.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fenced => "fence",
            Self::LeaseExpired => "late",
            Self::NotNewer => "old",
            Self::NoCapacity => "room",
        }
    }
}

/// Whether a start began a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartEffect {
    Began,
    AlreadyThere,
}

/// End that is listed until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    pub number: u64,
    pub run: RunName,
    pub ending: RunEnding,
}

/// Run that ended at a reading of the clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    pub at: Duration,
    pub run: RunName,
    pub ending: RunEnding,
}

#[derive(Debug)]
struct LiveRun {
    work: TaskWork,
    started_at: Duration,
    /// When a stop takes effect; `None` without one.
    stop_at: Option<Duration>,
}

impl LiveRun {
    /// When and how the run ends if no further call arrives.
    fn next_end(&self, lease_until: Duration) -> (Duration, RunEnding) {
        let done = (self.started_at + self.work.run_time, RunEnding::Done);
        let lapsed = (lease_until, RunEnding::LeaseExpired);
        let stopped = self.stop_at.map(|at| (at, RunEnding::Stopped));
        let ends = [Some(done), Some(lapsed), stopped].into_iter().flatten();
        ends.min_by_key(|(at, _)| *at).unwrap_or(done)
    }

    /// Progress in percent, below 100 until the end.
    fn percent(&self, now: Duration) -> u128 {
        let passed = now.saturating_sub(self.started_at).as_millis();
        (passed * 100 / self.work.run_time.as_millis().max(1)).min(99)
    }
}

/// Runs, lease and fencing token of an incarnation.
#[derive(Debug, Default)]
pub struct WorkerState {
    /// Highest fencing token seen.
    fence: u64,
    lease_until: Duration,
    running: BTreeMap<RunName, LiveRun>,
    listed_ends: Vec<ListedEnd>,
    end_count: u64,
    /// Highest number of a run that ended or was stopped, by task.
    latest_numbers: HashMap<String, u64>,
}

impl WorkerState {
    /// Ends the runs whose time is over at `now`, and returns them in the order of their ends.
    pub fn end_due_runs(&mut self, now: Duration) -> Vec<RunEnd> {
        let ends = self.running.iter().map(|(run, live)| {
            let (at, ending) = live.next_end(self.lease_until);
            RunEnd { at, run: run.clone(), ending }
        });
        let mut due: Vec<RunEnd> = ends.filter(|end| end.at <= now).collect();
        due.sort_by_key(|end| end.at);
        for end in &due {
            self.running.remove(&end.run);
            self.note_number(&end.run);
            self.end_count += 1;
            let (number, run, ending) = (self.end_count, end.run.clone(), end.ending);
            self.listed_ends.push(ListedEnd { number, run, ending });
        }
        due
    }

    /// Ends everything at a crash, and returns the runs that were in progress.
    pub fn crash(&mut self, now: Duration) -> Vec<RunEnd> {
        let running = std::mem::take(&mut self.running).into_keys();
        running.map(|run| RunEnd { at: now, run, ending: RunEnding::Crashed }).collect()
    }

    /// Records the fencing token of a call; a lower one than the highest is refused.
    pub fn check_fence(&mut self, fence: u64) -> Result<(), CallRefusal> {
        if fence < self.fence {
            return Err(CallRefusal::Fenced);
        }
        self.fence = fence;
        Ok(())
    }

    /// Extends the lease to `until`, at most [`MAX_LEASE`] from `now`.
    pub fn extend_lease(&mut self, until: Duration, now: Duration) {
        self.lease_until = self.lease_until.max(until.min(now + MAX_LEASE));
    }

    /// Starts a run under a lease until `until`, which a refusal for another reason than the lease
    /// grants as well.
    pub fn start(
        &mut self,
        run: &RunName,
        work: TaskWork,
        until: Duration,
        now: Duration,
    ) -> Result<StartEffect, CallRefusal> {
        if self.running.contains_key(run) {
            return Ok(StartEffect::AlreadyThere);
        }
        if until <= now {
            return Err(CallRefusal::LeaseExpired);
        }
        self.extend_lease(until, now);
        if self.latest_numbers.get(&run.task).is_some_and(|latest| run.number <= *latest) {
            return Err(CallRefusal::NotNewer);
        }
        let used: u32 = self.running.values().map(|live| live.work.cpu).sum();
        if used + work.cpu > CAPACITY_CPU {
            return Err(CallRefusal::NoCapacity);
        }
        self.running.insert(run.clone(), LiveRun { work, started_at: now, stop_at: None });
        Ok(StartEffect::Began)
    }

    /// Stops a run, or prevents its start.
    pub fn stop(&mut self, run: &RunName, now: Duration) {
        self.note_number(run);
        if let Some(live) = self.running.get_mut(run) {
            live.stop_at.get_or_insert(now + STOP_TIME);
        }
    }

    /// Forgets the ends up to the number `acknowledged`.
    pub fn acknowledge(&mut self, acknowledged: u64) {
        self.listed_ends.retain(|end| end.number > acknowledged);
    }

    pub fn listed_ends(&self) -> &[ListedEnd] {
        &self.listed_ends[..self.listed_ends.len().min(MAX_LISTED_ENDS)]
    }

    /// Runs in progress and their percent of progress.
    pub fn running(&self, now: Duration) -> impl Iterator<Item = (&RunName, u128)> {
        self.running.iter().map(move |(run, live)| (run, live.percent(now)))
    }

    fn note_number(&mut self, run: &RunName) {
        let latest = self.latest_numbers.entry(run.task.clone()).or_default();
        *latest = run.number.max(*latest);
    }
}
