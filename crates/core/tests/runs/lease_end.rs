//! When the lease at the worker counts as over.

use super::harness::{RunHarness, incarnation, run_key};
use parsleyspool_core::run::{StartAnswer, StopAnswer};

/// Asserts that the run is reported as ended once the longest hold has passed on the slowest clock, and
/// not before.
fn assert_over_after_longest_hold(mut harness: RunHarness) {
    harness.advance_ms(1_070);
    let within_hold = harness.transcript().to_owned();
    harness.advance_ms(20);

    assert!(!within_hold.contains("finished"), "{within_hold}");
    assert!(harness.transcript().contains("LeaseExpired"), "{}", harness.transcript());
}

/// Failure: the former incarnation confirmed a stop, and its successor received the start.
#[test]
fn a_run_is_not_reported_as_ended_while_a_restarted_server_accepts_earlier_calls() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    harness.announce(incarnation("s", 2));
    harness.discard_polls_before_latest();

    harness.answer_listing_as(Some(2), &[], &[]);
    let before = harness.transcript().to_owned();
    harness.answer_listing_as(Some(2), &[], &[]);

    assert!(!before.contains("finished"), "{before}");
    let ended = "finished 0 Interrupted(ServerLost) evidence=unlisted";
    assert!(harness.transcript().contains(ended), "{}", harness.transcript());
}

/// Failure: the agent counted the suspension of the machine, and the clock of the lease did not.
#[test]
fn a_run_is_not_reported_as_ended_because_its_machine_was_suspended() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);

    harness.suspend_ms(3_000);
    let resumed = harness.transcript().to_owned();
    harness.advance_ms(1_100);

    assert!(!resumed.contains("finished"), "{resumed}");
    assert!(harness.transcript().contains("LeaseExpired"), "{}", harness.transcript());
}

/// Failure: the estimate of the worker's clock counts a suspension for which that clock stood still, so
/// a call names a lease that ends seconds too late, and one that is carried out late extends the lease
/// beyond the bound that the agent keeps.
#[test]
fn a_lease_asked_for_after_a_suspension_ends_on_the_clock_that_stood_still() {
    let mut harness = RunHarness::ready();
    harness.suspend_ms(3_000);

    harness.run(0);

    // The agent's clock read 10 s and that of the worker 510 s when the machine was suspended.
    let transcript = harness.transcript();
    assert!(transcript.contains("lease_until_ms=510700"), "{transcript}");
}

/// Failure: the bound counts the lease that the agent asks for, and not the longest hold, from its last
/// call on.
#[test]
fn a_run_is_not_over_before_the_longest_hold_after_the_last_call() {
    let mut harness = RunHarness::ready();
    harness.advance_ms(500);
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);

    assert_over_after_longest_hold(harness);
}

/// Failure: the bound counts the lease that the agent asks for, and not the longest hold, from the
/// acceptance of its token on.
#[test]
fn a_run_at_a_restarted_server_is_not_over_before_the_longest_hold_after_the_acceptance() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.announce(incarnation("s", 2));
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.discard_polls_before_latest();
    harness.answer_listing_as(Some(2), &[run_key(0, 1), run_key(7, 1)], &[]);
    harness.advance_ms(2_000);
    harness.answer_listing_as(Some(2), &[run_key(0, 1), run_key(7, 1)], &[]);

    assert_over_after_longest_hold(harness);
}
