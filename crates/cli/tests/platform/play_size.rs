//! Size and seed of a play, from environment variables or the defaults.

use crate::worker_standin::WorkerFaults;
use std::time::Duration;

/// Prefix of the environment variables.
const VARIABLE_PREFIX: &str = "PARSLEYSPOOL_PLATFORM_";

/// Size, seed and faults of a play.
#[derive(Debug, Clone, Copy)]
pub struct PlaySize {
    pub seed: u64,
    pub entries: usize,
    pub agents: usize,
    pub jobs_per_second: u32,
    /// Time for which callers submit jobs.
    pub length: Duration,
    /// Number of workers that restart at the same time.
    pub restarted: usize,
    /// Time from one restart to the next.
    pub restart_interval: Duration,
    /// Longest time for which a restarted worker is down.
    pub max_down: Duration,
    pub faults: WorkerFaults,
}

impl PlaySize {
    /// Short play in which all workers restart at the same time.
    pub fn all_restart() -> Self {
        Self {
            seed: 1,
            entries: 3,
            agents: 11,
            jobs_per_second: 100,
            length: Duration::from_secs(12),
            restarted: 11,
            restart_interval: Duration::from_millis(1200),
            max_down: Duration::from_millis(60),
            faults: WorkerFaults {
                first_age: Duration::ZERO,
                max_announce_delay: Duration::from_millis(40),
                late_per_mille: 0,
                max_answer_delay: Duration::from_millis(15),
            },
        }
    }

    /// Short play in which some of the workers restart, and soon after them some others.
    pub fn some_restart() -> Self {
        let restart_interval = Duration::from_millis(500);
        Self { restarted: 4, restart_interval, ..Self::all_restart() }
    }

    /// Short play in which all workers, long up when their agents start, restart once.
    pub fn old_restart() -> Self {
        let all_restart = Self::all_restart();
        Self {
            length: Duration::from_secs(6),
            restart_interval: Duration::from_millis(4000),
            faults: WorkerFaults { first_age: Duration::from_secs(3600), ..all_restart.faults },
            ..all_restart
        }
    }

    /// Short and small play in which no worker restarts.
    pub fn none_restart() -> Self {
        Self {
            entries: 2,
            agents: 4,
            jobs_per_second: 30,
            length: Duration::from_secs(3),
            restarted: 0,
            ..Self::all_restart()
        }
    }

    /// Replaces what is set by the variables `SEED`, `ENTRIES`, `AGENTS`, `JOBS` (a second),
    /// `SECONDS`, `RESTARTED`, `RESTART_MS`, `DOWN_MS`, `LATE` (calls of a thousand),
    /// `ANNOUNCE_MS`, `ANSWER_MS` and `AGE_MS` (of the workers when the agents start).
    pub fn with_environment(self) -> Self {
        let millis = |name, default| number(name).map_or(default, Duration::from_millis);
        let count = |name, default| number(name).map_or(default, |number| number as usize);
        let rate = |name, default| number(name).map_or(default, |number| number as u32);
        Self {
            seed: number("SEED").unwrap_or(self.seed),
            entries: count("ENTRIES", self.entries),
            agents: count("AGENTS", self.agents),
            jobs_per_second: rate("JOBS", self.jobs_per_second),
            length: number("SECONDS").map_or(self.length, Duration::from_secs),
            restarted: count("RESTARTED", self.restarted),
            restart_interval: millis("RESTART_MS", self.restart_interval),
            max_down: millis("DOWN_MS", self.max_down),
            faults: WorkerFaults {
                first_age: millis("AGE_MS", self.faults.first_age),
                max_announce_delay: millis("ANNOUNCE_MS", self.faults.max_announce_delay),
                late_per_mille: rate("LATE", self.faults.late_per_mille),
                max_answer_delay: millis("ANSWER_MS", self.faults.max_answer_delay),
            },
        }
    }
}

fn number(name: &str) -> Option<u64> {
    let value = std::env::var(format!("{VARIABLE_PREFIX}{name}")).ok()?;
    Some(value.parse().expect("a number"))
}
