//! Backend server reached over HTTP.
//!
//! A task becomes `POST BASE/SERVICE/REQUEST` with the payload as its body. Any 2xx status is an
//! answer; everything else is a failure of a task that may have run.

use crate::error::DaemonError;
use crate::interfaces::BackendServer;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::RunResult;
use parsleyspool_core::entry::StartRequest;
use parsleyspool_core::id::format_id;
use reqwest::Client;
use std::time::Duration;

/// Time to open a connection to the server beside the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(5);

/// Backend server behind a URL.
#[derive(Debug)]
pub struct BackendClient {
    client: Client,
    base: String,
    max_answer: usize,
}

impl BackendClient {
    /// Backend server at `base`; a task is given up after `timeout`, an answer over `max_answer`
    /// bytes is a failure.
    ///
    /// # Errors
    /// Fails where the HTTP client cannot be built.
    pub fn new(
        base: &str,
        connections: usize,
        timeout: Duration,
        max_answer: usize,
    ) -> Result<Self, Report<DaemonError>> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(POOL_IDLE)
            .pool_max_idle_per_host(connections)
            .timeout(timeout)
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .change_context(DaemonError::Client)?;
        Ok(Self { client, base: base.trim_end_matches('/').to_owned(), max_answer })
    }

    async fn send(&self, order: StartRequest) -> RunResult {
        let url = format!("{}/{}/{}", self.base, order.service, order.request);
        let submission = format_id(order.task.submission);
        let request = self.client.post(url).header("x-submission", submission);
        let request = request.header("x-task", order.task.index).body(order.payload);
        let mut response = match request.send().await {
            Ok(response) if response.status().is_success() => response,
            Ok(_) => return RunResult::Failed,
            Err(error) if error.is_connect() => return RunResult::NoConnection,
            Err(_) => return RunResult::Failed,
        };
        let mut body = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if body.len() + chunk.len() <= self.max_answer => {
                    body.extend_from_slice(&chunk);
                }
                Ok(None) => return RunResult::Answered(body.into()),
                _ => return RunResult::Failed,
            }
        }
    }
}

impl BackendServer for BackendClient {
    fn run(&self, order: StartRequest) -> BoxFuture<'_, RunResult> {
        self.send(order).boxed()
    }
}
