//! Overload control of an entry with one server: which waiting jobs it delays and refuses.

use super::fixtures::{SERVER_SLOTS, at, entry_with_rules, report, starts, submit_named};
use parsleyspool_core::config::{LatencyObjective, RequestRule};
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryLimits, EntryMachine, NotStartedReason, StartId, TaskReply,
};
use parsleyspool_core::error::{LimitName, Resubmission};
use parsleyspool_core::job::JobAnswer;
use parsleyspool_core::overload::OverloadPolicy;
use parsleyspool_core::timeline::EventKind;
use std::time::Duration;

const OBJECTIVE: LatencyObjective = LatencyObjective {
    stretch_percent: 160,
    allowance: Duration::from_millis(60),
    expiry_percent: 300,
};

fn rule(priority: Option<u8>) -> RequestRule {
    let objective = Some(OBJECTIVE);
    RequestRule { idempotent: true, objective, priority, ..RequestRule::default() }
}

/// Entry whose server has measured runs of 100 ms of both kinds of request, and is full.
fn full_entry(policy: OverloadPolicy, priorities: [Option<u8>; 2]) -> (EntryMachine, Vec<StartId>) {
    let limits = EntryLimits { overload: policy, ..EntryLimits::default() };
    let rules = [("urgent", rule(priorities[0])), ("later", rule(priorities[1]))];
    let mut machine = entry_with_rules(limits, &rules);
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(1));
    for (waiter_id, kind) in [(901, "urgent"), (902, "later")] {
        for start in starts(submit_named(&mut machine, waiter_id, kind, 1, 2)) {
            finish(&mut machine, start, 102);
        }
    }
    let actions = submit_named(&mut machine, 900, "urgent", SERVER_SLOTS as usize, 200);
    let running = starts(actions);
    assert_eq!(running.len(), SERVER_SLOTS as usize);
    (machine, running)
}

fn finish(machine: &mut EntryMachine, start: StartId, now_ms: u64) -> Vec<EntryAction> {
    let run_time = Duration::from_millis(100);
    let reply = TaskReply::Done { answer: Vec::new().into(), run_time };
    machine.handle(EntryEvent::Reply { start, reply, load: None }, at(now_ms))
}

/// Submits `count` jobs of six tasks, one each millisecond from `now_ms` on, and ticks.
fn submit_jobs(
    machine: &mut EntryMachine,
    kind: &str,
    count: u64,
    now_ms: u64,
) -> Vec<EntryAction> {
    let first = now_ms * 100;
    let submitted = (0..count)
        .flat_map(|number| submit_named(machine, first + number, kind, 6, now_ms + number))
        .collect::<Vec<_>>();
    let ticked = machine.handle(EntryEvent::Tick, at(now_ms + count + 20));
    submitted.into_iter().chain(ticked).collect()
}

/// Waiters that were refused because the job would start too late.
fn refused(actions: &[EntryAction]) -> Vec<u64> {
    let refused = actions.iter().filter_map(|action| match action {
        EntryAction::Answer { waiter_id, answer: JobAnswer::Failed(error), .. } => {
            assert_eq!(error.details.limit, Some(LimitName::RoomMs), "{error:?}");
            assert!(error.not_run, "{error:?}");
            let Resubmission::After(delay) = error.resubmission() else { panic!("{error:?}") };
            assert!((1..=4).contains(&delay.as_secs()), "{delay:?}");
            Some(*waiter_id)
        }
        _ => None,
    });
    refused.collect()
}

fn has_event(actions: &[EntryAction], kind: EventKind) -> bool {
    let is_kind = |action: &EntryAction| matches!(action, EntryAction::RecordEvent(event) if event.kind == kind);
    actions.iter().any(is_kind)
}

