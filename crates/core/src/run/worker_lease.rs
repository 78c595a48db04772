//! Lease that covers all runs at the worker, as far as the agent can bound it.
//!
//! The end of the lease is on the worker's clock, and only the worker knows it. A call that was meant
//! for an earlier incarnation names an end on a clock that no longer exists, and its successor
//! shortens that lease to the longest hold. So the agent does not calculate with the ends that it
//! asked for. It relies on the time since the last call that may have extended the lease, and until
//! the worker accepts its calls alone, the lease counts as unknown.
//!
//! That time is steady: a suspension of the machine stops the worker's clock, too. It counts from the
//! sending of a call. A call that is carried out later names an end that has come closer by then.

use super::worker_clock::MIN_CLOCK_RATE_PERCENT;
use std::time::Duration;

/// Outcome of a renewal of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseRenewal {
    /// The worker's clock is not known yet.
    ClockUnknown,
    /// A run must be over by now, so the lease must not last longer.
    Withheld,
    /// The lease is extended to this time on the worker's clock, unless it lasts longer already.
    Until(Duration),
}

/// Bound for the end of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkerLease {
    /// Calls from before the session may still extend the lease.
    Unknown,
    /// The lease has ended by this time on the agent's steady clock, unless it is extended again.
    EndsBy(Duration),
}

impl WorkerLease {
    /// Records that, as of `now`, the worker accepts only calls of this session. Earlier calls
    /// extended the lease by `longest_hold` at most.
    pub(super) fn bound(&mut self, longest_hold: Duration, now: Duration) {
        *self = Self::EndsBy(self.latest_end(longest_hold, now));
    }

    /// Records that a call sent at `now` extends the lease.
    pub(super) fn extend(&mut self, longest_hold: Duration, now: Duration) {
        if let Self::EndsBy(_) = self {
            *self = Self::EndsBy(self.latest_end(longest_hold, now));
        }
    }

    fn latest_end(self, longest_hold: Duration, now: Duration) -> Duration {
        let end = now + longest_hold * 100 / MIN_CLOCK_RATE_PERCENT;
        match self {
            Self::Unknown => end,
            Self::EndsBy(earlier) => earlier.max(end),
        }
    }

    /// Whether all runs that were in progress under the lease have ended.
    pub(super) fn is_expired(self, now: Duration) -> bool {
        match self {
            Self::Unknown => false,
            Self::EndsBy(end) => now > end,
        }
    }

    /// Latest end on the agent's steady clock; `None` if it is unknown.
    pub(super) fn latest(self) -> Option<Duration> {
        match self {
            Self::Unknown => None,
            Self::EndsBy(end) => Some(end),
        }
    }
}
