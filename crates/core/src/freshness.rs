//! Whether the configuration held is still the one in force.
//!
//! A process may place and start work only while it can tell that no accepted change is missing
//! from its configuration. Two kinds of evidence count.
//!
//! *Confirmation.* A read of the log that reached its end proves, as of the moment the read was
//! sent, that nothing newer was in it. Another entry may pass its own confirmation on, together
//! with its version; it holds for every process whose version is at least as high.
//!
//! *Agreement.* While no voting entry can read the log, a change cannot be accepted, because
//! acceptance needs a majority of the voting entries to have applied it. An entry that hears from a
//! majority, itself included, that none of them holds a higher version, therefore misses nothing.
//! An entry votes only after it has read the log to its end once, so a replacement that starts
//! empty during an outage cannot vote away what its predecessor had confirmed.
//!
//! Either kind of evidence ages; it holds for the lease time and no longer.

use crate::id::{EntryName, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What another entry said of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Name of the entry.
    pub entry: EntryName,
    /// Version that it holds.
    pub version: Version,
    /// Whether it has read the log to its end since it started.
    pub is_voter: bool,
    /// Age of its own confirmation by the log when it answered.
    pub confirmed_age: Option<Duration>,
}

/// Evidence that the configuration is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessStatus {
    /// The log confirmed it, here or at another entry.
    Confirmed {
        /// End of the lease, on the own clock.
        until: Duration,
    },
    /// A majority of the voting entries agree while the log is away.
    Agreed {
        /// End of the lease, on the own clock.
        until: Duration,
    },
    /// There is no evidence, and the settings let work go on without.
    Unconfirmed {
        /// End of the lease, on the own clock.
        until: Duration,
    },
    /// There is no evidence; nothing may start.
    Lapsed,
}

impl FreshnessStatus {
    /// End of the lease, where there is one.
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
struct HeardReport {
    report: PeerReport,
    asked: Duration,
}

/// Collects evidence and judges it.
#[derive(Debug)]
pub struct FreshnessLease {
    name: EntryName,
    lease: Duration,
    is_voter: bool,
    confirmed: Option<Duration>,
    reports: BTreeMap<EntryName, HeardReport>,
}

impl FreshnessLease {
    /// Lease of the entry `name`, of length `lease`.
    pub fn new(name: EntryName, lease: Duration) -> Self {
        Self { name, lease, is_voter: false, confirmed: None, reports: BTreeMap::new() }
    }

    /// Takes note that a read sent at `sent` reached the end of the log.
    pub fn confirm(&mut self, sent: Duration) {
        self.is_voter = true;
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Takes note of a report that was asked for at `asked`.
    pub fn record_report(&mut self, report: PeerReport, asked: Duration) {
        let older = self.reports.get(&report.entry).is_some_and(|heard| heard.asked > asked);
        if !older {
            self.reports.insert(report.entry.clone(), HeardReport { report, asked });
        }
    }

    /// Own report, for other entries.
    pub fn report(&self, version: Version, now: Duration) -> PeerReport {
        PeerReport {
            entry: self.name.clone(),
            version,
            is_voter: self.is_voter,
            confirmed_age: self.confirmed.map(|at| now.saturating_sub(at)),
        }
    }

    /// Judges the evidence for a configuration of `version`.
    pub fn evaluate(
        &self,
        version: Version,
        electorate: &BTreeSet<EntryName>,
        now: Duration,
    ) -> FreshnessStatus {
        if let Some(until) = self.confirmed_until(version).filter(|&until| until > now) {
            return FreshnessStatus::Confirmed { until };
        }
        match self.agreed_until(version, electorate, now) {
            Some(until) if until > now => FreshnessStatus::Agreed { until },
            _ => FreshnessStatus::Lapsed,
        }
    }

    /// Whether a majority of `electorate`, this entry included, holds at least `version`.
    pub fn is_held_by_majority(
        &self,
        version: Version,
        own: Version,
        electorate: &BTreeSet<EntryName>,
    ) -> bool {
        let holds = |name: &EntryName| {
            if *name == self.name {
                return own >= version;
            }
            let report = self.reports.get(name).map(|heard| &heard.report);
            report.is_some_and(|report| report.is_voter && report.version >= version)
        };
        let holders = electorate.iter().filter(|name| holds(name)).count();
        electorate.is_empty() || holders * 2 > electorate.len()
    }

    /// Latest end of a confirmation that covers `version`.
    fn confirmed_until(&self, version: Version) -> Option<Duration> {
        let relayed = self.reports.values().filter_map(|heard| {
            let age = heard.report.confirmed_age?;
            let at = heard.asked.checked_sub(age)?;
            (heard.report.version <= version).then_some(at)
        });
        self.confirmed.into_iter().chain(relayed).max().map(|at| at + self.lease)
    }

    /// End of the agreement of a majority that holds nothing above `version`.
    fn agreed_until(
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
        votes.get(needed - 1).map(|&asked| asked + self.lease)
    }

    /// Time as of which the entry `name` vouches that it holds nothing above `version`.
    fn vote(&self, name: &EntryName, version: Version, now: Duration) -> Option<Duration> {
        if *name == self.name {
            return self.is_voter.then_some(now);
        }
        let heard = self.reports.get(name)?;
        (heard.report.is_voter && heard.report.version <= version).then_some(heard.asked)
    }
}
