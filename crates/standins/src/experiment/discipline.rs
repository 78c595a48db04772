//! Queueing disciplines simulated on a trace, without processes and messages.
//!
//! Both use one central queue. [`Discipline::Fifo`] is the baseline without any decision;
//! [`Discipline::Clairvoyant`] knows run times and slowdowns, and serves priorities in order.

use super::file::{ExperimentFile, ResponseLimits};
use super::load_generator::{ClientOutcome, ClientResult};
use super::reference::ReferenceServer;
use super::trace::TraceJob;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

/// Order in which waiting jobs are served, and when they are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// Jobs in the order of their arrival; each task takes the free slot on which it finishes
    /// first. A job leaves the queue at its deadline.
    Fifo,
    /// Jobs that have started first, then by priority, and within a priority by work, smallest
    /// first. A job is refused as soon as a plan over all waiting jobs has it finish late. Greedy
    /// and not optimal: a job that has started is completed even if a job of a higher priority
    /// arrives.
    Clairvoyant,
}

/// Sort key of a waiting job: whether it has not started, its priority and work, and its index.
type JobKey = (bool, u8, Duration, usize);

/// Job in the simulation.
#[derive(Debug, Clone)]
struct SimulatedJob {
    limits: Option<ResponseLimits>,
    key: JobKey,
    /// Run times of the tasks that have not started, shortest first.
    waiting: Vec<Duration>,
    /// Latest end of the started tasks; zero if none has started.
    end: Duration,
}

/// Slot planned for a task.
#[derive(Debug, Clone, Copy)]
struct Placement {
    end: Duration,
    server: usize,
    /// Time at which the slot becomes free for the task.
    free_at: Duration,
    run_time: Duration,
}

struct Simulation<'a> {
    file: &'a ExperimentFile,
    trace: &'a [TraceJob],
    jobs: Vec<SimulatedJob>,
    /// Servers, each with its slots sorted by the time at which they become free.
    servers: Vec<ReferenceServer>,
    queue: BTreeSet<JobKey>,
    /// Times of arrivals, of ends of tasks, and of departures with the index of the job.
    events: BinaryHeap<Reverse<(Duration, Option<usize>)>>,
    results: Vec<ClientResult>,
}

/// Simulates the jobs that are not cancelled and returns what their clients would see.
pub fn simulate(
    file: &ExperimentFile,
    trace: &[TraceJob],
    discipline: Discipline,
) -> Vec<ClientResult> {
    let jobs = trace.iter().enumerate().map(|(index, job)| {
        let priority = file.request(&job.request).and_then(|mix| mix.priority).unwrap_or(u8::MAX);
        let mut waiting = job.run_times.clone();
        waiting.sort();
        let key = match discipline {
            Discipline::Fifo => (true, 0, Duration::ZERO, index),
            Discipline::Clairvoyant => (true, priority, job.work(), index),
        };
        let limits = file.response_limits(job);
        SimulatedJob { limits, key, waiting, end: Duration::ZERO }
    });
    let mut simulation = Simulation {
        file,
        trace,
        jobs: jobs.collect(),
        servers: ReferenceServer::all(file),
        queue: BTreeSet::new(),
        events: BinaryHeap::new(),
        results: Vec::new(),
    };
    simulation.run(discipline);
    simulation.results
}

