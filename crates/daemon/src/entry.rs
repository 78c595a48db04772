//! The entry daemon.
//!
//! One actor owns the [`EntryMachine`]. Callers, agents,
//! operators, other entries and the streams of the log reach it as messages; what it decides is
//! carried out by tasks that report back as messages.

mod actor;
mod caller_http;
mod handle;
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
use crate::interfaces::{AgentClient, ClockSource, EntryClient, LogStore};
use crate::lifecycle::{
    DaemonLifecycle, Draining, ListenerTask, Serving, Starting, StateName, Stopped,
};
use crate::log_client::LogClient;
use crate::recorder::EventRecorder;
use crate::settings::{EntryListen, EntrySettings, LogStream};
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use actor::{ActorComponents, HandleEvent};
use error_stack::{Report, ResultExt};
use parsleyspool_core::entry::{EntryEvent, EntryIdentity, EntryMachine};
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::lifecycle::LifecycleCharts;
use parsleyspool_core::route::RouteTable;
use parsleyspool_core::timeline::{EventFigure, EventKind, TimelineEvent};
use queries::{DrainProgress, QueryDrainProgress};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use xtra::{Address, Mailbox};

/// What an entry stands on.
#[derive(Debug, Clone)]
pub struct EntryInterfaces {
    /// Clock.
    pub clock: Arc<dyn ClockSource>,
    /// Log.
    pub log: Arc<dyn LogStore>,
    /// Agents.
    pub agents: Arc<dyn AgentClient>,
    /// Other entries.
    pub entries: Arc<dyn EntryClient>,
}

impl EntryInterfaces {
    /// Edges over HTTP on all sides but the log.
    pub fn new(log: Arc<dyn LogStore>, components: &DaemonComponents) -> Self {
        Self {
            clock: components.clock.clone(),
            log,
            agents: components.peer_client.clone(),
            entries: components.peer_client.clone(),
        }
    }
}

/// Parts of a running entry.
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

/// What the tasks of an entry share.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub settings: EntrySettings,
    pub interfaces: EntryInterfaces,
    pub recorder: Arc<EventRecorder>,
    pub metrics: Arc<DaemonMetrics>,
    pub log_control: LogControl,
    pub state_name: StateName,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// Address of the listener for peers as others are told it.
    pub advertised_address: SocketAddr,
    pub peer_poll_wakeup: Notify,
    /// Routes of the configuration in force.
    pub routes: watch::Sender<Arc<RouteTable>>,
}

/// Mailbox of the actor, in messages.
const MAILBOX_CAPACITY: usize = 65_536;
/// Time between two ticks of the decision part.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Entry with its listeners bound, over HTTP on all sides.
///
/// # Errors
/// Fails where a listener cannot be bound or a client cannot be built.
pub async fn start(
    settings: EntrySettings,
    log_control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    let listeners = EntryListeners::bind(&settings.listen).await?;
    start_on(listeners, settings, log_control, clock)
}

/// Listeners of an entry, bound before it starts.
#[derive(Debug)]
pub struct EntryListeners {
    /// For callers.
    pub callers: TcpListener,
    /// For agents, other entries and operators.
    pub peers: TcpListener,
}

impl EntryListeners {
    /// Listeners at the addresses of the settings.
    ///
    /// # Errors
    /// Fails where an address is taken.
    pub async fn bind(listen: &EntryListen) -> Result<Self, Report<DaemonError>> {
        Ok(Self {
            callers: bind_listener(listen.callers).await?,
            peers: bind_listener(listen.peers).await?,
        })
    }
}

/// Entry on listeners that are bound already, over HTTP on all sides.
///
/// # Errors
/// Fails where a client cannot be built.
pub fn start_on(
    listeners: EntryListeners,
    settings: EntrySettings,
    log_control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    let components = DaemonComponents::new(&settings.telemetry, log_control, clock)?;
    let log = LogClient::new(&settings.log.url, settings.log.timeout)?;
    let log = Arc::new(log.with_metrics(components.metrics.clone()));
    let interfaces = EntryInterfaces::new(log, &components);
    start_with(listeners, settings, interfaces, components)
}

