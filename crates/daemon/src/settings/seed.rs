//! Entries that the settings of a process name.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Entry that the settings of a process name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySeed {
    /// Name of the entry; empty if the settings state only its address.
    pub name: String,
    /// Peer listener of the entry.
    pub address: SocketAddr,
}

/// Entries in a map by name and in a list without names.
pub(super) fn entry_seeds(
    named: &BTreeMap<String, SocketAddr>,
    unnamed: &[SocketAddr],
) -> Vec<EntrySeed> {
    let named = named.iter().map(|(name, address)| (name.clone(), *address));
    let unnamed = unnamed.iter().map(|address| (String::new(), *address));
    named.chain(unnamed).map(|(name, address)| EntrySeed { name, address }).collect()
}
