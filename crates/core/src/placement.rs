//! Choice of a backend server for a task.
//!
//! A policy sees a bounded sample of the servers that may take the task, never all of them, so the
//! cost of a placement does not grow with the number of servers. [`EarliestFinish`] is the policy
//! of the product; the others are baselines for experiments.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What a policy knows of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Index of the server in its directory.
    pub index: usize,
    /// Slots of the server.
    pub slots: u32,
    /// Slots that the task takes.
    pub demand: u32,
    /// Tasks there, by its latest report and the own tasks sent since.
    pub load: u32,
    /// Own tasks there.
    pub own_load: u32,
    /// Expected run time of the task there.
    pub run_time: Duration,
    /// Expected run time of the tasks before it there.
    pub mean_run_time: Duration,
    /// Whether the server is in the same failure domain as the entry.
    pub is_same_domain: bool,
}

impl PlacementCandidate {
    /// Expected time until the task would finish, without the way there.
    pub fn finish_time(&self) -> Duration {
        let slots = self.slots.max(1);
        let waves = (self.load + self.demand).saturating_sub(slots);
        self.run_time + self.mean_run_time * waves / slots
    }
}

/// Chooses one of the candidates.
pub trait PlacementPolicy: std::fmt::Debug + Send {
    /// Position in `candidates` of the server to take; `None` where none is to take it now.
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<usize>;
}

/// Names of the policies, as the settings give them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// Least expected finish time.
    EarliestFinish,
    /// Any server.
    Random,
    /// Servers in turn.
    RoundRobin,
    /// Fewest own tasks.
    LeastOutstanding,
    /// The less loaded of two random servers.
    TwoChoices,
}

impl PlacementKind {
    /// Every kind with its name in the settings.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::EarliestFinish, "earliest_finish"),
        (Self::Random, "random"),
        (Self::RoundRobin, "round_robin"),
        (Self::LeastOutstanding, "least_outstanding"),
        (Self::TwoChoices, "two_choices"),
    ];

    /// Kind from its name in the settings.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|(_, other)| *other == name).map(|(kind, _)| kind)
    }

    /// Policy of this kind.
    pub fn policy(self) -> Box<dyn PlacementPolicy> {
        match self {
            Self::EarliestFinish => Box::new(EarliestFinish),
            Self::Random => Box::new(RandomServer),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastOutstanding => Box::new(LeastOutstanding),
            Self::TwoChoices => Box::new(TwoChoices),
        }
    }
}

/// Time that crossing into another failure domain costs.
const CROSSING_COST: Duration = Duration::from_millis(1);

/// Takes the server where the task is expected to finish first.
#[derive(Debug)]
pub struct EarliestFinish;

impl PlacementPolicy for EarliestFinish {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        _random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let cost = |candidate: &PlacementCandidate| {
            let crossing = if candidate.is_same_domain { Duration::ZERO } else { CROSSING_COST };
            candidate.finish_time() + crossing
        };
        position_of_least(candidates, cost)
    }
}

/// Takes any server.
#[derive(Debug)]
pub struct RandomServer;

impl PlacementPolicy for RandomServer {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| random.random_range(0..candidates.len()))
    }
}

/// Takes the servers in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: usize,
}

impl PlacementPolicy for RoundRobin {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        _random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let last = self.last;
        let turn = |candidate: &PlacementCandidate| (candidate.index <= last, candidate.index);
        let position = position_of_least(candidates, turn)?;
        self.last = candidates[position].index;
        Some(position)
    }
}

/// Takes the server with the fewest own tasks.
#[derive(Debug)]
pub struct LeastOutstanding;

impl PlacementPolicy for LeastOutstanding {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        _random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        position_of_least(candidates, |candidate| candidate.own_load)
    }
}

/// Takes the less loaded of two random servers.
#[derive(Debug)]
pub struct TwoChoices;

impl PlacementPolicy for TwoChoices {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = random.random_range(0..candidates.len());
        let second = random.random_range(0..candidates.len());
        let is_second_better = candidates[second].load < candidates[first].load;
        Some(if is_second_better { second } else { first })
    }
}

fn position_of_least<K: Ord>(
    candidates: &[PlacementCandidate],
    key: impl Fn(&PlacementCandidate) -> K,
) -> Option<usize> {
    let positions = candidates.iter().enumerate();
    positions.min_by_key(|(_, candidate)| key(candidate)).map(|(position, _)| position)
}
