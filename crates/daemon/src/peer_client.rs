//! HTTP client for messages between the daemons.
//!
//! The pooled client reuses connections. The heartbeat client is pooled too, and gives up early if a
//! connection is not accepted, since the entry may still be starting. The unpooled client opens a
//! new connection for each message. Status queries always use it, because an open connection can
//! stall permanently while new connections work. After a request to a peer fails, all messages to
//! that peer use new connections until the pool has dropped its idle ones and the peer has answered.

use crate::answer::read_answer;
use crate::error::DaemonError;
use crate::http::{
    CLIENT_IDLE_TIMEOUT, MESSAGE_MEDIA_TYPE, build_client, build_unpooled_client, classify_failure,
};
use crate::interfaces::{AgentClient, EntryClient};
use crate::peer_connections::PeerConnections;
use crate::recorder::EventRecorder;
use crate::telemetry::metrics::{DaemonMetrics, MessageKind};
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::ConnectPatience;
use parsleyspool_core::entry::ExchangeFailure;
use parsleyspool_core::id::PeerAddress;
use parsleyspool_core::lifecycle::ConnectionEvent;
use parsleyspool_wire::codec::{MAX_MESSAGE_BYTES, decode, encode};
use parsleyspool_wire::peer::{
    CancelMessage, DirectiveMessage, Envelope, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
    StartMessage, StatusQueryMessage, TaskReplyMessage,
};
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for opening a connection for a brief attempt: several round trips within a region.
const BRIEF_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time for which an agent holds a status query open while the task is pending.
pub const STATUS_QUERY_HOLD: Duration = Duration::from_secs(1);
/// Time limit for the answer to a status query, including [`STATUS_QUERY_HOLD`].
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for the answer to a heartbeat, a cancellation or a state query.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for an answer with a configuration, which may have thousands of routes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Kind of connection that a message may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionMode {
    /// An idle connection of the pool, unless the peer is suspect.
    Pooled,
    /// The same with the heartbeat client; the peer may still be starting.
    Brief,
    /// Always a new connection.
    New,
}

/// Sends messages to agents and entries over HTTP.
#[derive(Debug)]
pub struct PeerClient {
    pooled_client: Client,
    heartbeat_client: Client,
    unpooled_client: Client,
    connections: PeerConnections,
    recorder: Arc<EventRecorder>,
    metrics: Arc<DaemonMetrics>,
}

impl PeerClient {
    /// Creates a client that stamps its messages with the hybrid logical clock of `recorder`.
    ///
    /// # Errors
    /// Fails if an HTTP client cannot be built.
    pub fn new(
        recorder: Arc<EventRecorder>,
        metrics: Arc<DaemonMetrics>,
    ) -> Result<Self, Report<DaemonError>> {
        Ok(Self {
            pooled_client: build_client(CONNECT_TIMEOUT)?,
            heartbeat_client: build_client(BRIEF_CONNECT_TIMEOUT)?,
            unpooled_client: build_unpooled_client(CONNECT_TIMEOUT)?,
            connections: PeerConnections::new(CLIENT_IDLE_TIMEOUT),
            recorder,
            metrics,
        })
    }

    fn client(&self, address: &PeerAddress, mode: ConnectionMode) -> &Client {
        match mode {
            _ if self.connections.is_suspect(address) => &self.unpooled_client,
            ConnectionMode::Pooled => &self.pooled_client,
            ConnectionMode::Brief => &self.heartbeat_client,
            ConnectionMode::New => &self.unpooled_client,
        }
    }

