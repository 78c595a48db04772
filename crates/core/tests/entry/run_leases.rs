//! Run leases that an entry has granted, and the tasks that it starts elsewhere once it believes that
//! their runs have ended.

use super::fixtures::{at, entry_with_rule, report, starts, submit, submit_job, task};
use parsleyspool_core::config::RequestRule;
use parsleyspool_core::directory::{DirectoryLimits, ServerReport};
use parsleyspool_core::entry::{EntryAction, EntryEvent, EntryLimits, EntryMachine};
use parsleyspool_core::id::{Incarnation, SubmissionId};
use parsleyspool_core::timeline::EventKind;
use std::time::Duration;

/// Entry that grants run leases of 0.9 s, and may start a task again after a run that ended without a
/// result.
fn leasing_entry() -> EntryMachine {
    let directory = DirectoryLimits {
        silent_after: Duration::from_millis(900),
        forget_after: Duration::from_secs(7),
        ..DirectoryLimits::default()
    };
    let limits = EntryLimits {
        run_lease: Duration::from_millis(900),
        run_lapse: Duration::from_millis(900),
        heartbeat: Duration::from_millis(300),
        heartbeats_per_second: 150,
        directory,
        ..EntryLimits::default()
    };
    let rule = RequestRule { idempotent: true, max_failures: 3, ..RequestRule::default() };
    entry_with_rule(limits, rule)
}

/// The same entry, which knows 159 servers of another service.
fn entry_among_many_servers() -> EntryMachine {
    let mut machine = leasing_entry();
    for server in 2..=160 {
        let name = format!("s-{server}").into();
        let other = ServerReport { name, services: vec!["other".into()], ..report(1, 0, 0) };
        machine.handle(EntryEvent::Heartbeat(other), at(5));
    }
    machine
}

/// Incarnation of the agent that the entry knows.
fn current_incarnation(machine: &EntryMachine) -> Option<Incarnation> {
    machine.directory().iter().next().map(|(_, server)| server.incarnation())
}

/// Submissions of the tasks whose runs are taken for ended.
fn interrupted(actions: &[EntryAction]) -> Vec<SubmissionId> {
    let events = actions.iter().filter_map(|action| match action {
        EntryAction::RecordEvent(event) if event.kind == EventKind::TaskInterrupted => {
            event.submission
        }
        _ => None,
    });
    events.collect()
}

fn has_interrupted(actions: &[EntryAction]) -> bool {
    !interrupted(actions).is_empty()
}

/// Sends ticks from `from_ms` to `until_ms`; returns the submissions of the tasks whose runs are taken
/// for ended.
fn tick_interrupting(machine: &mut EntryMachine, from_ms: u64, until_ms: u64) -> Vec<SubmissionId> {
    let ticks = (from_ms..until_ms).step_by(50);
    ticks.flat_map(|now_ms| interrupted(&machine.handle(EntryEvent::Tick, at(now_ms)))).collect()
}

/// Like [`tick_interrupting`]; returns whether any run is taken for ended.
fn tick(machine: &mut EntryMachine, from_ms: u64, until_ms: u64) -> bool {
    !tick_interrupting(machine, from_ms, until_ms).is_empty()
}

/// Failure: the servers of a failed domain are forgotten, the run lease becomes shorter with their
/// number, and a task is started elsewhere while its agent still holds the longer lease.
#[test]
fn a_lease_granted_among_many_servers_counts_when_few_are_left() {
    let mut machine = entry_among_many_servers();
    let latest = report(1, 0, 0);
    machine.handle(EntryEvent::Heartbeat(latest.clone()), at(6_900));
    let started = submit_job(&mut machine, 1, vec![task(None)], 6_905);
    let lease = machine.directive(&latest, at(6_900)).run_lease.expect("runs have a lease");
    let lease_end_ms = 6_900 + lease.as_millis() as u64;

    let within_lease = tick(&mut machine, 6_910, lease_end_ms + 850);
    let after_lapse = tick(&mut machine, lease_end_ms + 900, lease_end_ms + 1_000);

    assert_eq!(starts(started).len(), 1);
    assert_eq!(machine.directory().len(), 1, "the others are forgotten");
    assert!(!within_lease);
    assert!(after_lapse);
}

/// Failure: a heartbeat that was held up arrives after its agent has died and another has taken its
/// place, and the tasks of the other are started elsewhere while they run.
#[test]
fn a_late_heartbeat_of_an_unknown_incarnation_does_not_end_the_runs_of_its_successor() {
    let mut machine = leasing_entry();
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    let started = submit(&mut machine, 1, 1);
    let late = ServerReport { incarnation: 2, ..report(1, 0, 0) };

    let actions = machine.handle(EntryEvent::Heartbeat(late), at(20));

    assert_eq!(started.len(), 1);
    assert!(!has_interrupted(&actions));
    assert!(starts(actions).is_empty());
}

/// Failure: after such a heartbeat, those of the agent that lives count as outdated until the server
/// is forgotten, and it gets no tasks.
#[test]
fn an_agent_that_a_late_heartbeat_replaced_is_known_again_once_the_other_is_silent() {
    let mut machine = leasing_entry();
    let late = ServerReport { incarnation: 2, ..report(1, 0, 0) };
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    machine.handle(EntryEvent::Heartbeat(late), at(20));

    machine.handle(EntryEvent::Heartbeat(report(2, 0, 0)), at(300));
    let soon = current_incarnation(&machine);
    machine.handle(EntryEvent::Heartbeat(report(3, 0, 0)), at(1_000));

    assert_eq!(soon, Some(2));
    assert_eq!(current_incarnation(&machine), Some(1));
}

