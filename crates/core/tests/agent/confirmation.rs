//! Starts while no entry can confirm the configuration: when an agent checks its failure domain itself,
//! and what a start does meanwhile.

use super::{
    AGENT_INCARNATION, ENTRY_INCARNATION, at, count_runs, millis, one_slot, replies, send_start,
    start_request,
};
use parsleyspool_core::agent::{
    AgentAction, AgentEvent, AgentLimits, AgentMachine, CHECK_FAILURE_VALIDITY, CHECK_HOLD,
    CHECK_RETRY_DELAY, ConfirmationLimits, DomainReading, RunResult,
};
use parsleyspool_core::entry::{AgentDirective, NotStartedReason, StartRequest, TaskReply};
use parsleyspool_core::freshness::VersionConfirmation;
use parsleyspool_core::id::TaskId;
use parsleyspool_core::resources::ResourceAmounts;
use std::time::Duration;

const CHECK_AFTER: Duration = Duration::from_millis(3_000);
const START_FOR: Duration = Duration::from_millis(4_500);
const VERSION: u64 = 5;
/// Time of the latest confirmation by an entry, in milliseconds.
const CONFIRMED_MS: u64 = 1_000;

/// Whether the agent reaches the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogAccess {
    Some,
    None,
}

/// Agent to which an entry confirmed [`VERSION`] at [`CONFIRMED_MS`] for the last time.
fn confirmed_agent(access: LogAccess) -> AgentMachine {
    let confirmation = ConfirmationLimits {
        check_after: CHECK_AFTER,
        start_for: START_FOR,
        can_check: access == LogAccess::Some,
    };
    let limits = AgentLimits {
        capacity: ResourceAmounts { slots: 8, memory_mb: 1_000, accelerators: 0 },
        confirmation,
        ..AgentLimits::default()
    };
    let mut agent = AgentMachine::new(AGENT_INCARNATION, limits);
    answer_heartbeat(&mut agent, CONFIRMED_MS, Duration::ZERO);
    agent
}

/// Delivers a directive of an entry whose confirmation has the age `confirmed_age`.
fn answer_heartbeat(agent: &mut AgentMachine, sent_ms: u64, confirmed_age: Duration) {
    let directive = AgentDirective {
        entry_incarnation: ENTRY_INCARNATION,
        version: VERSION,
        is_in_service: true,
        is_leaving: false,
        valid_for: millis(3_000),
        confirmed_age: Some(confirmed_age),
        heartbeat_interval: millis(300),
        renewal_interval: millis(300),
        run_lease: None,
        ended_submissions: Vec::new(),
    };
    agent.handle(AgentEvent::Directive { directive, sent_at: millis(sent_ms) }, at(sent_ms));
}

/// Start by an entry whose latest confirmation is that at [`CONFIRMED_MS`].
fn unconfirmed_start(index: u32, now_ms: u64) -> StartRequest {
    StartRequest {
        version: VERSION,
        permit_until: millis(now_ms + 3_000),
        start_before: millis(now_ms + 60_000),
        confirmation: Some(VersionConfirmation::at(millis(CONFIRMED_MS))),
        ..start_request(index, 1, one_slot())
    }
}

fn start_at(agent: &mut AgentMachine, index: u32, now_ms: u64) -> Vec<AgentAction> {
    send_start(agent, unconfirmed_start(index, now_ms), now_ms)
}

fn checks(actions: &[AgentAction]) -> Vec<DomainReading> {
    let check = |action: &AgentAction| match action {
        AgentAction::CheckDomain(known) => Some(*known),
        _ => None,
    };
    actions.iter().filter_map(check).collect()
}

fn end_check(
    agent: &mut AgentMachine,
    reading: Option<DomainReading>,
    sent_ms: u64,
    now_ms: u64,
) -> Vec<AgentAction> {
    let sent_at = millis(sent_ms);
    agent.handle(AgentEvent::DomainChecked { reading, sent_at }, at(now_ms))
}

fn in_service(version: u64) -> Option<DomainReading> {
    Some(DomainReading { version, is_in_service: true })
}

fn out_of_service(version: u64) -> Option<DomainReading> {
    Some(DomainReading { version, is_in_service: false })
}

