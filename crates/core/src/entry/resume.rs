//! Resumption of an entry that stood still.
//!
//! While a process stands still, requests wait in its connections, and their callers may give up and
//! submit the jobs elsewhere. On resumption the entry reads these requests as if they were new, and
//! notices only a moment later that their callers have left. Until then it starts no task, neither of
//! a new job nor again of an older one.

use super::EntryMachine;
use crate::time::Moment;
use std::time::Duration;

/// Time from the resumption until tasks start: long enough to notice the callers that have left.
const SETTLE_TIME: Duration = Duration::from_millis(300);

impl EntryMachine {
    /// Fails the jobs whose deadline passed in the meantime, and holds back all starts for
    /// [`SETTLE_TIME`].
    pub(super) fn handle_resumption(&mut self, now: Moment) {
        self.starts_held_until = now.elapsed + SETTLE_TIME;
        self.expire_jobs(now);
    }

    /// Whether tasks stay queued because the entry has just resumed.
    pub(super) fn is_holding_starts(&self, now: Moment) -> bool {
        now.elapsed < self.starts_held_until
    }
}
