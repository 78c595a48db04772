//! Heartbeats of an agent to the entries.

use super::AgentShared;
use super::actor::{AgentActor, BuildReport, HandleDirective};
use super::entry_directory::EntryDirectory;
use futures_util::future::join_all;
use parsleyspool_core::entry::AgentDirective;
use parsleyspool_wire::peer::{DirectiveMessage, HeartbeatMessage};
use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use xtra::Address;

/// Delay before the next heartbeat if the entry did not answer or there was no server to report.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Shortest heartbeat interval; an entry that requests a shorter one gets this one.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks for entries that were added to the directory or have expired.
const DIRECTORY_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Sends heartbeats to every known entry until the actor stops, from one task per entry.
pub(crate) async fn run_heartbeats(address: Address<AgentActor>, shared: Arc<AgentShared>) {
    let mut heartbeat_tasks: BTreeMap<String, AbortOnDrop> = BTreeMap::new();
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
        tokio::time::sleep(DIRECTORY_REFRESH_INTERVAL).await;
    }
}

fn entry_directory(shared: &AgentShared) -> MutexGuard<'_, EntryDirectory> {
    shared.entry_directory.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends one heartbeat to every known entry and waits for the answers.
pub(crate) async fn send_heartbeats_once(address: &Address<AgentActor>, shared: &AgentShared) {
    let known_addresses = entry_directory(shared).addresses();
    let heartbeats = known_addresses
        .into_iter()
        .map(|entry_address| async move { send_heartbeat(&entry_address, address, shared).await });
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
    while address.is_connected() {
        let wait = match send_heartbeat(&entry_address, &address, &shared).await {
            Some(answer) => AgentDirective::from(&answer).heartbeat_interval.max(MIN_INTERVAL),
            None => HEARTBEAT_RETRY_DELAY,
        };
        let _ = tokio::time::timeout(wait, shared.heartbeat_wakeup.notified()).await;
    }
}

/// Sends one heartbeat and handles the answer; `None` if the entry did not answer, or if there is
/// no server to report.
async fn send_heartbeat(
    entry_address: &str,
    address: &Address<AgentActor>,
    shared: &AgentShared,
) -> Option<DirectiveMessage> {
    let name = entry_directory(shared).entry_name(entry_address);
    let report = address.send(BuildReport(name)).await.ok().flatten()?;
    let sent_at = report.clock;
    let message = HeartbeatMessage::from(&report);
    let answer = shared.interfaces.entries.heartbeat(entry_address.into(), message).await?;
    let now = shared.interfaces.clock.now().elapsed;
    entry_directory(shared).record_answer(entry_address, &answer.entry, &answer.entries, now);
    let directive = AgentDirective::from(&answer);
    let _ = address.send(HandleDirective { directive, sent_at }).await;
    Some(answer)
}
