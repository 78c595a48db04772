//! Lifecycle of a daemon as a typestate.
//!
//! A daemon is [`Starting`] until it begins to serve, [`Serving`] until a planned stop begins,
//! [`Draining`] until its work is finished or the drain times out, and [`Stopped`] afterwards. Each
//! transition consumes the daemon and returns it in its next state, so a transition cannot be
//! skipped or repeated.

use std::fmt::Debug;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// The daemon does not accept work yet.
#[derive(Debug)]
pub struct Starting;
/// The daemon accepts work.
#[derive(Debug)]
pub struct Serving;
/// The daemon refuses new work and finishes open work.
#[derive(Debug)]
pub struct Draining;
/// The daemon has stopped.
#[derive(Debug)]
pub struct Stopped {
    /// Number of jobs or tasks still open when the drain timed out; 0 if it ended in time. For an
    /// entry it is at least 1 if the closing record of the audit log was not confirmed.
    pub unfinished: usize,
}

/// Shared name of the current state, shown on status pages.
#[derive(Debug, Clone, Default)]
pub struct StateName(Arc<Mutex<&'static str>>);

impl StateName {
    /// Creates the name of the initial state, `starting`.
    pub fn starting() -> Self {
        Self(Arc::new(Mutex::new("starting")))
    }

    /// Current name: `starting`, `serving`, `draining` or `stopped`.
    pub fn get(&self) -> &'static str {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, state_name: &'static str) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = state_name;
    }
}

/// Daemon with the components `C`, in the state `S`.
#[derive(Debug)]
pub struct DaemonLifecycle<C, S> {
    /// Components that live as long as the daemon.
    pub components: C,
    /// Current state and its data.
    pub state: S,
    state_name: StateName,
}

impl<C> DaemonLifecycle<C, Starting> {
    /// Creates a daemon that does not serve yet.
    pub fn new(components: C, state_name: StateName) -> Self {
        Self { components, state: Starting, state_name }
    }

    /// Marks the daemon as serving; the caller has started its tasks.
    pub fn serve(self) -> DaemonLifecycle<C, Serving> {
        self.state_name.set("serving");
        DaemonLifecycle { components: self.components, state: Serving, state_name: self.state_name }
    }
}

impl<C> DaemonLifecycle<C, Serving> {
    /// Marks the daemon as draining; the caller has made it refuse new work.
    pub fn drain(self) -> DaemonLifecycle<C, Draining> {
        self.state_name.set("draining");
        DaemonLifecycle {
            components: self.components,
            state: Draining,
            state_name: self.state_name,
        }
    }
}

impl<C> DaemonLifecycle<C, Draining> {
    /// Marks the daemon as stopped with `unfinished` jobs or tasks.
    pub fn stop(self, unfinished: usize) -> DaemonLifecycle<C, Stopped> {
        self.state_name.set("stopped");
        DaemonLifecycle {
            components: self.components,
            state: Stopped { unfinished },
            state_name: self.state_name,
        }
    }
}

/// Time limit for a listener to write its last replies.
const LISTENER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP server that runs in its own task.
#[derive(Debug)]
pub struct ListenerTask {
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl ListenerTask {
    /// Wraps the task `server`, which shuts down gracefully on `stop`.
    pub fn new(stop: oneshot::Sender<()>, server: JoinHandle<()>) -> Self {
        Self { stop, server }
    }

    /// Accepts no further connections and gives open ones a limited time to finish.
    pub async fn finish(self) {
        let _ = self.stop.send(());
        let _ = tokio::time::timeout(LISTENER_STOP_TIMEOUT, self.server).await;
    }

    /// Aborts the server without a graceful shutdown.
    pub fn abort(self) {
        self.server.abort();
    }
}