/// Entry on other edges; for embedders and benches.
///
/// # Errors
/// Fails where a state chart is wrong.
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
    let machine = EntryMachine::new(identity, settings.entry_limits(), incarnation);
    let peer_address = peers.local_addr().change_context(DaemonError::Bind)?;
    let shared = Arc::new(EntryShared {
        caller_address: callers.local_addr().change_context(DaemonError::Bind)?,
        peer_address,
        advertised_address: settings.listen.advertise.unwrap_or(peer_address),
        settings,
        interfaces,
        recorder: components.recorder,
        metrics: components.metrics,
        log_control: components.log_control,
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
    /// Way into the entry for other listeners than its own.
    pub fn handle(&self) -> EntryHandle {
        EntryHandle::new(self.address.clone(), self.shared.clone())
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.shared.caller_address
    }

    /// Address of the listener for agents, other entries and operators.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.peer_address
    }
}

impl DaemonLifecycle<EntryDaemon, Starting> {
    /// Serves callers, agents, operators and other entries, and follows the log.
    pub fn run(mut self) -> DaemonLifecycle<EntryDaemon, Serving> {
        let daemon = &mut self.components;
        let (address, shared) = (daemon.address.clone(), daemon.shared.clone());
        if let Some(listener) = daemon.caller_listener.take() {
            let handle = EntryHandle::new(address.clone(), shared.clone());
            let routes = caller_http::routes(handle, shared.clone());
            let (stop, stopped) = oneshot::channel::<()>();
            let server = warp::serve(routes).incoming(listener);
            let server = server.graceful(async move {
                let _ = stopped.await;
            });
            daemon.caller_server = Some(ListenerTask::new(stop, tokio::spawn(server.run())));
        }
        if let Some(listener) = daemon.peer_listener.take() {
            let routes = peer_http::routes(address.clone(), &shared);
            let server = warp::serve(routes).incoming(listener);
            daemon.tasks.push(tokio::spawn(server.run()));
        }
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
        let (address_sender, address_receiver) = watch::channel(membership::EntryAddresses::new());
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

/// Time between two looks at the progress of a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl DaemonLifecycle<EntryDaemon, Serving> {
    /// Begins a planned stop: new jobs are refused, jobs in progress are finished.
    pub async fn begin_drain(self) -> DaemonLifecycle<EntryDaemon, Draining> {
        let _ = self.components.address.send(HandleEvent(EntryEvent::Drain)).await;
        self.drain()
    }
}

impl DaemonLifecycle<EntryDaemon, Draining> {
    /// Finishes the jobs in progress, takes no further calls and closes the accounts, all at most
    /// as long as the settings say, and stops.
    pub async fn finish(mut self) -> DaemonLifecycle<EntryDaemon, Stopped> {
        let deadline = tokio::time::Instant::now() + self.components.shared.settings.drain;
        let jobs =
            self.wait_for_drain(deadline, |progress| progress.open_jobs == 0).await.open_jobs;
        if let Some(server) = self.components.caller_server.take() {
            server.finish().await;
        }
        // Nobody is refused from here on, so the accounts can end.
        let _ = self.components.address.send(HandleEvent(EntryEvent::CloseAccounts)).await;
        let closed = self.wait_for_drain(deadline, |progress| progress.is_refusal_log_closed).await;
        if !closed.is_refusal_log_closed {
            tracing::warn!(event = "accounts_not_closed");
        }
        let unfinished = jobs.max(usize::from(!closed.is_refusal_log_closed));
        membership::deregister(self.components.incarnation, &self.components.shared).await;
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        let stopped = TimelineEvent::new(EventKind::ProcessStopped);
        let unfinished_jobs = EventFigure::Unfinished(unfinished as u64);
        self.components.shared.recorder.record(stopped.figure(unfinished_jobs));
        self.stop(unfinished)
    }

    /// Waits until `is_reached`, at most until `bound`, and returns what is left then.
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
    /// Ends at once, as a crash would; for tests.
    pub fn abort(mut self) {
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        if let Some(server) = self.components.caller_server.take() {
            server.abort();
        }
    }
}
