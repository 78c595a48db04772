//! The entry daemon.
//!
//! One actor owns the [`EntryMachine`], the state machine of the entry. Requests from callers,
//! agents, operators and other entries, and records read from the log, reach the actor as messages.
//! Spawned tasks execute the actions that the machine returns and report back as messages.

mod actions;
mod actor;
mod caller_http;
mod handle;
mod known_peers;
mod log_streams;
mod membership;
mod operator_http;
mod peer_http;
mod queries;

pub use actor::{CallerAnswer, EntryActor};
pub use handle::{EntryHandle, EntryReadiness, SubmitError};

use crate::components::DaemonComponents;
use crate::error::DaemonError;
use crate::http::bind_listener;
use crate::inbound::{self, InboundGuard};
use crate::interfaces::{AgentClient, ClockSource, EntryClient, LogStore, SeedSource};
use crate::lifecycle::{
    DaemonLifecycle, Draining, ListenerTask, Serving, Starting, StateName, Stopped,
};
use crate::log_client::LogClient;
use crate::member_stream::EntryAddresses;
use crate::recorder::EventRecorder;
use crate::settings::{EntrySeed, EntrySettings, ListenSettings, LogStream};
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use actor::{ActorComponents, HandleEvent};
use error_stack::{Report, ResultExt};
use parsleyspool_core::entry::{EntryEvent, EntryIdentity, EntryMachine};
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::lifecycle::LifecycleCharts;
use parsleyspool_core::route::RouteTable;
use parsleyspool_core::timeline::{EventField, EventKind, TimelineEvent};
use queries::{DrainProgress, QueryDrainProgress};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use xtra::{Address, Mailbox};

/// External interfaces of an entry.
#[derive(Debug, Clone)]
pub struct EntryInterfaces {
    /// Source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// Append-only log shared by all entries.
    pub log: Arc<dyn LogStore>,
    /// Client for the agents.
    pub agents: Arc<dyn AgentClient>,
    /// Client for the other entries.
    pub entries: Arc<dyn EntryClient>,
    /// Source of the entries in the settings, read again while the log does not answer; `None` if the
    /// settings do not change.
    pub seeds: Option<Arc<dyn SeedSource>>,
}

impl EntryInterfaces {
    /// Uses `log` as the log and HTTP for agents and entries, and reads its settings once.
    pub fn new(log: Arc<dyn LogStore>, components: &DaemonComponents) -> Self {
        Self {
            clock: components.clock.clone(),
            log,
            agents: components.peer_client.clone(),
            entries: components.peer_client.clone(),
            seeds: None,
        }
    }
}

/// Components of a running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    incarnation: Incarnation,
    address: Address<EntryActor>,
    caller_listener: Option<TcpListener>,
    peer_listener: Option<TcpListener>,
    shared: Arc<EntryShared>,
    tasks: Vec<JoinHandle<()>>,
    caller_server: Option<ListenerTask>,
}

/// State shared by the tasks of an entry.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub settings: EntrySettings,
    pub interfaces: EntryInterfaces,
    pub recorder: Arc<EventRecorder>,
    pub metrics: Arc<DaemonMetrics>,
    pub log_control: LogControl,
    /// Limits on what clients of all listeners send.
    pub inbound: Arc<InboundGuard>,
    pub state_name: StateName,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// Address of the peer listener that agents and other entries receive.
    pub advertised_address: SocketAddr,
    /// Entries that the settings name.
    pub seeds: watch::Sender<Vec<EntrySeed>>,
    /// Makes the entry poll all other entries immediately.
    pub peer_poll_wakeup: Notify,
    /// Routes of the active configuration.
    pub routes: watch::Sender<Arc<RouteTable>>,
}

/// Mailbox capacity of the actor, in messages.
const MAILBOX_CAPACITY: usize = 65_536;
/// Time between two ticks of the state machine.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Binds the listeners of the settings and creates an entry that uses HTTP for everything external, and
/// reads its settings again from `seeds` while the log does not answer.
///
/// # Errors
/// Fails if a listener cannot be bound or a client cannot be built.
pub async fn start(
    settings: EntrySettings,
    seeds: Arc<dyn SeedSource>,
    log_control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    let listeners = EntryListeners::bind(&settings.listen).await?;
    let components = DaemonComponents::new(&settings.telemetry, log_control, clock)?;
    let interfaces =
        EntryInterfaces { seeds: Some(seeds), ..http_interfaces(&settings, &components)? };
    start_with(listeners, settings, interfaces, components)
}

