//! The platform's worker over HTTP.
//!
//! `POST BASE/stop` with the headers `x-submission` and `x-task` stops a task.

use crate::error::DaemonError;
use crate::interfaces::WorkerControl;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::id::{TaskId, format_id};
use reqwest::Client;
use std::time::Duration;

/// Time for the worker to answer.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Worker behind a URL; without one, tasks are never stopped.
#[derive(Debug)]
pub struct WorkerClient {
    client: Client,
    base: Option<String>,
}

impl WorkerClient {
    /// Worker at `base`.
    ///
    /// # Errors
    /// Fails where the HTTP client cannot be built.
    pub fn new(base: Option<&str>) -> Result<Self, Report<DaemonError>> {
        let client = Client::builder().timeout(STOP_TIMEOUT).no_proxy().build();
        let base = base.map(|base| base.trim_end_matches('/').to_owned());
        Ok(Self { client: client.change_context(DaemonError::Client)?, base })
    }
}

impl WorkerControl for WorkerClient {
    fn stop(&self, task: TaskId) -> BoxFuture<'_, ()> {
        async move {
            let Some(base) = &self.base else { return };
            let request = self.client.post(format!("{base}/stop"));
            let request = request.header("x-submission", format_id(task.submission));
            if let Err(error) = request.header("x-task", task.index).send().await {
                tracing::debug!(event = "stop_unanswered", %error);
            }
        }
        .boxed()
    }
}