/// Guards against jobs that wait for a start that comes too late, and against urgent jobs that wait
/// behind them.
#[test]
fn jobs_that_would_start_too_late_are_refused_and_urgent_ones_go_first() {
    let (mut machine, running) = full_entry(OverloadPolicy::Priority, [Some(0), Some(1)]);

    let actions = submit_jobs(&mut machine, "later", 40, 210);
    let urgent = submit_jobs(&mut machine, "urgent", 1, 280);
    let started = starts(finish(&mut machine, running[0], 302));

    assert!(refused(&actions).len() > 20, "{:?}", refused(&actions));
    assert!(has_event(&actions, EventKind::OverloadEntered));
    assert_eq!(refused(&urgent).iter().filter(|waiter| **waiter >= 28_000).count(), 0);
    let is_urgent = |start: &StartId| start.task.submission == urgent_submission(&urgent);
    assert!(started.iter().all(is_urgent) && !started.is_empty(), "{started:?}");
}

fn urgent_submission(actions: &[EntryAction]) -> u128 {
    let admitted = actions.iter().find_map(|action| match action {
        EntryAction::RecordEvent(event) if event.kind == EventKind::JobAdmitted => event.submission,
        _ => None,
    });
    admitted.expect("the job was admitted")
}

/// Guards against a state that lasts: without waiting jobs, overload ends within a second.
#[test]
fn overload_ends_once_no_job_waits() {
    let (mut machine, running) = full_entry(OverloadPolicy::Priority, [Some(0), Some(1)]);
    submit_jobs(&mut machine, "later", 20, 210);

    let mut starts_to_finish = running;
    let mut now_ms = 302;
    while let Some(start) = starts_to_finish.pop() {
        starts_to_finish.extend(starts(finish(&mut machine, start, now_ms)));
        now_ms += 5;
    }
    let ended = machine.handle(EntryEvent::Tick, at(now_ms + 1_000));

    assert!(has_event(&ended, EventKind::OverloadLeft), "{ended:?}");
}

/// Guards against plans for deployments that have not asked for them.
#[test]
fn without_the_policy_or_a_second_priority_no_job_is_refused_early() {
    let cases = [
        (OverloadPolicy::Arrival, [Some(0), Some(1)]),
        (OverloadPolicy::Priority, [Some(1), Some(1)]),
        (OverloadPolicy::Priority, [Some(1), None]),
        (OverloadPolicy::Priority, [None, None]),
    ];
    let transcripts = cases.map(|(policy, priorities)| {
        let (mut machine, _) = full_entry(policy, priorities);
        let actions = submit_jobs(&mut machine, "later", 40, 210);
        let urgent = submit_jobs(&mut machine, "urgent", 1, 280);
        format!("{actions:?} {urgent:?}")
    });

    assert!(!transcripts[0].contains("RoomMs"));
    for transcript in &transcripts {
        assert_eq!(*transcript, transcripts[0]);
    }
}

/// Guards against refusals by run times that callers declare, which may be far off.
#[test]
fn jobs_of_an_unmeasured_kind_are_not_refused() {
    let limits = EntryLimits { overload: OverloadPolicy::Priority, ..EntryLimits::default() };
    let rules = [("urgent", rule(Some(0))), ("later", rule(Some(1)))];
    let mut machine = entry_with_rules(limits, &rules);
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(1));

    let actions = submit_jobs(&mut machine, "later", 40, 210);

    assert_eq!(refused(&actions), Vec::<u64>::new());
}

/// Failure: starts that a full server returns count as served work, so that the room seems larger the
/// more of them there are, and plans delay nothing.
#[test]
fn returned_starts_do_not_count_as_served_work() {
    let (mut machine, _running) = full_entry(OverloadPolicy::Priority, [Some(0), Some(1)]);
    submit_jobs(&mut machine, "urgent", 3, 300);
    let estimated = machine.gauges().room;

    for round in 0..8 {
        let now_ms = 340 + round * 40;
        let heartbeat = report(2 + round, 0, 0);
        for start in starts(machine.handle(EntryEvent::Heartbeat(heartbeat), at(now_ms))) {
            let reply = TaskReply::NotStarted(NotStartedReason::Full);
            machine.handle(EntryEvent::Reply { start, reply, load: None }, at(now_ms + 1));
        }
    }
    machine.handle(EntryEvent::Tick, at(700));

    assert!(estimated > 0);
    assert_eq!(machine.gauges().room, estimated);
}
