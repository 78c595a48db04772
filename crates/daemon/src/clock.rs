//! Clocks of a process.

use crate::edge::ClockSource;
use parsleyspool_core::time::Moment;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Clock of the operating system.
///
/// The wall clock is read once and carried on by the monotonic clock, so both agree for as long as
/// the process lives.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
    wall: Duration,
}

impl SystemClock {
    /// Clock that starts now.
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> Moment {
        let elapsed = self.start.elapsed();
        Moment::new(elapsed, self.wall + elapsed)
    }
}
