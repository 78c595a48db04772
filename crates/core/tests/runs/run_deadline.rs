//! Runs that must be over by a certain time, at a ledger whose stops may all be lost.

use super::harness::{RunHarness, run_key};
use parsleyspool_core::run::{PollAnswer, StartAnswer, StopAnswer};
use std::time::Duration;

/// Lease that a call asks for if no run must be over sooner.
const LEASE: Duration = Duration::from_millis(700);

/// Harness with a run in progress.
fn with_run() -> RunHarness {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness
}

/// Failure (review/7): an agent renews the lease of a run beyond the time by which it must be over, and
/// dies.
#[test]
fn the_lease_ends_when_the_first_run_must_be_over_on_the_slowest_clock() {
    let mut harness = with_run();
    harness.answer_listing(&[run_key(0, 1)], &[]);
    assert_eq!(harness.latest_renewal, Some(harness.worker_clock() + LEASE));

    harness.end_runs_within_ms(400);
    harness.answer_listing(&[run_key(0, 1)], &[]);

    let longest = harness.worker_clock() + Duration::from_millis(400 * 97 / 100);
    assert_eq!(harness.latest_renewal, Some(longest));
}

#[test]
fn the_age_of_the_clock_reading_counts_as_time_on_the_slowest_clock() {
    let mut harness = with_run();
    let reading = harness.worker_clock();
    harness.advance_ms(200);
    harness.end_runs_within_ms(400);

    harness.answer_poll(PollAnswer::Unanswered);

    let longest = reading + Duration::from_millis((200 + 400) * 97 / 100);
    assert_eq!(harness.latest_renewal, Some(longest));
}

/// Failure (review/8): the stops of a run are lost one after the other, and polls renew its lease.
#[test]
fn a_run_whose_stops_are_lost_ends_with_its_lease() {
    let mut harness = with_run();
    harness.stop(0);
    harness.end_runs_within_ms(0);

    for _ in 0..3 {
        harness.answer_stop(run_key(0, 1), StopAnswer::Unanswered);
        harness.answer_listing(&[run_key(0, 1)], &[]);
        assert_eq!(harness.latest_renewal, None);
    }

    let transcript = harness.transcript();
    assert_eq!(transcript.matches("renewal withheld").count(), 1, "{transcript}");
}

#[test]
fn no_run_starts_while_the_renewal_is_withheld() {
    let mut harness = with_run();
    harness.end_runs_within_ms(0);

    harness.run(1);

    let transcript = harness.transcript();
    assert!(transcript.contains("finished 1 Refused(Full) evidence=not_sent"), "{transcript}");
}

#[test]
fn the_lease_is_renewed_again_once_the_run_is_over() {
    let mut harness = with_run();
    harness.run(1);
    harness.answer_start(run_key(1, 1), StartAnswer::Started);
    harness.end_runs_within_ms(0);
    harness.answer_listing(&[run_key(0, 1), run_key(1, 1)], &[]);
    assert_eq!(harness.latest_renewal, None);

    harness.run_deadline = None;
    harness.answer_listing(&[run_key(1, 1)], &[]);

    assert_eq!(harness.latest_renewal, Some(harness.worker_clock() + LEASE));
}
