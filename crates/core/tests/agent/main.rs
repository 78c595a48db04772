//! Tests of the agent: leases, attempts, cancellations, queue and server state.

mod confirmation;
mod run_deadline;
mod server_numbers;
mod start_leases;

use bytes::Bytes;
use parsleyspool_core::agent::{
    AgentAction, AgentEvent, AgentLimits, AgentMachine, RunResult, ServerAvailability,
};
use parsleyspool_core::entry::{
    AgentDirective, InterruptCause, NotStartedReason, StartRequest, TaskReply,
};
use parsleyspool_core::id::{SubmissionId, TaskId, submission_id, task_name};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::Moment;
use std::time::Duration;

const ENTRY_INCARNATION: u64 = 7;
const AGENT_INCARNATION: u64 = 9;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at(elapsed_ms: u64) -> Moment {
    Moment::new(millis(elapsed_ms), millis(elapsed_ms))
}

/// Agent that runs tasks only under a lease. It has received no directive, and its server has four
/// slots.
fn leased_agent() -> AgentMachine {
    let limits = AgentLimits {
        capacity: ResourceAmounts::default(),
        is_leased: true,
        queue_slots: 4,
        ..AgentLimits::default()
    };
    let mut agent = AgentMachine::new(AGENT_INCARNATION, limits);
    let capacity = ResourceAmounts { slots: 4, memory_mb: 100, accelerators: 0 };
    agent.handle(
        AgentEvent::ServerAvailable(ServerAvailability { capacity, is_leaving: false }),
        at(0),
    );
    agent
}

/// Delivers the answer to a heartbeat sent at `sent_ms`, which grants a run lease of 900 ms.
fn renew_lease(agent: &mut AgentMachine, sent_ms: u64) {
    answer_heartbeat(agent, sent_ms, Vec::new());
}

/// Like [`renew_lease`], with the submissions that the entry no longer works on.
fn answer_heartbeat(
    agent: &mut AgentMachine,
    sent_ms: u64,
    ended_submissions: Vec<SubmissionId>,
) -> Vec<AgentAction> {
    let directive = AgentDirective {
        entry_incarnation: ENTRY_INCARNATION,
        version: 1,
        is_in_service: true,
        is_leaving: false,
        valid_for: millis(3_000),
        confirmed_age: None,
        heartbeat_interval: millis(300),
        renewal_interval: millis(300),
        run_lease: Some(millis(900)),
        ended_submissions,
    };
    agent.handle(AgentEvent::Directive { directive, sent_at: millis(sent_ms) }, at(sent_ms))
}

fn start_request(index: u32, attempt: u32, demand: ResourceAmounts) -> StartRequest {
    StartRequest {
        task: TaskId::new(submission_id(ENTRY_INCARNATION, 1), index),
        attempt,
        incarnation: AGENT_INCARNATION,
        service: "s".into(),
        job: "j".into(),
        request_name: "look".into(),
        demand,
        may_stop: true,
        queue_penalty: Duration::ZERO,
        payload: Bytes::new(),
        version: 1,
        permit_until: millis(3_000),
        confirmation: None,
        run_lease_until: None,
        start_before: millis(60_000),
    }
}

fn send_start(agent: &mut AgentMachine, request: StartRequest, now_ms: u64) -> Vec<AgentAction> {
    agent.handle(AgentEvent::Start { entry: "e".into(), request }, at(now_ms))
}

fn slots(count: u32) -> ResourceAmounts {
    ResourceAmounts { slots: count, memory_mb: 10, accelerators: 0 }
}

fn one_slot() -> ResourceAmounts {
    slots(1)
}

fn replies(actions: &[AgentAction]) -> Vec<TaskReply> {
    let reply = |action: &AgentAction| match action {
        AgentAction::ReplyToSender { reply, .. } | AgentAction::ReplyToWaiters { reply, .. } => {
            Some(reply.clone())
        }
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

fn count_runs(actions: &[AgentAction]) -> usize {
    actions.iter().filter(|action| matches!(action, AgentAction::Run(_))).count()
}

fn count_stops(actions: &[AgentAction]) -> usize {
    actions.iter().filter(|action| matches!(action, AgentAction::Stop { .. })).count()
}

#[test]
fn a_task_runs_only_while_its_entry_answers_heartbeats() {
    let mut agent = leased_agent();

    let unleased = send_start(&mut agent, start_request(0, 1, one_slot()), 10);
    renew_lease(&mut agent, 20);
    let started = send_start(&mut agent, start_request(1, 1, one_slot()), 30);
    let before = agent.handle(AgentEvent::Tick, at(919));
    let after = agent.handle(AgentEvent::Tick, at(921));
    let again = agent.handle(AgentEvent::Tick, at(1_021));

    assert_eq!(replies(&unleased), [TaskReply::NotStarted(NotStartedReason::PermitLapsed)]);
    assert_eq!(count_runs(&started), 1);
    assert_eq!((count_stops(&before), count_stops(&after), count_stops(&again)), (0, 1, 0));
}

#[test]
fn a_failed_task_is_started_again_only_under_a_later_attempt() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let first = start_request(0, 1, one_slot());
    send_start(&mut agent, first.clone(), 10);
    let result = RunResult::Failed;
    agent.handle(AgentEvent::Finished { task: first.task, result }, at(20));

    let duplicate = send_start(&mut agent, first, 30);
    let retry = send_start(&mut agent, start_request(0, 2, one_slot()), 40);

    assert_eq!(replies(&duplicate), [TaskReply::Failed { run_time: millis(10) }]);
    assert_eq!(count_runs(&retry), 1);
}

#[test]
fn a_start_that_arrives_after_its_cancel_is_refused() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let task = start_request(0, 1, one_slot()).task;

    agent.handle(AgentEvent::Cancel { task }, at(10));
    let actions = send_start(&mut agent, start_request(0, 2, one_slot()), 11);

    assert_eq!(replies(&actions), [TaskReply::NotStarted(NotStartedReason::Cancelled)]);
}

