//! Placement policies, which choose a backend server for a task.
//!
//! A policy receives a bounded sample of the servers with free capacity, so the cost of a placement
//! does not grow with the number of servers. [`EarliestFinish`] is the policy for production; the
//! others are baselines for experiments.

use crate::named_enum::named_enum;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Server that a policy can choose, with the expected times of the task on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Index of the server in its directory.
    pub index: usize,
    /// Capacity of the server in slots.
    pub slots: u32,
    /// Slots that the task occupies.
    pub demand: u32,
    /// Estimated load of the server in slots, from all entries.
    pub load: u32,
    /// Slots reserved for tasks of this entry.
    pub own_load: u32,
    /// Expected run time of the task on the server.
    pub run_time: Duration,
    /// Average run time of tasks on the server, as an estimate for the tasks that run before it.
    pub mean_run_time: Duration,
    /// Whether the server is in the same failure domain as the entry.
    pub is_same_domain: bool,
}

impl PlacementCandidate {
    /// Expected time until the task finishes, without the time to reach the server.
    pub fn finish_time(&self) -> Duration {
        let slots = self.slots.max(1);
        let excess = self.load.saturating_add(self.demand).saturating_sub(slots);
        let wait = self.mean_run_time.saturating_mul(excess) / slots;
        self.run_time.saturating_add(wait)
    }
}

/// Chooses one of several candidate servers.
pub trait PlacementPolicy: std::fmt::Debug + Send {
    /// Position of the chosen server in `candidates`; `None` if the task has to wait.
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<usize>;
}

named_enum! {
    /// Placement policy selected in the settings.
    pub enum PlacementKind {
        /// Server with the earliest expected finish time.
        EarliestFinish = "earliest_finish",
        /// Random server.
        Random = "random",
        /// Each server in turn, by index.
        RoundRobin = "round_robin",
        /// Server with the least load from this entry.
        LeastOutstanding = "least_outstanding",
        /// Less loaded of two random servers.
        TwoChoices = "two_choices",
    }
}

impl PlacementKind {
    /// Creates a policy of this kind; `cross_domain_percent` is used by
    /// [`EarliestFinish`](PlacementKind::EarliestFinish) alone.
    pub fn policy(self, cross_domain_percent: u32) -> Box<dyn PlacementPolicy> {
        match self {
            Self::EarliestFinish => Box::new(EarliestFinish { cross_domain_percent }),
            Self::Random => Box::new(RandomServer),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastOutstanding => Box::new(LeastOutstanding),
            Self::TwoChoices => Box::new(TwoChoices),
        }
    }
}

/// Least time added to the finish time on a server in another failure domain than the entry.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(1);

/// Chooses the server where the task is expected to finish first.
///
/// A server in another failure domain than the entry is chosen only if the task finishes there
/// earlier by `cross_domain_percent` of its run time. This saves traffic between failure domains
/// while the own one has free capacity.
#[derive(Debug)]
pub struct EarliestFinish {
    /// Percentage of the run time.
    pub cross_domain_percent: u32,
}

impl EarliestFinish {
    fn cross_domain_cost(&self, candidate: &PlacementCandidate) -> Duration {
        if candidate.is_same_domain {
            return Duration::ZERO;
        }
        let share = candidate.run_time.saturating_mul(self.cross_domain_percent) / 100;
        share.max(CROSS_DOMAIN_COST)
    }
}

impl PlacementPolicy for EarliestFinish {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        _random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let cost = |candidate: &PlacementCandidate| {
            candidate.finish_time().saturating_add(self.cross_domain_cost(candidate))
        };
        position_of_min(candidates, cost)
    }
}

/// Chooses a random server.
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

/// Chooses the servers in turn, by index.
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
        let rotation_key =
            |candidate: &PlacementCandidate| (candidate.index <= last, candidate.index);
        let position = position_of_min(candidates, rotation_key)?;
        self.last = candidates[position].index;
        Some(position)
    }
}

/// Chooses the server with the least load from this entry.
#[derive(Debug)]
pub struct LeastOutstanding;

impl PlacementPolicy for LeastOutstanding {
    fn choose(
        &mut self,
        candidates: &[PlacementCandidate],
        _random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        position_of_min(candidates, |candidate| candidate.own_load)
    }
}

/// Chooses the less loaded of two random servers.
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

fn position_of_min<K: Ord>(
    candidates: &[PlacementCandidate],
    key: impl Fn(&PlacementCandidate) -> K,
) -> Option<usize> {
    let positions = candidates.iter().enumerate();
    positions.min_by_key(|(_, candidate)| key(candidate)).map(|(position, _)| position)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn candidate(index: usize, is_same_domain: bool, run_time_ms: u64) -> PlacementCandidate {
        let run_time = Duration::from_millis(run_time_ms);
        PlacementCandidate {
            index,
            slots: 8,
            demand: 1,
            load: 0,
            own_load: 0,
            run_time,
            mean_run_time: run_time,
            is_same_domain,
        }
    }

    fn choose(cross_domain_percent: u32, candidates: &[PlacementCandidate]) -> Option<usize> {
        let mut policy = PlacementKind::EarliestFinish.policy(cross_domain_percent);
        policy.choose(candidates, &mut ChaCha8Rng::seed_from_u64(1))
    }

    /// Guards against traffic between failure domains that saves next to no time, and against work
    /// that stays on a slow server although a much faster one is free.
    #[test]
    fn another_failure_domain_is_chosen_only_if_it_saves_its_share_of_the_run_time() {
        let little = [candidate(0, true, 100), candidate(1, false, 95)];
        let much = [candidate(0, true, 100), candidate(1, false, 80)];

        assert_eq!(choose(0, &little), Some(1));
        assert_eq!(choose(10, &little), Some(0));
        assert_eq!(choose(10, &much), Some(1));
    }
}
