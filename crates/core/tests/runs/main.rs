//! Sessions of an agent with a worker that gives leases, as golden files.

mod harness;

use harness::{RunDesk, incarnation, key};
use parsleyspool_core::run::{PollAnswer, RunEnd, StartAnswer, StartRefusal, StopAnswer};
use std::time::Duration;

#[test]
fn a_server_is_ready_after_its_orphaned_runs_are_stopped_under_a_higher_fence() {
    let mut desk = RunDesk::new();

    desk.announce(incarnation("s", 1));
    desk.answer_look(PollAnswer::Fenced { clock: Duration::from_secs(510) });
    desk.list(&[key(7, 3)], &[]);
    desk.answer_stop(key(7, 3), StopAnswer::Unanswered);
    desk.answer_stop(key(7, 3), StopAnswer::Confirmed);
    desk.list(&[], &[(1, key(7, 3), RunEnd::Interrupted)]);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_run_is_started_and_polled_under_a_lease_and_its_end_is_acknowledged() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    desk.pass_ms(200);
    desk.list(&[key(0, 1)], &[]);
    desk.pass_ms(60);
    desk.list(&[], &[(1, key(0, 1), RunEnd::Done)]);
    desk.list(&[], &[]);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn an_unanswered_start_is_finished_only_after_its_stop_is_confirmed() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.pass_ms(200);
    desk.answer_start(key(0, 1), StartAnswer::Unanswered);
    desk.answer_stop(key(0, 1), StopAnswer::Unanswered);
    desk.pass_ms(3_000);
    desk.answer_stop(key(0, 1), StopAnswer::Confirmed);
    desk.pass_ms(1);
    desk.list(&[], &[]);
    desk.list(&[], &[]);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_run_number_used_by_an_earlier_agent_is_replaced_by_a_higher_number() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Refused(StartRefusal::NotNewer));
    desk.answer_start(key(0, 3), StartAnswer::Started);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn runs_of_an_unresponsive_worker_end_when_their_lease_expires() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    desk.answer_look(PollAnswer::Unanswered);
    desk.pass_ms(600);
    desk.pass_ms(200);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_server_restart_under_the_same_id_ends_the_runs_that_are_not_listed() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    desk.pass_ms(50);
    desk.run(1);
    desk.list_of(Some(2), &[], &[]);
    desk.answer_start(key(1, 1), StartAnswer::Started);
    desk.pass_ms(10);
    desk.list_of(Some(2), &[key(1, 1)], &[]);
    desk.list_of(Some(2), &[key(1, 1)], &[]);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_different_server_at_the_address_ends_all_runs_of_the_previous_server() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    desk.announce(incarnation("t", 2));
    desk.answer_look(PollAnswer::OtherLife);
    desk.announce(incarnation("s", 1));

    insta::assert_snapshot!(desk.story());
}

#[test]
fn the_lease_of_a_deregistered_server_is_not_renewed() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    desk.leave(incarnation("s", 1));
    desk.answer_look(PollAnswer::Unanswered);
    desk.pass_ms(800);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_stop_during_a_start_is_sent_after_the_start_is_answered() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.stop(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    desk.answer_stop(key(0, 1), StopAnswer::Confirmed);
    desk.list(&[], &[(1, key(0, 1), RunEnd::Interrupted)]);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_run_without_progress_is_stopped() {
    let mut desk = RunDesk::settled();

    desk.run(0);
    desk.answer_start(key(0, 1), StartAnswer::Started);
    for _ in 0..4 {
        desk.pass_ms(200);
        desk.list(&[key(0, 1)], &[]);
    }
    desk.answer_stop(key(0, 1), StopAnswer::Confirmed);
    desk.list(&[], &[(1, key(0, 1), RunEnd::Interrupted)]);

    insta::assert_snapshot!(desk.story());
}
