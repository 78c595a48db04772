//! Stand-in for a runner: starts, stops and lists runs under a lease, and reports its state to the
//! agent beside it.
//!
//! The `taskSpec` of a task says how long it works, as `ms=NUMBER`.

use crate::http::{self, Request, Response};
use crate::json::Json;
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease.
const MAX_HOLD_MS: u64 = 1000;
/// Interval of the reports to the agent.
const BEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval at which ends of runs are noticed.
const STEP: Duration = Duration::from_millis(2);

/// What a runner reports about itself.
#[derive(Debug, Clone)]
pub struct RunnerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub memory_mb: u64,
    /// Address at which it accepts the calls of its agent.
    pub address: SocketAddr,
    /// Address at which its agent accepts reports.
    pub control: SocketAddr,
}

/// Run in progress.
#[derive(Debug)]
struct Run {
    number: u64,
    cpu: u64,
    started_ms: u64,
    work_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Highest run of each task that was stopped or ended.
    closed: HashMap<String, u64>,
    /// Every start that was accepted, and when.
    starts: Vec<(String, Instant)>,
}

/// Runner that works in threads of its own.
#[derive(Debug, Clone)]
pub struct Runner {
    pub settings: RunnerSettings,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    born_ms: u64,
    sequence: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    record: Arc<Record>,
}

