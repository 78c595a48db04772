//! The cases. Each returns whether its rule held.

use crate::deployment::{CaseResult, Deployment, HOST, MEMORY_LIMIT_MIB, PATH_PREFIX, Size};
use crate::http::{self, Outcome};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time after which a caller sends a job again, `retransmitMs`.
const RETRANSMIT: Duration = Duration::from_millis(1300);

pub fn run(case: &str, directory: &str, is_troubled: bool) -> CaseResult<bool> {
    let record = Arc::new(Record::create(directory).map_err(|error| error.to_string())?);
    record.line(&format!("case {case}, trouble: {is_troubled}"));
    let has_held = match case {
        "estimate-far-off" => estimate_far_off(&record, is_troubled),
        "killed-in-turn" => killed_in_turn(&record, is_troubled),
        "orders-late" => orders_late(&record, is_troubled),
        "cancelled" => cancelled(&record, is_troubled),
        "many-tasks" => many_tasks(&record, is_troubled),
        _ => Err(format!("there is no case {case}")),
    }?;
    record.line(if has_held { "the rule held" } else { "the rule was broken" });
    Ok(has_held)
}

/// Job of one step that needs no storing.
#[derive(Debug, Clone)]
struct Job {
    id: String,
    tasks: u64,
    work_ms: u64,
    estimated_ms: u64,
    deadline: Duration,
}

impl Job {
    fn new(index: u64, tasks: u64, work_ms: u64) -> Self {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + index);
        let deadline = Duration::from_millis(8000);
        Self { id, tasks, work_ms, estimated_ms: work_ms, deadline }
    }

    fn body(&self) -> String {
        let Self { tasks, work_ms, estimated_ms, .. } = self;
        format!(
            "{{\"taskSpec\":\"{work_ms}\",\"bestEffort\":true,\"steps\":[{{\"count\":{tasks},\
             \"cpu\":3100,\"memMb\":64,\"estimatedMs\":{estimated_ms}}}]}}"
        )
    }
}

/// Sends one request about a job and waits for its end.
fn send(record: &Record, entry: SocketAddr, method: &str, job: &Job) -> Outcome {
    let target = format!("{PATH_PREFIX}{}", job.id);
    let headers = format!("host: {HOST}\r\nx-request-deadline: {}\r\n", job.deadline.as_millis());
    let body = if method == "POST" { job.body() } else { String::new() };
    record.line(&format!("{method} {} to {entry}", job.id));
    let outcome = http::send(entry, method, &target, &headers, &body, job.deadline);
    record.line(&format!("{method} {} to {entry}: {outcome:?}", job.id));
    outcome
}

/// Whether the caller has to send the job again: after no response, a broken channel, 502 or 504.
fn is_sent_again(outcome: &Outcome) -> bool {
    !matches!(outcome, Outcome::Answered(status, _) if ![502, 504].contains(status))
}

/// Submits a job to the `entries` in turn, for as long as it has to be sent again.
fn submit(record: &Arc<Record>, entries: Vec<SocketAddr>, job: Job) -> JoinHandle<Outcome> {
    let record = record.clone();
    std::thread::spawn(move || {
        let mut outcome = Outcome::NoConnection;
        for (index, entry) in entries.into_iter().enumerate() {
            if index > 0 {
                std::thread::sleep(RETRANSMIT);
            }
            outcome = send(&record, entry, "POST", &job);
            if !is_sent_again(&outcome) {
                break;
            }
        }
        outcome
    })
}

/// Whether some task ran, and no two runs of a task were in progress at the same time.
fn has_no_overlap(record: &Record) -> CaseResult<bool> {
    if record.runs().is_empty() {
        return Err("no task ran".to_owned());
    }
    let overlaps = record.overlaps();
    for (first, second, time) in &overlaps {
        record.line(&format!(
            "two runs of {} at the same time for {} ms: #{} at {} and #{} at {}",
            first.task,
            time.as_millis(),
            first.number,
            first.worker,
            second.number,
            second.worker
        ));
    }
    Ok(overlaps.is_empty())
}

