//! Golden transcripts of an entry: one line for each event that it receives and each action that it
//! takes.

mod harness;

use harness::EntryHarness;
use parsleyspool_core::entry::{ExchangeFailure, NotStartedReason, TaskReply};

#[test]
fn a_job_answered_out_of_order_returns_all_answers_in_task_order() {
    let mut harness = EntryHarness::with_servers(&["a", "b"]);

    harness.submit(1, "look", 3);
    harness.answer_task(1, 2);
    harness.answer_task(1, 0);
    harness.answer_task(1, 0);
    harness.answer_task(1, 1);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_server_that_refuses_a_task_as_leaving_receives_no_further_task() {
    let mut harness = EntryHarness::with_servers(&["a", "b"]);

    harness.submit(1, "look", 1);
    harness.refuse_task(1, 0, NotStartedReason::Leaving);
    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_reply_to_an_earlier_attempt_does_not_affect_the_current_attempt() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    harness.submit(1, "look", 1);
    let first = harness.start_of(1, 0);
    harness.refuse_task(1, 0, NotStartedReason::Full);
    harness.send_heartbeats();
    harness.reply(first, TaskReply::NotStarted(NotStartedReason::NeverReceived));
    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_task_of_a_broken_exchange_is_queried_and_not_resent_while_it_may_have_started() {
    let mut harness = EntryHarness::with_servers(&["a", "b"]);

    harness.submit(1, "look", 1);
    let start = harness.start_of(1, 0);
    harness.break_exchange(start, ExchangeFailure::MaybeSent);
    harness.advance_ms(50);
    harness.break_exchange(start, ExchangeFailure::PeerGone);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn an_expired_freshness_lease_refuses_jobs_until_the_log_is_read() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    harness.advance_ms(3_100);
    harness.submit(1, "look", 1);
    harness.read_config();
    harness.send_heartbeats();
    harness.submit(2, "look", 1);
    harness.answer_task(2, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_non_idempotent_job_starts_after_its_claim_is_won_and_resubmissions_get_its_answer() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    harness.submit(1, "redeem", 1);
    harness.submit(2, "redeem", 1);
    harness.read_claims();
    harness.answer_task(1, 0);
    harness.submit(3, "redeem", 1);
    harness.submit(4, "redeem", 2);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_job_whose_claim_is_not_confirmed_is_refused_and_its_claim_released() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    harness.set_losing_claims(true);
    harness.submit(1, "redeem", 1);
    harness.read_claims();
    harness.advance_ms(1_100);
    harness.set_losing_claims(false);
    harness.read_claims();
    harness.submit(2, "redeem", 1);
    harness.read_claims();
    harness.answer_task(2, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_failure_domain_out_of_service_receives_no_tasks_and_is_ramped_up_on_return() {
    let mut harness = EntryHarness::with_servers(&["a", "b"]);

    harness.set_domain_in_service("d-a", false);
    harness.submit(1, "look", 5);
    harness.answer_all();
    harness.set_domain_in_service("d-a", true);
    harness.advance_ms(2_500);
    harness.read_config();
    harness.send_heartbeats();
    harness.submit(2, "look", 5);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_server_that_fails_every_task_is_quarantined_and_probed() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    for waiter_id in 1..=5 {
        harness.submit(waiter_id, "look", 1);
        harness.fail_task(waiter_id, 0);
    }
    harness.submit(6, "look", 1);
    harness.advance_ms(2_100);
    harness.read_config();
    harness.send_heartbeats();
    harness.submit(7, "look", 1);
    harness.answer_task(7, 0);
    harness.submit(8, "look", 2);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn refusals_carry_their_kind_limit_values_and_version() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    harness.submit(1, "unknown", 1);
    harness.submit(2, "look", 0);
    harness.submit(3, "look", 791);
    harness.submit(4, "look", 13);
    harness.submit(5, "wide", 1);
    harness.drain();
    harness.submit(6, "look", 1);
    harness.advance_ms(50);
    harness.close_audit_log();
    harness.advance_ms(50);
    harness.advance_ms(50);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn cancelled_jobs_leave_no_tasks_in_the_queue_while_all_slots_are_busy() {
    let mut harness = EntryHarness::with_servers(&["a"]);
    harness.submit(1, "look", 4);

    for waiter_id in 2..=100 {
        harness.submit(waiter_id, "look", 8);
        harness.cancel(waiter_id);
    }

    assert_eq!(harness.queued(), 0);
}

#[test]
fn tasks_on_a_replaced_server_are_lost() {
    let mut harness = EntryHarness::with_servers(&["a"]);

    harness.submit(1, "look", 2);
    let start = harness.start_of(1, 0);
    harness.replace_server("a");
    harness.reply(start, TaskReply::Lost);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_job_submitted_before_any_server_is_known_is_queued_during_warm_up() {
    let mut harness = EntryHarness::warming_up(&["a"]);

    harness.submit(1, "look", 1);
    harness.send_heartbeats();
    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_failed_task_is_retried_on_another_server_until_its_attempts_are_exhausted() {
    let mut harness = EntryHarness::with_servers(&["a", "b"]);

    harness.submit(1, "again", 1);
    harness.fail_task(1, 0);
    harness.fail_task(1, 0);
    harness.fail_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn tasks_of_a_silent_agent_are_retried_once_their_runs_have_certainly_ended() {
    let mut harness = EntryHarness::with_run_leases(&["a", "b"]);

    harness.submit(1, "again", 1);
    let start = harness.start_of(1, 0);
    harness.break_exchange(start, ExchangeFailure::PeerGone);
    for _ in 0..6 {
        harness.advance_ms(300);
        harness.send_heartbeats_skipping_busy_server(start);
    }
    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn jobs_start_under_an_unconfirmed_configuration_if_the_settings_allow_it() {
    let mut harness = EntryHarness::with_run_leases(&["a"]);

    harness.advance_ms(3_010);
    harness.send_heartbeats();
    harness.submit(1, "again", 1);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_queued_job_is_refused_once_its_answer_is_of_no_use() {
    let mut harness = EntryHarness::with_run_leases(&["a"]);

    harness.submit(1, "urgent", 4);
    harness.submit(2, "urgent", 1);
    harness.advance_ms(200);
    harness.submit(3, "urgent", 1);
    harness.advance_ms(150);
    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn after_a_late_job_expires_unstarted_only_one_late_job_is_queued_as_a_probe() {
    let mut harness = EntryHarness::with_run_leases(&["a"]);
    harness.submit(1, "urgent", 4);
    harness.submit(2, "urgent", 1);
    harness.advance_ms(310);

    harness.submit(3, "urgent", 1);
    harness.advance_ms(10);
    harness.submit(4, "urgent", 1);
    harness.advance_ms(45);
    harness.advance_ms(10);
    harness.answer_task(1, 0);
    harness.submit(5, "urgent", 4);
    harness.advance_ms(60);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn a_partly_started_late_job_is_completed_before_other_jobs_start() {
    let mut harness = EntryHarness::with_run_leases(&["a"]);
    harness.submit(1, "urgent", 3);
    harness.submit(2, "urgent", 2);
    harness.advance_ms(60);
    harness.submit(3, "urgent", 1);

    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}

#[test]
fn late_jobs_stay_queued_during_warm_up() {
    let mut harness = EntryHarness::warming_up(&["a"]);

    harness.submit(1, "urgent", 1);
    harness.advance_ms(100);
    harness.submit(2, "urgent", 1);
    harness.advance_ms(210);
    harness.submit(3, "urgent", 1);
    harness.send_heartbeats();

    insta::assert_snapshot!(harness.transcript());
}

/// Load pattern: a task crashes every server that runs it.
#[test]
fn a_task_that_crashes_servers_is_given_up_after_three_of_them() {
    let mut harness = EntryHarness::with_run_leases(&["a", "b", "c"]);

    harness.submit(1, "again", 2);
    harness.answer_task(1, 1);
    for _ in 0..3 {
        harness.lose_server_of(1, 0);
    }

    insta::assert_snapshot!(harness.transcript());
}

/// Load pattern: the entry that started such a task has been killed, and the caller resubmits.
#[test]
fn a_resubmitted_task_that_crashed_three_servers_is_not_started() {
    let mut harness = EntryHarness::with_run_leases(&["a", "b", "c"]);
    harness.report_lost_task("a", "j.1");
    harness.report_lost_task("b", "j.1");
    harness.report_lost_task("c", "j.1");

    harness.submit(1, "again", 2);

    insta::assert_snapshot!(harness.transcript());
}

/// Load pattern: the task ran on a server that another task crashed, and was sent to a second one
/// just before that one crashed too.
#[test]
fn a_task_under_which_two_servers_were_lost_is_started_again() {
    let mut harness = EntryHarness::with_run_leases(&["a", "b", "c"]);
    harness.report_lost_task("a", "j.0");
    harness.report_lost_task("b", "j.0");

    harness.submit(1, "again", 1);
    harness.answer_task(1, 0);

    insta::assert_snapshot!(harness.transcript());
}
