//! Numbers far outside the usual range, stated by callers and operators.

use super::fixtures::{
    at, entry, entry_with_objective, report, starts, submit_groups, submit_job, task,
};
use parsleyspool_core::config::LatencyObjective;
use parsleyspool_core::entry::{EntryAction, EntryEvent, EntryLimits, EntryMachine};
use parsleyspool_core::error::{ErrorKind, LimitDetails, LimitName};
use parsleyspool_core::job::{JobAnswer, TaskDemand, TaskGroup};
use parsleyspool_core::resources::ResourceAmounts;
use std::time::Duration;

const LONGEST_TIMES: [Duration; 3] =
    [Duration::from_millis(i64::MAX as u64), Duration::from_secs(u64::MAX), Duration::MAX];

fn declared(run_time: Duration, slots: u32) -> Option<TaskDemand> {
    Some(TaskDemand { resources: ResourceAmounts::from_slots(slots), run_time })
}

fn refusal(actions: &[EntryAction]) -> Option<(ErrorKind, LimitDetails)> {
    actions.iter().find_map(|action| match action {
        EntryAction::Answer { answer: JobAnswer::Failed(error), .. } => {
            Some((error.kind, error.details.clone()))
        }
        _ => None,
    })
}

fn refusal_kind(actions: &[EntryAction]) -> Option<ErrorKind> {
    refusal(actions).map(|(kind, _)| kind)
}

/// Number of tasks that are started of an ordinary job submitted now.
fn count_ordinary_starts(machine: &mut EntryMachine, now_ms: u64) -> usize {
    let ordinary = declared(Duration::from_millis(60), 1);
    starts(submit_job(machine, 2, vec![task(ordinary)], now_ms)).len()
}

/// Failure: the estimate of a caller overflows a product, and the entry answers nobody any longer.
#[test]
fn a_job_declared_too_long_is_refused_and_the_next_one_started() {
    for run_time in LONGEST_TIMES {
        let mut machine = entry(EntryLimits::default());
        machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));

        let endless = submit_job(&mut machine, 1, vec![task(declared(run_time, 5)); 3], 10);
        let ordinary_starts = count_ordinary_starts(&mut machine, 20);

        assert_eq!(refusal_kind(&endless), Some(ErrorKind::DeadlineUnreachable), "{run_time:?}");
        assert_eq!(ordinary_starts, 1, "{run_time:?}");
    }
}

/// Failure: the same overflow where a task is placed, on an entry that refuses nothing on estimates
/// because it has just started.
#[test]
fn a_job_declared_too_long_is_tried_while_the_servers_are_not_all_known() {
    for run_time in LONGEST_TIMES {
        let warm_up = Duration::from_secs(3);
        let mut machine = entry(EntryLimits { warm_up, ..EntryLimits::default() });
        machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));

        let endless = submit_job(&mut machine, 1, vec![task(declared(run_time, 2)); 2], 10);
        let ordinary_starts = count_ordinary_starts(&mut machine, 20);
        machine.handle(EntryEvent::Tick, at(4_000));

        assert_eq!(starts(endless).len(), 2, "{run_time:?}");
        assert_eq!(ordinary_starts, 1, "{run_time:?}");
    }
}

/// Failure: the latency objective of an operator overflows the time for which a job may wait.
#[test]
fn a_latency_objective_beyond_any_deadline_does_not_stop_the_entry() {
    for allowance in LONGEST_TIMES {
        let objective =
            LatencyObjective { stretch_percent: u32::MAX, allowance, expiry_percent: u32::MAX };
        let mut machine = entry_with_objective(EntryLimits::default(), Some(objective));
        machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));

        let ordinary_starts = count_ordinary_starts(&mut machine, 10);
        machine.handle(EntryEvent::Tick, at(20));

        assert_eq!(ordinary_starts, 1, "{allowance:?}");
    }
}

/// Failure: memory is spent on each task of a job before their number is compared with the limit.
#[test]
fn a_job_of_more_tasks_than_memory_is_refused_with_the_number_that_it_states() {
    for count in [791, u64::from(u32::MAX), u64::MAX] {
        let mut machine = entry(EntryLimits::default());
        machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));
        let group = TaskGroup { task: task(None), count };

        let actions = submit_groups(&mut machine, 1, vec![group.clone(), group], 10);

        let stated = count.saturating_mul(2);
        let details = LimitDetails::new(LimitName::TasksPerJob, 790, stated);
        assert_eq!(refusal(&actions), Some((ErrorKind::JobTooLarge, details)));
    }
}

#[test]
fn tasks_beyond_the_open_tasks_of_an_entry_are_refused() {
    let mut machine = entry(EntryLimits { max_open_tasks: 5, ..EntryLimits::default() });
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(5));

    let first = submit_job(&mut machine, 1, vec![task(None); 4], 10);
    let second = submit_job(&mut machine, 2, vec![task(None); 2], 10);

    assert_eq!(refusal(&first), None);
    let details = LimitDetails::new(LimitName::TasksHeld, 5, 6);
    assert_eq!(refusal(&second), Some((ErrorKind::Overloaded, details)));
}
