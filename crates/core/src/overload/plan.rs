//! Which waiting jobs are kept, delayed or refused.
//!
//! The jobs are considered in the order of their latest starts. If the work up to a job cannot be
//! started by its latest start, the kept job that is cheapest to delay is removed (Moore-Hodgson): of
//! the lowest priority that has more than its least share, the one with the most work. The cost is
//! O(n log n) for n jobs.

use super::SlotSeconds;
use super::history::WorkHistory;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Share of its offered work below which a priority does not yield to another one.
const LEAST_SHARE: f64 = 0.25;
/// Time by which each rank of priority moves a job back in the order of latest starts. It decides
/// between jobs of about the same urgency, and is shorter than the slack of the shortest jobs.
const PRIORITY_STEP: Duration = Duration::from_millis(10);
/// Least share of the room that delayed jobs are expected to get, so that their expected start is
/// defined even when jobs in time take all of the room.
const LEAST_SPARE: f64 = 0.01;
/// Bounds of the time after which a refused job may be submitted again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));

/// Place of a job among the waiting ones; the lowest is served first.
pub fn urgency(latest_start: Duration, priority: u8) -> Duration {
    latest_start + PRIORITY_STEP * u32::from(priority)
}

/// Job with queued tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingJob {
    /// Priority, 0 first.
    pub priority: u8,
    /// Latest start of the last task at which the answer is on time.
    pub latest_start: Duration,
    /// Latest start of the last task at which the answer is of use.
    pub expires_at: Duration,
    /// Work of the queued tasks.
    pub work: SlotSeconds,
    /// Work of the largest of them.
    pub largest_task: SlotSeconds,
    /// Whether the job can yield: none of its tasks has started, and its run time was measured.
    pub may_yield: bool,
}

/// Capacity for the waiting jobs.
#[derive(Debug, Clone, Copy)]
pub struct Supply<'a> {
    /// Rate at which the tasks can be started, in slot-seconds per second.
    pub room: f64,
    /// Work of each priority that was offered and served lately.
    pub history: &'a WorkHistory,
}

/// Refusal of a job that would start too late to be of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedRefusal {
    /// Time until the answer is of no use.
    pub allowed: Duration,
    /// Time until the job would start.
    pub expected: Duration,
    /// Time until the backlog is gone, in whole seconds and within the bounds of `RETRY_AFTER`.
    pub retry_after: Duration,
}

/// What happens to a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits in the order of [`urgency`].
    Keep,
    /// It waits after all kept jobs.
    Delay,
    /// It is refused.
    Refuse(PlannedRefusal),
}

/// Decision about the jobs of a service that are queued at an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct OverloadPlan {
    /// Verdict on each job, in the order of the jobs.
    pub verdicts: Vec<Verdict>,
    /// Work of all the jobs.
    pub backlog: SlotSeconds,
}

impl OverloadPlan {
    /// Decides about `waiting` at `now`.
    pub fn compute(waiting: &[WaitingJob], supply: Supply<'_>, now: Duration) -> Self {
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by_key(|&index| urgency(waiting[index].latest_start, waiting[index].priority));
        let mut selection = Selection::new(waiting, supply.history);
        for &index in &order {
            selection.consider(index, supply.room, now);
        }
        let backlog = waiting.iter().map(|job| job.work).sum();
        let mut verdicts = vec![Verdict::Keep; waiting.len()];
        let mut queue = DelayedQueue::new(selection.kept_work, backlog, supply);
        for &index in order.iter().filter(|&&index| selection.is_removed[index]) {
            verdicts[index] = queue.verdict(&waiting[index], now);
        }
        Self { verdicts, backlog }
    }
}

/// Work that can be started until `time`.
fn work_until(time: Duration, room: f64, now: Duration) -> SlotSeconds {
    room * time.saturating_sub(now).as_secs_f64()
}

/// Kept job that can yield; the largest one yields first.
#[derive(Debug, PartialEq)]
struct Candidate {
    work: SlotSeconds,
    index: usize,
}

impl Eq for Candidate {}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.work.total_cmp(&other.work).then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Kept jobs of one priority.
#[derive(Debug, Default)]
struct KeptJobs {
    candidates: BinaryHeap<Candidate>,
    offered: SlotSeconds,
    kept: SlotSeconds,
}

