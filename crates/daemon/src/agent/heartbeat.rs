//! Heartbeats to the entries.

use super::AgentShared;
use super::actor::{AgentActor, MakeReport, TakeDirective};
use futures_util::future::join_all;
use parsleyspool_core::entry::AgentDirective;
use parsleyspool_wire::peer::HeartbeatMessage;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use xtra::Address;

/// Time until the next heartbeat to an entry that did not answer.
const RETRY: Duration = Duration::from_millis(500);
/// Shortest heartbeat interval that an entry may ask for.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);

/// Sends heartbeats to the entries of the settings and to those that they name.
pub(crate) async fn beat_all(address: Address<AgentActor>, shared: Arc<AgentShared>) {
    let (found, mut newly) = mpsc::channel::<BTreeMap<String, String>>(16);
    let mut beats: BTreeMap<String, (String, AbortOnDrop)> = BTreeMap::new();
    let settled = shared.settings.entries.iter();
    let mut known: BTreeMap<String, String> =
        settled.map(|(name, at)| (name.clone(), at.to_string())).collect();
    loop {
        note_known(&shared, &known);
        for (name, at) in known {
            if beats.get(&name).is_some_and(|(other, _)| *other == at) {
                continue;
            }
            let beat =
                beat(name.clone(), at.clone(), address.clone(), shared.clone(), found.clone());
            beats.insert(name, (at, AbortOnDrop(tokio::spawn(beat))));
        }
        known = match newly.recv().await {
            Some(entries) => entries,
            None => return,
        };
    }
}

fn note_known(shared: &AgentShared, known: &BTreeMap<String, String>) {
    let mut entries = shared.entries.lock().unwrap_or_else(PoisonError::into_inner);
    entries.extend(known.iter().map(|(name, at)| (name.clone(), at.clone())));
}

/// Sends one heartbeat to every entry known and waits for the answers.
pub(crate) async fn beat_once(address: &Address<AgentActor>, shared: &AgentShared) {
    let entries = shared.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let beats = entries.into_iter().map(|(name, at)| async move {
        let Ok(report) = address.send(MakeReport(name)).await else { return };
        let message = HeartbeatMessage::from(&report);
        let _ = shared.edges.entries.heartbeat(at.as_str().into(), message).await;
    });
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
async fn beat(
    name: String,
    at: String,
    address: Address<AgentActor>,
    shared: Arc<AgentShared>,
    found: mpsc::Sender<BTreeMap<String, String>>,
) {
    while let Ok(report) = address.send(MakeReport(name.clone())).await {
        let sent = report.clock;
        let message = HeartbeatMessage::from(&report);
        let answer = shared.edges.entries.heartbeat(at.as_str().into(), message).await;
        let wait = match answer {
            Some(answer) => {
                let directive = AgentDirective::from(&answer);
                let next = directive.next_in.max(LEAST_INTERVAL);
                let _ = found.try_send(answer.entries);
                let _ = address.send(TakeDirective { directive, sent }).await;
                next
            }
            None => RETRY,
        };
        let _ = tokio::time::timeout(wait, shared.beat.notified()).await;
    }
}
