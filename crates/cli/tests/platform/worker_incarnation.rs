//! Incarnation of a worker stand-in: answers calls from its state until it crashes.

use crate::http_server::{HttpRequest, HttpResponse};
use crate::run_record::{RecordedRun, RunRecord};
use crate::worker_state::{CallRefusal, RunEnd, RunName, StartEffect, TaskWork, WorkerState};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Longest wait of a poll for the end of a run.
const MAX_WAIT: Duration = Duration::from_millis(2000);

/// Call that starts a run.
#[derive(Debug, Deserialize)]
struct StartBody {
    task: String,
    #[serde(rename = "run")]
    number: u64,
    #[serde(rename = "taskSpec")]
    payload: String,
    /// End of the lease of all runs on the worker's clock.
    #[serde(rename = "deadlineMs")]
    lease_until_ms: u64,
    #[serde(rename = "fenceToken", default)]
    fence: u64,
}

/// Call that stops a run.
#[derive(Debug, Deserialize)]
struct StopBody {
    task: String,
    #[serde(rename = "run")]
    number: u64,
    #[serde(rename = "fenceToken", default)]
    fence: u64,
}

/// Call that lists the runs, and renews the lease unless it states none.
#[derive(Debug, Deserialize)]
struct PollBody {
    #[serde(rename = "fenceToken", default)]
    fence: u64,
    /// Highest number of an end that the agent knows.
    #[serde(rename = "lastSeen")]
    acknowledged: u64,
    #[serde(rename = "deadlineMs")]
    lease_until_ms: Option<u64>,
    #[serde(rename = "waitMs", default)]
    wait_ms: u64,
}

/// Time from the start of a worker to its crash.
#[derive(Debug)]
pub struct WorkerIncarnation {
    server: String,
    machine: String,
    /// Time of day of the start, in milliseconds since the epoch.
    pub started_at_ms: u64,
    started: Instant,
    /// Reading of its clock when the test started it.
    first_reading: Duration,
    /// Rate of its clock, relative to the clock of the test.
    clock_rate: f64,
    record: Arc<RunRecord>,
    /// `None` after the crash.
    state: Mutex<Option<WorkerState>>,
    /// Number of times that runs have ended.
    ends: watch::Sender<u64>,
}

impl WorkerIncarnation {
    /// Starts an incarnation that has already been up for `age`.
    pub fn start(
        server: &str,
        machine: &str,
        age: Duration,
        clock_rate: f64,
        record: Arc<RunRecord>,
    ) -> Arc<Self> {
        let started_at = SystemTime::now() - age;
        let since_epoch = started_at.duration_since(UNIX_EPOCH).expect("after the epoch");
        Arc::new(Self {
            server: server.to_owned(),
            machine: machine.to_owned(),
            started_at_ms: u64::try_from(since_epoch.as_millis()).expect("the time fits"),
            started: Instant::now(),
            first_reading: age.mul_f64(clock_rate),
            clock_rate,
            record,
            state: Mutex::new(Some(WorkerState::default())),
            ends: watch::Sender::default(),
        })
    }

    /// Reading of the worker's clock, which measures leases.
    pub fn clock(&self) -> Duration {
        self.first_reading + self.started.elapsed().mul_f64(self.clock_rate)
    }

    /// Time of the record at which the worker's clock reads `clock`.
    fn recorded_time(&self, clock: Duration) -> Duration {
        let since_start = clock.saturating_sub(self.first_reading).div_f64(self.clock_rate);
        self.started - self.record.began + since_start
    }

