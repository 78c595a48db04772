//! Pace of appends to the log, shared by all entries.

use std::time::Duration;

/// Spaces the appends of one kind so that all entries together stay within a rate.
#[derive(Debug)]
pub(super) struct AppendPace {
    /// Appends a second of all entries together.
    rate: u32,
    latest: Option<Duration>,
}

impl AppendPace {
    pub(super) fn new(rate: u32) -> Self {
        Self { rate: rate.max(1), latest: None }
    }

    /// Whether one of `entries` entries may append now; counts the append where it may.
    pub(super) fn admit(&mut self, entries: u32, now: Duration) -> bool {
        let spacing = Duration::from_secs(1) * entries / self.rate;
        if self.latest.is_some_and(|latest| now < latest + spacing) {
            return false;
        }
        self.latest = Some(now);
        true
    }
}
