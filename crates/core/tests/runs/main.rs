//! Golden transcripts and random schedules of sessions between an agent and a worker that requires
//! leases.

mod fencing;
mod harness;
mod lease_end;
mod run_deadline;
mod schedule_checks;
mod schedules;
mod server_factory;
mod worker_model;

use harness::{RunHarness, incarnation, run_key};
use parsleyspool_core::run::{PollAnswer, RunEnd, StartAnswer, StartRefusal, StopAnswer};
use std::time::Duration;

#[test]
fn a_server_is_ready_after_its_orphaned_runs_are_stopped_under_a_higher_fence() {
    let mut harness = RunHarness::new();

    harness.announce(incarnation("s", 1));
    harness.answer_poll(PollAnswer::Fenced { clock: Duration::from_secs(510) });
    harness.answer_listing(&[run_key(7, 3)], &[]);
    harness.answer_stop(run_key(7, 3), StopAnswer::Unanswered);
    harness.answer_stop(run_key(7, 3), StopAnswer::Confirmed);
    harness.answer_listing(&[], &[(1, run_key(7, 3), RunEnd::Interrupted)]);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_run_is_started_and_polled_under_a_lease_and_its_end_is_acknowledged() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.advance_ms(200);
    harness.answer_listing(&[run_key(0, 1)], &[]);
    harness.advance_ms(60);
    harness.answer_listing(&[], &[(1, run_key(0, 1), RunEnd::Done)]);
    harness.answer_listing(&[], &[]);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn an_unanswered_start_is_finished_only_after_its_stop_is_confirmed() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.advance_ms(200);
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.answer_stop(run_key(0, 1), StopAnswer::Unanswered);
    harness.advance_ms(3_000);
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    harness.advance_ms(1);
    harness.answer_listing(&[], &[]);
    harness.answer_listing(&[], &[]);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_run_number_used_by_an_earlier_agent_is_replaced_by_a_higher_number() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Refused(StartRefusal::NotNewer));
    harness.answer_start(run_key(0, 3), StartAnswer::Started);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn runs_of_an_unresponsive_worker_end_when_their_lease_expires() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.answer_poll(PollAnswer::Unanswered);
    harness.advance_ms(600);
    harness.advance_ms(200);
    harness.advance_ms(300);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_server_restart_under_the_same_id_ends_the_runs_that_are_not_listed() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.advance_ms(50);
    harness.run(1);
    harness.answer_listing_as(Some(2), &[], &[]);
    harness.answer_start(run_key(1, 1), StartAnswer::Started);
    harness.advance_ms(10);
    for _ in 0..3 {
        harness.answer_listing_as(Some(2), &[run_key(1, 1)], &[]);
    }

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_different_server_at_the_address_ends_all_runs_of_the_previous_server() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.announce(incarnation("t", 2));
    harness.answer_poll(PollAnswer::OtherIncarnation);
    harness.announce(incarnation("s", 1));

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn the_lease_of_a_deregistered_server_is_not_renewed() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.deregister(incarnation("s", 1));
    harness.answer_poll(PollAnswer::Unanswered);
    harness.advance_ms(800);
    harness.advance_ms(300);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_stop_during_a_start_is_sent_after_the_start_is_answered() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.stop(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    harness.answer_listing(&[], &[(1, run_key(0, 1), RunEnd::Interrupted)]);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_run_without_progress_is_stopped() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    for _ in 0..4 {
        harness.advance_ms(200);
        harness.answer_listing(&[run_key(0, 1)], &[]);
    }
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    harness.answer_listing(&[], &[(1, run_key(0, 1), RunEnd::Interrupted)]);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_start_in_flight_at_a_server_restart_may_have_crashed_the_server() {
    let mut harness = RunHarness::ready();

    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.announce(incarnation("s", 2));
    harness.answer_poll(PollAnswer::Unanswered);
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    for _ in 0..3 {
        harness.answer_listing_as(Some(2), &[], &[]);
    }

    insta::assert_snapshot!(harness.transcript());
}

/// Load pattern: a server crashes while stops are in flight, and another takes its address.
#[test]
fn a_late_answer_for_the_previous_server_does_not_end_the_session_with_its_successor() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.run(1);
    harness.answer_start(run_key(1, 1), StartAnswer::Unanswered);
    harness.announce(incarnation("t", 2));

    harness.answer_stop(run_key(0, 1), StopAnswer::OtherIncarnation);
    harness.answer_stop(run_key(1, 1), StopAnswer::OtherIncarnation);
    harness.discard_polls_before_latest();
    harness.answer_listing(&[], &[]);
    harness.answer_listing(&[], &[]);

    insta::assert_snapshot!(harness.transcript());
}