    async fn send<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &PeerAddress,
        path: &str,
        message: Q,
        mode: ConnectionMode,
        timeout: Duration,
    ) -> Result<A, ExchangeFailure> {
        let result = self.try_send(address, path, message, mode, timeout).await;
        match &result {
            Ok(_) => self.connections.record(address, ConnectionEvent::Answer),
            // A peer that is still starting has no connection that could have stalled.
            Err(ExchangeFailure::NothingSent | ExchangeFailure::PeerGone)
                if mode == ConnectionMode::Brief => {}
            Err(_) => self.connections.record(address, ConnectionEvent::Timeout),
        }
        result
    }

    async fn try_send<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &PeerAddress,
        path: &str,
        message: Q,
        mode: ConnectionMode,
        timeout: Duration,
    ) -> Result<A, ExchangeFailure> {
        let envelope = Envelope::new(self.recorder.stamp(), message);
        let body = encode(&envelope).map_err(|_| ExchangeFailure::NothingSent)?;
        let request = self.client(address, mode).post(format!("http://{address}{path}"));
        let request =
            request.header("content-type", MESSAGE_MEDIA_TYPE).timeout(timeout).body(body);
        let response = request.send().await.map_err(|error| classify_failure(&error))?;
        let bytes = read_answer(response, MAX_MESSAGE_BYTES, timeout).await;
        let bytes = bytes.map_err(|error| {
            tracing::debug!(event = "answer_unreadable", %address, %error);
            ExchangeFailure::MaybeSent
        })?;
        let answer: Envelope<A> =
            decode(&bytes, MAX_MESSAGE_BYTES).map_err(|_| ExchangeFailure::MaybeSent)?;
        self.recorder.observe(answer.stamp());
        Ok(answer.body)
    }
}

impl AgentClient for PeerClient {
    fn start(
        &self,
        address: PeerAddress,
        message: StartMessage,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<TaskReplyMessage, ExchangeFailure>> {
        async move {
            self.metrics.count_message(MessageKind::Start);
            let result =
                self.send(&address, "/peer/start", message, ConnectionMode::Pooled, timeout).await;
            // The connection for this start was refused, so nothing was sent.
            result.map_err(|failure| match failure {
                ExchangeFailure::PeerGone => ExchangeFailure::NothingSent,
                other => other,
            })
        }
        .boxed()
    }

    fn query_status(
        &self,
        address: PeerAddress,
        message: StatusQueryMessage,
    ) -> BoxFuture<'_, Result<TaskReplyMessage, ExchangeFailure>> {
        async move {
            self.metrics.count_message(MessageKind::StatusQuery);
            let result = self
                .send(&address, "/peer/ask", message, ConnectionMode::New, STATUS_QUERY_TIMEOUT)
                .await;
            // A status query that opened no connection shows nothing about the earlier start.
            result.map_err(|failure| match failure {
                ExchangeFailure::NothingSent => ExchangeFailure::MaybeSent,
                other => other,
            })
        }
        .boxed()
    }

    fn cancel(&self, address: PeerAddress, message: CancelMessage) -> BoxFuture<'_, ()> {
        async move {
            self.metrics.count_message(MessageKind::Cancel);
            let (mode, tasks) = (ConnectionMode::Pooled, message.tasks.len());
            let exchange =
                self.send::<_, ()>(&address, "/peer/cancel", message, mode, CONTROL_TIMEOUT);
            // The agent learns of the ended submissions from the answer to its next heartbeat.
            if let Err(failure) = exchange.await
                && self.recorder.try_acquire_line()
            {
                tracing::warn!(event = "cancel_unanswered", agent = %address, tasks, ?failure);
            }
        }
        .boxed()
    }
}

impl EntryClient for PeerClient {
    fn heartbeat(
        &self,
        address: PeerAddress,
        message: HeartbeatMessage,
        patience: ConnectPatience,
    ) -> BoxFuture<'_, Option<DirectiveMessage>> {
        async move {
            self.metrics.count_message(MessageKind::Heartbeat);
            let mode = match patience {
                ConnectPatience::Brief => ConnectionMode::Brief,
                ConnectPatience::Patient => ConnectionMode::Pooled,
            };
            self.send(&address, "/peer/heartbeat", message, mode, CONTROL_TIMEOUT).await.ok()
        }
        .boxed()
    }

    fn fetch_state(
        &self,
        address: PeerAddress,
        message: PeerStateQuery,
    ) -> BoxFuture<'_, Option<PeerStateMessage>> {
        async move {
            self.metrics.count_message(MessageKind::PeerState);
            let mode = ConnectionMode::Pooled;
            let timeout = if message.wants_state { FETCH_TIMEOUT } else { CONTROL_TIMEOUT };
            self.send(&address, "/peer/state", message, mode, timeout).await.ok()
        }
        .boxed()
    }
}
