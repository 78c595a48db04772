//! Searches of an agent for entries, while none that it knows answers.
//!
//! Neither source depends on an entry: the settings file, which whoever deploys the agent keeps up to
//! date, and the member stream of the log, in which entries announce themselves.

use super::AgentShared;
use super::heartbeat::entry_directory;
use crate::error::DaemonError;
use crate::interfaces::LogStore;
use crate::member_stream::read_members;
use crate::settings::EntrySeed;
use crate::telemetry::metrics::MessageKind;
use error_stack::Report;
use parsleyspool_core::agent::{MEMBERS_PACE, SETTINGS_PACE, SearchSchedule, SearchStep};
use std::sync::Arc;
use std::time::Duration;

/// Searches of both sources.
#[derive(Debug)]
pub(super) struct EntrySearch {
    settings: SearchSchedule,
    members: SearchSchedule,
}

impl EntrySearch {
    pub(super) fn new() -> Self {
        Self {
            settings: SearchSchedule::new(SETTINGS_PACE),
            members: SearchSchedule::new(MEMBERS_PACE),
        }
    }

    /// Searches the sources that are due at `now`.
    pub(super) fn run_due(&mut self, shared: &Arc<AgentShared>, now: Duration) {
        let (settings_step, members_step) = {
            let directory = entry_directory(shared);
            let silence = directory.silence();
            let settings_step = self.settings.step(silence, rand::random(), now);
            (settings_step, self.members.step(silence, rand::random(), now))
        };
        if settings_step == SearchStep::Search {
            search_settings(shared);
        }
        if members_step == SearchStep::Search
            && let Some(log) = shared.interfaces.log.clone()
        {
            tokio::spawn(search_members(log, shared.clone()));
        }
    }
}

fn search_settings(shared: &AgentShared) {
    let Some(source) = &shared.interfaces.seeds else { return };
    match source.read_seeds() {
        Ok(seeds) => replace_seeds(shared, seeds),
        Err(report) => log_failure("settings", &report),
    }
}

/// Makes `seeds` the entries of the settings, and contacts the new ones.
pub(super) fn replace_seeds(shared: &AgentShared, seeds: Vec<EntrySeed>) {
    let (now, found) = (shared.interfaces.clock.now().elapsed, seeds.len());
    let has_new = entry_directory(shared).replace_seeds(seeds, now);
    report_found(shared, "settings", found, has_new);
}

async fn search_members(log: Arc<dyn LogStore>, shared: Arc<AgentShared>) {
    shared.metrics.count_message(MessageKind::EntrySearch);
    match read_members(&*log).await {
        Ok(members) => {
            let now = shared.interfaces.clock.now().elapsed;
            let found = members.len();
            let named = members.into_iter().map(|(name, address)| (address, name));
            let has_new = entry_directory(&shared).add_found(named, now);
            report_found(&shared, "log", found, has_new);
        }
        Err(report) => log_failure("log", &report),
    }
}

fn report_found(shared: &AgentShared, source: &str, found: usize, has_new: bool) {
    tracing::info!(event = "entries_searched", source, found, has_new);
    if has_new {
        shared.new_entries.notify_one();
    }
}

fn log_failure(source: &str, report: &Report<DaemonError>) {
    tracing::warn!(event = "entry_search_failed", source, error = ?report);
}
