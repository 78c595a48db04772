//! The worker's clock as its agent knows it.

use std::time::Duration;

/// Latest reading of the worker's clock, and the end of the lease given on it.
#[derive(Debug, Default)]
pub(super) struct WorkerClock {
    reading: Duration,
    /// Own clock when the reading arrived.
    read_at: Duration,
    lease_until: Duration,
}

/// Lag behind the expected reading beyond which an answer counts as delayed; above the drift of a
/// clock that is 2% slow between two heartbeats of the server.
const READING_DELAY: Duration = Duration::from_millis(60);
/// Age of the latest reading from which any later one is taken.
const READING_AGE: Duration = Duration::from_secs(5);
/// Parts of a hundred at which the worker's clock surely runs.
const LEAST_RATE_PERCENT: u32 = 97;

impl WorkerClock {
    /// Takes a reading that arrived at `now`, unless it was long under way.
    pub(super) fn note(&mut self, reading: Duration, now: Duration) {
        let passed = now.saturating_sub(self.read_at);
        let is_prompt = reading + READING_DELAY >= self.reading + passed;
        let is_aged = passed >= READING_AGE && reading > self.reading;
        if self.reading.is_zero() || is_prompt || is_aged {
            self.reading = reading;
            self.read_at = now;
        }
    }

    /// End of a lease of `length` from now on.
    pub(super) fn lease(&mut self, length: Duration, now: Duration) -> Duration {
        let until = self.reading + now.saturating_sub(self.read_at) + length;
        self.lease_until = self.lease_until.max(until);
        self.lease_until
    }

    /// Whether the lease is surely over; not known before the first reading.
    pub(super) fn is_lease_over(&self, now: Duration) -> bool {
        if self.reading.is_zero() {
            return false;
        }
        let passed = now.saturating_sub(self.read_at) * LEAST_RATE_PERCENT / 100;
        self.reading + passed > self.lease_until
    }
}
