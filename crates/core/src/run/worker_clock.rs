//! Estimate of the worker's clock, on the agent's steady clock: a suspension of the machine stops both.

use super::worker_lease::LeaseRenewal;
use crate::time::Moment;
use std::time::Duration;

/// Slowest rate at which the worker's clock runs, in percent of the agent's steady clock.
pub(super) const MIN_CLOCK_RATE_PERCENT: u32 = 97;

/// Reading of the worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    value: Duration,
    /// Agent's steady clock when the reading arrived.
    read_at: Duration,
}

/// Worker's clock, extrapolated from its latest reading.
#[derive(Debug, Default)]
pub(super) struct WorkerClock {
    /// `None` before the first reading in the incarnation.
    latest: Option<ClockReading>,
}

/// A reading that lags the expected one by more than this counts as delayed in transit. The limit
/// exceeds the drift of a clock that runs 2% slow between two heartbeats of the server.
const MAX_READING_LAG: Duration = Duration::from_millis(60);
/// Age from which the current reading is replaced by any higher one, delayed or not.
const MAX_READING_AGE: Duration = Duration::from_secs(5);

impl WorkerClock {
    /// Adopts a reading that arrived at `now`, unless it was delayed in transit.
    pub(super) fn update(&mut self, value: Duration, now: Duration) {
        if self.latest.is_none_or(|latest| latest.is_replaced_by(value, now)) {
            self.latest = Some(ClockReading { value, read_at: now });
        }
    }

    /// Estimated reading at `now`; `None` before the first reading.
    pub(super) fn estimate(&self, now: Duration) -> Option<Duration> {
        self.latest.map(|latest| latest.extrapolate(now))
    }

    /// End of a lease of the length `lease` that is granted at `now`, on the worker's clock. The lease
    /// ends by `run_deadline`, on the agent's clock, even if the worker's clock is as slow as allowed.
    pub(super) fn lease_end(
        &self,
        lease: Duration,
        run_deadline: Option<Duration>,
        now: Moment,
    ) -> LeaseRenewal {
        let Some(latest) = self.latest else { return LeaseRenewal::ClockUnknown };
        let until = latest.extrapolate(now.steady) + lease;
        let Some(run_deadline) = run_deadline else { return LeaseRenewal::Until(until) };
        match run_deadline.checked_sub(now.elapsed) {
            None | Some(Duration::ZERO) => LeaseRenewal::Withheld,
            Some(remaining) => {
                let earliest = latest.value + on_slowest_clock(latest.age(now.steady) + remaining);
                LeaseRenewal::Until(until.min(earliest))
            }
        }
    }
}

/// Shortest time that passes on the worker's clock during `time` on the agent's steady clock.
fn on_slowest_clock(time: Duration) -> Duration {
    time * MIN_CLOCK_RATE_PERCENT / 100
}

impl ClockReading {
    fn is_replaced_by(self, value: Duration, now: Duration) -> bool {
        let is_prompt = value + MAX_READING_LAG >= self.extrapolate(now);
        let is_stale = self.age(now) >= MAX_READING_AGE;
        is_prompt || (is_stale && value > self.value)
    }

    fn extrapolate(self, now: Duration) -> Duration {
        self.value + self.age(now)
    }

    fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at)
    }
}