/// All processes are killed right after a change of the configuration, and started again. The first
/// job at each entry after that states an estimate that is far too long; it is the only one.
fn estimate_far_off(record: &Arc<Record>, is_troubled: bool) -> CaseResult<bool> {
    /// Time between two jobs, which go to the entries in turn.
    const INTERVAL: Duration = Duration::from_millis(1500);
    /// Jobs before the kill, and in all.
    const JOBS: [u64; 2] = [10, 40];
    /// `recoveryS`.
    const RECOVERY: Duration = Duration::from_secs(12);
    const ENTRIES: usize = 3;
    let size = Size { entries: ENTRIES as u8, agents: 11 };
    let mut deployment = Deployment::start(size, record.clone())?;
    let mut has_far_estimate = [!is_troubled; ENTRIES];
    let mut back_at = None;
    let mut callers = Vec::new();
    for index in 0..JOBS[1] {
        if index == JOBS[0] {
            deployment.restart_all_after_change()?;
            back_at = Some(record.now());
        }
        let entry = (index % ENTRIES as u64) as usize;
        let mut job = Job { deadline: Duration::from_millis(1500), ..Job::new(index, 2, 60) };
        if back_at.is_some() && deployment.is_ready(entry) && !has_far_estimate[entry] {
            has_far_estimate[entry] = true;
            job = Job { tasks: 1, estimated_ms: 3600, deadline: Duration::from_secs(8), ..job };
        }
        let sent_at = record.now();
        callers.push((sent_at, submit(record, vec![deployment.front(entry)], job)));
        std::thread::sleep(INTERVAL);
    }
    let back_at = back_at.unwrap_or_default();
    let mut counts = [(0, 0); 2];
    for (sent_at, caller) in callers {
        let is_served = matches!(caller.join(), Ok(Outcome::Answered(200, _)));
        let phase = usize::from(sent_at > back_at);
        if phase == 0 || sent_at > back_at + RECOVERY {
            counts[phase].0 += usize::from(is_served);
            counts[phase].1 += 1;
        }
    }
    let [(before, sent_before), (after, sent_after)] = counts;
    record.line(&format!(
        "served before the fault: {before} of {sent_before}, {} s after it and later: {after} of \
         {sent_after}",
        RECOVERY.as_secs()
    ));
    if before * 4 < sent_before || sent_after == 0 {
        return Err("nothing to compare with".to_owned());
    }
    Ok(after * 4 >= sent_after)
}

