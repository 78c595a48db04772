//! Example backend server.
//!
//! A task only sleeps for its run time. The payload may state the run time, as in `150ms NAME`;
//! otherwise [`BackendModel`] does. Every start is counted, so that a test can detect a task that
//! started twice. The server also stands in for the platform's worker: it stops a running task on
//! request.

use bytes::Bytes;
use parsleyspool_daemon::http::{HttpReply, error_reply, handle_rejection, json_reply, reply};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use warp::Filter;
use warp::http::StatusCode;

/// Settings for how the server runs tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendModel {
    /// Factor applied to every run time: 1 is nominal speed, 2 is half as fast.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// Run time at nominal speed of a task whose payload does not state one.
    #[serde(with = "humantime_serde")]
    pub run_time: Duration,
    /// Whether every task fails immediately.
    pub fails_all: bool,
}

impl Default for BackendModel {
    fn default() -> Self {
        Self { slowdown: 1.0, run_time: Duration::from_millis(20), fails_all: false }
    }
}

/// Task start that the server received; starts that agree in all fields are counted together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordedStart {
    /// Submission id, from the `x-submission` header; empty without one.
    pub submission: String,
    /// Index of the task in its job, from the `x-task` header; 0 without one.
    pub task: u32,
    /// Path of the HTTP request, as in `SERVICE/REQUEST`.
    pub path: String,
    /// First word of the payload that is not a duration. Tests use it to identify a task.
    pub key: String,
}

#[derive(Debug, Default)]
struct BackendState {
    model: BackendModel,
    starts: BTreeMap<RecordedStart, u32>,
    /// Stop signals of the running tasks, by submission and task index.
    running: BTreeMap<(String, u32), Arc<Notify>>,
    stop_count: u32,
}

/// Example backend server, with its running tasks and its counters.
#[derive(Debug, Default)]
pub struct ExampleBackend {
    state: Mutex<BackendState>,
}

impl ExampleBackend {
    /// Creates a server that runs tasks according to `model`.
    pub fn new(model: BackendModel) -> Self {
        Self { state: Mutex::new(BackendState { model, ..BackendState::default() }) }
    }

    fn state(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the model. Tasks that are already running keep their run time.
    pub fn set_model(&self, model: BackendModel) {
        self.state().model = model;
    }

    /// All starts received so far, each with its count.
    pub fn starts(&self) -> Vec<(RecordedStart, u32)> {
        self.state().starts.iter().map(|(start, count)| (start.clone(), *count)).collect()
    }

    /// Number of tasks that were stopped before they completed.
    pub fn stop_count(&self) -> u32 {
        self.state().stop_count
    }

    /// Stops a running task, as the platform's worker does. Has no effect if it is not running.
    pub fn stop(&self, submission: &str, task: u32) {
        let mut state = self.state();
        if let Some(stop) = state.running.remove(&(submission.to_owned(), task)) {
            stop.notify_one();
            state.stop_count += 1;
        }
    }

    async fn run(&self, start: RecordedStart, payload: &str) -> Option<String> {
        let model = self.state().model.clone();
        let key = (start.submission.clone(), start.task);
        let stop = Arc::new(Notify::new());
        *self.state().starts.entry(start).or_insert(0) += 1;
        self.state().running.insert(key.clone(), stop.clone());
        if model.fails_all {
            self.state().running.remove(&key);
            return None;
        }
        let requested = payload.split_whitespace().next();
        let requested = requested.and_then(|word| humantime::parse_duration(word).ok());
        let run_time = requested.unwrap_or(model.run_time).mul_f64(model.slowdown);
        let is_done = tokio::time::timeout(run_time, stop.notified()).await.is_err();
        self.state().running.remove(&key);
        is_done.then(|| format!("done {payload}"))
    }
}

fn payload_key(payload: &str) -> String {
    let is_duration = |word: &&str| humantime::parse_duration(word).is_ok();
    payload.split_whitespace().find(|word| !is_duration(word)).unwrap_or_default().to_owned()
}

/// Serves `backend` on `listener` until the calling task is aborted.
pub async fn serve(listener: TcpListener, backend: Arc<ExampleBackend>) {
    let run_backend = backend.clone();
    let run = warp::path!(String / String)
        .and(warp::post())
        .and(warp::header::optional("x-submission"))
        .and(warp::header::optional("x-task"))
        .and(warp::body::bytes())
        .then(move |service: String, request: String, submission, task, body| {
            run_task(format!("{service}/{request}"), submission, task, body, run_backend.clone())
        });
    let starts_backend = backend.clone();
    let starts = warp::path!("starts").and(warp::get()).map(move || {
        let starts = starts_backend.starts();
        json_reply(StatusCode::OK, &starts)
    });
    let stop_backend = backend.clone();
    let stop = warp::path!("stop")
        .and(warp::post())
        .and(warp::header("x-submission"))
        .and(warp::header("x-task"))
        .map(move |submission: String, task| {
            stop_backend.stop(&submission, task);
            json_reply(StatusCode::OK, &task)
        });
    let model = warp::path!("model").and(warp::put()).and(warp::body::json()).map(
        move |model: BackendModel| {
            backend.set_model(model.clone());
            json_reply(StatusCode::OK, &model)
        },
    );
    let routes =
        starts.or(stop).unify().or(model).unify().or(run).unify().recover(handle_rejection);
    warp::serve(routes).incoming(listener).run().await;
}

async fn run_task(
    path: String,
    submission: Option<String>,
    task: Option<u32>,
    body: Bytes,
    backend: Arc<ExampleBackend>,
) -> HttpReply {
    let payload = String::from_utf8_lossy(&body).into_owned();
    let start = RecordedStart {
        submission: submission.unwrap_or_default(),
        task: task.unwrap_or_default(),
        path,
        key: payload_key(&payload),
    };
    match backend.run(start, &payload).await {
        Some(answer) => reply(StatusCode::OK, "text/plain", answer.into_bytes()),
        None => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "the server fails every task"),
    }
}
