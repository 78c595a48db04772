//! Notices that the process stood still: it was stopped, or its machine was suspended.

use std::time::Duration;

/// Longest time between two events of an actor that runs, far above the interval of its ticks. A
/// caller that gives up and submits its job elsewhere takes longer.
const MAX_EVENT_GAP: Duration = Duration::from_secs(1);

/// Time of the latest event of an actor.
#[derive(Debug)]
pub(crate) struct StallDetector {
    last_event_at: Duration,
}

impl StallDetector {
    pub(crate) fn new(now: Duration) -> Self {
        Self { last_event_at: now }
    }

    /// Records an event; returns how long the process stood still before it, and logs it.
    pub(crate) fn record_event(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        if gap <= MAX_EVENT_GAP {
            return None;
        }
        tracing::warn!(event = "process_resumed", stood_still_ms = gap.as_millis());
        Some(gap)
    }
}
