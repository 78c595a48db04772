//! How an agent tries to reach an entry with its heartbeats.
//!
//! When all processes start at once, most agents are up before the entries that they know. The
//! first packet of a connection to a machine that is still down is lost without a reply, so an
//! attempt with the usual time limit would outlast the start of the entry, and the servers would
//! stay unknown in the meantime. The first attempts are therefore brief. An entry that does not
//! answer any of them may be behind a slow link and gets more time.

use std::time::Duration;

/// Brief attempts after which an entry gets more time.
const BRIEF_ATTEMPTS: u32 = 8;
/// Delay before the attempt after a brief one.
const BRIEF_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before the attempt after a patient one.
const PATIENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long to wait for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectPatience {
    /// A few round trips within a region.
    Brief,
    /// Long enough for a slow link.
    Patient,
}

/// Attempts to reach one entry.
#[derive(Debug, Default)]
pub struct EntryContact {
    failures: u32,
    is_slow: bool,
}

impl EntryContact {
    /// How long the next attempt waits for a connection.
    pub fn patience(&self) -> ConnectPatience {
        if self.is_slow { ConnectPatience::Patient } else { ConnectPatience::Brief }
    }

    /// Records that the entry answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that the entry did not answer; returns the delay before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        self.failures = self.failures.saturating_add(1);
        self.is_slow |= self.failures >= BRIEF_ATTEMPTS;
        if self.is_slow { PATIENT_RETRY_DELAY } else { BRIEF_RETRY_DELAY }
    }
}
