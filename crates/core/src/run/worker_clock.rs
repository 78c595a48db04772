//! Estimate of the worker's clock and of the lease granted on it.

use std::time::Duration;

/// Latest reading of the worker's clock, and the end of the lease on that clock.
#[derive(Debug, Default)]
pub(super) struct WorkerClock {
    reading: Duration,
    /// Agent's clock when the reading arrived.
    read_at: Duration,
    lease_until: Duration,
}

/// A reading that lags the expected one by more than this counts as delayed in transit. The limit
/// exceeds the drift of a clock that runs 2% slow between two heartbeats of the server.
const MAX_READING_LAG: Duration = Duration::from_millis(60);
/// Age from which the current reading is replaced by any higher one, delayed or not.
const MAX_READING_AGE: Duration = Duration::from_secs(5);
/// Slowest rate at which the worker's clock runs, in percent of the agent's clock.
const MIN_CLOCK_RATE_PERCENT: u32 = 97;

impl WorkerClock {
    /// Adopts a reading that arrived at `now`, unless it was delayed in transit.
    pub(super) fn update(&mut self, reading: Duration, now: Duration) {
        let passed = now.saturating_sub(self.read_at);
        let is_prompt = reading + MAX_READING_LAG >= self.reading + passed;
        let is_stale = passed >= MAX_READING_AGE && reading > self.reading;
        if self.reading.is_zero() || is_prompt || is_stale {
            self.reading = reading;
            self.read_at = now;
        }
    }

    /// Estimated reading at `now`; `None` before the first reading.
    pub(super) fn estimate(&self, now: Duration) -> Option<Duration> {
        (!self.reading.is_zero()).then(|| self.reading + now.saturating_sub(self.read_at))
    }

    /// End of the lease on the worker's clock; `None` before the first grant.
    pub(super) fn lease_until(&self) -> Option<Duration> {
        (!self.lease_until.is_zero()).then_some(self.lease_until)
    }

    /// Extends the lease to `length` from `now` and returns its end; never shortens it.
    pub(super) fn extend_lease(&mut self, length: Duration, now: Duration) -> Duration {
        let until = self.reading + now.saturating_sub(self.read_at) + length;
        self.lease_until = self.lease_until.max(until);
        self.lease_until
    }

    /// Whether the lease has expired even on the slowest clock; false before the first reading.
    pub(super) fn is_lease_expired(&self, now: Duration) -> bool {
        if self.reading.is_zero() {
            return false;
        }
        let passed = now.saturating_sub(self.read_at) * MIN_CLOCK_RATE_PERCENT / 100;
        self.reading + passed > self.lease_until
    }
}
