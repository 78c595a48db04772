//! HTTP client of one server that leaves its open connections alone after a failure.
//!
//! An open connection can stall permanently while new connections work, and often all of the same age do
//! so together. A request that timed out must not be repeated over the next idle connection of the pool.
//! After a failure every request uses a new connection, until the pool has dropped its idle ones and
//! the server has answered.

use crate::error::DaemonError;
use crate::http::{CLIENT_IDLE_TIMEOUT, build_client, build_unpooled_client};
use crate::peer_connections::PeerConnections;
use error_stack::Report;
use parsleyspool_core::id::PeerAddress;
use parsleyspool_core::lifecycle::ConnectionEvent;
use reqwest::Client;
use std::time::Duration;

/// HTTP client of one server.
#[derive(Debug)]
pub struct ReconnectingClient {
    pooled: Client,
    unpooled: Client,
    server: PeerAddress,
    connections: PeerConnections,
}

impl ReconnectingClient {
    /// Creates a client of the server with the address or base URL `server`, which gives up opening a
    /// connection after `connect_timeout`.
    ///
    /// # Errors
    /// Fails if an HTTP client cannot be built.
    pub fn new(server: &str, connect_timeout: Duration) -> Result<Self, Report<DaemonError>> {
        let pooled = build_client(connect_timeout)?;
        Ok(Self { pooled, ..Self::unpooled(server, connect_timeout)? })
    }

    /// Creates a client that opens a new connection for each request, and otherwise like [`Self::new`].
    ///
    /// # Errors
    /// Fails if an HTTP client cannot be built.
    pub fn unpooled(server: &str, connect_timeout: Duration) -> Result<Self, Report<DaemonError>> {
        let unpooled = build_unpooled_client(connect_timeout)?;
        Ok(Self {
            pooled: unpooled.clone(),
            unpooled,
            server: server.into(),
            connections: PeerConnections::new(CLIENT_IDLE_TIMEOUT),
        })
    }

    /// Client for the next request.
    pub fn client(&self) -> &Client {
        if self.connections.is_suspect(&self.server) { &self.unpooled } else { &self.pooled }
    }

    /// Records whether a request was answered completely, and returns its result.
    pub fn record<T, E>(&self, result: Result<T, E>) -> Result<T, E> {
        let event = if result.is_ok() { ConnectionEvent::Answer } else { ConnectionEvent::Timeout };
        self.connections.record(&self.server, event);
        result
    }
}
