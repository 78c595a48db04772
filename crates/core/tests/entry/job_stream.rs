//! Jobs of one task that arrive at an entry over time, and servers that answer each after its run time,
//! however many run there.

use super::fixtures::{at, job_request, report, task};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryMachine, StartId, StartRequest, TaskReply,
};
use parsleyspool_core::job::{JobAnswer, JobRequest, TaskDemand};
use parsleyspool_core::resources::ResourceAmounts;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 300;
const SERVERS: u32 = 11;
const SERVER_SLOTS: u32 = 100;
const MILLISECOND: Duration = Duration::from_millis(1);

/// Job of one task.
#[derive(Debug, Clone, Copy)]
pub struct StreamedJob {
    /// Time of its submission.
    pub at_ms: u64,
    /// Run time that the caller declares; 0 if it declares none.
    pub declared_ms: u64,
    /// Run time that the task really takes.
    pub actual_ms: u64,
    pub deadline_ms: u64,
}

/// How the jobs of a stream ended.
#[derive(Debug, Default)]
pub struct StreamOutcome {
    /// Submission times of the jobs answered in time.
    pub served: BTreeSet<u64>,
    /// Submission times of the jobs refused as soon as they arrived.
    pub refused_at_once: BTreeSet<u64>,
    /// Most tasks that were running at the same time.
    pub most_running: usize,
}

impl StreamOutcome {
    /// Number of jobs served of those submitted from `from_ms` on.
    pub fn served_from(&self, from_ms: u64) -> usize {
        self.served.range(from_ms..).count()
    }
}

/// `count` equal jobs, one every `interval_ms`, the first like `first`.
pub fn every(interval_ms: u64, count: u64, first: StreamedJob) -> Vec<StreamedJob> {
    let job = |index| StreamedJob { at_ms: first.at_ms + index * interval_ms, ..first };
    (0..count).map(job).collect()
}

/// Submits the jobs to `machine`, each at its time, and runs until all are answered.
pub fn play(machine: &mut EntryMachine, jobs: &[StreamedJob]) -> StreamOutcome {
    let mut stream = JobStream {
        machine,
        jobs: jobs.iter().map(|job| (job.at_ms, *job)).collect(),
        replies: BTreeMap::new(),
        start_count: 0,
        outcome: StreamOutcome::default(),
    };
    assert_eq!(stream.jobs.len(), jobs.len(), "two jobs are submitted at the same time");
    let last_end = jobs.iter().map(|job| job.at_ms + job.deadline_ms).max().unwrap_or(0);
    for now_ms in 0..last_end + TICK_MS {
        stream.advance(now_ms);
    }
    stream.outcome
}

struct JobStream<'a> {
    machine: &'a mut EntryMachine,
    jobs: BTreeMap<u64, StreamedJob>,
    /// Starts in progress with the run time of each, by the time at which it ends and their order.
    replies: BTreeMap<(u64, u64), (StartId, u64)>,
    start_count: u64,
    outcome: StreamOutcome,
}

impl JobStream<'_> {
    fn advance(&mut self, now_ms: u64) {
        while let Some((&(end_ms, _), _)) = self.replies.first_key_value()
            && end_ms <= now_ms
        {
            let (_, (start, run_ms)) = self.replies.pop_first().expect("one is due");
            let run_time = MILLISECOND * u32::try_from(run_ms).expect("a short run");
            let reply = TaskReply::Done { answer: bytes::Bytes::new(), run_time };
            self.send(EntryEvent::Reply { start, reply, load: None }, now_ms);
        }
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            for server in 0..SERVERS {
                let report = self.server_report(server, now_ms);
                self.send(EntryEvent::Heartbeat(report), now_ms);
            }
        }
        if now_ms.is_multiple_of(TICK_MS) {
            self.send(EntryEvent::Tick, now_ms);
        }
        if let Some(job) = self.jobs.get(&now_ms).copied() {
            self.submit(job);
        }
    }

    fn server_report(&self, server: u32, now_ms: u64) -> ServerReport {
        let incarnation = u64::from(server);
        let runs = self.replies.values().filter(|(start, _)| start.incarnation == incarnation);
        let running = u32::try_from(runs.count()).expect("few runs");
        let capacity = ResourceAmounts::from_slots(SERVER_SLOTS);
        let name = format!("s-{server}").into();
        let report = report(now_ms + 1, running, running);
        ServerReport { name, incarnation, capacity, load_limit: SERVER_SLOTS, ..report }
    }

    /// The time of the submission identifies the caller.
    fn submit(&mut self, job: StreamedJob) {
        let run_time = Duration::from_millis(job.declared_ms);
        let demand = TaskDemand { resources: ResourceAmounts::from_slots(1), run_time };
        let request = JobRequest {
            deadline: Some(Duration::from_millis(job.deadline_ms)),
            ..job_request(job.at_ms, vec![task(Some(demand)).into()])
        };
        self.send(EntryEvent::Submit { waiter_id: job.at_ms, request }, job.at_ms);
    }

    fn send(&mut self, event: EntryEvent, now_ms: u64) {
        for action in self.machine.handle(event, at(now_ms)) {
            match action {
                EntryAction::Start { request, .. } => self.run(&request, now_ms),
                EntryAction::Answer { waiter_id, answer, .. } => {
                    self.record_answer(waiter_id, &answer, now_ms);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, request: &StartRequest, now_ms: u64) {
        let job = self.job_of(&request.job);
        self.start_count += 1;
        let end = (now_ms + job.actual_ms, self.start_count);
        self.replies.insert(end, (request.start_id(), job.actual_ms));
        self.outcome.most_running = self.outcome.most_running.max(self.replies.len());
    }

    fn job_of(&self, name: &str) -> StreamedJob {
        let at_ms = name.trim_start_matches("j-").parse().expect("a name of a fixture");
        self.jobs[&at_ms]
    }

    fn record_answer(&mut self, submitted_ms: u64, answer: &JobAnswer, now_ms: u64) {
        match answer {
            JobAnswer::Complete(_) => {
                self.outcome.served.insert(submitted_ms);
            }
            JobAnswer::Failed(_) if now_ms == submitted_ms => {
                self.outcome.refused_at_once.insert(submitted_ms);
            }
            JobAnswer::Failed(_) => {}
        }
    }
}
