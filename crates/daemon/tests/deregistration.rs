//! An agent whose server announces itself, with a stub of the worker and of an entry: which
//! deregistrations it takes for those of the server that is up.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::{ConnectPatience, ServerAvailability};
use parsleyspool_core::id::PeerAddress;
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::run::{
    PollAnswer, PollCall, RunLimits, RunListing, ServerIncarnation, StartAnswer, StartCall,
    StopAnswer, StopCall,
};
use parsleyspool_daemon::agent::{
    AgentDaemon, AgentInterfaces, AnnouncementHandle, ServerAnnouncement, start_with,
};
use parsleyspool_daemon::clock::SystemClock;
use parsleyspool_daemon::components::DaemonComponents;
use parsleyspool_daemon::http::bind_listener;
use parsleyspool_daemon::interfaces::{EntryClient, RunExecutor, TaskRunner};
use parsleyspool_daemon::lifecycle::{DaemonLifecycle, Serving};
use parsleyspool_daemon::settings::{ProcessSettings, parse};
use parsleyspool_daemon::telemetry::logging::LogControl;
use parsleyspool_wire::peer::{
    DirectiveMessage, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

const SETTINGS: &str = "\
agent:
  name: server-1
  domain: coast
  worker: worker-1
  listen: 127.0.0.1:0
  entries:
    entry-1: 127.0.0.1:7201
  runs:
    lease: 700ms
    renewal: 200ms
";
const SERVER: &str = "i-1";
const STARTED_AT: Duration = Duration::from_secs(1_000);
/// Far longer than the interval between two heartbeats.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// More heartbeats than can be on their way.
const LATE_HEARTBEATS: usize = 5;

/// Worker without runs, which answers every poll at once.
#[derive(Debug)]
struct IdleWorker;

impl RunExecutor for IdleWorker {
    fn start(&self, _call: StartCall) -> BoxFuture<'_, StartAnswer> {
        std::future::pending().boxed()
    }

    fn stop(&self, _call: StopCall) -> BoxFuture<'_, StopAnswer> {
        std::future::pending().boxed()
    }

    fn poll_runs(&self, _call: PollCall) -> BoxFuture<'_, PollAnswer> {
        let listing = RunListing {
            clock: Duration::from_secs(500),
            started_at: Some(STARTED_AT),
            running: Vec::new(),
            ended: Vec::new(),
            is_truncated: false,
            unreadable: Vec::new(),
        };
        std::future::ready(PollAnswer::Listing(listing)).boxed()
    }
}

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
        let directive = DirectiveMessage {
            entry: "entry-1".to_owned(),
            incarnation: 7,
            run_lease_us: Some(900_000),
            version: 1,
            is_in_service: true,
            is_leaving: false,
            valid_for_us: 3_000_000,
            renewal_interval_us: None,
            heartbeat_interval_us: 50_000,
            entries: BTreeMap::new(),
            ended_submissions: Vec::new(),
        };
        std::future::ready(Some(directive)).boxed()
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
    let Ok(ProcessSettings::Agent(settings)) = parse(SETTINGS) else {
        panic!("the settings are those of an agent");
    };
    let clock = Arc::new(SystemClock::new());
    let components = DaemonComponents::new(&settings.telemetry, LogControl::detached(), clock);
    let components = components.expect("the components start");
    let (heartbeats, received) = unbounded_channel();
    let runner =
        TaskRunner::Leased { executor: Arc::new(IdleWorker), limits: RunLimits::default() };
    let entries = Arc::new(RecordingEntry { heartbeats });
    let interfaces = AgentInterfaces { entries, ..AgentInterfaces::new(runner, &components) };
    let listener = bind_listener(settings.listen).await.expect("a port is free");
    let agent = start_with(listener, *settings, interfaces, components);
    (agent.expect("the agent starts").run(), received)
}

async fn announce(handle: &AnnouncementHandle, sequence: u64, is_leaving: bool) {
    let incarnation = ServerIncarnation { server: SERVER.into(), started_at: STARTED_AT };
    let availability = ServerAvailability { capacity: ResourceAmounts::from_slots(4), is_leaving };
    let announcement = ServerAnnouncement {
        incarnation,
        sequence,
        clock: None,
        services: vec!["s".into()],
        domain: "coast".into(),
        worker: "worker-1".into(),
        availability,
    };
    handle.announce(announcement).await;
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
    announce(&handle, 1, false).await;
    wait_for_heartbeat(&mut received, |heartbeat| !heartbeat.is_leaving).await;

    handle.deregister(SERVER.into()).await;
    announce(&handle, 2, false).await;

    assert!(!has_fallen_silent(&mut received).await);
}

#[tokio::test]
async fn the_deregistration_of_a_leaving_server_withdraws_it() {
    let (agent, mut received) = start_agent().await;
    let handle = agent.components.announcement_handle();
    announce(&handle, 1, true).await;
    wait_for_heartbeat(&mut received, |heartbeat| heartbeat.is_leaving).await;

    handle.deregister(SERVER.into()).await;
    announce(&handle, 2, true).await;

    assert!(has_fallen_silent(&mut received).await);
}
