//! What must hold at the workers of a fleet, whatever fails.
//!
//! `PARSLEYSPOOL_FLEETS` sets the number of schedules and `PARSLEYSPOOL_SEED` the first seed.

use crate::fleet::{Fleet, HeartbeatRate, LeaseBound};
use crate::from_environment;
use std::fmt::Write as _;

const DEFAULT_FLEETS: u64 = 200;
/// Schedules in which a planted fault must show.
const PLANTED_FAULT_FLEETS: u64 = 300;
/// Fewest runs of a schedule for it to count.
const LEAST_RUNS: usize = 20;

/// Describes the first overlaps of a schedule and what led to them.
fn describe(seed: u64, fleet: &Fleet) -> String {
    let mut text = format!("seed {seed}: {} overlaps", fleet.overlaps().len());
    for overlap in fleet.overlaps().iter().take(3) {
        let _ = write!(text, "\n  {overlap}");
    }
    for (at, fault) in fleet.faults() {
        let _ = write!(text, "\n  {} ms {fault:?}", at.as_millis());
    }
    text
}

/// Failure (review/7, review/8): runs of a lost entry go on beside those of the resubmissions, since its
/// agents die before they stop them, or all stops are lost.
#[test]
fn no_task_runs_twice_at_once_whatever_fails() {
    assert_no_overlaps(HeartbeatRate::Ample);
}

/// Failure (review/3): with many agents the run lease spans heartbeats that are seconds apart, and so do
/// the runs of a lost entry.
#[test]
fn no_task_runs_twice_at_once_among_many_agents() {
    assert_no_overlaps(HeartbeatRate::Scarce);
}

fn assert_no_overlaps(heartbeat_rate: HeartbeatRate) {
    let fleets = from_environment("PARSLEYSPOOL_FLEETS", DEFAULT_FLEETS);
    let first_seed = from_environment("PARSLEYSPOOL_SEED", 0);
    let mut broken = Vec::new();
    let mut runs = 0;

    for seed in first_seed..first_seed + fleets {
        let fleet = Fleet::play(seed, LeaseBound::RunDeadline, heartbeat_rate);
        assert!(fleet.run_count() >= LEAST_RUNS, "seed {seed}: {} runs", fleet.run_count());
        runs += fleet.run_count();
        if !fleet.overlaps().is_empty() {
            broken.push(describe(seed, &fleet));
        }
    }

    println!("{heartbeat_rate:?} fleets={fleets} first_seed={first_seed} runs={runs}");
    assert!(broken.is_empty(), "{} of {fleets}\n{}", broken.len(), broken.join("\n"));
}

#[test]
fn leases_without_a_bound_let_tasks_run_twice_at_once() {
    let is_broken = |seed| {
        let fleet = Fleet::play(seed, LeaseBound::Missing, HeartbeatRate::Ample);
        !fleet.overlaps().is_empty()
    };

    assert!((0..PLANTED_FAULT_FLEETS).any(is_broken));
}
