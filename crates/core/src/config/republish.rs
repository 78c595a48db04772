//! When an entry republishes the configuration.
//!
//! Nobody is appointed: every entry counts the records and the time since the latest snapshot in
//! the log, and each waits a delay of its own before it republishes. The first one to do so resets
//! the count of all others. Two that do it at once do no harm.

use crate::id::Offset;
use std::time::Duration;

/// Decides when a snapshot is due.
#[derive(Debug)]
pub struct SnapshotSchedule {
    /// Records after which the state is republished.
    record_limit: u64,
    /// Time after which the state is republished.
    age_limit: Duration,
    /// Delay of this process beyond the limits.
    delay: Duration,
    seen: Option<Offset>,
    since: Duration,
    due_since: Option<Duration>,
}

impl SnapshotSchedule {
    /// Schedule for a log that keeps records for `retention`.
    ///
    /// The state is republished after `record_limit` records or a quarter of the retention;
    /// `delay` should differ between processes.
    pub fn new(record_limit: u64, retention: Duration, delay: Duration) -> Self {
        Self {
            record_limit,
            age_limit: retention / 4,
            delay,
            seen: None,
            since: Duration::ZERO,
            due_since: None,
        }
    }

    /// Whether to republish now, given the latest snapshot in the log and the next offset.
    pub fn is_due(&mut self, latest: Option<Offset>, next: Offset, now: Duration) -> bool {
        if latest != self.seen {
            self.seen = latest;
            self.since = now;
            self.due_since = None;
        }
        let records = next - latest.map_or(0, |offset| offset + 1);
        let aged = records > 0 || latest.is_some();
        let due = records >= self.record_limit || (aged && now - self.since >= self.age_limit);
        if !due {
            return false;
        }
        let due_since = *self.due_since.get_or_insert(now);
        if now - due_since < self.delay {
            return false;
        }
        self.due_since = Some(now);
        true
    }
}