impl KeptJobs {
    fn is_above_least_share(&self) -> bool {
        self.kept > LEAST_SHARE * self.offered
    }
}

/// Selection of the jobs to keep.
#[derive(Debug)]
struct Selection<'a> {
    waiting: &'a [WaitingJob],
    priorities: BTreeMap<u8, KeptJobs>,
    kept_work: SlotSeconds,
    is_removed: Vec<bool>,
}

impl<'a> Selection<'a> {
    fn new(waiting: &'a [WaitingJob], history: &WorkHistory) -> Self {
        let mut priorities: BTreeMap<u8, KeptJobs> = BTreeMap::new();
        for job in waiting {
            priorities.entry(job.priority).or_insert_with(|| {
                let (offered, kept) = history.offered_and_served(job.priority);
                KeptJobs { offered, kept, ..KeptJobs::default() }
            });
        }
        Self { waiting, priorities, kept_work: 0.0, is_removed: vec![false; waiting.len()] }
    }

    /// Keeps the job at `index` and removes jobs until the kept ones can start in time.
    fn consider(&mut self, index: usize, room: f64, now: Duration) {
        let job = &self.waiting[index];
        let limit = work_until(job.latest_start, room, now) + job.largest_task;
        let Some(priority) = self.priorities.get_mut(&job.priority) else { return };
        priority.offered += job.work;
        let is_hopeless = job.latest_start < now || job.work > limit;
        if is_hopeless && job.may_yield {
            self.is_removed[index] = true;
            return;
        }
        priority.kept += job.work;
        self.kept_work += job.work;
        if job.may_yield {
            priority.candidates.push(Candidate { work: job.work, index });
        }
        // Removing other jobs would not help a job that is late in any case.
        while !is_hopeless && self.kept_work > limit {
            match self.remove_cheapest() {
                Some(removed) if removed != index => {}
                _ => return,
            }
        }
    }

    /// Removes the kept job that is cheapest to delay; `None` if no job can yield.
    fn remove_cheapest(&mut self) -> Option<usize> {
        let has_candidates = |jobs: &&mut KeptJobs| !jobs.candidates.is_empty();
        let mut lowest_first = self.priorities.values_mut().rev().filter(has_candidates);
        let above_share = lowest_first.find(|jobs| jobs.is_above_least_share());
        let jobs = match above_share {
            Some(jobs) => jobs,
            None => self.priorities.values_mut().rev().find(has_candidates)?,
        };
        let Candidate { work, index } = jobs.candidates.pop()?;
        jobs.kept -= work;
        self.kept_work -= work;
        self.is_removed[index] = true;
        Some(index)
    }
}

/// Delayed jobs in their order, which get the room that kept jobs leave.
#[derive(Debug)]
struct DelayedQueue {
    /// Seconds until all kept work has started.
    kept_time: f64,
    /// Slot-seconds per second that are left for delayed jobs.
    spare: f64,
    /// Work of the delayed jobs so far.
    work: SlotSeconds,
    retry_after: Duration,
}

impl DelayedQueue {
    fn new(kept_work: SlotSeconds, backlog: SlotSeconds, supply: Supply<'_>) -> Self {
        let room = supply.room;
        let spare = (room - supply.history.on_time_rate()).max(room * LEAST_SPARE);
        let (least, longest) = RETRY_AFTER;
        let seconds = (backlog / room).ceil();
        let retry_after = Duration::try_from_secs_f64(seconds).unwrap_or(longest);
        let retry_after = retry_after.clamp(least, longest);
        Self { kept_time: kept_work / room, spare, work: 0.0, retry_after }
    }

    fn verdict(&mut self, job: &WaitingJob, now: Duration) -> Verdict {
        let work = self.work + job.work;
        let seconds = self.kept_time + (work - job.largest_task) / self.spare;
        let expected = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        let allowed = job.expires_at.saturating_sub(now);
        if expected > allowed {
            let retry_after = self.retry_after;
            return Verdict::Refuse(PlannedRefusal { allowed, expected, retry_after });
        }
        self.work = work;
        Verdict::Delay
    }
}
