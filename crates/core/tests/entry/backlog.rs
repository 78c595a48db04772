//! Placement of a backlog after a restart of everything: all entries have waiting jobs and hear of
//! the same idle servers at the same time.

use super::fixtures::{SERVER_SLOTS, at, entry, is_answered, report, starts, submit};
use parsleyspool_core::entry::{
    EntryEvent, EntryLimits, EntryMachine, LoadReport, NotStartedReason, TaskReply,
};
use parsleyspool_core::freshness::PeerReport;
use std::collections::BTreeMap;
use std::time::Duration;

const ENTRIES: u32 = 35;

/// Entry in its warm-up that knows the other entries.
fn entry_with_peers(limits: EntryLimits) -> EntryMachine {
    let limits = EntryLimits { warm_up: Duration::from_secs(3), ..limits };
    let mut machine = entry(limits);
    for peer in 1..ENTRIES {
        let entry = format!("e-{peer}").into();
        let report = PeerReport { entry, version: 1, is_voter: true, confirmed_age: None };
        let (team_load, requested_at) = (BTreeMap::new(), Duration::ZERO);
        machine.handle(EntryEvent::PeerReported { report, team_load, requested_at }, at(0));
    }
    machine
}

#[test]
fn an_entry_leaves_room_for_the_backlog_of_the_others_on_a_new_server() {
    let mut machine = entry_with_peers(EntryLimits::default());
    submit(&mut machine, 1, 20);

    let at_announcement = starts(machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(500)));
    let while_busy = starts(machine.handle(EntryEvent::Heartbeat(report(2, 6, 1)), at(800)));
    let once_idle = starts(machine.handle(EntryEvent::Heartbeat(report(3, 1, 1)), at(1_100)));

    assert_eq!(at_announcement.len(), 1);
    assert_eq!(while_busy.len(), 0);
    assert_eq!(once_idle.len(), 1);
}

#[test]
fn a_job_outlasts_more_full_servers_than_the_retry_budget_allows_retries() {
    let limits = EntryLimits { retry_reserve: 2, retry_ratio: 0.0, ..EntryLimits::default() };
    let mut machine = entry_with_peers(limits);
    submit(&mut machine, 1, 1);
    let mut started = starts(machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(100)));

    for round in 2..10 {
        let reply = TaskReply::NotStarted(NotStartedReason::Full);
        let load = Some(LoadReport { load: SERVER_SLOTS + 1, own_load: 0 });
        let start = started.pop().expect("the task is started");
        let now = at(100 * round);
        let actions = machine.handle(EntryEvent::Reply { start, reply, load }, now);
        assert!(!is_answered(&actions), "round {round}: {actions:?}");
        assert!(starts(actions).is_empty(), "the server is full");
        started = starts(machine.handle(EntryEvent::Heartbeat(report(round, 0, 0)), now));
    }

    assert_eq!(started.len(), 1);
}
