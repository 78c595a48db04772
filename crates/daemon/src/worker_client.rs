//! HTTP client for the platform's worker.
//!
//! A task is stopped by `POST BASE/stop` with the headers `x-submission` and `x-task`.

use crate::error::DaemonError;
use crate::interfaces::WorkerControl;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::id::{TaskId, format_id};
use reqwest::Client;
use std::time::Duration;

/// Time limit for the worker's answer to a stop request.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

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
        let client = Client::builder().timeout(STOP_TIMEOUT).no_proxy().build();
        let base_url = base_url.map(|base_url| base_url.trim_end_matches('/').to_owned());
        Ok(Self { client: client.change_context(DaemonError::Client)?, base_url })
    }
}

impl WorkerControl for WorkerClient {
    fn stop(&self, task: TaskId) -> BoxFuture<'_, ()> {
        async move {
            let Some(base) = &self.base_url else { return };
            let request = self.client.post(format!("{base}/stop"));
            let request = request.header("x-submission", format_id(task.submission));
            if let Err(error) = request.header("x-task", task.index).send().await {
                tracing::debug!(event = "stop_unanswered", %error);
            }
        }
        .boxed()
    }
}
