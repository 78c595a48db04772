//! Time as the decision parts see it.
//!
//! A caller of a part passes a [`Moment`]: the time since the process started, which never goes
//! back and is what every limit is counted in, and the wall clock, which only orders and labels
//! events. [`HybridClock`] merges the wall clocks of several processes into stamps that order a
//! message's sending before its receipt, whatever the wall clocks say.

use std::time::Duration;

/// Present time, passed into every decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Time since the process started.
    pub elapsed: Duration,
    /// Wall clock as time since the Unix epoch.
    pub wall: Duration,
}

impl Moment {
    /// Moment with both clocks given.
    pub fn new(elapsed: Duration, wall: Duration) -> Self {
        Self { elapsed, wall }
    }
}

/// Hybrid logical time stamp: wall clock in microseconds, then a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HybridTimestamp {
    /// Wall clock since the Unix epoch, in microseconds.
    pub wall_us: u64,
    /// Orders events of the same microsecond.
    pub counter: u32,
}

/// Clock that never issues a stamp at or below one that it issued or observed.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

/// Largest lead over the own wall clock that an observed stamp may force, in microseconds.
const MAX_LEAD_US: u64 = 60_000_000;

impl HybridClock {
    /// Next stamp for an event of this process.
    pub fn tick(&mut self, now: Moment) -> HybridTimestamp {
        let wall_us = u64::try_from(now.wall.as_micros()).unwrap_or(u64::MAX);
        self.last = if wall_us > self.last.wall_us {
            HybridTimestamp { wall_us, counter: 0 }
        } else {
            HybridTimestamp {
                wall_us: self.last.wall_us,
                counter: self.last.counter.saturating_add(1),
            }
        };
        self.last
    }

    /// Takes note of a stamp that came with a message.
    ///
    /// A stamp more than a minute ahead of the own wall clock is ignored, so that one broken clock
    /// does not move all others.
    pub fn observe(&mut self, stamp: HybridTimestamp, now: Moment) {
        let wall_us = u64::try_from(now.wall.as_micros()).unwrap_or(u64::MAX);
        if stamp.wall_us > wall_us.saturating_add(MAX_LEAD_US) {
            return;
        }
        self.last = self.last.max(stamp);
    }

    /// Stamp of the latest event issued or observed.
    pub fn latest(&self) -> HybridTimestamp {
        self.last
    }
}
