//! Leases of entries at an agent, repeats of tasks, and routes.

use bytes::Bytes;
use parsleyspool_core::agent::{
    AgentAction, AgentEvent, AgentLimits, AgentMachine, RunResult, ServerAvailability,
};
use parsleyspool_core::config::{Configuration, RouteRule};
use parsleyspool_core::entry::{AgentDirective, NotStartedReason, StartRequest, TaskReply};
use parsleyspool_core::id::{TaskId, submission_id};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::route::RouteTable;
use parsleyspool_core::time::Moment;
use std::time::Duration;

const ENTRY: u64 = 7;
const AGENT: u64 = 9;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(elapsed: u64) -> Moment {
    Moment::new(millis(elapsed), millis(elapsed))
}

fn leased_agent() -> AgentMachine {
    let limits = AgentLimits {
        capacity: ResourceAmounts::default(),
        is_leased: true,
        queue_slots: 4,
        ..AgentLimits::default()
    };
    let mut agent = AgentMachine::new(AGENT, limits);
    let capacity = ResourceAmounts { slots: 4, memory_mb: 100, accelerators: 0 };
    agent.handle(
        AgentEvent::ServerAvailable(ServerAvailability { capacity, is_leaving: false }),
        at(0),
    );
    agent
}

fn renew(agent: &mut AgentMachine, sent: u64) {
    let directive = AgentDirective {
        entry_incarnation: ENTRY,
        version: 1,
        is_in_service: true,
        is_leaving: false,
        valid_for: millis(3_000),
        heartbeat_interval: millis(300),
        run_lease: Some(millis(900)),
    };
    agent.handle(AgentEvent::Directive { directive, sent_at: millis(sent) }, at(sent));
}

fn start_request(index: u32, attempt: u32, demand: ResourceAmounts) -> StartRequest {
    StartRequest {
        task: TaskId::new(submission_id(ENTRY, 1), index),
        attempt,
        incarnation: AGENT,
        service: "s".into(),
        job: "j".into(),
        request_name: "look".into(),
        demand,
        may_stop: true,
        queue_penalty: Duration::ZERO,
        payload: Bytes::new(),
        version: 1,
        permit_until: millis(3_000),
        start_before: millis(60_000),
    }
}

fn start(agent: &mut AgentMachine, request: StartRequest, now: u64) -> Vec<AgentAction> {
    agent.handle(AgentEvent::Start { entry: "e".into(), request }, at(now))
}

