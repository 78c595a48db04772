//! Freshness lease: whether the configuration of a process is still the one in force.
//!
//! A process may place and start work only while it knows that its configuration includes every
//! accepted change. It can know this in two ways.
//!
//! *Confirmation by the log.* A read that reaches the end of the log confirms the configuration as
//! of the time at which the read was sent: the log contained nothing newer. An entry relays its
//! latest confirmation to other entries together with its version. A relayed confirmation is valid
//! for every process with the same or a higher version.
//!
//! *Agreement of a majority.* A change is accepted only once a majority of the voting entries has
//! applied it, so no change can be accepted while no voting entry can read the log. If a majority,
//! including the entry itself, reports no higher version, the entry therefore has every accepted
//! change. An entry votes only after it has read the log to its end once. Otherwise a replacement
//! that starts with an empty state during an outage could outvote versions that its predecessor had
//! confirmed.
//!
//! Both kinds expire after the lease time.

use crate::id::{EntryName, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Configuration version that an entry reports to other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Name of the reporting entry.
    pub entry: EntryName,
    /// Configuration version of the entry.
    pub version: Version,
    /// Whether the entry has read the log to its end since it started, so that its vote counts.
    pub is_voter: bool,
    /// Age of the entry's latest confirmation by the log when it sent the report; `None` if it has
    /// none.
    pub confirmed_age: Option<Duration>,
}

/// Confirmation by the log, as told by another process, that a version was in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionConfirmation {
    /// Time on the clock of this process at which it had [`Self::told_age`], or an earlier one.
    pub told_at: Duration,
    /// Age at that time.
    pub told_age: Duration,
}

impl VersionConfirmation {
    /// Confirmation by the log at `time`.
    pub fn at(time: Duration) -> Self {
        Self { told_at: time, told_age: Duration::ZERO }
    }

    /// Upper bound of the age at `now`.
    pub fn age(&self, now: Duration) -> Duration {
        self.told_age.saturating_add(now.saturating_sub(self.told_at))
    }

    /// The later one of two confirmations of the same version.
    pub fn latest(self, other: Self, now: Duration) -> Self {
        if other.age(now) < self.age(now) { other } else { self }
    }
}

/// Whether and why the configuration counts as in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessStatus {
    /// The log confirmed the configuration to this or another entry.
    Confirmed {
        /// End of the lease, on the clock of this process.
        until: Duration,
    },
    /// A majority of the voting entries agrees on it while the log is unavailable.
    Agreed {
        /// End of the lease, on the clock of this process.
        until: Duration,
    },
    /// Nothing confirms the configuration, but the settings allow work to continue.
    Unconfirmed {
        /// End of the lease, on the clock of this process.
        until: Duration,
    },
    /// Nothing confirms the configuration; no task may start.
    Lapsed,
}

impl FreshnessStatus {
    /// End of the lease on the clock of this process, or `None` if it has lapsed.
    pub fn until(self) -> Option<Duration> {
        match self {
            Self::Confirmed { until } | Self::Agreed { until } | Self::Unconfirmed { until } => {
                Some(until)
            }
            Self::Lapsed => None,
        }
    }
}

#[derive(Debug)]
struct ReceivedReport {
    report: PeerReport,
    requested_at: Duration,
}

/// Lease on the configuration of an entry, renewed by the log or by a majority of the entries.
#[derive(Debug)]
pub struct FreshnessLease {
    name: EntryName,
    lease: Duration,
    is_voter: bool,
    confirmed_at: Option<Duration>,
    reports: BTreeMap<EntryName, ReceivedReport>,
}

impl FreshnessLease {
    /// Creates the lease of the entry `name`; each renewal is valid for `lease`.
    pub fn new(name: EntryName, lease: Duration) -> Self {
        Self { name, lease, is_voter: false, confirmed_at: None, reports: BTreeMap::new() }
    }

