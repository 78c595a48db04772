//! Stop signals of a process. This file has one test, since a signal reaches the whole process.

use parsleyspool_daemon::stop_signals::StopSignals;
use std::process::Command;
use std::time::Duration;

/// Time within which a signal that has arrived is received.
const RECEIPT_BOUND: Duration = Duration::from_secs(5);

/// Failure (soak seed 77): a process that was stopped as soon as it listened ended at once, with its
/// jobs, since it installed its handlers later.
#[tokio::test]
async fn a_stop_signal_that_arrives_before_the_process_waits_for_it_is_kept() {
    let mut signals = StopSignals::open().expect("the handlers are installed");
    let id = std::process::id().to_string();

    let sent = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
    let received = tokio::time::timeout(RECEIPT_BOUND, signals.received()).await;

    assert!(sent.success());
    assert!(received.is_ok());
}