/// Listeners of an entry, bound before the entry starts.
#[derive(Debug)]
pub struct EntryListeners {
    /// Accepts callers.
    pub callers: TcpListener,
    /// Accepts agents, other entries and operators.
    pub peers: TcpListener,
}

impl EntryListeners {
    /// Binds both listeners to the addresses of the settings.
    ///
    /// # Errors
    /// Fails if an address is in use or does not belong to this machine.
    pub async fn bind(listen: &ListenSettings) -> Result<Self, Report<DaemonError>> {
        Ok(Self {
            callers: bind_listener(listen.callers).await?,
            peers: bind_listener(listen.peers).await?,
        })
    }
}

/// Creates an entry on bound listeners that uses HTTP for everything external.
///
/// # Errors
/// Fails if a client cannot be built.
pub fn start_on(
    listeners: EntryListeners,
    settings: EntrySettings,
    log_control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    let components = DaemonComponents::new(&settings.telemetry, log_control, clock)?;
    let interfaces = http_interfaces(&settings, &components)?;
    start_with(listeners, settings, interfaces, components)
}

/// Interfaces with the log of the settings.
fn http_interfaces(
    settings: &EntrySettings,
    components: &DaemonComponents,
) -> Result<EntryInterfaces, Report<DaemonError>> {
    let log = LogClient::new(&settings.log.url, settings.log.timeout)?;
    let log = Arc::new(log.with_metrics(components.metrics.clone()));
    Ok(EntryInterfaces::new(log, components))
}

/// Creates an entry with custom external interfaces, for embedders and benchmarks.
///
/// # Errors
/// Fails if a state chart is invalid or the address of a listener cannot be read.
pub fn start_with(
    listeners: EntryListeners,
    settings: EntrySettings,
    interfaces: EntryInterfaces,
    components: DaemonComponents,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    LifecycleCharts::load().change_context(DaemonError::Charts)?;
    let EntryListeners { callers, peers } = listeners;
    let incarnation = components.incarnation;
    let state_name = StateName::starting();
    let identity = EntryIdentity {
        name: settings.name.as_str().into(),
        incarnation,
        domain: settings.domain.as_str().into(),
        rank: settings.rank,
    };
    let limits = settings.inbound.limits(&settings.machine);
    let inbound = Arc::new(InboundGuard::new(limits, components.metrics.clone()));
    let machine = EntryMachine::new(identity, settings.entry_limits(), incarnation);
    let peer_address = peers.local_addr().change_context(DaemonError::Bind)?;
    let shared = Arc::new(EntryShared {
        caller_address: callers.local_addr().change_context(DaemonError::Bind)?,
        peer_address,
        advertised_address: settings.listen.advertise.unwrap_or(peer_address),
        seeds: watch::Sender::new(settings.entry_seeds()),
        settings,
        interfaces,
        recorder: components.recorder,
        metrics: components.metrics,
        log_control: components.log_control,
        inbound,
        state_name: state_name.clone(),
        peer_poll_wakeup: Notify::new(),
        routes: watch::Sender::new(Arc::new(RouteTable::default())),
    });
    shared.recorder.record(TimelineEvent::new(EventKind::ProcessStarted));
    let components = ActorComponents { machine, shared: shared.clone() };
    let address =
        xtra::spawn_tokio(EntryActor::new(components), Mailbox::bounded(MAILBOX_CAPACITY));
    let daemon = EntryDaemon {
        incarnation,
        address,
        caller_listener: Some(callers),
        peer_listener: Some(peers),
        shared,
        tasks: Vec::new(),
        caller_server: None,
    };
    Ok(DaemonLifecycle::new(daemon, state_name))
}

impl EntryDaemon {
    /// Handle through which the listeners of an embedder submit jobs.
    pub fn handle(&self) -> EntryHandle {
        EntryHandle::new(self.address.clone(), self.shared.clone())
    }

    /// Limits that the listeners of an embedder share with those of the entry.
    pub fn inbound(&self) -> Arc<InboundGuard> {
        self.shared.inbound.clone()
    }

    /// Address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.shared.caller_address
    }

    /// Address of the listener for agents, other entries and operators.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.peer_address
    }
}