    /// Records that a read sent at `sent_at` reached the end of the log, so that the entry may
    /// vote.
    pub fn confirm(&mut self, sent_at: Duration) {
        self.is_voter = true;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Time since the log confirmed `version` for the last time, to this or another entry; `None` if it
    /// has not.
    pub fn confirmation_age(&self, version: Version, now: Duration) -> Option<Duration> {
        self.confirmed_at(version).map(|at| now.saturating_sub(at))
    }

    /// Time since the latest confirmation by a read of this entry, or since the start if there is
    /// none.
    pub fn log_silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Records a report that was requested at `requested_at`, unless a later one is known.
    pub fn record_report(&mut self, report: PeerReport, requested_at: Duration) {
        let is_older = self
            .reports
            .get(&report.entry)
            .is_some_and(|received| received.requested_at > requested_at);
        if !is_older {
            self.reports.insert(report.entry.clone(), ReceivedReport { report, requested_at });
        }
    }

    /// Report of this entry for other entries.
    pub fn report(&self, version: Version, now: Duration) -> PeerReport {
        PeerReport {
            entry: self.name.clone(),
            version,
            is_voter: self.is_voter,
            confirmed_age: self.confirmed_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Evaluates whether a configuration of `version` counts as in force at `now`.
    pub fn evaluate(
        &self,
        version: Version,
        electorate: &BTreeSet<EntryName>,
        now: Duration,
    ) -> FreshnessStatus {
        if let Some(until) = self.confirmed_until(version).filter(|&until| until > now) {
            return FreshnessStatus::Confirmed { until };
        }
        match self.majority_until(version, electorate, now) {
            Some(until) if until > now => FreshnessStatus::Agreed { until },
            _ => FreshnessStatus::Lapsed,
        }
    }

    /// Whether a majority of `electorate`, including this entry with `own_version`, has applied at
    /// least `version`; true if `electorate` is empty.
    pub fn is_held_by_majority(
        &self,
        version: Version,
        own_version: Version,
        electorate: &BTreeSet<EntryName>,
    ) -> bool {
        let holds = |name: &EntryName| {
            if *name == self.name {
                return own_version >= version;
            }
            let report = self.reports.get(name).map(|received| &received.report);
            report.is_some_and(|report| report.is_voter && report.version >= version)
        };
        let holders = electorate.iter().filter(|name| holds(name)).count();
        electorate.is_empty() || holders * 2 > electorate.len()
    }

    /// End of the latest confirmation that is valid for `version`.
    fn confirmed_until(&self, version: Version) -> Option<Duration> {
        self.confirmed_at(version).map(|at| at + self.lease)
    }

    /// Time of the latest confirmation, own or relayed, that is valid for `version`.
    fn confirmed_at(&self, version: Version) -> Option<Duration> {
        let relayed = self.reports.values().filter_map(|received| {
            let age = received.report.confirmed_age?;
            let at = received.requested_at.checked_sub(age)?;
            (received.report.version <= version).then_some(at)
        });
        self.confirmed_at.into_iter().chain(relayed).max()
    }

    /// End of the agreement of a majority that reports no version above `version`.
    fn majority_until(
        &self,
        version: Version,
        electorate: &BTreeSet<EntryName>,
        now: Duration,
    ) -> Option<Duration> {
        let needed = electorate.len() / 2 + 1;
        let votes = electorate.iter().filter_map(|name| self.vote(name, version, now));
        let mut votes: Vec<Duration> = votes.collect();
        if electorate.is_empty() || votes.len() < needed {
            return None;
        }
        votes.sort_unstable_by(|a, b| b.cmp(a));
        votes.get(needed - 1).map(|&requested_at| requested_at + self.lease)
    }

    /// Time at which the entry `name` had no version above `version`, or `None` if it has no vote
    /// or a higher version.
    fn vote(&self, name: &EntryName, version: Version, now: Duration) -> Option<Duration> {
        if *name == self.name {
            return self.is_voter.then_some(now);
        }
        let received = self.reports.get(name)?;
        (received.report.is_voter && received.report.version <= version)
            .then_some(received.requested_at)
    }
}
