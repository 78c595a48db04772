//! Fetching the configuration from another entry.
//!
//! Every entry reads the configuration from the log and asks every other entry for its version
//! twice a second. Right after a change of a large configuration most entries are behind for as
//! long as their read takes. If each of them got the configuration from each of the others, the
//! transfers would grow with the square of the number of entries and delay the heartbeats on the
//! same links. An entry therefore waits for its own read at first, and then fetches from one other
//! entry at a time. It does not wait if the log has been silent before, as in an outage for some
//! entries only: its own read has failed then.

use crate::id::Version;
use std::time::Duration;

/// Time that the entry's own read of the log has before a later configuration is fetched from
/// another entry. A large configuration takes over a second on a narrow link, and a second copy on
/// the same link would delay both.
const OWN_READ_TIME: Duration = Duration::from_millis(1500);
/// The same time for an entry without a configuration, which can serve nobody until it has one.
const FIRST_READ_TIME: Duration = Duration::from_millis(500);
/// Time without an answer of the log after which the entry's own read counts as failed. A poll that
/// waits for changes is answered every second or two, whether there are any or not.
const LOG_SILENCE: Duration = Duration::from_millis(2500);
/// Time after which a fetch whose end was not recorded is given up.
const FETCH_EXPIRY: Duration = Duration::from_secs(10);

/// What to ask of another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchDecision {
    /// Its version only.
    Version,
    /// Its version and its configuration.
    Configuration,
}

/// Configuration of this entry in comparison with another one.
#[derive(Debug, Clone, Copy)]
pub struct VersionGap {
    /// Version of this entry.
    pub own: Version,
    /// Version that the other entry reported last; `None` before its first report.
    pub reported: Option<Version>,
    /// Whether this entry misses records below its version.
    pub is_incomplete: bool,
    /// Time since the latest read of the log that reached its end.
    pub log_silence: Duration,
}

impl VersionGap {
    fn is_behind(&self) -> bool {
        self.is_incomplete || self.reported.is_some_and(|version| version > self.own)
    }

    /// How long the entry's own read may take.
    fn own_read_time(&self) -> Duration {
        if self.log_silence >= LOG_SILENCE {
            return Duration::ZERO;
        }
        if self.own == 0 || self.is_incomplete { FIRST_READ_TIME } else { OWN_READ_TIME }
    }
}

/// Schedule of the fetches of one entry.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    behind_since: Option<Duration>,
    in_flight_until: Option<Duration>,
}

impl ConfigFetch {
    /// Decides what to ask of the entry that `gap` compares with. A fetch counts as in flight until
    /// [`Self::end`].
    pub fn decide(&mut self, gap: VersionGap, now: Duration) -> FetchDecision {
        if !gap.is_behind() {
            return FetchDecision::Version;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let is_in_flight = self.in_flight_until.is_some_and(|until| until > now);
        if is_in_flight || now.saturating_sub(behind_since) < gap.own_read_time() {
            return FetchDecision::Version;
        }
        self.in_flight_until = Some(now + FETCH_EXPIRY);
        FetchDecision::Configuration
    }

    /// Records the end of the fetch in flight, with or without an answer.
    pub fn end(&mut self) {
        self.in_flight_until = None;
    }

    /// Records that the version of this entry advanced.
    pub fn record_progress(&mut self) {
        self.behind_since = None;
    }
}