/// Failure: a cancellation is lost in a silent connection, and the caller submits the job again while
/// the run goes on.
#[test]
fn tasks_whose_cancellation_was_lost_end_with_the_next_heartbeat() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let running = start_request(0, 1, slots(4));
    let submission = running.task.submission;
    send_start(&mut agent, running, 10);
    send_start(&mut agent, start_request(1, 1, one_slot()), 20);

    let held = agent.held_submissions("e");
    let ended = answer_heartbeat(&mut agent, 300, held.clone());
    let still_held = agent.held_submissions("e");
    let again = answer_heartbeat(&mut agent, 600, still_held.clone());

    assert_eq!((&held, &still_held), (&vec![submission], &vec![submission]));
    assert_eq!((count_stops(&ended), count_stops(&again)), (1, 0));
    assert_eq!(replies(&ended), [TaskReply::NotStarted(NotStartedReason::Cancelled)]);
    assert!(agent.held_submissions("f").is_empty(), "lists only submissions of the receiver");
}

#[test]
fn a_run_that_is_being_stopped_holds_its_slots_and_memory_until_it_ends() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let large = ResourceAmounts { slots: 1, memory_mb: 60, accelerators: 0 };
    let first = start_request(0, 1, large);
    send_start(&mut agent, first.clone(), 10);

    agent.handle(AgentEvent::Cancel { task: first.task }, at(20));
    let waiting = send_start(&mut agent, start_request(1, 1, large), 30);
    let result = RunResult::Interrupted(InterruptCause::Stopped);
    let freed = agent.handle(AgentEvent::Finished { task: first.task, result }, at(40));

    assert_eq!((count_runs(&waiting), count_runs(&freed)), (0, 1));
}

#[test]
fn an_agent_that_lost_its_server_refuses_starts_and_reports_earlier_runs_as_pending() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);

    agent.handle(AgentEvent::ServerLost, at(10));
    let refused = send_start(&mut agent, start_request(0, 1, one_slot()), 20);
    let mut earlier_start = start_request(0, 1, one_slot()).start_id();
    earlier_start.incarnation = AGENT_INCARNATION - 1;
    let query = AgentEvent::Query { entry: "e".into(), start: earlier_start, sent_at: millis(0) };
    let answer = agent.handle(query, at(30));

    assert_eq!(replies(&refused), [TaskReply::NotStarted(NotStartedReason::Leaving)]);
    assert_eq!(replies(&answer), [TaskReply::Pending]);
}

#[test]
fn tasks_queued_for_an_unresponsive_server_are_returned_and_starts_are_refused() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let all_slots = slots(4);
    send_start(&mut agent, start_request(0, 1, all_slots), 10);
    send_start(&mut agent, start_request(1, 1, one_slot()), 20);

    let returned = agent.handle(AgentEvent::ServerUnresponsive, at(500));
    let refused = send_start(&mut agent, start_request(2, 1, one_slot()), 510);
    let was_leaving = agent.is_leaving();
    agent.handle(AgentEvent::ServerResponsive, at(600));

    let no_connection = TaskReply::NotStarted(NotStartedReason::NoConnection);
    assert_eq!(replies(&returned), std::slice::from_ref(&no_connection));
    assert_eq!(replies(&refused), [no_connection]);
    assert!(was_leaving);
    assert!(!agent.is_leaving());
}

#[test]
fn tasks_queued_behind_stuck_runs_that_hold_all_slots_are_returned() {
    let mut agent = leased_agent();
    let all_slots = agent.capacity();
    renew_lease(&mut agent, 0);
    let mut stuck = start_request(0, 1, all_slots);
    stuck.start_before = millis(300);
    send_start(&mut agent, stuck, 0);
    send_start(&mut agent, start_request(1, 1, one_slot()), 10);
    renew_lease(&mut agent, 290);

    let returned = agent.handle(AgentEvent::Tick, at(310));
    let refused = send_start(&mut agent, start_request(2, 1, one_slot()), 320);

    let full = [TaskReply::NotStarted(NotStartedReason::Full)];
    assert_eq!(replies(&returned), full);
    assert_eq!(replies(&refused), full);
    assert_eq!(agent.admission_slots(), all_slots.slots);
}