/// Failure (review/12): no entry reads the log, the domain of the agent is taken out of service, and its
/// starts go on until an entry reads the log again.
#[test]
fn an_agent_whose_entries_cannot_read_the_log_notices_that_its_domain_is_out_of_service() {
    let mut agent = confirmed_agent(LogAccess::Some);

    let early = start_at(&mut agent, 0, 3_999);
    let checking = start_at(&mut agent, 1, 4_000);
    end_check(&mut agent, out_of_service(VERSION + 1), 4_000, 4_010);
    let late = start_at(&mut agent, 2, 4_020);

    assert_eq!((count_runs(&early), checks(&early).len()), (1, 0));
    assert_eq!(count_runs(&checking), 1);
    assert_eq!(checks(&checking), [DomainReading { version: VERSION, is_in_service: true }]);
    assert_eq!(replies(&late), [TaskReply::NotStarted(NotStartedReason::DomainOut)]);
    assert!(agent.is_leaving(), "the entries, which do not know, place nothing here");
}

/// Failure (review/12): the first start after a long pause is that of an entry that knows nothing new.
#[test]
fn a_start_without_a_recent_confirmation_waits_for_the_check() {
    let mut agent = confirmed_agent(LogAccess::Some);

    let held = start_at(&mut agent, 0, 60_000);
    let ticked = agent.handle(AgentEvent::Tick, at(60_005));
    let refused = end_check(&mut agent, out_of_service(VERSION + 1), 60_000, 60_010);

    assert_eq!((count_runs(&held), checks(&held).len()), (0, 1));
    assert_eq!((count_runs(&ticked), checks(&ticked).len()), (0, 0));
    assert_eq!(replies(&refused), [TaskReply::NotStarted(NotStartedReason::DomainOut)]);
}

#[test]
fn starts_go_on_after_a_check_that_found_the_domain_in_service() {
    let mut agent = confirmed_agent(LogAccess::Some);
    start_at(&mut agent, 0, 60_000);

    let checked = end_check(&mut agent, in_service(VERSION), 60_000, 60_010);
    let later = start_at(&mut agent, 1, 62_999);
    let next = start_at(&mut agent, 2, 63_000);

    assert_eq!(count_runs(&checked), 1);
    assert_eq!((count_runs(&later), checks(&later).len()), (1, 0));
    assert_eq!((count_runs(&next), checks(&next).len()), (1, 1));
}

/// Failure: the log is unavailable to everyone, and service stops.
#[test]
fn starts_go_on_while_the_log_answers_nobody() {
    let mut agent = confirmed_agent(LogAccess::Some);
    let mut runs = 0;
    let mut check_count = 0;

    for index in 0..60 {
        let now_ms = 60_000 + u64::from(index) * 100;
        let actions = start_at(&mut agent, index, now_ms);
        runs += count_runs(&actions);
        if !checks(&actions).is_empty() {
            check_count += 1;
            runs += count_runs(&end_check(&mut agent, None, now_ms, now_ms + 50));
        }
        for task in started_tasks(&actions) {
            finish(&mut agent, task, now_ms + 60);
        }
    }

    assert_eq!(runs, 60);
    assert_eq!(check_count, 6, "one check a second");
}

/// Failure: the log is silent, and the first start after a pause waits for its time limit.
#[test]
fn a_start_waits_for_a_silent_log_only_briefly() {
    let mut agent = confirmed_agent(LogAccess::Some);
    let hold_end = 60_000 + CHECK_HOLD.as_millis() as u64;

    start_at(&mut agent, 0, 60_000);
    let before = agent.handle(AgentEvent::Tick, at(hold_end - 1));
    let after = agent.handle(AgentEvent::Tick, at(hold_end));

    assert_eq!((count_runs(&before), count_runs(&after)), (0, 1));
}

/// A failure of the log is no reason to start anything once it may have answered again.
#[test]
fn a_start_waits_again_some_time_after_a_failed_check() {
    let mut agent = confirmed_agent(LogAccess::Some);
    start_at(&mut agent, 0, 60_000);
    end_check(&mut agent, None, 60_000, 60_010);
    let retry_ms = 60_010 + CHECK_RETRY_DELAY.as_millis() as u64;
    let expired_ms = 60_010 + CHECK_FAILURE_VALIDITY.as_millis() as u64;

    let retrying = start_at(&mut agent, 1, retry_ms);
    end_check(&mut agent, None, retry_ms, retry_ms + 10);
    let expired = start_at(&mut agent, 2, retry_ms + 10 + expired_ms);

    assert_eq!((count_runs(&retrying), checks(&retrying).len()), (1, 1));
    assert_eq!((count_runs(&expired), checks(&expired).len()), (0, 1));
}