impl Simulation<'_> {
    fn run(&mut self, discipline: Discipline) {
        let (trace, delay) = (self.trace, self.file.client_delay);
        let arrivals = trace.iter().enumerate().filter(|(_, job)| !job.is_cancelled);
        self.events.extend(arrivals.clone().map(|(_, job)| Reverse((job.at + delay, None))));
        if discipline == Discipline::Fifo {
            let departures = arrivals.clone().map(|(index, job)| {
                // The client has the refusal at its deadline.
                let deadline = self.file.deadline_of(job).saturating_sub(delay);
                Reverse((job.at + deadline, Some(index)))
            });
            self.events.extend(departures);
        }
        let mut arrivals = arrivals.peekable();
        while let Some(Reverse((now, departing))) = self.events.pop() {
            let mut has_arrival = false;
            while let Some((index, _)) = arrivals.next_if(|(_, job)| job.at + delay <= now) {
                self.queue.insert(self.jobs[index].key);
                has_arrival = true;
            }
            if let Some(index) = departing {
                self.refuse(index, now);
            }
            match discipline {
                Discipline::Fifo => self.start_in_order(now),
                Discipline::Clairvoyant => self.plan(now, has_arrival),
            }
        }
    }

    /// Refuses a job if it is waiting. Its started tasks run to their end.
    fn refuse(&mut self, index: usize, now: Duration) {
        let job = &self.jobs[index];
        let has_not_run = job.end.is_zero();
        if self.queue.remove(&job.key) {
            self.answer(index, now, ClientOutcome::Failed("refused".to_owned(), has_not_run));
        }
    }

    fn answer(&mut self, index: usize, at: Duration, outcome: ClientOutcome) {
        let response_time = at + self.file.client_delay - self.trace[index].at;
        self.results.push(ClientResult { index, response_time, outcome });
    }

    fn start_in_order(&mut self, now: Duration) {
        while let Some(index) = self.queue.first().map(|key| key.3) {
            let Some(run_time) = self.jobs[index].waiting.last().copied() else { return };
            let Some(placement) = best_slot(&self.servers, run_time, now, true) else { return };
            self.start(index, placement);
        }
    }

    /// Starts a waiting task of a job, and answers the job if it was the last.
    fn start(&mut self, index: usize, placement: Placement) {
        let job = &mut self.jobs[index];
        job.waiting.remove(job.waiting.partition_point(|time| *time < placement.run_time));
        job.end = job.end.max(placement.end);
        occupy(&mut self.servers[placement.server], placement.end);
        self.events.push(Reverse((placement.end, None)));
        self.queue.remove(&job.key);
        job.key.0 = false;
        if job.waiting.is_empty() {
            let end = job.end;
            self.answer(index, end, ClientOutcome::Complete);
        } else {
            self.queue.insert(job.key);
        }
    }

    /// Plans the waiting jobs in order, starts the tasks whose slot is free, and refuses jobs that
    /// would be late. Without an arrival, only as many jobs are planned as slots are free.
    fn plan(&mut self, now: Duration, has_arrival: bool) {
        let mut planned = self.servers.clone();
        let slots = planned.iter().flat_map(|server| &server.slots);
        let mut free = slots.filter(|end| **end <= now).count();
        if free == 0 && !has_arrival {
            return;
        }
        for (_, _, _, index) in self.queue.clone() {
            if free == 0 && !has_arrival {
                return;
            }
            let placements = self.place(&mut planned, index, now);
            if self.would_be_late(index, &placements) {
                for placement in placements.iter().rev() {
                    release(&mut planned[placement.server], placement);
                }
                self.refuse(index, now);
                continue;
            }
            for placement in placements.into_iter().filter(|placement| placement.free_at <= now) {
                self.start(index, placement);
                free = free.saturating_sub(1);
            }
        }
    }

    /// Places the waiting tasks of a job, longest first. A task takes a free slot if it is on time
    /// there, so that no slot is idle while a job waits for a faster one.
    fn place(
        &self,
        planned: &mut [ReferenceServer],
        index: usize,
        now: Duration,
    ) -> Vec<Placement> {
        let job = &self.jobs[index];
        let latest = job.limits.map(|limits| {
            (self.trace[index].at + limits.on_time).saturating_sub(self.file.client_delay)
        });
        let is_on_time = |placement: &Placement| latest.is_none_or(|at| placement.end <= at);
        let placements = job.waiting.iter().rev().filter_map(|run_time| {
            let free = best_slot(planned, *run_time, now, true).filter(is_on_time);
            let placement = free.or_else(|| best_slot(planned, *run_time, now, false))?;
            occupy(&mut planned[placement.server], placement.end);
            Some(placement)
        });
        placements.collect()
    }

    /// Whether a job that has not started would be answered after its latency objective.
    fn would_be_late(&self, index: usize, placements: &[Placement]) -> bool {
        let (job, trace) = (&self.jobs[index], &self.trace[index]);
        let end = placements.iter().map(|placement| placement.end).max().unwrap_or_default();
        let response_time = (end + self.file.client_delay).saturating_sub(trace.at);
        job.key.0 && job.limits.is_some_and(|limits| response_time > limits.on_time)
    }
}

