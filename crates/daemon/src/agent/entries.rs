//! Entries that an agent sends heartbeats to.
//!
//! Entries are known by address: those of the settings, and those that other entries name. One that
//! neither answers nor is named by another is dropped after a while; those of the settings stay.

use crate::settings::AgentSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without an answer or a mention after which an entry is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// One entry.
#[derive(Debug, Default)]
struct KnownEntry {
    /// Name that it gave in its latest answer, or that others know it by.
    name: String,
    /// Latest answer or mention.
    heard: Duration,
}

/// Entries by address.
#[derive(Debug)]
pub(crate) struct EntryBook {
    settled: BTreeSet<String>,
    known: BTreeMap<String, KnownEntry>,
}

impl EntryBook {
    /// Entries of the settings.
    pub(crate) fn new(settings: &AgentSettings) -> Self {
        let named = settings.entries.iter().map(|(name, at)| (at.to_string(), name.clone()));
        let seeds = settings.seeds.iter().map(|at| (at.to_string(), String::new()));
        let mut book = Self { settled: BTreeSet::new(), known: BTreeMap::new() };
        for (address, name) in named.chain(seeds) {
            book.settled.insert(address.clone());
            book.known.insert(address, KnownEntry { name, heard: Duration::ZERO });
        }
        book
    }

    /// Takes note of an answer from `address` that names other entries.
    pub(crate) fn hear(
        &mut self,
        address: &str,
        name: &str,
        others: &BTreeMap<String, String>,
        now: Duration,
    ) {
        let heard = (name.to_owned(), address.to_owned());
        let others = others.iter().map(|(name, at)| (name.clone(), at.clone()));
        for (name, address) in others.chain([heard]) {
            self.known.insert(address, KnownEntry { name, heard: now });
        }
    }

    /// Drops the entries that nobody has heard of for long.
    pub(crate) fn forget(&mut self, now: Duration) {
        let settled = &self.settled;
        self.known
            .retain(|address, entry| settled.contains(address) || entry.heard + FORGET_AFTER > now);
    }

    /// Every address.
    pub(crate) fn addresses(&self) -> BTreeSet<String> {
        self.known.keys().cloned().collect()
    }

    /// Name of the entry at `address`, empty where it has not answered yet.
    pub(crate) fn name_of(&self, address: &str) -> String {
        self.known.get(address).map(|entry| entry.name.clone()).unwrap_or_default()
    }
}
