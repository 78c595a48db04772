//! Heartbeats of an agent to the entries.

use super::AgentShared;
use super::actor::{AgentActor, BuildReport, HandleDirective, QueryRenewalDue};
use super::entry_directory::EntryDirectory;
use super::entry_search::EntrySearch;
use futures_util::future::join_all;
use parsleyspool_core::agent::{ConnectPatience, EntryContact};
use parsleyspool_core::entry::AgentDirective;
use parsleyspool_wire::peer::HeartbeatMessage;
use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use xtra::Address;

/// Time between two checks for a server to report.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest heartbeat interval; an entry that requests a shorter one gets this one.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks for entries that have expired.
const DIRECTORY_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Sends heartbeats to every known entry until the actor stops, from one task per entry.
pub(crate) async fn run_heartbeats(address: Address<AgentActor>, shared: Arc<AgentShared>) {
    let mut heartbeat_tasks: BTreeMap<String, AbortOnDrop> = BTreeMap::new();
    let mut entry_search = EntrySearch::new();
    while address.is_connected() {
        let now = shared.interfaces.clock.now().elapsed;
        let known_addresses = {
            let mut directory = entry_directory(&shared);
            directory.remove_expired(now);
            directory.addresses()
        };
        heartbeat_tasks.retain(|entry_address, _| known_addresses.contains(entry_address));
        for entry_address in known_addresses {
            heartbeat_tasks.entry(entry_address.clone()).or_insert_with(|| {
                AbortOnDrop(tokio::spawn(run_heartbeats_to(
                    entry_address,
                    address.clone(),
                    shared.clone(),
                )))
            });
        }
        entry_search.run_due(&shared, now);
        let new_entries = shared.new_entries.notified();
        let _ = tokio::time::timeout(DIRECTORY_REFRESH_INTERVAL, new_entries).await;
    }
}

pub(super) fn entry_directory(shared: &AgentShared) -> MutexGuard<'_, EntryDirectory> {
    shared.entry_directory.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends one heartbeat to every known entry and waits for the answers.
pub(crate) async fn send_heartbeats_once(address: &Address<AgentActor>, shared: &AgentShared) {
    let known_addresses = entry_directory(shared).addresses();
    let heartbeats = known_addresses.into_iter().map(|entry_address| async move {
        send_heartbeat(&entry_address, ConnectPatience::Brief, address, shared).await
    });
    join_all(heartbeats).await;
}

/// Task handle that aborts its task when it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends heartbeats to one entry until the actor stops, at the interval that the entry requests.
async fn run_heartbeats_to(
    entry_address: String,
    address: Address<AgentActor>,
    shared: Arc<AgentShared>,
) {
    let mut contact = EntryContact::default();
    while address.is_connected() {
        let patience = contact.patience();
        match send_heartbeat(&entry_address, patience, &address, &shared).await {
            HeartbeatOutcome::Answered { interval } => {
                contact.record_answer();
                wait_until_due(&entry_address, interval, &address, &shared).await;
            }
            HeartbeatOutcome::Unanswered => {
                wait_or_wake_up(contact.record_failure(), &shared).await;
            }
            HeartbeatOutcome::NothingToReport => {
                wait_or_wake_up(REPORT_CHECK_INTERVAL, &shared).await;
            }
        }
    }
}

/// Waits for `time`, or until all heartbeats are to be sent; returns whether they are.
async fn wait_or_wake_up(time: Duration, shared: &AgentShared) -> bool {
    tokio::time::timeout(time, shared.heartbeat_wakeup.notified()).await.is_ok()
}

/// Waits until the next heartbeat to an entry is due: after `interval`, or sooner if the run lease of
/// its tasks here is to be renewed.
async fn wait_until_due(
    entry_address: &str,
    interval: Duration,
    address: &Address<AgentActor>,
    shared: &AgentShared,
) {
    let name = entry_directory(shared).entry_name(entry_address);
    let wakeup = shared.renewal_wakeups.get(&name);
    let answered_at = shared.interfaces.clock.now().elapsed;
    let earliest = answered_at + MIN_INTERVAL;
    let latest = (answered_at + interval).max(earliest);
    loop {
        let renewal_due = address.send(QueryRenewalDue(name.clone())).await.ok().flatten();
        let due = renewal_due.map_or(latest, |due| due.clamp(earliest, latest));
        let now = shared.interfaces.clock.now().elapsed;
        if now >= due {
            return;
        }
        tokio::select! {
            is_woken = wait_or_wake_up(due - now, shared) => if is_woken { return },
            () = wakeup.notified() => {}
        }
    }
}

/// How one heartbeat ended.
#[derive(Debug, Clone, Copy)]
enum HeartbeatOutcome {
    /// The entry answered and asked for the next heartbeat after `interval`.
    Answered { interval: Duration },
    /// The entry did not answer in time.
    Unanswered,
    /// There is no server yet.
    NothingToReport,
}

/// Sends one heartbeat and handles the answer.
async fn send_heartbeat(
    entry_address: &str,
    patience: ConnectPatience,
    address: &Address<AgentActor>,
    shared: &AgentShared,
) -> HeartbeatOutcome {
    let name = entry_directory(shared).entry_name(entry_address);
    let Some(report) = address.send(BuildReport(name)).await.ok().flatten() else {
        return HeartbeatOutcome::NothingToReport;
    };
    let sent_at = report.clock;
    let message = HeartbeatMessage::from(&report);
    let entries = &shared.interfaces.entries;
    let answer = entries.heartbeat(entry_address.into(), message, patience).await;
    let now = shared.interfaces.clock.now().elapsed;
    let Some(answer) = answer else {
        entry_directory(shared).record_failure(now);
        return HeartbeatOutcome::Unanswered;
    };
    let directive = AgentDirective::from(&answer);
    let interval = directive.heartbeat_interval;
    let (name, others) = (&answer.entry, &answer.entries);
    if entry_directory(shared).record_answer(entry_address, name, others, interval, now) {
        shared.new_entries.notify_one();
    }
    let _ = address.send(HandleDirective { directive, sent_at }).await;
    HeartbeatOutcome::Answered { interval }
}