/// Load pattern: starts that arrive between the crash of a server and the news of it.
#[test]
fn a_start_over_a_refused_connection_is_returned_and_not_counted_as_run() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.run(1);
    harness.announce(incarnation("t", 2));

    harness.answer_start(run_key(0, 1), StartAnswer::ConnectionRefused);
    harness.answer_start(run_key(1, 1), StartAnswer::Unanswered);
    harness.answer_stop(run_key(1, 1), StopAnswer::OtherIncarnation);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_start_that_another_incarnation_rejects_has_not_run() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);
    harness.run(1);

    harness.answer_start(run_key(1, 1), StartAnswer::OtherIncarnation);

    insta::assert_snapshot!(harness.transcript());
}

/// Load pattern: a server restarts under the same id while a run is being stopped.
#[test]
fn a_stop_during_a_restart_waits_for_the_fence_and_does_not_delay_the_server() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.announce(incarnation("s", 2));

    harness.answer_stop(run_key(0, 1), StopAnswer::Fenced);
    harness.discard_polls_before_latest();
    harness.answer_listing_as(Some(2), &[], &[]);
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    harness.answer_listing_as(Some(2), &[], &[]);
    harness.answer_listing_as(Some(2), &[], &[]);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_start_in_flight_when_a_deregistered_server_restarts_may_have_run() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.deregister(incarnation("s", 1));
    harness.answer_start(run_key(0, 1), StartAnswer::Unanswered);
    harness.announce(incarnation("s", 2));

    harness.discard_polls_before_latest();
    harness.answer_listing_as(Some(2), &[], &[]);
    harness.answer_stop(run_key(0, 1), StopAnswer::Confirmed);
    harness.answer_listing_as(Some(2), &[], &[]);
    harness.answer_listing_as(Some(2), &[], &[]);

    insta::assert_snapshot!(harness.transcript());
}

/// Failure: the lease of the new incarnation is not known yet, and counts as expired.
#[test]
fn a_run_in_progress_at_a_restarted_server_is_not_reported_as_interrupted() {
    let mut harness = RunHarness::ready();
    harness.run(0);
    harness.announce(incarnation("s", 2));
    harness.answer_start(run_key(0, 1), StartAnswer::Started);

    harness.discard_polls_before_latest();
    harness.answer_listing_as(Some(2), &[run_key(0, 1)], &[]);
    harness.advance_ms(20);
    harness.answer_listing_as(Some(2), &[], &[(1, run_key(0, 1), RunEnd::Done)]);

    let transcript = harness.transcript();
    assert!(!transcript.contains("Interrupted"), "{transcript}");
    assert!(transcript.contains("finished 0 Answered"), "{transcript}");
}

/// Failure: a restarted server had seen the token of its former life and rejected all later calls.
#[test]
fn a_restarted_server_gets_a_higher_fencing_token_although_its_clock_starts_anew() {
    let mut harness = RunHarness::ready();

    harness.announce(incarnation("s", 600));
    harness.answer_poll(PollAnswer::Fenced { clock: Duration::from_millis(10) });

    insta::assert_snapshot!(harness.transcript());
}

/// Failure: a token above the readings of the worker's clock kept the server from becoming ready.
#[test]
fn a_refused_fencing_token_is_raised_until_it_is_accepted() {
    let mut harness = RunHarness::new();
    harness.announce(incarnation("s", 1));

    for _ in 0..4 {
        harness.answer_poll(PollAnswer::Fenced { clock: Duration::from_secs(5) });
    }
    harness.answer_listing(&[], &[]);

    insta::assert_snapshot!(harness.transcript());
}
