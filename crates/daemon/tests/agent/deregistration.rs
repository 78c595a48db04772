//! An agent whose server announces itself, with a stub of the worker and of an entry: which
//! deregistrations it takes for those of the server that is up.

use crate::fixtures::{
    IdleWorker, SERVER, SETTINGS, agent_components, agent_settings, announcement, directive,
};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::ConnectPatience;
use parsleyspool_core::id::PeerAddress;
use parsleyspool_core::run::RunLimits;
use parsleyspool_daemon::agent::{AgentDaemon, AgentInterfaces, start_with};
use parsleyspool_daemon::http::bind_listener;
use parsleyspool_daemon::interfaces::{EntryClient, TaskRunner};
use parsleyspool_daemon::lifecycle::{DaemonLifecycle, Serving};
use parsleyspool_wire::peer::{
    DirectiveMessage, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Far longer than the interval between two heartbeats.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// More heartbeats than can be on their way.
const LATE_HEARTBEATS: usize = 5;

/// Entry that answers every heartbeat and passes it on.
#[derive(Debug)]
struct RecordingEntry {
    heartbeats: UnboundedSender<HeartbeatMessage>,
}

impl EntryClient for RecordingEntry {
    fn heartbeat(
        &self,
        _address: PeerAddress,
        message: HeartbeatMessage,
        _patience: ConnectPatience,
    ) -> BoxFuture<'_, Option<DirectiveMessage>> {
        let _ = self.heartbeats.send(message);
        std::future::ready(Some(directive("entry-1"))).boxed()
    }

    fn fetch_state(
        &self,
        _address: PeerAddress,
        _message: PeerStateQuery,
    ) -> BoxFuture<'_, Option<PeerStateMessage>> {
        std::future::ready(None).boxed()
    }
}

async fn start_agent()
-> (DaemonLifecycle<AgentDaemon, Serving>, UnboundedReceiver<HeartbeatMessage>) {
    let settings = agent_settings(SETTINGS);
    let components = agent_components(&settings);
    let (heartbeats, received) = unbounded_channel();
    let runner =
        TaskRunner::Leased { executor: Arc::new(IdleWorker), limits: RunLimits::default() };
    let entries = Arc::new(RecordingEntry { heartbeats });
    let interfaces = AgentInterfaces { entries, ..AgentInterfaces::new(runner, &components) };
    let listener = bind_listener(settings.listen).await.expect("a port is free");
    let agent = start_with(listener, settings, interfaces, components);
    (agent.expect("the agent starts").run(), received)
}

/// Receives heartbeats until one satisfies `is_match`; fails if none does.
async fn wait_for_heartbeat(
    received: &mut UnboundedReceiver<HeartbeatMessage>,
    is_match: impl Fn(&HeartbeatMessage) -> bool,
) {
    let matching =
        async { while !received.recv().await.is_some_and(|heartbeat| is_match(&heartbeat)) {} };
    tokio::time::timeout(LONGEST_WAIT, matching).await.expect("the server is advertised");
}

/// Whether the heartbeats end. Some that were sent before may still arrive.
async fn has_fallen_silent(received: &mut UnboundedReceiver<HeartbeatMessage>) -> bool {
    while received.try_recv().is_ok() {}
    for _ in 0..LATE_HEARTBEATS {
        if tokio::time::timeout(LONGEST_WAIT, received.recv()).await.is_err() {
            return true;
        }
    }
    false
}

/// Failure: the deregistration of an earlier life of the server arrives after its restart under the same
/// id, and the server that is up is out of service for good.
#[tokio::test]
async fn a_late_deregistration_does_not_withdraw_a_server_that_is_not_leaving() {
    let (agent, mut received) = start_agent().await;
    let handle = agent.components.announcement_handle();
    handle.announce(announcement(1, false)).await;
    wait_for_heartbeat(&mut received, |heartbeat| !heartbeat.is_leaving).await;

    handle.deregister(SERVER.into()).await;
    handle.announce(announcement(2, false)).await;

    assert!(!has_fallen_silent(&mut received).await);
}

#[tokio::test]
async fn the_deregistration_of_a_leaving_server_withdraws_it() {
    let (agent, mut received) = start_agent().await;
    let handle = agent.components.announcement_handle();
    handle.announce(announcement(1, true)).await;
    wait_for_heartbeat(&mut received, |heartbeat| heartbeat.is_leaving).await;

    handle.deregister(SERVER.into()).await;
    handle.announce(announcement(2, true)).await;

    assert!(has_fallen_silent(&mut received).await);
}
