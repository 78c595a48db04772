//! Clocks of a process.

use crate::interfaces::ClockSource;
use nix::time::{ClockId, clock_gettime};
use parsleyspool_core::time::Moment;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clock of the operating system.
///
/// Elapsed time includes the time for which the machine was suspended, so that what ended meanwhile
/// is seen to have ended. The wall clock is read once and carried on by it, so both agree for as
/// long as the process lives.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
    uptime_at_start: Option<Duration>,
    wall_at_start: Duration,
}

impl SystemClock {
    /// Clock that starts now.
    pub fn new() -> Self {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), uptime_at_start: system_uptime(), wall_at_start }
    }

    fn elapsed(&self) -> Duration {
        match (self.uptime_at_start, system_uptime()) {
            (Some(start), Some(now)) => now.saturating_sub(start),
            // A system without this clock does not suspend either.
            _ => self.start.elapsed(),
        }
    }
}

/// Time since the system started, suspended or not.
fn system_uptime() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> Moment {
        let elapsed = self.elapsed();
        Moment::new(elapsed, self.wall_at_start + elapsed)
    }
}