/// Slot on which a task finishes first, optionally only among those that are free at `now`.
fn best_slot(
    servers: &[ReferenceServer],
    run_time: Duration,
    now: Duration,
    only_free: bool,
) -> Option<Placement> {
    let candidates = servers.iter().enumerate().filter_map(|(index, server)| {
        let free_at = server.slots.first().copied()?;
        let end = free_at.max(now) + run_time.mul_f64(server.slowdown);
        let is_candidate = !only_free || free_at <= now;
        is_candidate.then_some(Placement { end, server: index, free_at, run_time })
    });
    candidates.min_by_key(|placement| placement.end)
}

/// Occupies the slot of a server that becomes free first until `end`.
fn occupy(server: &mut ReferenceServer, end: Duration) {
    server.slots.remove(0);
    let index = server.slots.partition_point(|free_at| *free_at < end);
    server.slots.insert(index, end);
}

/// Undoes the latest [`occupy`] of a server.
fn release(server: &mut ReferenceServer, placement: &Placement) {
    let index = server.slots.partition_point(|free_at| *free_at < placement.end);
    server.slots.remove(index);
    server.slots.insert(0, placement.free_at);
}

/// Experiment and jobs for the tests of this and other modules.
#[cfg(test)]
pub(crate) mod fixture {
    use super::*;

    /// One server with one slot; "urgent" has priority 0, "bulk" priority 1. Both have one task of
    /// 100 ms, are on time for 220 ms and of use for 660 ms.
    pub(crate) fn two_priorities(load: f64) -> ExperimentFile {
        let request = |name: &str, priority: u8| {
            format!(
                "- {{request: {name}, weight: 1, tasks: 1, priority: {priority}, \
                 run_time: {{median: 100ms, sigma: 0, least: 100ms, most: 100ms}}, \
                 objective: {{stretch_percent: 160, allowance: 60ms, patience_percent: 300}}}}\n"
            )
        };
        let text = format!(
            "name: t\nseed: 1\nentries: ['127.0.0.1:1']\noperators: ['127.0.0.1:2']\nteam: t\n\
             service: s\nclient_delay: 0s\nduration: 10s\nwarm_up: 0s\nload: {load}\nslots: 1\n\
             paces: [1]\ndeadline: 10s\nrequests:\n{}{}",
            request("urgent", 0),
            request("bulk", 1)
        );
        serde_saphyr::from_str(&text).expect("the experiment is valid")
    }

    /// Job of [`two_priorities`] that is submitted after `millis`.
    pub(crate) fn job(request: &str, millis: u64) -> TraceJob {
        TraceJob {
            at: Duration::from_millis(millis),
            request: request.to_owned(),
            run_times: vec![Duration::from_millis(100)],
            entry_index: 0,
            is_cancelled: false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::fixture::{job, two_priorities};
    use super::*;

    fn outcomes(jobs: &[TraceJob], discipline: Discipline) -> Vec<(usize, u128, bool)> {
        let mut results = simulate(&two_priorities(1.0), jobs, discipline);
        results.sort_by_key(|result| result.index);
        let seen = results.into_iter().map(|result| {
            let is_complete = result.outcome == ClientOutcome::Complete;
            (result.index, result.response_time.as_millis(), is_complete)
        });
        seen.collect()
    }

    /// Guards against a reference that lets a job of low priority delay one of high priority, that
    /// spends the slot on a job that will be late, or that refuses later than it could.
    #[test]
    fn the_clairvoyant_queue_serves_priorities_first_and_refuses_on_arrival() {
        let jobs = [job("bulk", 0), job("bulk", 10), job("urgent", 20), job("bulk", 30)];
        let expected = [(0, 100, true), (1, 10, false), (2, 180, true), (3, 0, false)];
        assert_eq!(outcomes(&jobs, Discipline::Clairvoyant), expected);
    }

    /// Guards against a baseline that reorders jobs or keeps those whose client has left.
    #[test]
    fn fifo_keeps_the_order_of_arrival_until_the_deadline() {
        let jobs: Vec<TraceJob> =
            (0..8).map(|index| job(["bulk", "urgent"][index % 2], 0)).collect();
        let ends = (0..7).map(|index| (index, 100 * (index as u128 + 1), true));
        let expected: Vec<_> = ends.chain([(7, 660, false)]).collect();
        assert_eq!(outcomes(&jobs, Discipline::Fifo), expected);
    }
}
