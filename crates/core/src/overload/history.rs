//! Work that was offered and served lately.

use super::SlotSeconds;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which rates of served work are averaged; short enough to see that capacity shrinks before
/// the longest slack is used up.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time over which the share of each priority is averaged. It spans several jobs of a rare priority.
const SHARE_WINDOW: Duration = Duration::from_secs(5);
/// Shortest time over which a rate is measured.
const MIN_RATE_TIME: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, Default)]
struct PriorityWork {
    offered: SlotSeconds,
    served: SlotSeconds,
}

/// Exponentially decaying sums of the work of a service at one entry.
#[derive(Debug, Clone)]
pub struct WorkHistory {
    /// Start of the measurement of the rates.
    since: Duration,
    updated_at: Duration,
    priorities: BTreeMap<u8, PriorityWork>,
    served: SlotSeconds,
    served_on_time: SlotSeconds,
}

impl WorkHistory {
    /// Creates a history that begins at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            since: now,
            updated_at: now,
            priorities: BTreeMap::new(),
            served: 0.0,
            served_on_time: 0.0,
        }
    }

    /// Measures the rates anew from `now` on, for example because nothing waited before: they then
    /// showed the demand and not the capacity.
    pub fn restart_rates(&mut self, now: Duration) {
        self.since = now;
        self.served = 0.0;
        self.served_on_time = 0.0;
    }

    /// Lets the sums decay until `now`.
    pub fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let rate_decay = (-passed / RATE_WINDOW.as_secs_f64()).exp();
        self.served *= rate_decay;
        self.served_on_time *= rate_decay;
        let share_decay = (-passed / SHARE_WINDOW.as_secs_f64()).exp();
        for work in self.priorities.values_mut() {
            work.offered *= share_decay;
            work.served *= share_decay;
        }
    }

    /// Records work that was served.
    pub fn record_served(&mut self, priority: u8, work: SlotSeconds, is_on_time: bool) {
        let sums = self.priorities.entry(priority).or_default();
        sums.offered += work;
        sums.served += work;
        self.served += work;
        if is_on_time {
            self.served_on_time += work;
        }
    }

    /// Records a refused job.
    pub fn record_refusal(&mut self, priority: u8, work: SlotSeconds) {
        self.priorities.entry(priority).or_default().offered += work;
    }

    /// Work of `priority` that was offered and served.
    pub fn offered_and_served(&self, priority: u8) -> (SlotSeconds, SlotSeconds) {
        let work = self.priorities.get(&priority).copied().unwrap_or_default();
        (work.offered, work.served)
    }

    /// Work served per second; `None` until it was measured for `MIN_RATE_TIME` and some work was
    /// served.
    pub fn rate(&self) -> Option<f64> {
        Some(self.per_second(self.served)).filter(|rate| *rate > 0.0)
    }

    /// Work of jobs in time served per second.
    pub fn on_time_rate(&self) -> f64 {
        self.per_second(self.served_on_time)
    }

    /// Rate of a decaying sum; zero until it was measured for `MIN_RATE_TIME`.
    fn per_second(&self, sum: SlotSeconds) -> f64 {
        let measured = self.updated_at.saturating_sub(self.since);
        if measured < MIN_RATE_TIME {
            return 0.0;
        }
        let window = RATE_WINDOW.as_secs_f64();
        sum / (window * (1.0 - (-measured.as_secs_f64() / window).exp()))
    }
}
