//! Example backend server.
//!
//! It stands for the platform's worker too, in that it stops a running task when asked.
//!
//! It runs a task by waiting. The payload may state the time, as in `150ms NAME`; otherwise the
//! time comes from [`BackendModel`]. Every start is counted, so that a test can tell whether a task
//! started twice.

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

/// How the server behaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendModel {
    /// Factor on every run time; 2 is half as fast.
    pub pace: f64,
    /// Run time where the payload states none.
    #[serde(with = "humantime_serde")]
    pub run_time: Duration,
    /// Whether every task fails at once.
    pub fails_all: bool,
}

impl Default for BackendModel {
    fn default() -> Self {
        Self { pace: 1.0, run_time: Duration::from_millis(20), fails_all: false }
    }
}

/// Start that the server saw.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeenStart {
    /// Submission.
    pub submission: String,
    /// Task.
    pub task: u32,
    /// Service and request.
    pub path: String,
    /// First word of the payload that is no time, which tests use as a key.
    pub key: String,
}

#[derive(Debug, Default)]
struct BackendState {
    model: BackendModel,
    starts: BTreeMap<SeenStart, u32>,
    /// Tasks that run now, by submission and index, with the way to stop them.
    running: BTreeMap<(String, u32), Arc<Notify>>,
    stopped: u32,
}

/// Backend server with its counts.
#[derive(Debug, Default)]
pub struct ExampleBackend {
    state: Mutex<BackendState>,
}

impl ExampleBackend {
    /// Server that behaves as `model`.
    pub fn new(model: BackendModel) -> Self {
        Self { state: Mutex::new(BackendState { model, ..BackendState::default() }) }
    }

    fn state(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the server behaves from now on.
    pub fn set_model(&self, model: BackendModel) {
        self.state().model = model;
    }

    /// Starts seen, with their counts.
    pub fn starts(&self) -> Vec<(SeenStart, u32)> {
        self.state().starts.iter().map(|(start, count)| (start.clone(), *count)).collect()
    }

    /// Tasks stopped halfway.
    pub fn stopped(&self) -> u32 {
        self.state().stopped
    }

    /// Stops a running task, as the platform's worker would.
    pub fn stop(&self, submission: &str, task: u32) {
        let mut state = self.state();
        if let Some(stop) = state.running.remove(&(submission.to_owned(), task)) {
            stop.notify_one();
            state.stopped += 1;
        }
    }

    async fn run(&self, start: SeenStart, payload: &str) -> Option<String> {
        let model = self.state().model.clone();
        let key = (start.submission.clone(), start.task);
        let stop = Arc::new(Notify::new());
        *self.state().starts.entry(start).or_insert(0) += 1;
        self.state().running.insert(key.clone(), stop.clone());
        if model.fails_all {
            self.state().running.remove(&key);
            return None;
        }
        let stated = payload.split_whitespace().next();
        let stated = stated.and_then(|word| humantime::parse_duration(word).ok());
        let time = stated.unwrap_or(model.run_time).mul_f64(model.pace);
        let is_done = tokio::time::timeout(time, stop.notified()).await.is_err();
        self.state().running.remove(&key);
        is_done.then(|| format!("done {payload}"))
    }
}

fn key_of(payload: &str) -> String {
    let is_time = |word: &&str| humantime::parse_duration(word).is_ok();
    payload.split_whitespace().find(|word| !is_time(word)).unwrap_or_default().to_owned()
}

/// Serves `backend` until the task is ended.
pub async fn serve(listener: TcpListener, backend: Arc<ExampleBackend>) {
    let running = backend.clone();
    let run = warp::path!(String / String)
        .and(warp::post())
        .and(warp::header::optional("x-submission"))
        .and(warp::header::optional("x-task"))
        .and(warp::body::bytes())
        .then(move |service: String, request: String, submission, task, body| {
            run(format!("{service}/{request}"), submission, task, body, running.clone())
        });
    let counted = backend.clone();
    let starts = warp::path!("starts").and(warp::get()).map(move || {
        let starts = counted.starts();
        json_reply(StatusCode::OK, &starts)
    });
    let stopping = backend.clone();
    let stop = warp::path!("stop")
        .and(warp::post())
        .and(warp::header("x-submission"))
        .and(warp::header("x-task"))
        .map(move |submission: String, task| {
            stopping.stop(&submission, task);
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

async fn run(
    path: String,
    submission: Option<String>,
    task: Option<u32>,
    body: Bytes,
    backend: Arc<ExampleBackend>,
) -> HttpReply {
    let payload = String::from_utf8_lossy(&body).into_owned();
    let start = SeenStart {
        submission: submission.unwrap_or_default(),
        task: task.unwrap_or_default(),
        path,
        key: key_of(&payload),
    };
    match backend.run(start, &payload).await {
        Some(answer) => reply(StatusCode::OK, "text/plain", answer.into_bytes()),
        None => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "the server fails every task"),
    }
}
