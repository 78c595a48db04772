//! Runs random schedules of entries, agents, the log and operators under faults.
//!
//! A schedule is a list of small steps drawn by proptest, which shrinks a failing schedule to the
//! shortest one that still violates an invariant. `PARSLEYSPOOL_SCHEDULES` sets the number of
//! schedules and `PARSLEYSPOOL_SEED` the seed; both have fixed defaults. Other schedules run with a
//! planted fault, which the checker must detect.

mod cluster;
mod fault;
mod fleet;
mod fleet_checks;
mod step;

use cluster::SimulatedCluster;
use fault::PlantedFault;
use parsleyspool_core::checker::TimelineInvariant;
use parsleyspool_core::overload::OverloadPolicy;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Range;

const DEFAULT_SCHEDULES: u32 = 1_500;
const DEFAULT_SEED: u64 = 7;
const STEP_COUNT: Range<usize> = 40..260;

fn from_environment<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner(schedules: u32, seed: u64) -> TestRunner {
    let mut seed_bytes = [0; 32];
    seed_bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes);
    let config = Config { cases: schedules, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
}

fn run_schedule(
    steps: &[(u8, u8, u8)],
    fault: PlantedFault,
    overload: OverloadPolicy,
) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(fault, overload);
    for &step in steps {
        cluster.execute(step);
    }
    cluster.run_to_completion();
    cluster
}

#[test]
fn no_schedule_violates_an_invariant() {
    assert_no_violation(OverloadPolicy::Arrival);
}

/// Guards against a delayed or refused job that is answered twice, or whose answer says that nothing ran
/// although a task did.
#[test]
fn no_schedule_with_overload_plans_violates_an_invariant() {
    let totals = assert_no_violation(OverloadPolicy::Priority);
    assert!(totals.overloads > 0, "no schedule had an overload");
}

fn assert_no_violation(overload: OverloadPolicy) -> cluster::ClusterCounters {
    let schedules = from_environment("PARSLEYSPOOL_SCHEDULES", DEFAULT_SCHEDULES);
    let seed = from_environment("PARSLEYSPOOL_SEED", DEFAULT_SEED);
    let visited_states = RefCell::new(HashSet::new());
    let totals = RefCell::new(cluster::ClusterCounters::default());
    let steps = vec(any::<(u8, u8, u8)>(), STEP_COUNT);

    let result = runner(schedules, seed).run(&steps, |steps| {
        let cluster = run_schedule(&steps, PlantedFault::None, overload);
        visited_states.borrow_mut().extend(cluster.visited_states());
        totals.borrow_mut().add(&cluster.counters());
        match cluster.violations().first() {
            None => Ok(()),
            Some(first) => Err(TestCaseError::fail(format!("{first}\n{}", cluster.transcript()))),
        }
    });

    println!(
        "{overload:?} schedules={schedules} seed={seed} distinct_states={} {}",
        visited_states.borrow().len(),
        totals.borrow()
    );
    match result {
        Ok(()) => {}
        Err(TestError::Fail(reason, steps)) => panic!("{} steps: {reason}", steps.len()),
        Err(error) => panic!("{error}"),
    }
    totals.into_inner()
}

/// Schedules run before a planted fault counts as not caught.
const PLANTED_FAULT_SCHEDULES: u32 = 20_000;

fn is_caught(fault: PlantedFault, invariant: TimelineInvariant) -> bool {
    let mut runner = runner(PLANTED_FAULT_SCHEDULES, DEFAULT_SEED);
    let steps = vec(any::<(u8, u8, u8)>(), STEP_COUNT);
    (0..PLANTED_FAULT_SCHEDULES).any(|_| {
        let tree = steps.new_tree(&mut runner).expect("steps can be generated");
        let cluster = run_schedule(&tree.current(), fault, OverloadPolicy::Arrival);
        cluster.violations().iter().any(|violation| violation.invariant == invariant)
    })
}

#[test]
fn every_planted_fault_is_caught() {
    let faults = [
        (PlantedFault::AgentLosesState, TimelineInvariant::StartsOnce),
        (PlantedFault::BreaksReportedAsUnsent, TimelineInvariant::StartsOnce),
        (PlantedFault::BreaksReportedAsUnsent, TimelineInvariant::NotRun),
        (PlantedFault::ForeignClaimsHidden, TimelineInvariant::AtMostOnce),
        (PlantedFault::PermitsTooLong, TimelineInvariant::DomainOut),
        (PlantedFault::PermitsTooLong, TimelineInvariant::LeavingServer),
        (PlantedFault::LedgerReset, TimelineInvariant::ConfigForward),
        (PlantedFault::AnswersSwapped, TimelineInvariant::OwnAnswer),
        (PlantedFault::AnswerEventsDropped, TimelineInvariant::WholeAnswer),
        (PlantedFault::StopAbandonsRuns, TimelineInvariant::GracefulStop),
    ];

    for (fault, invariant) in faults {
        assert!(
            is_caught(fault, invariant),
            "{fault:?} was not caught as a violation of {invariant:?}"
        );
    }
}
