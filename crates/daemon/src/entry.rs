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
use actor::{Decide, EntryParts};
use error_stack::{Report, ResultExt};
use parsleyspool_core::entry::{EntryEvent, EntryIdentity, EntryMachine};
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::lifecycle::LifecycleCharts;
use parsleyspool_core::route::RouteTable;
use parsleyspool_core::timeline::{EventFigure, EventKind, TimelineEvent};
use queries::{DrainProgress, QueryDrained};
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
    pub fn new(log: Arc<dyn LogStore>, parts: &DaemonComponents) -> Self {
        Self {
            clock: parts.clock.clone(),
            log,
            agents: parts.peer_client.clone(),
            entries: parts.peer_client.clone(),
        }
    }
}

/// Parts of a running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    incarnation: Incarnation,
    address: Address<EntryActor>,
    callers: Option<TcpListener>,
    peers: Option<TcpListener>,
    shared: Arc<EntryShared>,
    tasks: Vec<JoinHandle<()>>,
    server: Option<ListenerTask>,
}

/// What the tasks of an entry share.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub settings: EntrySettings,
    pub edges: EntryInterfaces,
    pub recorder: Arc<EventRecorder>,
    pub metrics: Arc<DaemonMetrics>,
    pub control: LogControl,
    pub word: StateName,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// Address of the listener for peers as others are told it.
    pub advertised: SocketAddr,
    pub poke: Notify,
    /// Routes of the configuration in force.
    pub routes: watch::Sender<Arc<RouteTable>>,
}

/// Mailbox of the actor, in messages.
const MAILBOX: usize = 65_536;
/// Time between two ticks of the decision part.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// Entry with its listeners bound, over HTTP on all sides.
///
/// # Errors
/// Fails where a listener cannot be bound or a client cannot be built.
pub async fn start(
    settings: EntrySettings,
    control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    let listeners = EntryListeners::bind(&settings.listen).await?;
    start_on(listeners, settings, control, clock)
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
    control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    let parts = DaemonComponents::new(&settings.telemetry, control, clock)?;
    let log = LogClient::new(&settings.log.url, settings.log.timeout)?;
    let log = Arc::new(log.with_metrics(parts.metrics.clone()));
    let edges = EntryInterfaces::new(log, &parts);
    start_with(listeners, settings, edges, parts)
}

/// Entry on other edges; for embedders and benches.
///
/// # Errors
/// Fails where a state chart is wrong.
pub fn start_with(
    listeners: EntryListeners,
    settings: EntrySettings,
    edges: EntryInterfaces,
    parts: DaemonComponents,
) -> Result<DaemonLifecycle<EntryDaemon, Starting>, Report<DaemonError>> {
    LifecycleCharts::load().change_context(DaemonError::Charts)?;
    let EntryListeners { callers, peers } = listeners;
    let incarnation = parts.incarnation;
    let word = StateName::starting();
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
        advertised: settings.listen.advertise.unwrap_or(peer_address),
        settings,
        edges,
        recorder: parts.recorder,
        metrics: parts.metrics,
        control: parts.log_control,
        word: word.clone(),
        poke: Notify::new(),
        routes: watch::Sender::new(Arc::new(RouteTable::default())),
    });
    shared.recorder.record(TimelineEvent::new(EventKind::ProcessStarted));
    let parts = EntryParts { machine, shared: shared.clone() };
    let address = xtra::spawn_tokio(EntryActor::new(parts), Mailbox::bounded(MAILBOX));
    let daemon = EntryDaemon {
        incarnation,
        address,
        callers: Some(callers),
        peers: Some(peers),
        shared,
        tasks: Vec::new(),
        server: None,
    };
    Ok(DaemonLifecycle::new(daemon, word))
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
        if let Some(listener) = daemon.callers.take() {
            let port = EntryHandle::new(address.clone(), shared.clone());
            let routes = caller_http::routes(port, shared.clone());
            let (stop, stopped) = oneshot::channel::<()>();
            let server = warp::serve(routes).incoming(listener);
            let server = server.graceful(async move {
                let _ = stopped.await;
            });
            daemon.server = Some(ListenerTask::new(stop, tokio::spawn(server.run())));
        }
        if let Some(listener) = daemon.peers.take() {
            let routes = peer_http::routes(address.clone(), &shared);
            let server = warp::serve(routes).incoming(listener);
            daemon.tasks.push(tokio::spawn(server.run()));
        }
        let follows = |stream| shared.settings.log.streams.contains(&stream);
        if follows(LogStream::Config) {
            let follow = log_streams::follow_config(address.clone(), shared.clone());
            daemon.tasks.push(tokio::spawn(follow));
        }
        if follows(LogStream::Claims) {
            let follow = log_streams::follow_claims(address.clone(), shared.clone());
            daemon.tasks.push(tokio::spawn(follow));
        }
        daemon.tasks.push(tokio::spawn(log_streams::tick(address.clone())));
        let (found, members) = watch::channel(membership::EntryAddresses::new());
        if follows(LogStream::Members) {
            let announce = membership::announce(daemon.incarnation, shared.clone());
            daemon.tasks.push(tokio::spawn(announce));
        }
        daemon.tasks.push(tokio::spawn(membership::follow(found, shared.clone())));
        let talk = membership::talk_to_all(members, address.clone(), shared.clone());
        daemon.tasks.push(tokio::spawn(talk));
        self.serve()
    }
}