impl Runner {
    pub fn start(listener: TcpListener, settings: RunnerSettings, record: Arc<Record>) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Self {
            settings,
            state: Arc::default(),
            started: Instant::now(),
            born_ms: born.as_millis() as u64,
            sequence: Arc::default(),
            is_over: Arc::default(),
            record,
        };
        let served = runner.clone();
        http::serve(listener, Arc::new(move |request| Some(served.answer(request))));
        let worker = runner.clone();
        std::thread::spawn(move || worker.work());
        let reporter = runner.clone();
        std::thread::spawn(move || reporter.report());
        runner
    }

    /// Ends the reports and the work.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Tasks that were started later than `limit`, and when.
    pub fn starts_after(&self, limit: Instant) -> Vec<(String, Instant)> {
        self.lock().starts.iter().filter(|(_, at)| *at > limit).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no writer panics")
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn report(&self) {
        while !self.is_over.load(Ordering::Relaxed) {
            let settings = &self.settings;
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\
                 \"memMb\":{},\"gpus\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\
                 \"seqNo\":{sequence},\"born\":{}}}",
                settings.service,
                settings.address,
                settings.zone,
                settings.cpu,
                settings.memory_mb,
                self.clock_ms(),
                self.born_ms
            );
            let request = Request {
                method: "PUT".to_owned(),
                path: format!("/v1/instances/{}", settings.id),
                query: String::new(),
                headers: Vec::new(),
                body: body.into_bytes(),
            };
            let answer = http::send(settings.control, &request, Duration::from_secs(1));
            let is_confirmed = matches!(answer, Ok((200, _)));
            std::thread::sleep(if is_confirmed { BEAT_INTERVAL } else { BEAT_INTERVAL / 10 });
        }
    }

    fn work(&self) {
        while !self.is_over.load(Ordering::Relaxed) {
            std::thread::sleep(STEP);
            let now = self.clock_ms();
            let mut state = self.lock();
            let is_lapsed = now > state.lease_until;
            let is_done = |run: &Run| now >= run.started_ms + run.work_ms;
            let over = state.running.iter().filter(|(_, run)| is_lapsed || is_done(run));
            let over: Vec<(String, &'static str)> = over
                .map(|(task, run)| (task.clone(), if is_done(run) { "done" } else { "lapsed" }))
                .collect();
            for (task, how) in over {
                self.end_run(&mut state, &task, how);
            }
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.next_end += 1;
        state.ended.push((state.next_end, task.to_owned(), run.number, how));
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.number);
        self.record.line(&format!("{}: end {task} run {} {how}", self.settings.id, run.number));
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        if request.header("x-target-instance").is_some_and(|id| id != self.settings.id) {
            return Response::json(421, "{}");
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else { return self.refusal(400, "malformed") };
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/run-start") => self.answer_start(&body),
            ("POST", "/v1/run-stop") => self.answer_stop(&body),
            ("POST", "/v1/hold") => self.answer_hold(&body),
            _ => Response::json(404, "{}"),
        }
    }

    fn refusal(&self, status: u16, reason: &str) -> Response {
        let clock = self.clock_ms();
        Response::json(status, &format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"))
    }

    /// Checks the fencing token of a call and keeps the highest.
    fn accepts_fence(state: &mut State, body: &Json) -> bool {
        let fence = body.number("fenceToken").unwrap_or(0);
        let is_accepted = fence >= state.fence;
        state.fence = state.fence.max(fence);
        is_accepted
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        let deadline = body.number("deadlineMs").unwrap_or(0);
        state.lease_until = state.lease_until.max(deadline.min(self.clock_ms() + MAX_HOLD_MS));
    }

    fn answer_start(&self, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return self.refusal(400, "malformed");
        };
        let mut state = self.lock();
        if !Self::accepts_fence(&mut state, body) {
            return self.refusal(409, "fence");
        }
        if body.number("deadlineMs").unwrap_or(0) <= self.clock_ms() {
            return self.refusal(409, "late");
        }
        self.extend_lease(&mut state, body);
        if state.running.get(task).is_some_and(|run| run.number == number) {
            return Response::json(200, &format!("{{\"clockMs\":{}}}", self.clock_ms()));
        }
        if state.closed.get(task).is_some_and(|closed| number <= *closed) {
            return self.refusal(409, "old");
        }
        let spec = body.text("taskSpec").unwrap_or_default();
        let field = |name: &str| {
            let mut words = spec.split_whitespace().filter_map(|word| word.split_once('='));
            words.find(|(other, _)| *other == name).and_then(|(_, value)| value.parse().ok())
        };
        let (work_ms, cpu) = (field("ms").unwrap_or(50), field("cpu").unwrap_or(0));
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.settings.cpu {
            return self.refusal(409, "room");
        }
        let started_ms = self.clock_ms();
        state.running.insert(task.to_owned(), Run { number, cpu, started_ms, work_ms });
        state.starts.push((task.to_owned(), Instant::now()));
        self.record.line(&format!("{}: start {task} run {number} ({spec})", self.settings.id));
        Response::json(200, &format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn answer_stop(&self, body: &Json) -> Response {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return self.refusal(400, "malformed");
        };
        let mut state = self.lock();
        if !Self::accepts_fence(&mut state, body) {
            return self.refusal(409, "fence");
        }
        if state.running.get(task).is_some_and(|run| run.number == number) {
            self.end_run(&mut state, task, "stopped");
        }
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(number);
        Response::json(200, &format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn answer_hold(&self, body: &Json) -> Response {
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        if !Self::accepts_fence(&mut state, body) {
            return self.refusal(409, "fence");
        }
        self.extend_lease(&mut state, body);
        let last_seen = body.number("lastSeen").unwrap_or(0);
        state.ended.retain(|(end, ..)| *end > last_seen);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).expect("no writer panics").0;
        }
        let now = self.clock_ms();
        let running = state.running.iter().map(|(task, run)| {
            let percent = (now - run.started_ms) * 100 / run.work_ms.max(1);
            format!("[\"{task}\",{},\"\",{},0]", run.number, percent.min(99))
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended =
            state.ended.iter().take(500).map(|(end, task, number, how)| {
                format!("[{end},\"{task}\",{number},\"{how}\",\"\"]")
            });
        let ended = ended.collect::<Vec<_>>().join(",");
        Response::json(
            200,
            &format!(
                "{{\"clockMs\":{now},\"born\":{},\"running\":[{running}],\"ended\":[{ended}]}}",
                self.born_ms
            ),
        )
    }
}
