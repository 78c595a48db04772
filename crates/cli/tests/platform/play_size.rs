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
    /// Size from the variables `SEED`, `ENTRIES`, `AGENTS`, `JOBS` (a second), `SECONDS`,
    /// `RESTARTED`, `RESTART_MS`, `DOWN_MS`, `LATE` (calls of a thousand) and `ANSWER_MS`.
    ///
    /// By default, all workers restart at the same time.
    pub fn from_environment() -> Self {
        let agents = number("AGENTS", 11) as usize;
        Self {
            seed: number("SEED", 1),
            entries: number("ENTRIES", 3) as usize,
            agents,
            jobs_per_second: u32::try_from(number("JOBS", 100)).expect("a small rate"),
            length: Duration::from_secs(number("SECONDS", 12)),
            restarted: number("RESTARTED", agents as u64) as usize,
            restart_interval: Duration::from_millis(number("RESTART_MS", 1200)),
            max_down: Duration::from_millis(number("DOWN_MS", 60)),
            faults: WorkerFaults {
                late_per_mille: u32::try_from(number("LATE", 0)).expect("a small share"),
                max_answer_delay: Duration::from_millis(number("ANSWER_MS", 0)),
            },
        }
    }
}

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(format!("{VARIABLE_PREFIX}{name}")).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}
