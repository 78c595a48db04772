//! Simulated servers with one queue, which is ordered by latest start or by overload plans.

use parsleyspool_core::overload::{
    OverloadPlan, OverloadPolicy, OverloadState, OverloadTransition, Supply, Verdict, WaitingJob,
    WorkHistory, urgency,
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const PLAN_STEPS: u32 = 4;

/// Job of equal tasks, each with one slot.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub arrives_at: Duration,
    pub priority: u8,
    pub tasks: u32,
    pub run_time: Duration,
}

impl Job {
    fn objective(&self) -> Duration {
        self.run_time * 16 / 10 + Duration::from_millis(60)
    }

    fn latest_start(&self) -> Duration {
        self.arrives_at + self.objective() - self.run_time
    }

    fn expires_at(&self) -> Duration {
        self.arrives_at + self.objective() * 3 - self.run_time
    }
}

/// How a job ended: when it was answered or refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    Answered(Duration),
    Refused(Duration),
}

#[derive(Debug)]
struct Waiting {
    index: usize,
    queued: u32,
    is_delayed: bool,
}

/// Result of a simulation.
pub struct Outcome {
    pub jobs: Vec<(Job, End)>,
    /// Times of the changes between normal operation and overload.
    pub transitions: Vec<(OverloadTransition, Duration)>,
}

impl Outcome {
    /// Share of the jobs of `priority` that were answered on time.
    pub fn on_time(&self, priority: u8) -> f64 {
        let of_priority = || self.jobs.iter().filter(|(job, _)| job.priority == priority);
        let on_time = of_priority().filter(|(job, end)| is_on_time(job, *end)).count();
        on_time as f64 / of_priority().count().max(1) as f64
    }

    /// Work of the jobs that were answered on time, in slot-seconds.
    pub fn on_time_work(&self) -> f64 {
        let on_time = self.jobs.iter().filter(|(job, end)| is_on_time(job, *end));
        on_time.map(|(job, _)| f64::from(job.tasks) * job.run_time.as_secs_f64()).sum()
    }

    /// Median time from arrival to refusal; `None` if no job was refused.
    pub fn median_refusal(&self) -> Option<Duration> {
        let refusals = self.jobs.iter().filter_map(|(job, end)| match end {
            End::Refused(at) => Some(*at - job.arrives_at),
            End::Answered(_) => None,
        });
        let mut times: Vec<Duration> = refusals.collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }
}

fn is_on_time(job: &Job, end: End) -> bool {
    matches!(end, End::Answered(at) if at <= job.arrives_at + job.objective())
}

/// Serves `jobs` with `slots(time)` slots under `policy` until all have ended.
pub fn simulate(
    jobs: &[Job],
    slots: impl Fn(Duration) -> usize,
    policy: OverloadPolicy,
) -> Outcome {
    let mut jobs = jobs.to_vec();
    jobs.sort_by_key(|job| job.arrives_at);
    let mut ends: Vec<Option<End>> = vec![None; jobs.len()];
    let mut open: Vec<u32> = jobs.iter().map(|job| job.tasks).collect();
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut running: Vec<(Duration, usize)> = Vec::new();
    let (mut state, mut transitions) = (OverloadState::default(), Vec::new());
    let mut history = WorkHistory::new(Duration::ZERO);
    let (mut next, mut step) = (0, 0u32);
    while ends.contains(&None) {
        let now = STEP * step;
        running.retain(|&(end, index)| {
            if end <= now {
                open[index] -= 1;
                if open[index] == 0 {
                    ends[index] = Some(End::Answered(end));
                }
            }
            end > now
        });
        while next < jobs.len() && jobs[next].arrives_at <= now {
            waiting.push(Waiting { index: next, queued: jobs[next].tasks, is_delayed: false });
            next += 1;
        }
        let has_started = |item: &Waiting| item.queued < jobs[item.index].tasks;
        waiting.sort_by_key(|item| {
            let job = &jobs[item.index];
            let is_late = !has_started(item) && (item.is_delayed || now > job.latest_start());
            let priority = if policy == OverloadPolicy::Priority { job.priority } else { 0 };
            (is_late, urgency(job.latest_start(), priority))
        });
        while running.len() < slots(now) {
            let Some(item) = waiting.first_mut() else { break };
            let job = &jobs[item.index];
            if item.queued == job.tasks {
                let work = f64::from(job.tasks) * job.run_time.as_secs_f64();
                history.advance(now);
                history.record_served(job.priority, work, now <= job.latest_start());
            }
            running.push((now + job.run_time, item.index));
            item.queued -= 1;
            if item.queued == 0 {
                waiting.remove(0);
            }
        }
        let has_plan = policy == OverloadPolicy::Priority && step.is_multiple_of(PLAN_STEPS);
        let mut has_yielded = false;
        if has_plan && !waiting.is_empty() {
            history.advance(now);
            let items: Vec<WaitingJob> = waiting.iter().map(|item| planned(&jobs, item)).collect();
            let supply = Supply { room: slots(now) as f64, history: &history };
            let plan = OverloadPlan::compute(&items, supply, now);
            has_yielded = plan.verdicts.iter().any(|verdict| *verdict != Verdict::Keep);
            for (item, verdict) in waiting.iter_mut().zip(&plan.verdicts) {
                item.is_delayed = *verdict != Verdict::Keep;
                if let Verdict::Refuse(_) = verdict {
                    let job = &jobs[item.index];
                    let work = f64::from(job.tasks) * job.run_time.as_secs_f64();
                    history.record_refusal(job.priority, work);
                    ends[item.index] = Some(End::Refused(now));
                }
            }
        }
        transitions.extend(state.update(has_yielded, now).map(|change| (change, now)));
        for item in waiting.iter().filter(|item| !has_started(item)) {
            if now > jobs[item.index].expires_at() {
                ends[item.index] = Some(End::Refused(now));
            }
        }
        waiting.retain(|item| !matches!(ends[item.index], Some(End::Refused(_))));
        step += 1;
    }
    let ends = ends.into_iter().map(|end| end.expect("every job has ended"));
    Outcome { jobs: jobs.into_iter().zip(ends).collect(), transitions }
}

fn planned(jobs: &[Job], item: &Waiting) -> WaitingJob {
    let job = &jobs[item.index];
    let task = job.run_time.as_secs_f64();
    WaitingJob {
        priority: job.priority,
        latest_start: job.latest_start(),
        expires_at: job.expires_at(),
        work: f64::from(item.queued) * task,
        largest_task: task,
        may_yield: item.queued == job.tasks,
    }
}
