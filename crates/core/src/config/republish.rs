//! Schedule by which an entry republishes the configuration.
//!
//! There is no leader: every entry counts the records and the time since the latest snapshot in the
//! log, and waits an additional delay of its own before it republishes. The first entry that
//! republishes resets the schedule of all others. Duplicate snapshots are harmless.

use crate::id::Offset;
use std::time::Duration;

/// Decides when this entry appends the next snapshot.
#[derive(Debug)]
pub struct SnapshotSchedule {
    /// Number of records since the latest snapshot after which the state is republished.
    record_limit: u64,
    /// Time since the latest snapshot after which the state is republished.
    age_limit: Duration,
    /// Additional delay of this process, so that entries rarely republish at the same time.
    delay: Duration,
    last_snapshot: Option<Offset>,
    last_snapshot_at: Duration,
    due_since: Option<Duration>,
}

impl SnapshotSchedule {
    /// Creates a schedule for a log that retains records for `retention`.
    ///
    /// The state is republished after `record_limit` records or a quarter of the retention,
    /// whichever comes first. `delay` should differ between processes.
    pub fn new(record_limit: u64, retention: Duration, delay: Duration) -> Self {
        Self {
            record_limit,
            age_limit: retention / 4,
            delay,
            last_snapshot: None,
            last_snapshot_at: Duration::ZERO,
            due_since: None,
        }
    }

    /// Whether to republish now, given the latest snapshot in the log and the next offset.
    ///
    /// After it has returned true, it returns true again after each further `delay` until a newer
    /// snapshot appears in the log.
    pub fn is_due(&mut self, latest: Option<Offset>, next: Offset, now: Duration) -> bool {
        if latest != self.last_snapshot {
            self.last_snapshot = latest;
            self.last_snapshot_at = now;
            self.due_since = None;
        }
        let records = next - latest.map_or(0, |offset| offset + 1);
        let has_state = records > 0 || latest.is_some();
        let is_past_limit = records >= self.record_limit
            || (has_state && now - self.last_snapshot_at >= self.age_limit);
        if !is_past_limit {
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
