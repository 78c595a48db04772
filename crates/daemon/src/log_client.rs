//! HTTP client for the platform's log.

use crate::answer::read_answer;
use crate::error::DaemonError;
use crate::interfaces::{LogPage, LogStore};
use crate::reconnecting_client::ReconnectingClient;
use crate::telemetry::metrics::{DaemonMetrics, MessageKind};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::id::Offset;
use parsleyspool_wire::codec::decode;
use parsleyspool_wire::log_service::{AppendReply, ReadQuery, ReadReply};
use reqwest::RequestBuilder;
use std::sync::Arc;
use std::time::Duration;

/// Largest reply of the log, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// HTTP client for the log at a base URL.
#[derive(Debug)]
pub struct LogClient {
    connection: ReconnectingClient,
    base_url: String,
    timeout: Duration,
    metrics: Option<Arc<DaemonMetrics>>,
}

impl LogClient {
    /// Creates a client for the log at `base_url`.
    ///
    /// Requests time out after `timeout`; reads add the time that they wait for new records.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Self, Report<DaemonError>> {
        let base_url = base_url.trim_end_matches('/').to_owned();
        let connection = ReconnectingClient::new(&base_url, timeout)?;
        Ok(Self { connection, base_url, timeout, metrics: None })
    }

    /// Counts the requests to the log in `metrics`.
    pub fn with_metrics(self, metrics: Arc<DaemonMetrics>) -> Self {
        Self { metrics: Some(metrics), ..self }
    }

    fn count_message(&self, kind: MessageKind) {
        if let Some(metrics) = &self.metrics {
            metrics.count_message(kind);
        }
    }

    fn url(&self, stream: &str) -> String {
        format!("{}/streams/{stream}/records", self.base_url)
    }

    async fn send_request(&self, request: RequestBuilder) -> Result<Bytes, Report<DaemonError>> {
        let sent = self.connection.record(request.send().await);
        let response = sent.change_context(DaemonError::Log)?;
        let status = response.status();
        if !status.is_success() {
            return Err(Report::new(DaemonError::Log).attach(format!("status {status}")));
        }
        let answer = read_answer(response, MAX_REPLY_BYTES, self.timeout).await;
        self.connection.record(answer).change_context(DaemonError::Log)
    }
}

impl LogStore for LogClient {
    fn append(
        &self,
        stream: &'static str,
        record: Bytes,
    ) -> BoxFuture<'_, Result<Offset, Report<DaemonError>>> {
        async move {
            self.count_message(MessageKind::Append);
            let request =
                self.connection.client().post(self.url(stream)).timeout(self.timeout).body(record);
            let bytes = self.send_request(request).await?;
            let reply: AppendReply =
                decode(&bytes, MAX_REPLY_BYTES).change_context(DaemonError::Log)?;
            Ok(reply.offset)
        }
        .boxed()
    }

    fn read(
        &self,
        stream: &'static str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, Report<DaemonError>>> {
        async move {
            self.count_message(MessageKind::Read);
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let query = ReadQuery { from, limit, wait_ms };
            let url = format!(
                "{}?from={}&limit={}&wait_ms={}",
                self.url(stream),
                query.from,
                query.limit,
                query.wait_ms
            );
            let request = self.connection.client().get(url).timeout(self.timeout + wait);
            let bytes = self.send_request(request).await?;
            let reply: ReadReply =
                decode(&bytes, MAX_REPLY_BYTES).change_context(DaemonError::Log)?;
            let records = reply.records.into_iter().map(|record| (record.offset, record.data));
            Ok(LogPage { earliest: reply.earliest, end: reply.end, records: records.collect() })
        }
        .boxed()
    }
}
