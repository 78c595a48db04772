//! Cancellations that do not arrive: the answer to a heartbeat names the submissions of its agent that
//! the entry no longer works on.

use super::fixtures::{DEADLINE, INCARNATION, at, entry, report, submit};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{EntryEvent, EntryLimits, EntryMachine};
use parsleyspool_core::id::{SubmissionId, submission_id};

/// Answer to a heartbeat that lists the submissions `held`.
fn ended(machine: &EntryMachine, held: &[SubmissionId], now_ms: u64) -> Vec<SubmissionId> {
    let report = ServerReport { held_submissions: held.to_vec(), ..report(2, 1, 1) };
    machine.directive(&report, at(now_ms)).ended_submissions
}

/// Failure: a cancellation is lost in a silent connection, and the caller submits the job again while
/// the run goes on.
#[test]
fn the_answer_to_a_heartbeat_names_submissions_that_were_given_up() {
    let mut machine = entry(EntryLimits::default());
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
    let started = submit(&mut machine, 1, 1);
    let submission = started[0].task.submission;
    let of_another_entry = submission_id(INCARNATION + 1, 1);
    let held = [submission, of_another_entry];
    let past_deadline_ms = 20 + DEADLINE.as_millis() as u64;

    let while_open = ended(&machine, &held, 100);
    machine.handle(EntryEvent::Tick, at(past_deadline_ms));
    let after_deadline = ended(&machine, &held, past_deadline_ms);

    assert!(while_open.is_empty(), "{while_open:?}");
    assert_eq!(after_deadline, [submission]);
}
