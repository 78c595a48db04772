//! Any numbers in the jobs of callers and in the reports of servers: no sum of them overflows, and the
//! next caller is served.

use super::fixtures::{INCARNATION, at, entry, report, starts, submit_groups, task};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{EntryEvent, EntryLimits, EntryMachine};
use parsleyspool_core::id::submission_id;
use parsleyspool_core::job::{TaskDemand, TaskGroup};
use parsleyspool_core::resources::ResourceAmounts;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const CASES: u32 = 2_000;

/// Numbers around the ends of their range, usual ones, and any others.
fn number() -> impl Strategy<Value = u32> {
    prop_oneof![
        0..4_u32,
        u32::MAX - 3..=u32::MAX,
        (u32::MAX / 2 - 2)..(u32::MAX / 2 + 2),
        any::<u32>()
    ]
}

fn count() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, 788..793_u64, u64::MAX - 3..=u64::MAX, any::<u64>()]
}

fn task_group() -> impl Strategy<Value = TaskGroup> {
    let run_time = prop_oneof![0..200_u64, u64::MAX - 3..=u64::MAX, any::<u64>()];
    (number(), number(), number(), run_time, count()).prop_map(
        |(slots, memory_mb, accelerators, run_time_us, count)| {
            let resources = ResourceAmounts { slots, memory_mb, accelerators };
            let run_time = Duration::from_micros(run_time_us);
            TaskGroup { task: task(Some(TaskDemand { resources, run_time })), count }
        },
    )
}

/// Entry with one server of this capacity.
fn entry_with_server(capacity: u32) -> EntryMachine {
    let mut machine = entry(EntryLimits::default());
    let amounts = ResourceAmounts { slots: capacity, memory_mb: capacity, accelerators: capacity };
    let report = ServerReport { capacity: amounts, load_limit: capacity, ..report(1, 0, 0) };
    machine.handle(EntryEvent::Heartbeat(report), at(5));
    machine
}

/// Failure: a sum of slots overflows, and the entry ends or sends a server more than it can hold.
#[test]
fn any_numbers_of_callers_leave_the_entry_at_work() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    };
    let jobs = vec(vec(task_group(), 0..3), 1..6);
    let capacity = prop_oneof![0..8_u32, u32::MAX - 3..=u32::MAX, any::<u32>()];
    proptest!(config, |(jobs in jobs, capacity in capacity)| {
        let mut machine = entry_with_server(capacity.max(1));
        let mut waiter_id = 0;

        for task_groups in jobs {
            waiter_id += 1;
            submit_groups(&mut machine, waiter_id, task_groups, 10 + waiter_id);
            machine.handle(EntryEvent::Tick, at(10 + waiter_id));
        }
        for waiter_id in 1..=waiter_id {
            machine.handle(EntryEvent::Cancel { waiter_id }, at(50));
        }
        let ordinary = starts(submit_groups(&mut machine, 100, vec![task(None).into()], 60));

        assert_eq!(ordinary.len(), 1);
        assert_eq!(ordinary[0].task.submission, submission_id(INCARNATION, waiter_id + 1));
    });
}