impl DaemonLifecycle<EntryDaemon, Starting> {
    /// Spawns the listeners, the log readers, the ticker and the polling of other entries.
    pub fn run(mut self) -> DaemonLifecycle<EntryDaemon, Serving> {
        let daemon = &mut self.components;
        let (address, shared) = (daemon.address.clone(), daemon.shared.clone());
        if let Some(listener) = daemon.caller_listener.take() {
            let handle = EntryHandle::new(address.clone(), shared.clone());
            let routes = caller_http::routes(handle, shared.clone());
            let (stop, stopped) = oneshot::channel::<()>();
            let server = inbound::serve(listener, routes, shared.inbound.clone(), async move {
                let _ = stopped.await;
            });
            daemon.caller_server = Some(ListenerTask::new(stop, tokio::spawn(server)));
        }
        if let Some(listener) = daemon.peer_listener.take() {
            let routes = peer_http::routes(address.clone(), &shared);
            let server =
                inbound::serve(listener, routes, shared.inbound.clone(), std::future::pending());
            daemon.tasks.push(tokio::spawn(server));
        }
        daemon.tasks.push(tokio::spawn(shared.inbound.clone().sweep()));
        let is_followed = |stream| shared.settings.log.streams.contains(&stream);
        if is_followed(LogStream::Config) {
            let reader = log_streams::follow_config(address.clone(), shared.clone());
            daemon.tasks.push(tokio::spawn(reader));
        }
        if is_followed(LogStream::Claims) {
            let reader = log_streams::follow_claims(address.clone(), shared.clone());
            daemon.tasks.push(tokio::spawn(reader));
        }
        daemon.tasks.push(tokio::spawn(log_streams::tick(address.clone())));
        let (address_sender, address_receiver) = watch::channel(EntryAddresses::new());
        if is_followed(LogStream::Members) {
            let announcer = membership::announce(daemon.incarnation, shared.clone());
            daemon.tasks.push(tokio::spawn(announcer));
        }
        daemon.tasks.push(tokio::spawn(membership::follow_members(address_sender, shared.clone())));
        let poller = membership::poll_entries(address_receiver, address.clone(), shared.clone());
        daemon.tasks.push(tokio::spawn(poller));
        self.serve()
    }
}

/// Time between two queries of the drain progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl DaemonLifecycle<EntryDaemon, Serving> {
    /// Begins a planned stop: the entry refuses new jobs and finishes the open ones.
    pub async fn begin_drain(self) -> DaemonLifecycle<EntryDaemon, Draining> {
        let _ = self.components.address.send(HandleEvent(EntryEvent::Drain)).await;
        self.drain()
    }
}

impl DaemonLifecycle<EntryDaemon, Draining> {
    /// Waits for the open jobs, closes the caller listener and the audit log, deregisters the
    /// entry and stops.
    ///
    /// The drain time of the settings limits the waits for the jobs and for the audit log.
    pub async fn finish(mut self) -> DaemonLifecycle<EntryDaemon, Stopped> {
        let deadline = tokio::time::Instant::now() + self.components.shared.settings.drain;
        let jobs =
            self.wait_for_drain(deadline, |progress| progress.open_jobs == 0).await.open_jobs;
        if let Some(server) = self.components.caller_server.take() {
            server.finish().await;
        }
        // No caller can be refused from here on, so the audit log can be closed.
        let _ = self.components.address.send(HandleEvent(EntryEvent::CloseAuditLog)).await;
        let closed = self.wait_for_drain(deadline, |progress| progress.is_audit_log_closed).await;
        if !closed.is_audit_log_closed {
            tracing::warn!(event = "accounts_not_closed");
        }
        let unfinished = jobs.max(usize::from(!closed.is_audit_log_closed));
        membership::deregister(self.components.incarnation, &self.components.shared).await;
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        let stopped = TimelineEvent::new(EventKind::ProcessStopped);
        let unfinished_jobs = EventField::Unfinished(unfinished as u64);
        self.components.shared.recorder.record(stopped.field(unfinished_jobs));
        self.stop(unfinished)
    }

    /// Polls the progress until `is_reached` or `deadline`, and returns the last progress seen.
    async fn wait_for_drain(
        &self,
        deadline: tokio::time::Instant,
        is_reached: impl Fn(DrainProgress) -> bool,
    ) -> DrainProgress {
        loop {
            let progress =
                self.components.address.send(QueryDrainProgress).await.unwrap_or_default();
            if is_reached(progress) || tokio::time::Instant::now() >= deadline {
                return progress;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl DaemonLifecycle<EntryDaemon, Serving> {
    /// Aborts all tasks without a drain, to simulate a crash in tests.
    pub fn abort(mut self) {
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        if let Some(server) = self.components.caller_server.take() {
            server.abort();
        }
    }
}
