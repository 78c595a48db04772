//! Requests that waited in the connections of an entry while it stood still, and whose callers have
//! submitted them elsewhere.

use super::fixtures::{DEADLINE, at, entry, is_answered, report, starts, submit, submit_job, task};
use parsleyspool_core::entry::{EntryEvent, EntryLimits, EntryMachine, InterruptCause, TaskReply};

/// Entry with an idle server that stood still until 2 s.
fn resumed_entry() -> EntryMachine {
    let mut machine = entry(EntryLimits::default());
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    machine.handle(EntryEvent::Resumed, at(2_000));
    machine
}

/// Failure: an entry starts the tasks of an old request, notices only then that its caller has left,
/// and the resubmission runs at another entry at the same time.
#[test]
fn an_entry_that_resumes_starts_nothing_for_callers_that_have_left() {
    let mut machine = resumed_entry();

    let at_arrival = submit_job(&mut machine, 1, vec![task(None); 2], 2_001);
    let at_heartbeat = machine.handle(EntryEvent::Heartbeat(report(2, 0, 0)), at(2_010));
    machine.handle(EntryEvent::Cancel { waiter_id: 1 }, at(2_020));
    let after_settling = machine.handle(EntryEvent::Tick, at(2_500));

    assert!(starts(at_arrival).is_empty());
    assert!(starts(at_heartbeat).is_empty());
    assert!(starts(after_settling).is_empty());
}

#[test]
fn an_entry_that_resumes_serves_the_callers_that_still_wait() {
    let mut machine = resumed_entry();

    let at_arrival = submit_job(&mut machine, 1, vec![task(None); 2], 2_001);
    let after_settling = machine.handle(EntryEvent::Tick, at(2_301));

    assert!(!is_answered(&at_arrival));
    assert_eq!(starts(after_settling).len(), 2);
}

/// Failure: on resumption, the end of a run that its agent stopped is read before the deadline is
/// noticed, and the task is started again.
#[test]
fn jobs_whose_deadline_passed_while_the_entry_stood_still_fail_first() {
    let mut machine = entry(EntryLimits::default());
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    let start = submit(&mut machine, 1, 1)[0];
    let resumed_at = at(20 + DEADLINE.as_millis() as u64);

    let resumed = machine.handle(EntryEvent::Resumed, resumed_at);
    let reply = TaskReply::Interrupted(InterruptCause::Stopped);
    let interrupted = machine.handle(EntryEvent::Reply { start, reply, load: None }, resumed_at);

    assert!(is_answered(&resumed));
    assert!(starts(interrupted).is_empty());
}
