//! Draws the faults of a run and their times from its seed.

use crate::environment::DOMAINS;
use parsleyspool_standins::proxy::LinkDirection;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Numbers of processes, callers and faults in a run.
#[derive(Debug, Clone, Copy)]
pub struct SoakSize {
    pub entries: usize,
    pub agents: usize,
    /// Callers of each entry.
    pub callers: usize,
    /// Period in which the faults begin; repeated ones may begin later.
    pub length: Duration,
    /// Number of faults, each of which may be injected repeatedly.
    pub faults: usize,
}

/// Process that a fault affects, by its role and its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakRole {
    Entry(usize),
    Agent(usize),
}

/// Connections that a fault affects.
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

/// Fault of a run; the last `Duration` of a variant is the time for which it lasts.
#[derive(Debug, Clone, Copy)]
pub enum SoakFault {
    /// SIGKILL, and a restart at the end.
    Kill(SoakRole, Duration),
    /// SIGSTOP, and SIGCONT at the end.
    Freeze(SoakRole, Duration),
    /// SIGTERM, and a restart after the exit.
    Stop(SoakRole),
    /// No byte passes until the end, as in a network partition.
    Hold(SoakLink, LinkDirection, Duration),
    /// Every byte is delayed by the first duration.
    Delay(SoakLink, Duration, Duration),
    /// Open connections are reset.
    Reset(SoakLink),
    /// Open connections pass no further byte and stay open.
    Silence(SoakLink, LinkDirection),
    /// The log answers every request with an error.
    LogAway(Duration),
    /// The log takes the first duration for each append and read.
    LogSlow(Duration, Duration),
    /// The log executes appends but answers them with an error.
    LogDeaf(Duration),
    /// The run times at a backend server are multiplied by the factor.
    BackendSlow(usize, f64, Duration),
    /// A backend server fails every task.
    BackendFails(usize, Duration),
    /// A failure domain is taken out of service and brought back.
    DomainOut(usize),
    /// The service is reconfigured with another deadline.
    ServiceChange,
    /// The clocks of the callers jump by the given seconds, and back at the end.
    ClockJump(i64, Duration),
}

/// Fault with the time after the start of the run at which it is injected.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    pub at: Duration,
    pub fault: SoakFault,
}

/// Maximum number of times that a fault is injected.
const MAX_OCCURRENCES: u32 = 3;

/// Draws the faults of the run with `seed`, in the order of their times.
pub fn draw_schedule(seed: u64, size: &SoakSize) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    for _ in 0..size.faults {
        let fault = draw_fault(&mut random, size);
        let occurrences =
            if random.random_bool(0.3) { random.random_range(2..=MAX_OCCURRENCES) } else { 1 };
        let mut at = draw_time(&mut random, 0, millis(size.length));
        for _ in 0..occurrences {
            planned.push(PlannedFault { at, fault });
            at += draw_time(&mut random, 300, 1500);
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw_fault(random: &mut ChaCha8Rng, size: &SoakSize) -> SoakFault {
    let duration = draw_time(random, 200, 3_000);
    match random.random_range(0..18) {
        0 | 1 => SoakFault::Kill(draw_role(random, size), duration),
        2 | 3 => SoakFault::Freeze(draw_role(random, size), duration),
        4 | 5 => SoakFault::Stop(draw_role(random, size)),
        6 | 7 => SoakFault::Hold(draw_link(random, size), draw_direction(random), duration),
        8 => SoakFault::Delay(draw_link(random, size), draw_time(random, 20, 400), duration),
        9 => SoakFault::Reset(draw_link(random, size)),
        10 => SoakFault::Silence(draw_link(random, size), draw_direction(random)),
        11 => SoakFault::LogAway(duration),
        12 => SoakFault::LogSlow(draw_time(random, 20, 800), duration),
        13 => SoakFault::LogDeaf(duration),
        14 => SoakFault::BackendSlow(random.random_range(0..size.agents), 6.0, duration),
        15 => SoakFault::BackendFails(random.random_range(0..size.agents), duration),
        16 if random.random_bool(0.5) => SoakFault::DomainOut(random.random_range(0..DOMAINS)),
        16 => SoakFault::ServiceChange,
        _ => SoakFault::ClockJump(random.random_range(-4..=4), duration),
    }
}

fn draw_role(random: &mut ChaCha8Rng, size: &SoakSize) -> SoakRole {
    match random.random_range(0..size.entries + size.agents) {
        index if index < size.entries => SoakRole::Entry(index),
        index => SoakRole::Agent(index - size.entries),
    }
}

fn draw_link(random: &mut ChaCha8Rng, size: &SoakSize) -> SoakLink {
    match draw_role(random, size) {
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

fn draw_time(random: &mut ChaCha8Rng, min_ms: u64, max_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(min_ms..=max_ms))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
