//! Tests of the runs at one incarnation of a worker.

use crate::worker_state::{
    CallRefusal, MAX_LEASE, RunEnding, RunName, StartEffect, TaskWork, WorkerState,
};
use std::time::Duration;

const WORK: TaskWork = TaskWork { run_time: Duration::from_millis(100), cpu: 12_000 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(task: &str, number: u64) -> RunName {
    RunName { task: task.to_owned(), number }
}

#[test]
fn a_run_ends_once_its_work_is_done() {
    let mut state = WorkerState::default();
    state.start(&run("a", 1), WORK, ms(500), ms(10)).expect("a start");

    let early = state.end_due_runs(ms(109));
    let ends = state.end_due_runs(ms(120));

    assert_eq!(early, []);
    assert_eq!((ends[0].at, ends[0].ending), (ms(110), RunEnding::Done));
    assert_eq!(state.listed_ends()[0].number, 1);
}

#[test]
fn a_lease_is_shortened_to_the_longest_one_and_ends_all_runs() {
    let mut state = WorkerState::default();
    let long = TaskWork { run_time: ms(5000), ..WORK };
    state.start(&run("a", 1), long, ms(90_000), ms(10)).expect("a start");

    let ends = state.end_due_runs(ms(2000));

    assert_eq!((ends[0].at, ends[0].ending), (ms(10) + MAX_LEASE, RunEnding::LeaseExpired));
}

#[test]
fn a_lease_never_shortens() {
    let mut state = WorkerState::default();
    let long = TaskWork { run_time: ms(5000), ..WORK };
    state.start(&run("a", 1), long, ms(700), ms(0)).expect("a start");

    state.extend_lease(ms(300), ms(10));

    assert_eq!(state.end_due_runs(ms(699)), []);
    assert_eq!(state.end_due_runs(ms(700))[0].ending, RunEnding::LeaseExpired);
}

#[test]
fn a_start_is_refused_for_each_reason() {
    let mut state = WorkerState::default();
    state.check_fence(7).expect("a higher token");
    state.stop(&run("old", 3), ms(0));
    state.start(&run("a", 1), WORK, ms(500), ms(0)).expect("a start");
    state.start(&run("b", 1), WORK, ms(500), ms(0)).expect("a start");

    let mut start = |name: RunName, until| state.start(&name, WORK, until, ms(50));

    assert_eq!(start(run("a", 1), ms(500)), Ok(StartEffect::AlreadyThere));
    assert_eq!(start(run("c", 1), ms(50)), Err(CallRefusal::LeaseExpired));
    assert_eq!(start(run("old", 3), ms(500)), Err(CallRefusal::NotNewer));
    assert_eq!(start(run("c", 1), ms(500)), Err(CallRefusal::NoCapacity));
    assert_eq!(state.check_fence(6), Err(CallRefusal::Fenced));
}

#[test]
fn ends_are_listed_until_they_are_acknowledged() {
    let mut state = WorkerState::default();
    state.start(&run("a", 1), WORK, ms(500), ms(0)).expect("a start");
    state.start(&run("b", 1), WORK, ms(500), ms(10)).expect("a start");
    state.end_due_runs(ms(200));

    state.acknowledge(1);

    let numbers: Vec<u64> = state.listed_ends().iter().map(|end| end.number).collect();
    assert_eq!(numbers, [2]);
}

#[test]
fn a_crash_ends_what_is_in_progress() {
    let mut state = WorkerState::default();
    state.start(&run("a", 1), WORK, ms(500), ms(0)).expect("a start");

    let ends = state.crash(ms(40));

    assert_eq!((ends[0].at, ends[0].ending), (ms(40), RunEnding::Crashed));
    assert_eq!(state.running(ms(40)).count(), 0);
}
