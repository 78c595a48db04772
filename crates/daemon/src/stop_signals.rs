//! Signals that stop a process.
//!
//! A signal that nobody handles ends the process at once, and its jobs with it. A process therefore opens
//! the signals before it serves. One that arrives before the process waits for it is kept until then.

use crate::error::DaemonError;
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Fails with [`DaemonError::Signals`] if a handler cannot be installed.
    pub fn open() -> Result<Self, Report<DaemonError>> {
        Ok(Self {
            terminate: open_signal(SignalKind::terminate())?,
            interrupt: open_signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals; returns at once if one has arrived since they were opened.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Installs the handler of one signal.
///
/// # Errors
/// Fails with [`DaemonError::Signals`] if the handler cannot be installed.
pub fn open_signal(kind: SignalKind) -> Result<Signal, Report<DaemonError>> {
    signal(kind).change_context(DaemonError::Signals)
}
