//! Fencing tokens of a session: when they are raised, accepted and given up.

use super::harness::{RunHarness, incarnation, run_key};
use parsleyspool_core::run::{PollAnswer, StartAnswer, StopAnswer};
use std::time::Duration;

/// Failure: the answer to a poll without the token counted as if the worker had accepted it.
#[test]
fn a_server_is_not_ready_before_it_accepts_the_fencing_token() {
    let mut harness = RunHarness::new();
    harness.announce(incarnation("s", 5));
    harness.announce(incarnation("s", 4));

    harness.answer_listing(&[], &[]);
    harness.answer_listing(&[], &[]);
    let before = harness.transcript().to_owned();
    harness.answer_listing(&[], &[]);

    assert!(!before.contains("ready"), "{before}");
    assert!(harness.transcript().contains("ready s"), "{}", harness.transcript());
}

/// Failure: a stop that carried an earlier token is refused after the current one was accepted, and the
/// agent gives up the accepted token. The server is not ready until it has accepted yet another.
#[test]
fn a_refusal_of_an_earlier_token_does_not_drop_the_accepted_one() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.announce(incarnation("s", 2));
    harness.discard_polls_before_latest();
    harness.answer_listing_as(Some(2), &[], &[]);
    harness.answer_listing_as(Some(2), &[], &[]);
    assert!(harness.transcript().contains("ready s"), "{}", harness.transcript());

    harness.answer_stop(run_key(0, 1), StopAnswer::Fenced);

    let transcript = harness.transcript();
    let after_ready = transcript.split("ready s").last().unwrap_or_default();
    assert!(!after_ready.contains("fence=None"), "{transcript}");
    assert!(after_ready.contains("stop j.0 run=1 fence=512000"), "{transcript}");
}

/// Failure: the refusal of an earlier token replaces the one that was chosen since.
#[test]
fn a_refused_poll_without_the_current_token_does_not_raise_it() {
    let mut harness = RunHarness::new();
    harness.announce(incarnation("s", 5));
    harness.announce(incarnation("s", 4));

    harness.answer_poll(PollAnswer::Fenced { clock: Duration::from_secs(5) });
    harness.answer_poll(PollAnswer::Fenced { clock: Duration::from_secs(5) });

    let transcript = harness.transcript();
    assert!(transcript.contains("poll fence=Some(10000)"), "{transcript}");
    assert!(!transcript.contains("poll fence=Some(10002)"), "{transcript}");
}

/// Failure: a refused token brings a server back that has deregistered.
#[test]
fn a_deregistered_server_whose_token_is_refused_does_not_become_ready_again() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.deregister(incarnation("s", 1));

    harness.answer_poll(PollAnswer::Fenced { clock: Duration::from_secs(511) });
    for _ in 0..3 {
        harness.answer_listing(&[run_key(0, 1)], &[]);
    }

    let transcript = harness.transcript();
    let after_refusal = transcript.split("Fenced").last().unwrap_or_default();
    assert!(!after_refusal.contains("ready s"), "{transcript}");
    assert!(!after_refusal.contains("renews=true"), "{transcript}");
}
