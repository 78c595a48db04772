//! Signals that ask a daemon to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn stop_asked() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