/// Failure: an agent is replaced, and its successor falls silent before it answers the status query.
/// The record of the successor counts no task of the predecessor, so its tasks never lapse.
#[test]
fn tasks_of_a_replaced_agent_lapse_when_its_successor_falls_silent() {
    let mut machine = leasing_entry();
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    let started = submit(&mut machine, 1, 1);
    let successor = ServerReport { incarnation: 2, ..report(1, 0, 0) };

    let actions = machine.handle(EntryEvent::Heartbeat(successor), at(20));
    let has_lapsed = tick(&mut machine, 50, 4_500);

    assert_eq!(started.len(), 1);
    assert!(
        has_interrupted(&actions) || has_lapsed,
        "4.5 s after the last heartbeat the task still waits"
    );
}

/// Failure: as above, but the successor is a late heartbeat, and the living agent is known again before
/// it falls silent itself.
#[test]
fn tasks_of_an_agent_that_is_known_again_lapse_when_it_falls_silent() {
    let mut machine = leasing_entry();
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    let started = submit(&mut machine, 1, 1);
    let late = ServerReport { incarnation: 2, ..report(1, 0, 0) };
    machine.handle(EntryEvent::Heartbeat(late), at(20));
    machine.handle(EntryEvent::Heartbeat(report(2, 0, 0)), at(1_000));

    let has_lapsed = tick(&mut machine, 1_050, 4_500);

    assert_eq!(started.len(), 1);
    assert_eq!(current_incarnation(&machine), Some(1));
    assert!(has_lapsed, "3.5 s after the last heartbeat the task still waits");
}

/// Failure: the heartbeats of a living agent count as outdated after a late one, are answered with run
/// leases nevertheless, and the entry gives its tasks up by the leases of the dead agent alone.
#[test]
fn a_lease_granted_in_answer_to_an_outdated_heartbeat_counts() {
    let mut machine = leasing_entry();
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    let started = submit(&mut machine, 1, 1);
    let late = ServerReport { incarnation: 2, ..report(1, 0, 0) };
    machine.handle(EntryEvent::Heartbeat(late), at(20));
    let started_at_dead = starts(submit_job(&mut machine, 2, vec![task(None)], 25));
    let outdated = report(2, 0, 0);
    machine.handle(EntryEvent::Heartbeat(outdated.clone()), at(900));
    let lease = machine.directive(&outdated, at(900)).run_lease.expect("runs have a lease");
    let lease_end_ms = 900 + lease.as_millis() as u64;

    let within_lapse = tick_interrupting(&mut machine, 950, lease_end_ms + 850);
    let after_lapse = tick_interrupting(&mut machine, lease_end_ms + 900, lease_end_ms + 1_000);

    let [living, dead] = [&started, &started_at_dead].map(|started| started[0].task.submission);
    assert_eq!((started[0].incarnation, started_at_dead[0].incarnation), (1, 2));
    assert_eq!(within_lapse, [dead], "the living agent holds a lease until {lease_end_ms} ms");
    assert_eq!(after_lapse, [living]);
}

/// Failure: leases of two agents end at the same time, a task of the first is started at the second, and
/// the lease of that start is dropped with the former one, so the task is started a third time beside it.
#[test]
fn a_task_started_again_keeps_its_lease_when_that_of_its_new_agent_ends_at_the_same_time() {
    let mut machine = entry_among_many_servers();
    for name in ["s-1", "s-1b"] {
        let server = ServerReport { name: name.into(), ..report(1, 0, 0) };
        machine.handle(EntryEvent::Heartbeat(server), at(5));
    }
    let first = starts(submit_job(&mut machine, 1, vec![task(None)], 10));
    let second = starts(submit_job(&mut machine, 2, vec![task(None)], 10));

    let given_up = interrupted(&machine.handle(EntryEvent::Tick, at(1_850)));

    let submissions = [&first, &second].map(|started| started[0].task.submission);
    assert_eq!(given_up, submissions, "each task is given up once");
}

/// Failure (review/3): among many servers the run lease grows with their heartbeat interval, and the runs
/// of a lost entry outlast the time after which its callers submit again.
#[test]
fn a_start_grants_a_lease_of_the_same_length_among_many_servers() {
    let mut machine = entry_among_many_servers();
    let heartbeat = report(1, 0, 0);
    machine.handle(EntryEvent::Heartbeat(heartbeat.clone()), at(100));
    let directive = machine.directive(&heartbeat, at(100));

    let actions = submit_job(&mut machine, 1, vec![task(None)], 950);

    let request = actions.into_iter().find_map(|action| match action {
        EntryAction::Start { request, .. } => Some(request),
        _ => None,
    });
    let request = request.expect("the task is started");
    let agent_time = heartbeat.clock + Duration::from_millis(850);
    let lease_end = agent_time + Duration::from_millis(900);
    assert!(directive.heartbeat_interval > Duration::from_secs(1));
    assert_eq!(directive.renewal_interval, Duration::from_millis(300));
    assert_eq!(directive.run_lease, Some(Duration::from_millis(900)));
    assert_eq!((request.run_lease_until, request.permit_until), (Some(lease_end), lease_end));
}
