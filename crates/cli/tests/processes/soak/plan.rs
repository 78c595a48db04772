//! Faults of one run, drawn from its seed.

use crate::surroundings::DOMAINS;
use parsleyspool_standins::proxy::LinkDirection;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct SoakShape {
    pub entries: usize,
    pub agents: usize,
    /// Callers of each entry.
    pub callers: usize,
    /// Time over which faults begin.
    pub length: Duration,
    /// Faults, each of which may come again.
    pub faults: usize,
}

/// Process that a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakRole {
    Entry(usize),
    Agent(usize),
}

/// Connections that a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SoakLink {
    /// From agents and other entries to an entry.
    Entry(usize),
    /// From entries to an agent.
    Agent(usize),
    /// From an entry to the log.
    Log(usize),
    /// From an agent to its backend server.
    Backend(usize),
}

/// Fault with how long it lasts.
#[derive(Debug, Clone, Copy)]
pub enum SoakFault {
    Kill(SoakRole, Duration),
    Freeze(SoakRole, Duration),
    /// Planned stop and start.
    Stop(SoakRole),
    Hold(SoakLink, LinkDirection, Duration),
    Delay(SoakLink, Duration, Duration),
    Reset(SoakLink),
    /// Open connections go silent for good.
    Silence(SoakLink, LinkDirection),
    LogAway(Duration),
    LogSlow(Duration, Duration),
    /// Appends take effect and are answered with an error.
    LogDeaf(Duration),
    BackendSlow(usize, f64, Duration),
    BackendFails(usize, Duration),
    /// Failure domain taken out of service, and back.
    DomainOut(usize),
    /// The service is put again, with another deadline.
    ServiceChange,
    /// Clocks of the callers jump by seconds and back.
    ClockJump(i64, Duration),
}

/// Fault at its time.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    pub at: Duration,
    pub fault: SoakFault,
}

/// Times for which one fault comes again at most.
const SERIES: u32 = 3;

/// Faults of the run with `seed`, in the order of their times.
pub fn plan(seed: u64, shape: &SoakShape) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    for _ in 0..shape.faults {
        let fault = draw_fault(&mut random, shape);
        let times = if random.random_bool(0.3) { random.random_range(2..=SERIES) } else { 1 };
        let mut at = draw_time(&mut random, 0, millis(shape.length));
        for _ in 0..times {
            planned.push(PlannedFault { at, fault });
            at += draw_time(&mut random, 300, 1500);
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw_fault(random: &mut ChaCha8Rng, shape: &SoakShape) -> SoakFault {
    let short = draw_time(random, 200, 3_000);
    match random.random_range(0..18) {
        0 | 1 => SoakFault::Kill(draw_role(random, shape), short),
        2 | 3 => SoakFault::Freeze(draw_role(random, shape), short),
        4 | 5 => SoakFault::Stop(draw_role(random, shape)),
        6 | 7 => SoakFault::Hold(draw_link(random, shape), draw_direction(random), short),
        8 => SoakFault::Delay(draw_link(random, shape), draw_time(random, 20, 400), short),
        9 => SoakFault::Reset(draw_link(random, shape)),
        10 => SoakFault::Silence(draw_link(random, shape), draw_direction(random)),
        11 => SoakFault::LogAway(short),
        12 => SoakFault::LogSlow(draw_time(random, 20, 800), short),
        13 => SoakFault::LogDeaf(short),
        14 => SoakFault::BackendSlow(random.random_range(0..shape.agents), 6.0, short),
        15 => SoakFault::BackendFails(random.random_range(0..shape.agents), short),
        16 if random.random_bool(0.5) => SoakFault::DomainOut(random.random_range(0..DOMAINS)),
        16 => SoakFault::ServiceChange,
        _ => SoakFault::ClockJump(random.random_range(-4..=4), short),
    }
}

fn draw_role(random: &mut ChaCha8Rng, shape: &SoakShape) -> SoakRole {
    match random.random_range(0..shape.entries + shape.agents) {
        index if index < shape.entries => SoakRole::Entry(index),
        index => SoakRole::Agent(index - shape.entries),
    }
}

fn draw_link(random: &mut ChaCha8Rng, shape: &SoakShape) -> SoakLink {
    match draw_role(random, shape) {
        SoakRole::Entry(index) if random.random_bool(0.5) => SoakLink::Entry(index),
        SoakRole::Entry(index) => SoakLink::Log(index),
        SoakRole::Agent(index) if random.random_bool(0.5) => SoakLink::Agent(index),
        SoakRole::Agent(index) => SoakLink::Backend(index),
    }
}

fn draw_direction(random: &mut ChaCha8Rng) -> LinkDirection {
    match random.random_range(0..3) {
        0 => LinkDirection::Requests,
        1 => LinkDirection::Answers,
        _ => LinkDirection::Both,
    }
}

fn draw_time(random: &mut ChaCha8Rng, least_ms: u64, most_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(least_ms..=most_ms))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
