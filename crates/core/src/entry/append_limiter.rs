//! Rate limit for appends to the log, divided among all entries.

use std::time::Duration;

/// Spaces the appends to one stream so that all entries together stay within a rate.
#[derive(Debug)]
pub(super) struct AppendLimiter {
    /// Appends per second, summed over all entries.
    rate: u32,
    latest: Option<Duration>,
}

impl AppendLimiter {
    pub(super) fn new(rate: u32) -> Self {
        Self { rate: rate.max(1), latest: None }
    }

    /// Whether this entry, one of `entries`, may append now; if so, the append is counted.
    pub(super) fn try_acquire(&mut self, entries: u32, now: Duration) -> bool {
        let spacing = Duration::from_secs(1) * entries / self.rate;
        if self.latest.is_some_and(|latest| now < latest + spacing) {
            return false;
        }
        self.latest = Some(now);
        true
    }
}
