//! Tests of the check that no task runs twice at once.

use crate::run_record::{RecordedRun, RunRecord, find_overlaps};
use crate::worker_state::{RunEnding, RunName};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn recorded(server: &str, task: &str, started: u64, ended: u64, ending: RunEnding) -> RecordedRun {
    RecordedRun {
        server: server.to_owned(),
        machine: String::new(),
        server_started_at: Duration::ZERO,
        run: RunName { task: task.to_owned(), number: 1 },
        started_at: ms(started),
        end: Some((ms(ended), ending)),
    }
}

#[test]
fn two_runs_of_a_task_at_the_same_time_are_found() {
    let runs = [
        recorded("i-2", "a", 120, 200, RunEnding::Done),
        recorded("i-1", "a", 100, 123, RunEnding::Stopped),
    ];

    let overlaps = find_overlaps(&runs);

    assert_eq!(overlaps.len(), 1);
    assert_eq!((&*overlaps[0].first.server, &*overlaps[0].second.server), ("i-1", "i-2"));
    assert_eq!(overlaps[0].length(), ms(3));
}

#[test]
fn two_runs_at_one_server_and_a_run_without_an_end_are_found() {
    let open = RecordedRun { end: None, ..recorded("i-1", "a", 10, 0, RunEnding::Done) };
    let mut second = recorded("i-1", "a", 50, 60, RunEnding::Done);
    second.run.number = 2;

    let overlaps = find_overlaps(&[open, second]);

    assert_eq!(overlaps.len(), 1);
    assert_eq!(overlaps[0].length(), ms(10));
}

#[test]
fn every_pair_of_three_runs_is_found() {
    let run = |server| recorded(server, "a", 10, 90, RunEnding::Done);

    let overlaps = find_overlaps(&[run("i-1"), run("i-2"), run("i-3")]);

    assert_eq!(overlaps.len(), 3);
}

#[test]
fn runs_in_turn_and_runs_of_other_tasks_are_allowed() {
    let runs = [
        recorded("i-1", "a", 100, 120, RunEnding::Crashed),
        recorded("i-2", "a", 120, 150, RunEnding::LeaseExpired),
        recorded("i-3", "a", 151, 250, RunEnding::Done),
        recorded("i-1", "b", 110, 200, RunEnding::Done),
    ];

    let overlaps = find_overlaps(&runs);

    assert_eq!(overlaps, []);
}

#[test]
fn the_record_keeps_the_end_of_each_run() {
    let record = RunRecord::begin();
    let started = RecordedRun { end: None, ..recorded("i-1", "a", 5, 0, RunEnding::Done) };
    record.add_start(started.clone());

    record.add_end("i-1", &started.run, ms(9), RunEnding::LeaseExpired);

    assert_eq!(record.runs(), [recorded("i-1", "a", 5, 9, RunEnding::LeaseExpired)]);
}