/// Failure: an agent that stood still reads the end of a run first and starts the next queued task,
/// although its entry has given the task to another server.
#[test]
fn a_queued_task_whose_lease_expired_does_not_start_when_a_run_ends() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let first = start_request(0, 1, slots(4));
    send_start(&mut agent, first.clone(), 10);
    send_start(&mut agent, start_request(1, 1, one_slot()), 20);

    let result = RunResult::Interrupted(InterruptCause::LeaseExpired);
    let resumed = agent.handle(AgentEvent::Finished { task: first.task, result }, at(2_000));

    assert_eq!(count_runs(&resumed), 0);
    assert!(replies(&resumed).contains(&TaskReply::NotStarted(NotStartedReason::PermitLapsed)));
}

/// Announces the server anew with this number of slots.
fn resize_server(agent: &mut AgentMachine, slots: u32, at_ms: u64) -> Vec<AgentAction> {
    let capacity = ResourceAmounts { slots, memory_mb: 100, accelerators: 0 };
    let availability = ServerAvailability { capacity, is_leaving: false };
    agent.handle(AgentEvent::ServerAvailable(availability), at(at_ms))
}

/// Load pattern: the capacity of a server shrinks below the demand of the first queued task.
#[test]
fn a_queued_task_that_no_longer_fits_the_server_is_returned_and_does_not_block_the_queue() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let first = start_request(0, 1, slots(2));
    send_start(&mut agent, first.clone(), 10);
    send_start(&mut agent, start_request(1, 1, slots(3)), 20);
    send_start(&mut agent, start_request(2, 1, slots(2)), 30);

    let shrunk = resize_server(&mut agent, 2, 40);
    let refused = send_start(&mut agent, start_request(3, 1, slots(3)), 50);
    let result = RunResult::Answered(Bytes::new());
    let freed = agent.handle(AgentEvent::Finished { task: first.task, result }, at(60));

    let full = [TaskReply::NotStarted(NotStartedReason::Full)];
    assert_eq!(replies(&shrunk), full);
    assert_eq!(replies(&refused), full);
    assert_eq!(count_runs(&freed), 1);
}

#[test]
fn a_server_that_shrank_below_its_runs_starts_nothing_until_enough_of_them_have_ended() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let running: Vec<_> = (0..4).map(|index| start_request(index, 1, one_slot())).collect();
    for request in &running {
        send_start(&mut agent, request.clone(), 10);
    }
    send_start(&mut agent, start_request(4, 1, one_slot()), 20);

    let shrunk = resize_server(&mut agent, 2, 30);
    let ends: Vec<usize> = running[..3]
        .iter()
        .map(|request| {
            let result = RunResult::Interrupted(InterruptCause::Stopped);
            count_runs(&agent.handle(AgentEvent::Finished { task: request.task, result }, at(40)))
        })
        .collect();

    assert_eq!(count_runs(&shrunk), 0);
    assert_eq!(ends, [0, 0, 1]);
}

#[test]
fn a_task_queued_when_its_lease_expired_is_not_started_after_the_renewal() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let all_slots = slots(4);
    let first = start_request(0, 1, all_slots);
    send_start(&mut agent, first.clone(), 10);
    send_start(&mut agent, start_request(1, 1, one_slot()), 20);

    renew_lease(&mut agent, 3_000);
    let result = RunResult::Interrupted(InterruptCause::Stopped);
    let freed = agent.handle(AgentEvent::Finished { task: first.task, result }, at(3_010));

    assert_eq!(count_runs(&freed), 0);
    assert_eq!(agent.task_count(), 0);
}

#[test]
fn a_task_that_ran_when_the_server_was_lost_is_listed_for_a_while() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    let lost = start_request(0, 1, one_slot());
    let silent = start_request(1, 1, one_slot());
    let stopped = start_request(2, 1, one_slot());
    for request in [&lost, &silent, &stopped] {
        send_start(&mut agent, request.clone(), 10);
    }

    let result = RunResult::Interrupted(InterruptCause::ServerLost);
    agent.handle(AgentEvent::Finished { task: lost.task, result }, at(20));
    let result = RunResult::Interrupted(InterruptCause::LeaseExpired);
    agent.handle(AgentEvent::Finished { task: silent.task, result }, at(20));
    let result = RunResult::Interrupted(InterruptCause::Stopped);
    agent.handle(AgentEvent::Finished { task: stopped.task, result }, at(20));
    agent.handle(AgentEvent::Tick, at(25_000));
    let listed = agent.lost_tasks();
    agent.handle(AgentEvent::Tick, at(31_000));

    assert_eq!(listed, [task_name(&lost.job, 0)]);
    assert!(agent.lost_tasks().is_empty());
}