fn one_slot() -> ResourceAmounts {
    ResourceAmounts { slots: 1, memory_mb: 10, accelerators: 0 }
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

fn runs(actions: &[AgentAction]) -> usize {
    actions.iter().filter(|action| matches!(action, AgentAction::Run(_))).count()
}

fn stops(actions: &[AgentAction]) -> usize {
    actions.iter().filter(|action| matches!(action, AgentAction::Stop { .. })).count()
}

#[test]
fn a_task_runs_only_while_its_entry_answers_heartbeats() {
    let mut agent = leased_agent();

    let unleased = start(&mut agent, start_request(0, 1, one_slot()), 10);
    renew(&mut agent, 20);
    let started = start(&mut agent, start_request(1, 1, one_slot()), 30);
    let before = agent.handle(AgentEvent::Tick, at(919));
    let after = agent.handle(AgentEvent::Tick, at(921));
    let again = agent.handle(AgentEvent::Tick, at(1_021));

    assert_eq!(replies(&unleased), [TaskReply::NotStarted(NotStartedReason::PermitLapsed)]);
    assert_eq!(runs(&started), 1);
    assert_eq!((stops(&before), stops(&after), stops(&again)), (0, 1, 0));
}

#[test]
fn a_task_whose_run_failed_is_started_again_under_a_later_attempt_only() {
    let mut agent = leased_agent();
    renew(&mut agent, 0);
    let first = start_request(0, 1, one_slot());
    start(&mut agent, first.clone(), 10);
    let result = RunResult::Failed;
    agent.handle(AgentEvent::Finished { task: first.task, result }, at(20));

    let copy = start(&mut agent, first, 30);
    let second = start(&mut agent, start_request(0, 2, one_slot()), 40);

    assert_eq!(replies(&copy), [TaskReply::Failed { run_time: millis(10) }]);
    assert_eq!(runs(&second), 1);
}

#[test]
fn a_cancel_that_overtakes_its_start_forbids_it() {
    let mut agent = leased_agent();
    renew(&mut agent, 0);
    let task = start_request(0, 1, one_slot()).task;

    agent.handle(AgentEvent::Cancel { task }, at(10));
    let actions = start(&mut agent, start_request(0, 2, one_slot()), 11);

    assert_eq!(replies(&actions), [TaskReply::NotStarted(NotStartedReason::Cancelled)]);
}

#[test]
fn what_is_being_stopped_still_takes_its_room_in_processor_and_memory() {
    let mut agent = leased_agent();
    renew(&mut agent, 0);
    let wide = ResourceAmounts { slots: 1, memory_mb: 60, accelerators: 0 };
    let first = start_request(0, 1, wide);
    start(&mut agent, first.clone(), 10);

    agent.handle(AgentEvent::Cancel { task: first.task }, at(20));
    let waiting = start(&mut agent, start_request(1, 1, wide), 30);
    let result = RunResult::Interrupted;
    let freed = agent.handle(AgentEvent::Finished { task: first.task, result }, at(40));

    assert_eq!((runs(&waiting), runs(&freed)), (0, 1));
}

#[test]
fn a_server_that_withdraws_starts_nothing_and_says_nothing_of_earlier_runs() {
    let mut agent = leased_agent();
    renew(&mut agent, 0);

    agent.handle(AgentEvent::ServerLost, at(10));
    let refused = start(&mut agent, start_request(0, 1, one_slot()), 20);
    let mut asked = start_request(0, 1, one_slot()).start_id();
    asked.incarnation = AGENT - 1;
    let ask = AgentEvent::Query { entry: "e".into(), start: asked, sent_at: millis(0) };
    let answer = agent.handle(ask, at(30));

    assert_eq!(replies(&refused), [TaskReply::NotStarted(NotStartedReason::Leaving)]);
    assert_eq!(replies(&answer), [TaskReply::Pending]);
}

#[test]
fn what_waits_for_a_silent_server_is_given_back_and_nothing_more_is_taken() {
    let mut agent = leased_agent();
    renew(&mut agent, 0);
    let whole = ResourceAmounts { slots: 4, memory_mb: 10, accelerators: 0 };
    start(&mut agent, start_request(0, 1, whole), 10);
    start(&mut agent, start_request(1, 1, one_slot()), 20);

    let returned = agent.handle(AgentEvent::ServerUnresponsive, at(500));
    let refused = start(&mut agent, start_request(2, 1, one_slot()), 510);
    let was_leaving = agent.is_leaving();
    agent.handle(AgentEvent::ServerResponsive, at(600));

    let no_connection = TaskReply::NotStarted(NotStartedReason::NoConnection);
    assert_eq!(replies(&returned), std::slice::from_ref(&no_connection));
    assert_eq!(replies(&refused), [no_connection]);
    assert!(was_leaving);
    assert!(!agent.is_leaving());
}

#[test]
fn what_waits_behind_runs_that_nobody_waits_for_is_given_back() {
    let mut agent = leased_agent();
    let whole = agent.capacity();
    renew(&mut agent, 0);
    let mut stuck = start_request(0, 1, whole);
    stuck.start_before = millis(300);
    start(&mut agent, stuck, 0);
    start(&mut agent, start_request(1, 1, one_slot()), 10);
    renew(&mut agent, 290);

    let given_back = agent.handle(AgentEvent::Tick, at(310));
    let refused = start(&mut agent, start_request(2, 1, one_slot()), 320);

    let full = [TaskReply::NotStarted(NotStartedReason::Full)];
    assert_eq!(replies(&given_back), full);
    assert_eq!(replies(&refused), full);
    assert_eq!(agent.admission_slots(), whole.slots);
}

#[test]
fn a_task_that_waited_over_the_end_of_the_lease_is_not_started_after_its_renewal() {
    let mut agent = leased_agent();
    renew(&mut agent, 0);
    let whole = ResourceAmounts { slots: 4, memory_mb: 10, accelerators: 0 };
    let first = start_request(0, 1, whole);
    start(&mut agent, first.clone(), 10);
    start(&mut agent, start_request(1, 1, one_slot()), 20);

    renew(&mut agent, 3_000);
    let result = RunResult::Interrupted;
    let freed = agent.handle(AgentEvent::Finished { task: first.task, result }, at(3_010));

    assert_eq!(runs(&freed), 0);
    assert_eq!(agent.task_count(), 0);
}

#[test]
fn the_longest_prefix_at_the_host_is_the_route() {
    let rule = |host: &str, prefix: &str, request: &str| RouteRule {
        host: host.into(),
        path_prefix: prefix.into(),
        service: "s".into(),
        request: request.into(),
    };
    let configuration = Configuration {
        version: 3,
        routes: vec![rule("h", "/a/", "short"), rule("h", "/a/b/", "long"), rule("g", "/", "g")],
        ..Configuration::default()
    };
    let table = RouteTable::new(&configuration);
    let cases = [
        ("h", "/a/b/1", Some(("long", "1"))),
        ("H:80", "/a/1", Some(("short", "1"))),
        ("h", "/c/1", None),
        ("g", "/c/1", Some(("g", "c/1"))),
        ("i", "/a/1", None),
    ];

    for (host, path, expected) in cases {
        let found = table.find(host, path);
        let found = found.as_ref().map(|found| (&*found.rule.request, found.suffix));
        assert_eq!(found, expected, "{host}{path}");
    }
}
