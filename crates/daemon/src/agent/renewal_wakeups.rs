//! Wake-ups of the tasks that send the heartbeats to the entries, one for each entry.

use parsleyspool_core::id::EntryName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// Wake-ups by the name of the entry.
#[derive(Debug, Default)]
pub(crate) struct RenewalWakeups {
    by_entry: Mutex<HashMap<EntryName, Arc<Notify>>>,
}

impl RenewalWakeups {
    /// Wake-up for the heartbeats to `entry`.
    pub(crate) fn get(&self, entry: &str) -> Arc<Notify> {
        let mut by_entry = self.by_entry.lock().unwrap_or_else(PoisonError::into_inner);
        by_entry.entry(entry.into()).or_default().clone()
    }
}
