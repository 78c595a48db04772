//! When an agent searches for entries itself.
//!
//! Entries name each other in their answers to heartbeats, so an agent that reaches one of them
//! learns of the others. If all of them are replaced within a short time, no entry that it knows is
//! left to name the new ones. [`EntrySilence`] notices that, and a [`SearchSchedule`] for each other
//! source of addresses, such as the settings file or the log, decides when to search there.
//!
//! Searches of a shared source are spread over the heartbeat interval that the entries last asked
//! for, and repeated no faster than it. The entries lengthen that interval with the number of agents,
//! so all agents together search at most as often as they send heartbeats to one entry.

use std::time::Duration;

/// Silence of all entries.
#[derive(Debug, Default)]
pub struct EntrySilence {
    /// Latest answer of any entry.
    answered_at: Duration,
    /// Interval until the next heartbeat, from the latest answer.
    interval: Duration,
    /// First failed heartbeat after the latest answer.
    failed_at: Option<Duration>,
}

impl EntrySilence {
    /// Records that an entry answered at `now` and asked for the next heartbeat after `interval`.
    pub fn record_answer(&mut self, interval: Duration, now: Duration) {
        self.answered_at = now;
        self.interval = interval;
        self.failed_at = None;
    }

    /// Records at `now` that an entry did not answer, or that no entry is known.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at.get_or_insert(now);
    }

    /// When the silence began; `None` if no heartbeat has failed since the latest answer.
    ///
    /// After an answer, the entry that gave it is not silent before its next heartbeat is due.
    pub fn began_at(&self) -> Option<Duration> {
        self.failed_at.map(|failed_at| failed_at.max(self.answered_at + self.interval))
    }
}

/// How often one source is searched.
#[derive(Debug, Clone, Copy)]
pub struct SearchPace {
    /// Silence of all entries before the first search.
    pub first_after: Duration,
    /// Shortest time between two searches.
    pub shortest_pause: Duration,
    /// Longest time between two searches, unless the heartbeat interval is longer.
    pub longest_pause: Duration,
    /// Whether all agents share the source.
    pub is_shared: bool,
}

/// Pace for the settings file, which only this agent reads.
pub const SETTINGS_PACE: SearchPace = SearchPace {
    first_after: Duration::from_millis(500),
    shortest_pause: Duration::from_secs(1),
    longest_pause: Duration::from_secs(1),
    is_shared: false,
};

/// Pace for the member stream of the log.
pub const MEMBERS_PACE: SearchPace = SearchPace {
    first_after: Duration::from_secs(1),
    shortest_pause: Duration::from_secs(1),
    longest_pause: Duration::from_secs(4),
    is_shared: true,
};

/// Whether to search a source now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// Search now.
    Search,
    /// Do not search yet.
    Wait,
}

/// Times of the searches of one source.
#[derive(Debug)]
pub struct SearchSchedule {
    pace: SearchPace,
    /// Next search; `None` while the entries are not silent.
    next_at: Option<Duration>,
    /// Time between the next search and the one after it, before jitter.
    pause: Duration,
}

impl SearchSchedule {
    /// Creates the schedule of a source that has not been searched.
    pub fn new(pace: SearchPace) -> Self {
        Self { pace, next_at: None, pause: pace.shortest_pause }
    }

    /// Decides at `now` whether to search; `jitter` is drawn anew for each call, from 0 to 1.
    pub fn step(&mut self, silence: &EntrySilence, jitter: f64, now: Duration) -> SearchStep {
        let Some(began_at) = silence.began_at() else {
            *self = Self::new(self.pace);
            return SearchStep::Wait;
        };
        let spread = if self.pace.is_shared { silence.interval } else { Duration::ZERO };
        let first_at = began_at + self.pace.first_after + spread.mul_f64(jitter);
        let due_at = *self.next_at.get_or_insert(first_at);
        if now < due_at {
            return SearchStep::Wait;
        }
        self.next_at = Some(now + self.jittered_pause(spread, jitter));
        self.pause = (self.pause * 2).min(self.pace.longest_pause);
        SearchStep::Search
    }

    /// Time until the next search. Agents that lost all entries at the same moment search a shared
    /// source at different times.
    fn jittered_pause(&self, spread: Duration, jitter: f64) -> Duration {
        let pause = self.pause.max(spread);
        if self.pace.is_shared { pause.mul_f64(0.5 + jitter / 2.0) } else { pause }
    }
}
