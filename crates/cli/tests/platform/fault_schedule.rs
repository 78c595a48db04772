//! Random series of faults and changes around the entries of a deployment, derived from a seed.

use crate::deployment::DOMAINS;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Fault or change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// The entry with this index is replaced at another address.
    ReplaceEntry(usize),
    /// All entries are replaced at the same moment.
    ReplaceAllEntries,
    /// All agents are killed, and started again with the settings of that time.
    RestartAgents,
    /// The entry with this index is cut off from the store.
    CutFromStore(usize),
    /// All entries are.
    CutAllFromStore,
    /// The cuts of all entries end.
    HealStoreLinks,
    /// The open connections of the entry with this index to the store go silent.
    SilenceConnections(usize),
    /// The open connections of all entries to the store do at the same moment.
    SilenceAllConnections,
    /// The operator writes the next version of the configuration.
    ChangeConfiguration,
    /// The settings of the agents name the present entries.
    NameEntries,
    /// They name none.
    NameNoEntry,
    /// They are half written.
    WriteHalf,
    /// The agents get SIGHUP.
    HangUp,
    /// The domain with this index is taken out of service.
    TakeOut(usize),
    /// It is taken back.
    TakeBack(usize),
}

/// Action at a time since the start of the play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedAction {
    pub at: Duration,
    pub action: FaultAction,
}

/// Number of actions that are drawn; some bring a later one with them.
const DRAWN_ACTIONS: usize = 12;
/// Longest time for which entries are cut off, or a domain is out of service.
const MAX_TIME_MS: u64 = 9_000;

/// Number of changes of the configuration.
const CONFIG_CHANGES: usize = 4;
/// Longest time from the silence of all connections to the store until a change.
const MAX_SILENT_MS: u64 = 1_500;
/// Separates the draws of changes from the others of the same seed.
const CHANGE_STREAM: u64 = 1;

/// Time from a cut of all entries until a domain is taken out of service.
const UNREAD_DELAY: Duration = Duration::from_millis(100);

/// Draws the actions of a play of `length` with `entries` entries, in the order of their times.
pub fn draw_actions(seed: u64, entries: usize, length: Duration) -> Vec<TimedAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = Vec::new();
    for _ in 0..DRAWN_ACTIONS {
        let at = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
        let end = at + Duration::from_millis(random.random_range(200..MAX_TIME_MS));
        let action = draw_action(entries, &mut random);
        actions.push(TimedAction { at, action });
        let later = match action {
            FaultAction::CutFromStore(_) => Some(FaultAction::HealStoreLinks),
            FaultAction::CutAllFromStore => {
                actions.extend(take_out_unread(at, &mut random));
                None
            }
            FaultAction::TakeOut(domain) => Some(FaultAction::TakeBack(domain)),
            FaultAction::NameNoEntry | FaultAction::WriteHalf => Some(FaultAction::NameEntries),
            _ => None,
        };
        actions.extend(later.map(|action| TimedAction { at: end, action }));
    }
    actions.extend(draw_config_changes(seed, length));
    actions.sort_by_key(|timed| timed.at);
    actions
}

/// Changes of the configuration, half of them soon after all connections to the store went silent.
fn draw_config_changes(seed: u64, length: Duration) -> Vec<TimedAction> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CHANGE_STREAM);
    let mut actions = Vec::new();
    for _ in 0..CONFIG_CHANGES {
        let at = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
        let silent = Duration::from_millis(random.random_range(0..MAX_SILENT_MS));
        if random.random_bool(0.5) {
            actions.push(TimedAction { at, action: FaultAction::SilenceAllConnections });
        }
        actions.push(TimedAction { at: at + silent, action: FaultAction::ChangeConfiguration });
    }
    actions
}

/// Takes a domain out of service just after all entries were cut off from the store at `cut_at`, until
/// they are not any more.
fn take_out_unread(cut_at: Duration, random: &mut ChaCha8Rng) -> [TimedAction; 3] {
    let domain = random.random_range(0..DOMAINS.len());
    let end = cut_at + Duration::from_millis(MAX_TIME_MS);
    [
        TimedAction { at: cut_at + UNREAD_DELAY, action: FaultAction::TakeOut(domain) },
        TimedAction { at: end, action: FaultAction::HealStoreLinks },
        TimedAction { at: end, action: FaultAction::TakeBack(domain) },
    ]
}

fn draw_action(entries: usize, random: &mut ChaCha8Rng) -> FaultAction {
    let entry = random.random_range(0..entries);
    match random.random_range(0..12) {
        0 => FaultAction::ReplaceEntry(entry),
        1 => FaultAction::ReplaceAllEntries,
        2 => FaultAction::RestartAgents,
        3 => FaultAction::CutFromStore(entry),
        4 | 5 => FaultAction::CutAllFromStore,
        6 => FaultAction::SilenceConnections(entry),
        7 => FaultAction::NameNoEntry,
        8 => FaultAction::WriteHalf,
        9 => FaultAction::HangUp,
        _ => FaultAction::TakeOut(random.random_range(0..DOMAINS.len())),
    }
}
