//! Entries that receive the heartbeats of an agent.
//!
//! The directory holds the addresses in the settings and the addresses that entries list in their
//! answers. An address that neither answers nor is listed by another entry expires, unless it is in
//! the settings.

use crate::settings::AgentSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which an entry is removed if it did not answer and no other entry listed it.
const EXPIRY: Duration = Duration::from_secs(15);

/// Entry at one address.
#[derive(Debug, Default)]
struct KnownEntry {
    /// Name in its latest answer or in the list of another entry; empty for a seed that has not
    /// answered.
    name: String,
    /// Time of the latest answer, or of the latest list with this address.
    last_seen: Duration,
}

/// Known entries, by address.
#[derive(Debug)]
pub(crate) struct EntryDirectory {
    /// Addresses in the settings, which never expire.
    pinned: BTreeSet<String>,
    known: BTreeMap<String, KnownEntry>,
}

impl EntryDirectory {
    /// Creates a directory of the entries in the settings.
    pub(crate) fn new(settings: &AgentSettings) -> Self {
        let named =
            settings.entries.iter().map(|(name, address)| (address.to_string(), name.clone()));
        let seeds = settings.seeds.iter().map(|address| (address.to_string(), String::new()));
        let mut directory = Self { pinned: BTreeSet::new(), known: BTreeMap::new() };
        for (address, name) in named.chain(seeds) {
            directory.pinned.insert(address.clone());
            directory.known.insert(address, KnownEntry { name, last_seen: Duration::ZERO });
        }
        directory
    }

    /// Records that the entry `name` at `address` answered at `now` and listed `others`, a map
    /// from entry names to addresses; returns whether any address is new.
    pub(crate) fn record_answer(
        &mut self,
        address: &str,
        name: &str,
        others: &BTreeMap<String, String>,
        now: Duration,
    ) -> bool {
        let known_count = self.known.len();
        let answering_entry = (name.to_owned(), address.to_owned());
        let others = others.iter().map(|(name, address)| (name.clone(), address.clone()));
        for (name, address) in others.chain([answering_entry]) {
            self.known.insert(address, KnownEntry { name, last_seen: now });
        }
        self.known.len() > known_count
    }

    /// Removes the entries that have expired at `now`.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        let pinned = &self.pinned;
        self.known
            .retain(|address, entry| pinned.contains(address) || entry.last_seen + EXPIRY > now);
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