/// An entry is killed, and 0.8 s later two agents; the servers next to these stay up.
fn killed_in_turn(record: &Arc<Record>, is_troubled: bool) -> CaseResult<bool> {
    const ROUNDS: u64 = 6;
    const AGENTS: u8 = 13;
    let mut deployment = Deployment::start(Size { entries: 3, agents: AGENTS }, record.clone())?;
    let fronts = vec![deployment.front(0), deployment.front(1)];
    for round in 0..ROUNDS {
        let jobs = (0..16).map(|index| Job::new(round * 100 + index, 4, 4000));
        let callers: Vec<_> = jobs.map(|job| submit(record, fronts.clone(), job)).collect();
        std::thread::sleep(Duration::from_millis(700));
        if is_troubled {
            deployment.kill_entry(0);
            std::thread::sleep(Duration::from_millis(800));
            let agents = [2 * round, 2 * round + 1].map(|agent| agent as usize);
            deployment.kill_agents(&agents);
            std::thread::sleep(Duration::from_millis(1500));
            deployment.restart_entry(0)?;
            deployment.restart_agents(&agents)?;
        }
        for caller in callers {
            let _ = caller.join();
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    has_no_overlap(record)
}

/// An entry is killed while servers leave half of their orders unanswered and carry them out late.
fn orders_late(record: &Arc<Record>, is_troubled: bool) -> CaseResult<bool> {
    const ROUNDS: u64 = 14;
    let mut deployment = Deployment::start(Size { entries: 3, agents: 45 }, record.clone())?;
    let set_late_percent = |deployment: &Deployment, percent| {
        for worker in &deployment.workers {
            worker.late_percent.store(percent, Ordering::Relaxed);
        }
    };
    for round in 0..ROUNDS {
        let (first, second) = ((round % 3) as usize, ((round + 1) % 3) as usize);
        let fronts = vec![deployment.front(first), deployment.front(second)];
        let jobs = (0..100).map(|index| Job::new(round * 1000 + index, 4, 3500));
        let callers: Vec<_> = jobs.map(|job| submit(record, fronts.clone(), job)).collect();
        std::thread::sleep(Duration::from_millis(600));
        if is_troubled {
            deployment.kill_entry(first);
            set_late_percent(&deployment, 50);
            std::thread::sleep(Duration::from_millis(1250));
            set_late_percent(&deployment, 0);
            std::thread::sleep(Duration::from_millis(1500));
            deployment.restart_entry(first)?;
        }
        for caller in callers {
            let _ = caller.join();
        }
    }
    has_no_overlap(record)
}

/// One of four jobs in progress is cancelled.
fn cancelled(record: &Arc<Record>, is_troubled: bool) -> CaseResult<bool> {
    /// `cancel_ms` and `stopMs`.
    const GONE_AFTER: Duration = Duration::from_millis(3000 + 50);
    /// Time for the end of a run to reach the record.
    const RECORD_SLACK: Duration = Duration::from_millis(100);
    let deployment = Deployment::start(Size { entries: 3, agents: 3 }, record.clone())?;
    let entry = deployment.front(0);
    let jobs: Vec<Job> = (0..4).map(|index| Job::new(index, 2, 6000)).collect();
    let callers: Vec<_> = jobs.iter().map(|job| submit(record, vec![entry], job.clone())).collect();
    std::thread::sleep(Duration::from_secs(1));
    if record.runs().len() < 8 {
        return Err("the tasks did not start".to_owned());
    }
    let mut acknowledged = None;
    if is_troubled {
        let outcome = send(record, entry, "DELETE", &jobs[0]);
        if matches!(outcome, Outcome::Answered(200..=299 | 410, _)) {
            acknowledged = Some(record.now());
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let Some(acknowledged) = acknowledged else { return Ok(true) };
    let has_held = record.runs().into_iter().all(|run| {
        let is_gone = run.ended.is_some_and(|end| end <= acknowledged + GONE_AFTER + RECORD_SLACK);
        is_gone || !run.task.starts_with(&jobs[0].id)
    });
    Ok(has_held)
}

/// Three of sixty jobs can never be done, since they have too many tasks.
fn many_tasks(record: &Arc<Record>, is_troubled: bool) -> CaseResult<bool> {
    /// Ends of processes on one machine, and machines with as many, that break the rule. A tenth
    /// of the 14 machines is less than two.
    const ENDS: usize = 3;
    const MACHINES: usize = 2;
    let mut deployment = Deployment::start(Size { entries: 3, agents: 11 }, record.clone())?;
    let fronts: Vec<SocketAddr> = (0..3).map(|index| deployment.front(index)).collect();
    let in_turn = |first: usize| -> Vec<SocketAddr> {
        (0..6).map(|index| fronts[(first + index) % fronts.len()]).collect()
    };
    let mut callers = Vec::new();
    for index in 0..60_u64 {
        let is_hopeless = index % 20 == 10;
        let count = if is_hopeless && is_troubled { 10_000_000 } else { 2 };
        let entries = in_turn((index / 20) as usize);
        callers.push(submit(record, entries, Job::new(index, count, 200)));
        deployment.end_large_entries_for(Duration::from_millis(50))?;
    }
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until && !callers.iter().all(JoinHandle::is_finished) {
        deployment.end_large_entries_for(Duration::from_millis(50))?;
    }
    for (entry, ends) in deployment.entries.iter().zip(&deployment.entry_ends) {
        record.line(&format!(
            "{} ended {ends} times by itself (limit {MEMORY_LIMIT_MIB} MB)",
            entry.name
        ));
    }
    Ok(deployment.entry_ends.iter().filter(|ends| **ends >= ENDS).count() < MACHINES)
}
