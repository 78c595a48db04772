//! HTTP client for the platform's worker.
//!
//! A task is stopped by `POST BASE/stop` with the headers `x-submission` and `x-task`. An unanswered
//! request is repeated over a new connection, since the earlier one may have stalled.

use crate::error::DaemonError;
use crate::interfaces::WorkerControl;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::id::{TaskId, format_id};
use reqwest::Client;
use std::time::Duration;

/// Time limit for the worker's answer to a stop request.
const STOP_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of requests to stop one task.
const MAX_STOP_REQUESTS: u32 = 3;

/// Sends stop requests to a worker over HTTP; without a URL, tasks are never stopped.
#[derive(Debug)]
pub struct WorkerClient {
    client: Client,
    base_url: Option<String>,
}

impl WorkerClient {
    /// Creates a client for the worker at `base_url`; `None` if the worker cannot stop tasks.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(base_url: Option<&str>) -> Result<Self, Report<DaemonError>> {
        let builder = Client::builder().timeout(STOP_TIMEOUT).no_proxy();
        let client = builder.pool_max_idle_per_host(0).build();
        let base_url = base_url.map(|base_url| base_url.trim_end_matches('/').to_owned());
        Ok(Self { client: client.change_context(DaemonError::Client)?, base_url })
    }

    async fn send_stop(&self, base_url: &str, task: TaskId) -> Result<(), reqwest::Error> {
        let request = self.client.post(format!("{base_url}/stop"));
        let request = request.header("x-submission", format_id(task.submission));
        request.header("x-task", task.index).send().await.map(|_| ())
    }
}

impl WorkerControl for WorkerClient {
    fn stop(&self, task: TaskId) -> BoxFuture<'_, ()> {
        async move {
            let Some(base_url) = &self.base_url else { return };
            for request in 1..=MAX_STOP_REQUESTS {
                let Err(error) = self.send_stop(base_url, task).await else { return };
                tracing::debug!(event = "stop_unanswered", request, %error);
            }
        }
        .boxed()
    }
}
