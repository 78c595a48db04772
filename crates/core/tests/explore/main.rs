//! Explores schedules of entries, agents, the log and operators under faults.
//!
//! A schedule is a list of small steps drawn by proptest; a failing one is shrunk to the shortest
//! that still breaks a promise. `PARSLEYSPOOL_SCHEDULES` sets the number of schedules, and
//! `PARSLEYSPOOL_SEED` the seed; without them both are fixed.

mod fault;
mod step;
mod world;

use fault::PlantedFault;
use parsleyspool_core::checker::TimelineInvariant;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Range;
use world::World;

const DEFAULT_SCHEDULES: u32 = 1_500;
const DEFAULT_SEED: u64 = 7;
const STEPS: Range<usize> = 40..260;

fn from_environment<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner(schedules: u32, seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config { cases: schedules, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, random)
}

fn run(steps: &[(u8, u8, u8)], fault: PlantedFault) -> World {
    let mut world = World::new(fault);
    for &step in steps {
        world.take(step);
    }
    world.settle();
    world
}

#[test]
fn no_schedule_breaks_a_promise() {
    let schedules = from_environment("PARSLEYSPOOL_SCHEDULES", DEFAULT_SCHEDULES);
    let seed = from_environment("PARSLEYSPOOL_SEED", DEFAULT_SEED);
    let states = RefCell::new(HashSet::new());
    let totals = RefCell::new(world::WorldFigures::default());
    let steps = vec(any::<(u8, u8, u8)>(), STEPS);

    let result = runner(schedules, seed).run(&steps, |steps| {
        let world = run(&steps, PlantedFault::None);
        states.borrow_mut().extend(world.states());
        totals.borrow_mut().add(&world.figures());
        match world.breaches().first() {
            None => Ok(()),
            Some(breach) => Err(TestCaseError::fail(format!("{breach}\n{}", world.story()))),
        }
    });

    println!(
        "schedules={schedules} seed={seed} distinct_states={} {}",
        states.borrow().len(),
        totals.borrow()
    );
    match result {
        Ok(()) => {}
        Err(TestError::Fail(reason, steps)) => panic!("{} steps: {reason}", steps.len()),
        Err(error) => panic!("{error}"),
    }
}

/// Schedules tried before a planted fault must have been caught.
const PLANTED_SCHEDULES: u32 = 20_000;

fn is_caught(fault: PlantedFault, promise: TimelineInvariant) -> bool {
    let mut runner = runner(PLANTED_SCHEDULES, DEFAULT_SEED);
    let steps = vec(any::<(u8, u8, u8)>(), STEPS);
    (0..PLANTED_SCHEDULES).any(|_| {
        let tree = steps.new_tree(&mut runner).expect("steps can be drawn");
        let world = run(&tree.current(), fault);
        world.breaches().iter().any(|breach| breach.invariant == promise)
    })
}

#[test]
fn every_planted_fault_is_caught() {
    let faults = [
        (PlantedFault::AgentForgets, TimelineInvariant::StartsOnce),
        (PlantedFault::BreaksCountAsUnsent, TimelineInvariant::StartsOnce),
        (PlantedFault::BreaksCountAsUnsent, TimelineInvariant::NotRun),
        (PlantedFault::ClaimsForgotten, TimelineInvariant::AtMostOnce),
        (PlantedFault::PermitsNeverEnd, TimelineInvariant::DomainOut),
        (PlantedFault::PermitsNeverEnd, TimelineInvariant::LeavingServer),
        (PlantedFault::LedgerReset, TimelineInvariant::ConfigForward),
        (PlantedFault::AnswersSwapped, TimelineInvariant::OwnAnswer),
        (PlantedFault::AnswersDropped, TimelineInvariant::WholeAnswer),
        (PlantedFault::StopCutsWork, TimelineInvariant::GracefulStop),
    ];

    for (fault, promise) in faults {
        assert!(is_caught(fault, promise), "{fault:?} breaks {promise:?} unnoticed");
    }
}