    /// Calls `act` with the state at the current reading of the clock; `None` after the crash.
    fn with_state<T>(&self, act: impl FnOnce(&mut WorkerState, Duration) -> T) -> Option<T> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock();
        let current = state.as_mut()?;
        let due = current.end_due_runs(now);
        self.record_ends(&due);
        if !due.is_empty() {
            self.ends.send_modify(|count| *count += 1);
        }
        Some(act(current, now))
    }

    fn record_ends(&self, ends: &[RunEnd]) {
        for end in ends {
            let at = self.recorded_time(end.at);
            self.record.add_end(&self.server, &end.run, at, end.ending);
        }
    }

    /// Ends the runs whose time is over. Returns whether the worker is up.
    pub fn end_due_runs(&self) -> bool {
        self.with_state(|_, _| ()).is_some()
    }

    /// Ends everything; no call has an effect or a response afterwards.
    pub fn crash(&self) {
        self.end_due_runs();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock();
        if let Some(mut crashed) = state.take() {
            self.record_ends(&crashed.end_due_runs(now));
            self.record_ends(&crashed.crash(now));
        }
    }

    /// Executes a call; `None` if the worker crashes before its response.
    pub async fn execute(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let body = request.body.as_slice();
        match request.path.as_str() {
            "/v1/run-start" => with_body(body, |call| self.start_run(&call)),
            "/v1/run-stop" => with_body(body, |call| self.stop_run(&call)),
            "/v1/hold" => match parse::<PollBody>(body) {
                Ok(call) => self.poll(&call).await,
                Err(malformed) => Some(malformed),
            },
            _ => Some(HttpResponse::empty(404)),
        }
    }

    fn start_run(&self, call: &StartBody) -> Option<HttpResponse> {
        let Some(work) = parse_payload(&call.payload) else {
            return Some(HttpResponse::empty(400));
        };
        let run = RunName { task: call.task.clone(), number: call.number };
        let until = Duration::from_millis(call.lease_until_ms);
        self.with_state(|state, now| {
            let effect =
                state.check_fence(call.fence).and_then(|()| state.start(&run, work, until, now));
            if effect == Ok(StartEffect::Began) {
                self.record_start(run, now);
            }
            call_response(effect.map(|_| ()), now)
        })
    }

    fn record_start(&self, run: RunName, now: Duration) {
        self.record.add_start(RecordedRun {
            server: self.server.clone(),
            machine: self.machine.clone(),
            server_started_at: self.recorded_time(Duration::ZERO),
            run,
            started_at: self.recorded_time(now),
            end: None,
        });
    }

    fn stop_run(&self, call: &StopBody) -> Option<HttpResponse> {
        let run = RunName { task: call.task.clone(), number: call.number };
        self.with_state(|state, now| {
            let is_accepted = state.check_fence(call.fence);
            if is_accepted.is_ok() {
                state.stop(&run, now);
            }
            call_response(is_accepted, now)
        })
    }

    /// Renews the lease and waits for an end that is not acknowledged.
    async fn poll(&self, call: &PollBody) -> Option<HttpResponse> {
        let mut ends = self.ends.subscribe();
        let refused = self.with_state(|state, now| match state.check_fence(call.fence) {
            Err(refusal) => Some(call_response(Err(refusal), now)),
            Ok(()) => {
                if let Some(until) = call.lease_until_ms {
                    state.extend_lease(Duration::from_millis(until), now);
                }
                state.acknowledge(call.acknowledged);
                None
            }
        })?;
        if refused.is_some() {
            return refused;
        }
        let has_no_end = || self.with_state(|state, _| state.listed_ends().is_empty());
        let is_over = async { while has_no_end() == Some(true) && ends.changed().await.is_ok() {} };
        let wait = Duration::from_millis(call.wait_ms).min(MAX_WAIT);
        let _ = tokio::time::timeout(wait, is_over).await;
        self.with_state(|state, now| HttpResponse::json(200, &self.listing(state, now)))
    }

    fn listing(&self, state: &WorkerState, now: Duration) -> Value {
        let running = state
            .running(now)
            .map(|(run, percent)| json!([run.task, run.number, "", percent as u64, 0]));
        let ended = state
            .listed_ends()
            .iter()
            .map(|end| json!([end.number, end.run.task, end.run.number, end.ending.name(), ""]));
        json!({
            "clockMs": millis(now),
            "born": self.started_at_ms,
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        })
    }
}

/// Work in a payload of the form `work=MILLIS cpu=THOUSANDTHS`.
fn parse_payload(payload: &str) -> Option<TaskWork> {
    let number = |name: &str| -> Option<u32> {
        let mut fields = payload.split(' ').filter_map(|field| field.split_once('='));
        fields.find(|(field, _)| *field == name)?.1.parse().ok()
    };
    let run_time = Duration::from_millis(number("work")?.into());
    Some(TaskWork { run_time, cpu: number("cpu")? })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|_| HttpResponse::empty(400))
}

fn with_body<T: DeserializeOwned>(
    body: &[u8],
    execute: impl FnOnce(T) -> Option<HttpResponse>,
) -> Option<HttpResponse> {
    match parse(body) {
        Ok(call) => execute(call),
        Err(malformed) => Some(malformed),
    }
}

fn call_response(result: Result<(), CallRefusal>, now: Duration) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::json(200, &json!({ "clockMs": millis(now) })),
        Err(refusal) => {
            let body = json!({ "clockMs": millis(now), "reason": refusal.name() });
            HttpResponse::json(409, &body)
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("the time fits")
}