/// Failure (review/12): an agent without access to the log starts tasks for as long as no entry can
/// confirm its configuration.
#[test]
fn an_agent_that_cannot_read_the_log_starts_nothing_without_a_confirmation() {
    let mut agent = confirmed_agent(LogAccess::None);

    let last = start_at(&mut agent, 0, 5_499);
    let lapsed = start_at(&mut agent, 1, 5_500);
    agent.handle(AgentEvent::Tick, at(5_600));
    let is_leaving = agent.is_leaving();
    answer_heartbeat(&mut agent, 5_700, Duration::ZERO);
    let confirmed = start_at(&mut agent, 2, 5_710);

    assert_eq!(count_runs(&last), 1);
    assert_eq!(replies(&lapsed), [TaskReply::NotStarted(NotStartedReason::PermitLapsed)]);
    assert!(is_leaving, "the entries place nothing here");
    assert_eq!(count_runs(&confirmed), 1);
    assert!(!agent.is_leaving());
}

/// Failure: an entry that stood still answers a heartbeat before it has read anything.
#[test]
fn a_directive_does_not_confirm_more_than_its_entry_knows() {
    let mut agent = confirmed_agent(LogAccess::Some);

    answer_heartbeat(&mut agent, 9_000, millis(8_000));
    let held = start_at(&mut agent, 0, 9_010);

    assert_eq!((count_runs(&held), checks(&held).len()), (0, 1));
}

/// Load pattern: a fleet so large that heartbeats come less often than confirmations expire.
#[test]
fn a_start_carries_a_confirmation_of_its_own() {
    let mut agent = confirmed_agent(LogAccess::Some);
    let confirmation = Some(VersionConfirmation { told_at: millis(60_000), told_age: millis(900) });

    let request = StartRequest { confirmation, ..unconfirmed_start(0, 60_010) };
    let started = send_start(&mut agent, request, 60_010);

    assert_eq!((count_runs(&started), checks(&started).len()), (1, 0));
}

/// Failure: a domain that a check found out of service is never used again, as no start comes that would
/// check it, and the entries still cannot read the log.
#[test]
fn a_domain_that_is_back_is_noticed_without_a_start() {
    let mut agent = confirmed_agent(LogAccess::Some);
    start_at(&mut agent, 0, 60_000);
    end_check(&mut agent, out_of_service(VERSION + 1), 60_000, 60_010);

    let ticked = agent.handle(AgentEvent::Tick, at(63_000));
    end_check(&mut agent, in_service(VERSION + 2), 63_000, 63_010);
    let started = start_at(&mut agent, 1, 63_020);

    assert_eq!(checks(&ticked), [DomainReading { version: VERSION + 1, is_in_service: false }]);
    assert!(!agent.is_leaving());
    assert_eq!(count_runs(&started), 1);
}

/// Failure: an entry that is behind brings back a domain that a check found out of service.
#[test]
fn an_earlier_version_does_not_overrule_a_check() {
    let mut agent = confirmed_agent(LogAccess::Some);
    start_at(&mut agent, 0, 60_000);
    end_check(&mut agent, out_of_service(VERSION + 1), 60_000, 60_010);

    answer_heartbeat(&mut agent, 60_100, Duration::ZERO);
    let refused = start_at(&mut agent, 1, 60_110);

    assert_eq!(replies(&refused), [TaskReply::NotStarted(NotStartedReason::DomainOut)]);
}

fn started_tasks(actions: &[AgentAction]) -> Vec<TaskId> {
    let task = |action: &AgentAction| match action {
        AgentAction::Run(request) => Some(request.task),
        _ => None,
    };
    actions.iter().filter_map(task).collect()
}

fn finish(agent: &mut AgentMachine, task: TaskId, now_ms: u64) {
    let result = RunResult::Failed;
    agent.handle(AgentEvent::Finished { task, result }, at(now_ms));
}