/// Time between two looks at the progress of a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

impl DaemonLifecycle<EntryDaemon, Serving> {
    /// Begins a planned stop: new jobs are refused, jobs in progress are finished.
    pub async fn begin_drain(self) -> DaemonLifecycle<EntryDaemon, Draining> {
        let _ = self.components.address.send(Decide(EntryEvent::Drain)).await;
        self.drain()
    }
}

impl DaemonLifecycle<EntryDaemon, Draining> {
    /// Finishes the jobs in progress, takes no further calls and closes the accounts, all at most
    /// as long as the settings say, and stops.
    pub async fn finish(mut self) -> DaemonLifecycle<EntryDaemon, Stopped> {
        let bound = tokio::time::Instant::now() + self.components.shared.settings.drain;
        let jobs = self.wait_drained(bound, |progress| progress.jobs == 0).await.jobs;
        if let Some(server) = self.components.server.take() {
            server.finish().await;
        }
        // Nobody is refused from here on, so the accounts can end.
        let _ = self.components.address.send(Decide(EntryEvent::CloseAccounts)).await;
        let closed = self.wait_drained(bound, |progress| progress.is_account_closed).await;
        if !closed.is_account_closed {
            tracing::warn!(event = "accounts_not_closed");
        }
        let unfinished = jobs.max(usize::from(!closed.is_account_closed));
        membership::take_leave(self.components.incarnation, &self.components.shared).await;
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        let stopped = TimelineEvent::new(EventKind::ProcessStopped);
        let unfinished_jobs = EventFigure::Unfinished(unfinished as u64);
        self.components.shared.recorder.record(stopped.figure(unfinished_jobs));
        self.stop(unfinished)
    }

    /// Waits until `is_reached`, at most until `bound`, and returns what is left then.
    async fn wait_drained(
        &self,
        bound: tokio::time::Instant,
        is_reached: impl Fn(DrainProgress) -> bool,
    ) -> DrainProgress {
        loop {
            let progress = self.components.address.send(QueryDrained).await.unwrap_or_default();
            if is_reached(progress) || tokio::time::Instant::now() >= bound {
                return progress;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

impl DaemonLifecycle<EntryDaemon, Serving> {
    /// Ends at once, as a crash would; for tests.
    pub fn abort(mut self) {
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        if let Some(server) = self.components.server.take() {
            server.abort();
        }
    }
}
