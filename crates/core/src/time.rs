//! Clock readings and hybrid logical time.
//!
//! The state machines of this package read no clock; their caller passes a [`Moment`]. It contains
//! the time since the process started, which is monotonic and used for all limits of this process,
//! the same time without suspensions, which bounds what runs on another steady clock of the same
//! machine, and the wall clock, which only orders and labels events. [`HybridClock`] merges the wall
//! clocks of several processes into timestamps that order the sending of a message before its receipt,
//! even if the wall clocks disagree.

use std::time::Duration;

/// Reading of the clocks, passed with every event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time since the process started, including suspensions of the machine.
    pub elapsed: Duration,
    /// Monotonic time since the process started, without suspensions of the machine.
    pub steady: Duration,
    /// Wall clock time since the Unix epoch.
    pub wall: Duration,
}

impl Moment {
    /// Moment on a machine that has not been suspended since the process started.
    pub fn new(elapsed: Duration, wall: Duration) -> Self {
        Self { elapsed, steady: elapsed, wall }
    }
}

/// Hybrid logical timestamp, ordered by wall clock and then by counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HybridTimestamp {
    /// Wall clock time since the Unix epoch, in microseconds.
    pub wall_us: u64,
    /// Counter that orders events of the same microsecond.
    pub counter: u32,
}

/// Hybrid logical clock: each issued timestamp is higher than all issued or observed before.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

/// Maximum lead of an accepted timestamp over the local wall clock, in microseconds.
const MAX_LEAD_US: u64 = 60_000_000;

impl HybridClock {
    /// Issues the timestamp of the next local event.
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

    /// Advances the clock to the timestamp of a received message.
    ///
    /// A timestamp more than one minute ahead of the local wall clock is ignored, so that one
    /// broken clock does not move the clocks of all processes.
    pub fn observe(&mut self, stamp: HybridTimestamp, now: Moment) {
        let wall_us = u64::try_from(now.wall.as_micros()).unwrap_or(u64::MAX);
        if stamp.wall_us > wall_us.saturating_add(MAX_LEAD_US) {
            return;
        }
        self.last = self.last.max(stamp);
    }

    /// Latest timestamp issued or accepted.
    pub fn latest(&self) -> HybridTimestamp {
        self.last
    }
}
