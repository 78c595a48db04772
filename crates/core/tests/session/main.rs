//! Whole sessions of an entry and its agents as golden files: one line an event or action.

mod desk;

use desk::SessionDesk;
use parsleyspool_core::entry::{ExchangeFailure, NotStartedReason, TaskReply};

#[test]
fn a_job_is_placed_answered_out_of_order_and_given_back_whole() {
    let mut desk = SessionDesk::with_servers(&["a", "b"]);

    desk.submit(1, "look", 3);
    desk.answer_task(1, 2);
    desk.answer_task(1, 0);
    desk.answer_task(1, 0);
    desk.answer_task(1, 1);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_server_that_refuses_because_it_leaves_gets_no_further_task() {
    let mut desk = SessionDesk::with_servers(&["a", "b"]);

    desk.submit(1, "look", 1);
    desk.refuse_task(1, 0, NotStartedReason::Leaving);
    desk.answer_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn an_answer_about_an_earlier_start_says_nothing_of_the_present_one() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    desk.submit(1, "look", 1);
    let first = desk.start_of(1, 0);
    desk.refuse_task(1, 0, NotStartedReason::Full);
    desk.reply(first, TaskReply::NotStarted(NotStartedReason::NeverReceived));
    desk.answer_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_broken_exchange_is_asked_about_and_never_sent_again_without_proof() {
    let mut desk = SessionDesk::with_servers(&["a", "b"]);

    desk.submit(1, "look", 1);
    let start = desk.start_of(1, 0);
    desk.break_exchange(start, ExchangeFailure::MaybeSent);
    desk.pass_ms(50);
    desk.break_exchange(start, ExchangeFailure::PeerGone);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_lapsed_lease_stops_starts_and_a_read_of_the_log_resumes_them() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    desk.pass_ms(3_100);
    desk.submit(1, "look", 1);
    desk.read_log();
    desk.greet_all();
    desk.submit(2, "look", 1);
    desk.answer_task(2, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_non_idempotent_job_waits_for_its_claim_and_a_resubmission_gets_its_answer() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    desk.submit(1, "redeem", 1);
    desk.submit(2, "redeem", 1);
    desk.read_claims();
    desk.answer_task(1, 0);
    desk.submit(3, "redeem", 1);
    desk.submit(4, "redeem", 2);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_claim_that_the_log_does_not_confirm_is_refused_and_released() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    desk.set_loses_claims(true);
    desk.submit(1, "redeem", 1);
    desk.read_claims();
    desk.pass_ms(1_100);
    desk.set_loses_claims(false);
    desk.read_claims();
    desk.submit(2, "redeem", 1);
    desk.read_claims();
    desk.answer_task(2, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_failure_domain_out_moves_waiting_tasks_and_returns_in_a_ramp() {
    let mut desk = SessionDesk::with_servers(&["a", "b"]);

    desk.order_domain("d-a", false);
    desk.submit(1, "look", 5);
    desk.answer_all();
    desk.order_domain("d-a", true);
    desk.pass_ms(2_500);
    desk.read_log();
    desk.greet_all();
    desk.submit(2, "look", 5);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_server_that_fails_all_is_set_aside_and_probed() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    for ticket in 1..=5 {
        desk.submit(ticket, "look", 1);
        desk.fail_task(ticket, 0);
    }
    desk.submit(6, "look", 1);
    desk.pass_ms(2_100);
    desk.read_log();
    desk.greet_all();
    desk.submit(7, "look", 1);
    desk.answer_task(7, 0);
    desk.submit(8, "look", 2);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn refusals_state_their_kind_figures_and_version() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    desk.submit(1, "unknown", 1);
    desk.submit(2, "look", 0);
    desk.submit(3, "look", 791);
    desk.submit(4, "look", 13);
    desk.submit(5, "wide", 1);
    desk.drain();
    desk.submit(6, "look", 1);
    desk.pass_ms(50);
    desk.close_accounts();
    desk.pass_ms(50);
    desk.pass_ms(50);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn jobs_that_end_leave_nothing_in_the_queue_of_a_full_entry() {
    let mut desk = SessionDesk::with_servers(&["a"]);
    desk.submit(1, "look", 4);

    for ticket in 2..=100 {
        desk.submit(ticket, "look", 8);
        desk.cancel(ticket);
    }

    assert_eq!(desk.queued(), 0);
}

#[test]
fn a_replaced_server_loses_what_it_had() {
    let mut desk = SessionDesk::with_servers(&["a"]);

    desk.submit(1, "look", 2);
    desk.replace_server("a");

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_job_that_comes_before_any_server_is_known_waits_while_the_entry_warms_up() {
    let mut desk = SessionDesk::warming(&["a"]);

    desk.submit(1, "look", 1);
    desk.greet_all();
    desk.answer_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_failed_run_is_repeated_elsewhere_until_its_attempts_are_used_up() {
    let mut desk = SessionDesk::with_servers(&["a", "b"]);

    desk.submit(1, "again", 1);
    desk.fail_task(1, 0);
    desk.fail_task(1, 0);
    desk.fail_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn the_runs_of_a_silent_agent_are_repeated_once_they_have_surely_ended() {
    let mut desk = SessionDesk::leased(&["a", "b"]);

    desk.submit(1, "again", 1);
    let start = desk.start_of(1, 0);
    desk.break_exchange(start, ExchangeFailure::PeerGone);
    for _ in 0..6 {
        desk.pass_ms(300);
        desk.greet_others(start);
    }
    desk.answer_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn work_goes_on_unconfirmed_where_the_settings_say_so() {
    let mut desk = SessionDesk::leased(&["a"]);

    desk.pass_ms(3_010);
    desk.greet_all();
    desk.submit(1, "again", 1);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_job_that_no_server_took_while_its_answer_was_of_use_is_refused_at_once() {
    let mut desk = SessionDesk::leased(&["a"]);

    desk.submit(1, "urgent", 4);
    desk.submit(2, "urgent", 1);
    desk.pass_ms(200);
    desk.submit(3, "urgent", 1);
    desk.pass_ms(150);
    desk.answer_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn once_a_late_job_waited_in_vain_only_one_more_waits_as_a_probe() {
    let mut desk = SessionDesk::leased(&["a"]);
    desk.submit(1, "urgent", 4);
    desk.submit(2, "urgent", 1);
    desk.pass_ms(310);

    desk.submit(3, "urgent", 1);
    desk.pass_ms(10);
    desk.submit(4, "urgent", 1);
    desk.pass_ms(45);
    desk.pass_ms(10);
    desk.answer_task(1, 0);
    desk.submit(5, "urgent", 4);
    desk.pass_ms(60);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_late_job_that_has_begun_is_finished_before_others_begin() {
    let mut desk = SessionDesk::leased(&["a"]);
    desk.submit(1, "urgent", 3);
    desk.submit(2, "urgent", 2);
    desk.pass_ms(60);
    desk.submit(3, "urgent", 1);

    desk.answer_task(1, 0);

    insta::assert_snapshot!(desk.story());
}

#[test]
fn a_late_job_waits_on_while_the_entry_warms_up() {
    let mut desk = SessionDesk::warming(&["a"]);

    desk.submit(1, "urgent", 1);
    desk.pass_ms(100);
    desk.submit(2, "urgent", 1);
    desk.pass_ms(210);
    desk.submit(3, "urgent", 1);
    desk.greet_all();

    insta::assert_snapshot!(desk.story());
}
