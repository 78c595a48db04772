//! Heartbeats to the entries.

use super::AgentShared;
use super::actor::{AgentActor, MakeReport, TakeDirective};
use super::entries::EntryBook;
use futures_util::future::join_all;
use parsleyspool_core::entry::AgentDirective;
use parsleyspool_wire::peer::{DirectiveMessage, HeartbeatMessage};
use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use xtra::Address;

/// Time until the next heartbeat to an entry that did not answer.
const RETRY: Duration = Duration::from_millis(250);
/// Shortest heartbeat interval that an entry may ask for.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks for entries that became known or were forgotten.
const REVIEW: Duration = Duration::from_millis(200);

/// Sends heartbeats to every entry known, for as long as the actor lives.
pub(crate) async fn beat_all(address: Address<AgentActor>, shared: Arc<AgentShared>) {
    let mut beats: BTreeMap<String, AbortOnDrop> = BTreeMap::new();
    while address.is_connected() {
        let now = shared.edges.clock.now().elapsed;
        let known = {
            let mut book = entries(&shared);
            book.forget(now);
            book.addresses()
        };
        beats.retain(|at, _| known.contains(at));
        for at in known {
            beats.entry(at.clone()).or_insert_with(|| {
                AbortOnDrop(tokio::spawn(beat(at, address.clone(), shared.clone())))
            });
        }
        tokio::time::sleep(REVIEW).await;
    }
}

fn entries(shared: &AgentShared) -> MutexGuard<'_, EntryBook> {
    shared.entries.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends one heartbeat to every entry known and waits for the answers.
pub(crate) async fn beat_once(address: &Address<AgentActor>, shared: &AgentShared) {
    let known = entries(shared).addresses();
    let beats = known.into_iter().map(|at| async move { send(&at, address, shared).await });
    join_all(beats).await;
}

/// Task that ends with its handle.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends heartbeats to one entry for as long as the actor lives.
async fn beat(at: String, address: Address<AgentActor>, shared: Arc<AgentShared>) {
    while address.is_connected() {
        let wait = match send(&at, &address, &shared).await {
            Some(answer) => AgentDirective::from(&answer).heartbeat_interval.max(LEAST_INTERVAL),
            None => RETRY,
        };
        let _ = tokio::time::timeout(wait, shared.beat.notified()).await;
    }
}

/// Sends one heartbeat, where there is a server to tell of, and heeds the answer.
async fn send(
    at: &str,
    address: &Address<AgentActor>,
    shared: &AgentShared,
) -> Option<DirectiveMessage> {
    let name = entries(shared).name_of(at);
    let report = address.send(MakeReport(name)).await.ok().flatten()?;
    let sent_at = report.clock;
    let message = HeartbeatMessage::from(&report);
    let answer = shared.edges.entries.heartbeat(at.into(), message).await?;
    let now = shared.edges.clock.now().elapsed;
    entries(shared).hear(at, &answer.entry, &answer.entries, now);
    let directive = AgentDirective::from(&answer);
    let _ = address.send(TakeDirective { directive, sent_at }).await;
    Some(answer)
}
