//! Reference scheduler: a clairvoyant central queue on the same trace.
//!
//! It knows all run times and server slowdowns in advance, sees each job as soon as it arrives and
//! does not wait for messages. Waiting tasks are ordered by the total work of their job, smallest
//! first. A task takes the slot on which it will finish first, and waits for that slot if it is
//! busy. A real dispatcher has to learn run times and loads from messages, and therefore never
//! knows more than this one.

use super::file::ExperimentFile;
use super::trace::TraceJob;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

/// Simulated backend server.
#[derive(Debug, Clone)]
pub(super) struct ReferenceServer {
    pub(super) slowdown: f64,
    /// Time at which each slot becomes free.
    pub(super) slots: Vec<Duration>,
}

impl ReferenceServer {
    /// All backend servers of the experiment, idle.
    pub(super) fn all(file: &ExperimentFile) -> Vec<Self> {
        let servers = file.server_slowdowns.iter().enumerate();
        let servers = servers.map(|(index, &slowdown)| Self {
            slowdown,
            slots: vec![Duration::ZERO; file.slots_of(index) as usize],
        });
        servers.collect()
    }
}

/// Sort key of a task in the central queue: the work of its job, its run time (longest first), and
/// the indexes of the job and the task.
type QueueKey = (Duration, Reverse<Duration>, usize, usize);

/// Simulates the jobs that are not cancelled and returns their response times, measured from the
/// intended submission and including the client's delay in both directions.
pub fn response_times(file: &ExperimentFile, jobs: &[TraceJob]) -> Vec<Duration> {
    let simulated: Vec<&TraceJob> = jobs.iter().filter(|job| !job.is_cancelled).collect();
    let mut servers = ReferenceServer::all(file);
    let mut completed_at = vec![Duration::ZERO; simulated.len()];
    let mut waiting: BTreeSet<QueueKey> = BTreeSet::new();
    let mut event_times: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let mut arrivals = simulated.iter().enumerate().peekable();
    event_times.extend(simulated.iter().map(|job| Reverse(job.at + file.client_delay)));
    while let Some(Reverse(now)) = event_times.pop() {
        while let Some((index, job)) =
            arrivals.next_if(|(_, job)| job.at + file.client_delay <= now)
        {
            let work = job.work();
            let tasks = job.run_times.iter().enumerate();
            waiting.extend(tasks.map(|(task, time)| (work, Reverse(*time), index, task)));
        }
        for (key, end) in start_tasks(&mut servers, &waiting, now) {
            waiting.remove(&key);
            completed_at[key.2] = completed_at[key.2].max(end);
            event_times.push(Reverse(end));
        }
    }
    let times =
        simulated.iter().zip(completed_at).map(|(job, end)| end + file.client_delay - job.at);
    times.collect()
}

/// Starts every waiting task whose best slot is free at `now`. If the best slot is busy, the slot
/// is reserved for the task, so that later tasks in the queue plan around it.
fn start_tasks(
    servers: &mut [ReferenceServer],
    waiting: &BTreeSet<QueueKey>,
    now: Duration,
) -> Vec<(QueueKey, Duration)> {
    let mut started = Vec::new();
    let mut planned: Vec<Vec<Duration>> =
        servers.iter().map(|server| server.slots.clone()).collect();
    let mut free_slots = planned.iter().flatten().filter(|end| **end <= now).count();
    for &key in waiting {
        if free_slots == 0 {
            break;
        }
        let time = key.1.0;
        let candidates = servers.iter().enumerate().map(|(index, server)| {
            let slot = earliest_free_slot(&planned[index]);
            (planned[index][slot].max(now) + time.mul_f64(server.slowdown), index, slot)
        });
        let Some((end, index, slot)) = candidates.min() else { break };
        if planned[index][slot] <= now {
            servers[index].slots[slot] = end;
            started.push((key, end));
            free_slots -= 1;
        }
        planned[index][slot] = end;
    }
    started
}

fn earliest_free_slot(slots: &[Duration]) -> usize {
    let slots = slots.iter().enumerate();
    slots.min_by_key(|(_, end)| **end).map_or(0, |(slot, _)| slot)
}

/// Response time of `job` in an otherwise idle system, the baseline of its slowdown.
pub fn idle_response_time(file: &ExperimentFile, job: &TraceJob) -> Duration {
    let idle_job = TraceJob { at: Duration::ZERO, is_cancelled: false, ..job.clone() };
    response_times(file, &[idle_job]).first().copied().unwrap_or_default()
}
