//! Golden transcripts and random schedules of sessions between an agent and a worker that requires
//! leases.

mod harness;
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

/// Failure: the bound counts the lease that the agent asks for, and not the longest hold, from its last
/// call on.
#[test]
fn a_run_is_not_over_before_the_longest_hold_after_the_last_call() {
    let mut harness = RunHarness::ready();
    harness.advance_ms(500);
    harness.run(0);
    harness.answer_start(run_key(0, 1), StartAnswer::Started);

    harness.advance_ms(1_070);
    let within_hold = harness.transcript().to_owned();
    harness.advance_ms(20);

    assert!(!within_hold.contains("finished"), "{within_hold}");
    assert!(harness.transcript().contains("LeaseExpired"), "{}", harness.transcript());
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

    harness.advance_ms(1_070);
    let within_hold = harness.transcript().to_owned();
    harness.advance_ms(20);

    assert!(!within_hold.contains("finished"), "{within_hold}");
    assert!(harness.transcript().contains("LeaseExpired"), "{}", harness.transcript());
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
