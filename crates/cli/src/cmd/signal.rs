//! Stop signals of the daemons.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT, or forever if a handler cannot be installed.
pub async fn wait_for_stop_signal() {
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
