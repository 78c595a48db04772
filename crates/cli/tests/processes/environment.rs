//! Environment of the processes under test: their settings, the log and the backend servers.

use parsleyspool_standins::backend::{self, BackendModel, ExampleBackend};
use parsleyspool_standins::log::{LogStreams, server as log_server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Number of failure domains, to which processes are assigned in round-robin order.
pub const DOMAINS: usize = 3;
/// Retention of the log, longer than any test.
const RETENTION: Duration = Duration::from_secs(3600);

/// Binds a listener to a free port and returns it with its address.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Starts a log service.
pub async fn start_log() -> (Arc<LogStreams>, SocketAddr) {
    let log = Arc::new(LogStreams::new(RETENTION));
    let (listener, address) = listen().await;
    tokio::spawn(log_server::serve(listener, log.clone()));
    (log, address)
}

/// Starts a backend server.
pub async fn start_backend() -> (Arc<ExampleBackend>, SocketAddr) {
    let backend = Arc::new(ExampleBackend::new(BackendModel::default()));
    let (listener, address) = listen().await;
    tokio::spawn(backend::serve(listener, backend.clone()));
    (backend, address)
}

/// Creates the directory of a deployment; the port of its log makes the name unique.
pub fn make_directory(log: SocketAddr) -> PathBuf {
    let name = format!("parsleyspool-test-{}-{}", std::process::id(), log.port());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("a directory can be made");
    directory
}

/// Settings of the entry at `index`. They end with the section `listen`, to which tests append.
pub fn entry_settings(index: usize, log: SocketAddr) -> String {
    format!(
        "entry:\n  name: entry-{}\n  domain: domain-{}\n  rank: {index}\n  log:\n    url: \
         http://{log}\n  listen:\n    callers: 127.0.0.1:0\n    peers: 127.0.0.1:0\n",
        index + 1,
        index % DOMAINS + 1,
    )
}

/// Settings of the agent at `index`. They end with the key `entries`, to which tests append.
pub fn agent_settings(index: usize, backend: SocketAddr) -> String {
    format!(
        "agent:\n  name: server-{}\n  domain: domain-{}\n  worker: worker-{}\n  listen: \
         127.0.0.1:0\n  backend:\n    url: http://{backend}\n    services: [tokens]\n    slots: \
         8\n  entries:\n",
        index + 1,
        index % DOMAINS + 1,
        index + 1,
    )
}
