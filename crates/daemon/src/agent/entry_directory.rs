//! Entries that receive the heartbeats of an agent.
//!
//! The directory holds the seeds of the settings, the addresses that entries list in their answers,
//! and those that a search found. An address that neither answers nor is named again expires, unless
//! it is a seed of the latest settings.

use crate::settings::EntrySeed;
use parsleyspool_core::agent::EntrySilence;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which an entry is removed if it did not answer and nothing named it.
const EXPIRY: Duration = Duration::from_secs(15);

/// Entry at one address.
#[derive(Debug, Default)]
struct KnownEntry {
    /// Name in its latest answer, in the list of another entry or in the settings; empty for an
    /// address without a name that has not answered.
    name: String,
    /// Time of the latest answer, or at which something named this address for the last time.
    last_seen: Duration,
}

/// Known entries, by address.
#[derive(Debug, Default)]
pub(crate) struct EntryDirectory {
    /// Addresses in the latest settings, which do not expire.
    pinned: BTreeSet<String>,
    known: BTreeMap<String, KnownEntry>,
    silence: EntrySilence,
}

impl EntryDirectory {
    /// Creates a directory of the entries in the settings.
    pub(crate) fn new(seeds: Vec<EntrySeed>) -> Self {
        let mut directory = Self::default();
        directory.replace_seeds(seeds, Duration::ZERO);
        directory
    }

    /// Replaces the entries in the settings at `now`; returns whether any address is new. The former
    /// ones expire from now on like any other address.
    pub(crate) fn replace_seeds(&mut self, seeds: Vec<EntrySeed>, now: Duration) -> bool {
        for address in std::mem::take(&mut self.pinned) {
            if let Some(entry) = self.known.get_mut(&address) {
                entry.last_seen = entry.last_seen.max(now);
            }
        }
        self.pinned = seeds.iter().map(|seed| seed.address.to_string()).collect();
        let named = seeds.into_iter().map(|seed| (seed.address.to_string(), seed.name));
        self.add_found(named, now)
    }

    /// Adds the addresses, with the names if known, that a search found at `now`; returns whether any
    /// of them is new.
    pub(crate) fn add_found(
        &mut self,
        found: impl IntoIterator<Item = (String, String)>,
        now: Duration,
    ) -> bool {
        let known_count = self.known.len();
        for (address, name) in found {
            let entry = self.known.entry(address).or_default();
            entry.last_seen = entry.last_seen.max(now);
            if entry.name.is_empty() {
                entry.name = name;
            }
        }
        self.known.len() > known_count
    }

    /// Records that the entry `name` at `address` answered at `now`, listed `others`, a map from
    /// entry names to addresses, and asked for the next heartbeat after `interval`; returns whether
    /// any address is new.
    pub(crate) fn record_answer(
        &mut self,
        address: &str,
        name: &str,
        others: &BTreeMap<String, String>,
        interval: Duration,
        now: Duration,
    ) -> bool {
        self.silence.record_answer(interval, now);
        let known_count = self.known.len();
        let answering_entry = (name.to_owned(), address.to_owned());
        let others = others.iter().map(|(name, address)| (name.clone(), address.clone()));
        for (name, address) in others.chain([answering_entry]) {
            self.known.insert(address, KnownEntry { name, last_seen: now });
        }
        self.known.len() > known_count
    }

    /// Records that an entry did not answer a heartbeat.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.silence.record_failure(now);
    }

    /// Silence of all entries.
    pub(crate) fn silence(&self) -> &EntrySilence {
        &self.silence
    }

    /// Removes the entries that have expired at `now`.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        let pinned = &self.pinned;
        self.known
            .retain(|address, entry| pinned.contains(address) || entry.last_seen + EXPIRY > now);
        if self.known.is_empty() {
            self.silence.record_failure(now);
        }
    }

    /// Addresses of all known entries.
    pub(crate) fn addresses(&self) -> BTreeSet<String> {
        self.known.keys().cloned().collect()
    }

    /// Name of the entry at `address`; empty if it is not known yet.
    pub(crate) fn entry_name(&self, address: &str) -> String {
        self.known.get(address).map(|entry| entry.name.clone()).unwrap_or_default()
    }
}
