//! Stand-in for a server and its worker: starts, stops and lists runs under one lease, and announces
//! itself to the agent next to it. It guards its capacity and its clock is exact.
//!
//! The text passed to a task is `WORK_MS` or `WORK_MS ...`.

use crate::http::{self, Request, Response, serve};
use crate::json;
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease, `maxHoldMs`.
const MAX_HOLD_MS: u64 = 1000;
/// Time that a stop takes, below `stopMs`.
const STOP_MS: u64 = 20;
const CAPACITY_CPU: u64 = 32_000;
const CAPACITY_MEMORY_MB: u64 = 131_072;

/// Where a server is.
#[derive(Debug, Clone)]
pub struct Identity {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

#[derive(Debug)]
struct LiveRun {
    task: String,
    number: u64,
    started: u64,
    work: u64,
    stop_at: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    lease_until: u64,
    running: Vec<LiveRun>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    latest_numbers: HashMap<String, u64>,
}

/// One life of a server.
#[derive(Debug)]
pub struct Worker {
    identity: Identity,
    record: Arc<Record>,
    started: Instant,
    born: u128,
    state: Mutex<State>,
    ends: Condvar,
    /// Orders of a hundred that get no answer and are carried out late.
    pub late_percent: AtomicU64,
    random: Mutex<u64>,
}

/// Shortest and longest time until an order without an answer is carried out.
const LATE_MS: [u64; 2] = [2000, 12_000];

impl Worker {
    pub fn start(identity: Identity, record: Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(identity.address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let seed = identity.id.bytes().fold(7, |sum: u64, byte| sum * 31 + u64::from(byte));
        let worker = Arc::new(Self {
            identity,
            record,
            started: Instant::now(),
            born,
            state: Mutex::new(State::default()),
            ends: Condvar::new(),
            late_percent: AtomicU64::new(0),
            random: Mutex::new(seed),
        });
        let served = worker.clone();
        serve(listener, move |request| served.answer(&request));
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(4));
                ticking.end_due(&mut ticking.state.lock().unwrap());
            }
        });
        let announcing = worker.clone();
        std::thread::spawn(move || announcing.announce());
        Ok(worker)
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn announce(&self) {
        let target = format!("/v1/instances/{}", self.identity.id);
        for sequence in 1_u64.. {
            let Identity { address, zone, .. } = &self.identity;
            let (clock, born) = (self.clock(), self.born);
            let body = format!(
                "{{\"service\":\"till-gateway\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\
                 \"capacity\":{{\"cpu\":{CAPACITY_CPU},\"memMb\":{CAPACITY_MEMORY_MB},\"gpus\":0}},\
                 \"labels\":[\"a\",\"r1-1\"],\"clockMs\":{clock},\"seqNo\":{sequence},\"born\":{born}}}"
            );
            let second = Duration::from_secs(1);
            let outcome = http::send(
                self.identity.control,
                "PUT",
                &target,
                "host: control\r\n",
                &body,
                second,
            );
            let is_accepted = matches!(outcome, http::Outcome::Answered(200, _));
            let pause = if is_accepted { 1500 } else { 300 };
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Number below `bound` from the generator of this server.
    fn draw(&self, bound: u64) -> u64 {
        let mut random = self.random.lock().unwrap();
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        *random % bound
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Option<Response> {
        if request.header("x-target-instance").is_some_and(|id| id != self.identity.id) {
            return Some((421, Vec::new()));
        }
        let body = request.body_text();
        let is_order = matches!(request.path.as_str(), "/v1/run-start" | "/v1/run-stop");
        if is_order && self.draw(100) < self.late_percent.load(Ordering::Relaxed) {
            let delay = LATE_MS[0] + self.draw(LATE_MS[1] - LATE_MS[0]);
            let (worker, path) = (self.clone(), request.path.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(delay));
                worker.carry_out(&path, &body);
            });
            // The channel stays open and brings nothing more.
            std::thread::sleep(Duration::from_secs(2));
            return None;
        }
        self.carry_out(&request.path, &body)
    }

    fn carry_out(&self, path: &str, body: &str) -> Option<Response> {
        Some(match path {
            "/v1/run-start" => self.start_run(body),
            "/v1/run-stop" => self.stop_run(body),
            "/v1/hold" => self.hold(body),
            "/health" => (200, Vec::new()),
            _ => (404, Vec::new()),
        })
    }

    /// Ends the runs whose time is over.
    fn end_due(&self, state: &mut State) {
        let now = self.clock();
        let lease_until = state.lease_until;
        let mut index = 0;
        while index < state.running.len() {
            let run = &state.running[index];
            let how = if run.started + run.work <= now {
                "done"
            } else if run.stop_at.is_some_and(|at| at <= now) {
                "stopped"
            } else if lease_until <= now {
                "lapsed"
            } else {
                index += 1;
                continue;
            };
            let run = state.running.remove(index);
            state.end_count += 1;
            let latest = state.latest_numbers.entry(run.task.clone()).or_default();
            *latest = run.number.max(*latest);
            self.record.run_ended(&self.identity.id, &run.task, run.number, how);
            state.ended.push((state.end_count, run.task, run.number, how));
            self.ends.notify_all();
        }
    }

    fn refusal(&self, reason: &str) -> Response {
        let clock = self.clock();
        (409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}").into_bytes())
    }

    fn accepted(&self) -> Response {
        (200, format!("{{\"clockMs\":{}}}", self.clock()).into_bytes())
    }

    fn start_run(&self, body: &str) -> Response {
        let (Some(task), Some(number), Some(until), Some(spec)) = (
            json::text(body, "task"),
            json::number(body, "run"),
            json::number(body, "deadlineMs"),
            json::text(body, "taskSpec"),
        ) else {
            return (400, Vec::new());
        };
        let work = spec.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(100);
        let fence = json::number(body, "fenceToken").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        let now = self.clock();
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        if state.running.iter().any(|run| run.task == task && run.number == number) {
            return self.accepted();
        }
        if until <= now {
            return self.refusal("late");
        }
        state.lease_until = state.lease_until.max(until.min(now + MAX_HOLD_MS));
        if state.latest_numbers.get(&task).is_some_and(|latest| number <= *latest) {
            return self.refusal("old");
        }
        if (state.running.len() as u64 + 1) * 3100 > CAPACITY_CPU {
            return self.refusal("room");
        }
        self.record.run_started(&self.identity.id, &task, number);
        state.running.push(LiveRun { task, number, started: now, work, stop_at: None });
        self.accepted()
    }

    fn stop_run(&self, body: &str) -> Response {
        let (Some(task), Some(number)) = (json::text(body, "task"), json::number(body, "run"))
        else {
            return (400, Vec::new());
        };
        let fence = json::number(body, "fenceToken").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        let latest = state.latest_numbers.entry(task.clone()).or_default();
        *latest = number.max(*latest);
        let stop_at = self.clock() + STOP_MS;
        let mut running = state.running.iter_mut();
        if let Some(run) = running.find(|run| run.task == task && run.number == number) {
            run.stop_at.get_or_insert(stop_at);
        }
        self.accepted()
    }

    fn hold(&self, body: &str) -> Response {
        let fence = json::number(body, "fenceToken").unwrap_or(0);
        let seen = json::number(body, "lastSeen").unwrap_or(0);
        let wait = Duration::from_millis(json::number(body, "waitMs").unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        if let Some(lease) = json::number(body, "deadlineMs") {
            state.lease_until = state.lease_until.max(lease.min(self.clock() + MAX_HOLD_MS));
        }
        state.ended.retain(|(number, ..)| *number > seen);
        loop {
            let now = Instant::now();
            if !state.ended.is_empty() || now >= until {
                break;
            }
            state = self.ends.wait_timeout(state, until - now).unwrap().0;
        }
        self.end_due(&mut state);
        let now = self.clock();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| {
                let percent = ((now - run.started) * 100 / run.work.max(1)).min(99);
                format!("[\"{}\",{},\"\",{percent},0.0]", run.task, run.number)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(end, task, run, how)| format!("[{end},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let (running, ended, born) = (running.join(","), ended.join(","), self.born);
        let body = format!(
            "{{\"clockMs\":{now},\"born\":{born},\"running\":[{running}],\"ended\":[{ended}]}}"
        );
        (200, body.into_bytes())
    }
}
