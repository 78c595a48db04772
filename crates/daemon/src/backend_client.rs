//! HTTP client for the backend server.
//!
//! A task is sent as `POST BASE/SERVICE/REQUEST` with its payload as the body. Any 2xx status is an
//! answer. If no connection can be opened, the task is known not to have started; every other
//! outcome is a failure of a task that may have run.

use crate::answer::read_answer;
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

/// Time limit for opening a connection to the server, which runs next to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the pool drops an idle connection.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends tasks to a backend server over HTTP.
#[derive(Debug)]
pub struct BackendClient {
    client: Client,
    base_url: String,
    timeout: Duration,
    max_answer_bytes: usize,
}

impl BackendClient {
    /// Creates a client for the server at `base_url`, which keeps at most `connections` idle
    /// connections open.
    ///
    /// A task fails if it takes longer than `timeout` or if its answer exceeds `max_answer_bytes`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(
        base_url: &str,
        connections: usize,
        timeout: Duration,
        max_answer_bytes: usize,
    ) -> Result<Self, Report<DaemonError>> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(connections)
            .timeout(timeout)
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .change_context(DaemonError::Client)?;
        let base_url = base_url.trim_end_matches('/').to_owned();
        Ok(Self { client, base_url, timeout, max_answer_bytes })
    }

    async fn send_task(&self, start_request: StartRequest) -> RunResult {
        let url =
            format!("{}/{}/{}", self.base_url, start_request.service, start_request.request_name);
        let submission = format_id(start_request.task.submission);
        let request = self.client.post(url).header("x-submission", submission);
        let request =
            request.header("x-task", start_request.task.index).body(start_request.payload);
        let response = match request.send().await {
            Ok(response) if response.status().is_success() => response,
            Ok(_) => return RunResult::Failed,
            Err(error) if error.is_connect() => return RunResult::NoConnection,
            Err(_) => return RunResult::Failed,
        };
        match read_answer(response, self.max_answer_bytes, self.timeout).await {
            Ok(body) => RunResult::Answered(body),
            Err(error) => {
                tracing::debug!(event = "answer_unreadable", %error);
                RunResult::Failed
            }
        }
    }
}

impl BackendServer for BackendClient {
    fn run(&self, start_request: StartRequest) -> BoxFuture<'_, RunResult> {
        self.send_task(start_request).boxed()
    }
}
