//! Servers in quarantine for the failures of their tasks.

use super::fixtures::{at, entry, report, starts, submit_job, task};
use parsleyspool_core::directory::{DirectoryLimits, QuarantinePolicy, ServerReport};
use parsleyspool_core::entry::{EntryAction, EntryEvent, EntryLimits, EntryMachine, TaskReply};
use parsleyspool_core::timeline::EventKind;
use std::time::Duration;

const SERVERS: u64 = 3;
const FAILURES_IN_ROW: u32 = 4;

fn heartbeats(machine: &mut EntryMachine, sequence: u64, now_ms: u64) {
    for server in 0..SERVERS {
        let name = format!("s-{server}").into();
        let report = ServerReport { name, incarnation: server, ..report(sequence, 0, 0) };
        machine.handle(EntryEvent::Heartbeat(report), at(now_ms));
    }
}

fn entry_with_servers() -> EntryMachine {
    let quarantine =
        QuarantinePolicy { failures_in_row: FAILURES_IN_ROW, ..QuarantinePolicy::default() };
    let directory = DirectoryLimits { quarantine, ..DirectoryLimits::default() };
    let mut machine = entry(EntryLimits { directory, ..EntryLimits::default() });
    heartbeats(&mut machine, 1, 5);
    machine
}

/// Runs jobs whose tasks all fail until no server takes another; returns the servers quarantined.
fn fail_tasks_everywhere(machine: &mut EntryMachine) -> usize {
    let mut quarantined = 0;
    for waiter_id in 1_000..1_100 {
        let actions = submit_job(machine, waiter_id, vec![task(None)], 10);
        for start in starts(actions) {
            let reply = TaskReply::Failed { run_time: Duration::from_millis(1) };
            let actions = machine.handle(EntryEvent::Reply { start, reply, load: None }, at(11));
            let events = actions.iter().filter_map(|action| match action {
                EntryAction::RecordEvent(event) => Some(event.kind),
                _ => None,
            });
            quarantined += events.filter(|kind| *kind == EventKind::ServerQuarantined).count();
        }
    }
    quarantined
}

/// Failure: tasks that fail wherever they run put all servers into quarantine, and every other job is
/// refused for seconds, although the servers are well.
#[test]
fn a_service_whose_servers_are_all_in_quarantine_is_probed_at_once() {
    let mut machine = entry_with_servers();
    let quarantined = fail_tasks_everywhere(&mut machine);
    assert_eq!(quarantined as u64, SERVERS);

    machine.handle(EntryEvent::Tick, at(50));
    let ordinary = starts(submit_job(&mut machine, 1, vec![task(None); 6], 60));
    let probes = ordinary.len() as u64;
    let done = TaskReply::Done { answer: bytes::Bytes::new(), run_time: Duration::from_millis(20) };
    let released = ordinary.into_iter().flat_map(|start| {
        let reply = done.clone();
        starts(machine.handle(EntryEvent::Reply { start, reply, load: None }, at(80)))
    });

    assert_eq!(probes, SERVERS, "one task probes each server");
    assert_eq!(released.count(), 3, "the servers take the other tasks");
}
