//! Reference: an all-knowing central queue on the same trace.
//!
//! It knows every run time and every pace beforehand, sees each job the moment it arrives and has
//! no messages to wait for. Waiting tasks are ordered by the work of their job, least first, and a
//! task takes the slot on which it will finish first, waiting for it where that is a busy one. No
//! dispatcher that must learn times and loads from messages can know more.

use super::file::ExperimentFile;
use super::trace::TraceJob;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

/// Server of the reference.
#[derive(Debug)]
struct CentralServer {
    pace: f64,
    /// When each slot is free.
    slots: Vec<Duration>,
}

/// Place of a task in the central queue: work of its job, longest task first, job, task.
type QueueKey = (Duration, Reverse<Duration>, usize, usize);

/// Response time of each job that is not cancelled, from its intended arrival, the clients' round
/// trip included.
pub fn response_times(file: &ExperimentFile, jobs: &[TraceJob]) -> Vec<Duration> {
    let kept: Vec<&TraceJob> = jobs.iter().filter(|job| !job.is_cancelled).collect();
    let slots = vec![Duration::ZERO; file.slots as usize];
    let servers = file.paces.iter().map(|&pace| CentralServer { pace, slots: slots.clone() });
    let mut servers: Vec<CentralServer> = servers.collect();
    let mut ends = vec![Duration::ZERO; kept.len()];
    let mut waiting: BTreeSet<QueueKey> = BTreeSet::new();
    let mut moments: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let mut arrivals = kept.iter().enumerate().peekable();
    moments.extend(kept.iter().map(|job| Reverse(job.at + file.client_delay)));
    while let Some(Reverse(now)) = moments.pop() {
        while let Some((index, job)) =
            arrivals.next_if(|(_, job)| job.at + file.client_delay <= now)
        {
            let work = job.work();
            let keys = job.tasks.iter().enumerate();
            waiting.extend(keys.map(|(task, time)| (work, Reverse(*time), index, task)));
        }
        for (key, end) in start_tasks(&mut servers, &waiting, now) {
            waiting.remove(&key);
            ends[key.2] = ends[key.2].max(end);
            moments.push(Reverse(end));
        }
    }
    let times = kept.iter().zip(ends).map(|(job, end)| end + file.client_delay - job.at);
    times.collect()
}

/// Starts every waiting task whose best slot is free now; a busy best slot is kept for its task.
fn start_tasks(
    servers: &mut [CentralServer],
    waiting: &BTreeSet<QueueKey>,
    now: Duration,
) -> Vec<(QueueKey, Duration)> {
    let mut started = Vec::new();
    let mut planned: Vec<Vec<Duration>> =
        servers.iter().map(|server| server.slots.clone()).collect();
    let mut free = planned.iter().flatten().filter(|end| **end <= now).count();
    for &key in waiting {
        if free == 0 {
            break;
        }
        let time = key.1.0;
        let best = servers.iter().enumerate().map(|(index, server)| {
            let slot = earliest(&planned[index]);
            (planned[index][slot].max(now) + time.mul_f64(server.pace), index, slot)
        });
        let Some((end, index, slot)) = best.min() else { break };
        if planned[index][slot] <= now {
            servers[index].slots[slot] = end;
            started.push((key, end));
            free -= 1;
        }
        planned[index][slot] = end;
    }
    started
}

fn earliest(slots: &[Duration]) -> usize {
    let slots = slots.iter().enumerate();
    slots.min_by_key(|(_, end)| **end).map_or(0, |(slot, _)| slot)
}

/// Response time that each job would have alone.
pub fn ideal(file: &ExperimentFile, job: &TraceJob) -> Duration {
    let alone = TraceJob { at: Duration::ZERO, is_cancelled: false, ..job.clone() };
    response_times(file, &[alone]).first().copied().unwrap_or_default()
}
