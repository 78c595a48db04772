//! Life of a daemon as types.
//!
//! A daemon is [`Starting`] until its listeners are bound, [`Serving`] until a planned stop begins,
//! [`Draining`] until its work is finished or its bound is reached, and [`Stopped`] then. Each step
//! consumes the daemon and returns it in its next state, so a step cannot be left out or repeated.

use std::fmt::Debug;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Not yet taking work.
#[derive(Debug)]
pub struct Starting;
/// Taking work.
#[derive(Debug)]
pub struct Serving;
/// Finishing work.
#[derive(Debug)]
pub struct Draining;
/// Finished; holds what was left undone.
#[derive(Debug)]
pub struct Stopped {
    /// Jobs or tasks that the bound of the drain cut off.
    pub unfinished: usize,
}

/// Word for the present state, for status pages.
#[derive(Debug, Clone, Default)]
pub struct StateName(Arc<Mutex<&'static str>>);

impl StateName {
    /// Word of a daemon that starts.
    pub fn starting() -> Self {
        Self(Arc::new(Mutex::new("starting")))
    }

    /// Present word.
    pub fn get(&self) -> &'static str {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, state_name: &'static str) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = state_name;
    }
}

/// Daemon with the parts `P`, in the state `S`.
#[derive(Debug)]
pub struct DaemonLifecycle<P, S> {
    /// Parts that live as long as the daemon.
    pub components: P,
    /// State with what belongs to it.
    pub state: S,
    state_name: StateName,
}

impl<P> DaemonLifecycle<P, Starting> {
    /// Daemon whose parts are made.
    pub fn new(components: P, state_name: StateName) -> Self {
        Self { components, state: Starting, state_name }
    }

    /// Daemon that takes work from now on.
    pub fn serve(self) -> DaemonLifecycle<P, Serving> {
        self.state_name.set("serving");
        DaemonLifecycle { components: self.components, state: Serving, state_name: self.state_name }
    }
}

impl<P> DaemonLifecycle<P, Serving> {
    /// Daemon that takes no new work from now on.
    pub fn drain(self) -> DaemonLifecycle<P, Draining> {
        self.state_name.set("draining");
        DaemonLifecycle {
            components: self.components,
            state: Draining,
            state_name: self.state_name,
        }
    }
}

impl<P> DaemonLifecycle<P, Draining> {
    /// Daemon that has finished, but for `unfinished` jobs or tasks.
    pub fn stop(self, unfinished: usize) -> DaemonLifecycle<P, Stopped> {
        self.state_name.set("stopped");
        DaemonLifecycle {
            components: self.components,
            state: Stopped { unfinished },
            state_name: self.state_name,
        }
    }
}

/// Time for a listener to write its last replies.
const LISTENER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Listener that serves in a task of its own.
#[derive(Debug)]
pub struct ListenerTask {
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl ListenerTask {
    /// Listener served by `server` until `stop` is sent.
    pub fn new(stop: oneshot::Sender<()>, server: JoinHandle<()>) -> Self {
        Self { stop, server }
    }

    /// Takes no further connections and lets open ones finish.
    pub async fn finish(self) {
        let _ = self.stop.send(());
        let _ = tokio::time::timeout(LISTENER_STOP_TIMEOUT, self.server).await;
    }

    /// Ends at once.
    pub fn abort(self) {
        self.server.abort();
    }
}
