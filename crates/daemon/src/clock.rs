//! System clock of a daemon.

use crate::interfaces::ClockSource;
use nix::time::{ClockId, clock_gettime};
use parsleyspool_core::time::Moment;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clock of the operating system.
///
/// Elapsed time includes the time for which the machine was suspended, so that leases and deadlines
/// that ended during the suspension count as expired. Steady time does not include it. The wall clock
/// is read once at the start and advanced by the elapsed time, so both clocks agree for the lifetime
/// of the process.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
    uptime_at_start: Option<Duration>,
    wall_at_start: Duration,
}

impl SystemClock {
    /// Starts the clock: elapsed time counts from this call.
    pub fn new() -> Self {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), uptime_at_start: system_uptime(), wall_at_start }
    }

    fn elapsed(&self) -> Duration {
        match (self.uptime_at_start, system_uptime()) {
            (Some(start), Some(now)) => now.saturating_sub(start),
            // A system without the boot-time clock does not suspend.
            _ => self.start.elapsed(),
        }
    }
}

/// Time since boot, including suspension; `None` if the system has no such clock.
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
        Moment { elapsed, steady: self.start.elapsed(), wall: self.wall_at_start + elapsed }
    }
}
