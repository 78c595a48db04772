//! The agent daemon, which runs next to each backend server.
//!
//! One actor owns the [`AgentMachine`], the state machine of the agent. Start requests, status
//! queries and cancellations from entries reach the actor over HTTP, and the agent sends heartbeats
//! to every known entry. The tasks run either directly at the backend server or, under leases, at
//! the platform's worker.

mod actor;
mod domain_check;
mod entry_directory;
mod entry_search;
mod heartbeat;
mod leased_runs;
mod peer_http;
mod renewal_wakeups;

pub use actor::AgentActor;
pub use leased_runs::ServerAnnouncement;

use crate::backend_client::BackendClient;
use crate::components::DaemonComponents;
use crate::error::DaemonError;
use crate::http::bind_listener;
use crate::inbound::{self, InboundGuard};
use crate::interfaces::{ClockSource, DomainSource, EntryClient, LogStore, SeedSource, TaskRunner};
use crate::lifecycle::{
    DaemonLifecycle, Draining, ListenerTask, Serving, Starting, StateName, Stopped,
};
use crate::recorder::EventRecorder;
use crate::settings::{AgentSettings, EntrySeed};
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use crate::worker_client::WorkerClient;
use actor::{HandleEvent, QueryTaskCount};
use entry_directory::EntryDirectory;
use error_stack::{Report, ResultExt};
use leased_runs::{AnnounceServer, DeregisterServer};
use parsleyspool_core::agent::{AgentEvent, AgentMachine};
use parsleyspool_core::id::ServerName;
use parsleyspool_core::lifecycle::LifecycleCharts;
use parsleyspool_core::timeline::{EventField, EventKind, TimelineEvent};
use renewal_wakeups::RenewalWakeups;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use xtra::{Address, Mailbox};

/// External interfaces of an agent.
#[derive(Debug, Clone)]
pub struct AgentInterfaces {
    /// Source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// Backend server or worker that runs the tasks.
    pub runner: TaskRunner,
    /// Client for the entries.
    pub entries: Arc<dyn EntryClient>,
    /// Source of the entries in the settings, read again while no entry answers; `None` if the
    /// settings do not change.
    pub seeds: Option<Arc<dyn SeedSource>>,
    /// Log in which entries announce themselves, read while no entry answers; `None` if the agent
    /// has no access to it.
    pub log: Option<Arc<dyn LogStore>>,
    /// Source of the state of the failure domain, read while no entry confirms it; `None` if the agent
    /// has no access to one.
    pub domains: Option<Arc<dyn DomainSource>>,
}

impl AgentInterfaces {
    /// Uses `runner` for the tasks and HTTP for the entries, and learns of entries from the settings
    /// at the start and from other entries only.
    pub fn new(runner: TaskRunner, components: &DaemonComponents) -> Self {
        Self {
            clock: components.clock.clone(),
            runner,
            entries: components.peer_client.clone(),
            seeds: None,
            log: None,
            domains: None,
        }
    }
}

/// Components of a running agent.
#[derive(Debug)]
pub struct AgentDaemon {
    address: Address<AgentActor>,
    listener: Option<TcpListener>,
    shared: Arc<AgentShared>,
    tasks: Vec<JoinHandle<()>>,
    http_server: Option<ListenerTask>,
}

/// State shared by the tasks of an agent.
#[derive(Debug)]
pub(crate) struct AgentShared {
    pub settings: AgentSettings,
    pub interfaces: AgentInterfaces,
    pub recorder: Arc<EventRecorder>,
    pub metrics: Arc<DaemonMetrics>,
    pub log_control: LogControl,
    /// Limits on what clients of all listeners send.
    pub inbound: Arc<InboundGuard>,
    pub state_name: StateName,
    pub listener_address: SocketAddr,
    /// Makes the agent send heartbeats to all entries immediately.
    pub heartbeat_wakeup: Notify,
    /// Make the agent look when the next heartbeat to an entry is due.
    pub renewal_wakeups: RenewalWakeups,
    /// Makes the agent contact the entries that were added to the directory.
    pub new_entries: Notify,
    /// Entries that receive heartbeats.
    pub entry_directory: Mutex<EntryDirectory>,
}

/// Mailbox capacity of the actor, in messages.
const MAILBOX_CAPACITY: usize = 16_384;

/// Binds the listener of the settings and creates an agent that uses HTTP for everything external, and
/// reads its settings again from `seeds` while no entry answers.
///
/// # Errors
/// Fails if the listener cannot be bound, the settings have no backend server or a client cannot be
/// built.
pub async fn start(
    settings: AgentSettings,
    seeds: Arc<dyn SeedSource>,
    log_control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<AgentDaemon, Starting>, Report<DaemonError>> {
    let listener = bind_listener(settings.listen).await?;
    let components = DaemonComponents::new(&settings.telemetry, log_control, clock)?;
    let interfaces = AgentInterfaces::new(direct_runner(&settings)?, &components);
    let interfaces = AgentInterfaces { seeds: Some(seeds), ..interfaces };
    start_with(listener, settings, interfaces, components)
}

/// Creates an agent on a bound listener that uses HTTP for everything external.
///
/// # Errors
/// Fails if the settings have no backend server or a client cannot be built.
pub fn start_on(
    listener: TcpListener,
    settings: AgentSettings,
    log_control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<AgentDaemon, Starting>, Report<DaemonError>> {
    let components = DaemonComponents::new(&settings.telemetry, log_control, clock)?;
    let interfaces = AgentInterfaces::new(direct_runner(&settings)?, &components);
    start_with(listener, settings, interfaces, components)
}

/// Creates the HTTP clients for the backend server of the settings and for its worker.
fn direct_runner(settings: &AgentSettings) -> Result<TaskRunner, Report<DaemonError>> {
    let backend = settings
        .backend
        .as_ref()
        .ok_or_else(|| Report::new(DaemonError::Settings).attach("agent.backend is missing"))?;
    let worker = WorkerClient::new(backend.worker_url.as_deref())?;
    let backend = BackendClient::new(
        &backend.url,
        backend.connections,
        backend.timeout,
        backend.answer_bytes,
    )?;
    Ok(TaskRunner::Direct { backend: Arc::new(backend), worker: Arc::new(worker) })
}

/// Creates an agent with custom external interfaces, for embedders and benchmarks.
///
/// # Errors
/// Fails if a state chart is invalid or the address of the listener cannot be read.
pub fn start_with(
    listener: TcpListener,
    settings: AgentSettings,
    interfaces: AgentInterfaces,
    components: DaemonComponents,
) -> Result<DaemonLifecycle<AgentDaemon, Starting>, Report<DaemonError>> {
    LifecycleCharts::load().change_context(DaemonError::Charts)?;
    let state_name = StateName::starting();
    let seeds = settings.entry_seeds();
    if seeds.is_empty() {
        tracing::warn!(event = "no_entry_named");
    }
    let entry_directory = EntryDirectory::new(seeds);
    let limits = settings.inbound.limits(&settings.machine);
    let inbound = Arc::new(InboundGuard::new(limits, components.metrics.clone()));
    let mut agent_limits = settings.agent_limits();
    agent_limits.confirmation.can_check = interfaces.domains.is_some();
    let machine = AgentMachine::new(components.incarnation, agent_limits);
    let shared = Arc::new(AgentShared {
        listener_address: listener.local_addr().change_context(DaemonError::Bind)?,
        settings,
        interfaces,
        recorder: components.recorder,
        metrics: components.metrics,
        log_control: components.log_control,
        inbound,
        state_name: state_name.clone(),
        heartbeat_wakeup: Notify::new(),
        renewal_wakeups: RenewalWakeups::default(),
        new_entries: Notify::new(),
        entry_directory: Mutex::new(entry_directory),
    });
    shared.recorder.record(TimelineEvent::new(EventKind::ProcessStarted));
    let actor = AgentActor::new(machine, shared.clone());
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
    let daemon = AgentDaemon {
        address,
        listener: Some(listener),
        shared,
        tasks: Vec::new(),
        http_server: None,
    };
    Ok(DaemonLifecycle::new(daemon, state_name))
}

impl AgentDaemon {
    /// Address of the listener for entries and operators.
    pub fn address(&self) -> SocketAddr {
        self.shared.listener_address
    }

    /// Limits that the listeners of an embedder share with that of the agent.
    pub fn inbound(&self) -> Arc<InboundGuard> {
        self.shared.inbound.clone()
    }

    /// Handle through which the embedder passes on changed settings.
    pub fn seed_handle(&self) -> SeedHandle {
        SeedHandle { shared: self.shared.clone() }
    }

    /// Handle through which a listener of the embedder passes on announcements of the backend
    /// server.
    pub fn announcement_handle(&self) -> AnnouncementHandle {
        AnnouncementHandle { address: self.address.clone() }
    }
}

/// Handle that replaces the entries of the settings; clones share the agent.
#[derive(Debug, Clone)]
pub struct SeedHandle {
    shared: Arc<AgentShared>,
}

impl SeedHandle {
    /// Makes `seeds` the entries of the settings, and contacts the new ones.
    pub fn replace_seeds(&self, seeds: Vec<EntrySeed>) {
        entry_search::replace_seeds(&self.shared, seeds);
    }
}

/// Handle that passes on announcements of the backend server; clones share the agent.
///
/// It is used if the worker runs the tasks under leases: the server then announces its services,
/// failure domain and capacity, which a directly connected server has in the settings.
#[derive(Debug, Clone)]
pub struct AnnouncementHandle {
    address: Address<AgentActor>,
}

impl AnnouncementHandle {
    /// Passes on an announcement of the server.
    pub async fn announce(&self, announcement: ServerAnnouncement) {
        // A send error means that the agent has stopped and advertises no server.
        let _ = self.address.send(AnnounceServer(announcement)).await;
    }

    /// Deregisters `server`; ignored unless it made the latest announcement, in which it is leaving.
    pub async fn deregister(&self, server: ServerName) {
        // A send error means that the agent has stopped and advertises no server.
        let _ = self.address.send(DeregisterServer(server)).await;
    }
}

impl DaemonLifecycle<AgentDaemon, Starting> {
    /// Spawns the listener, the heartbeats and the ticker.
    pub fn run(mut self) -> DaemonLifecycle<AgentDaemon, Serving> {
        let daemon = &mut self.components;
        let (address, shared) = (daemon.address.clone(), daemon.shared.clone());
        if let Some(listener) = daemon.listener.take() {
            let (stop, stopped) = oneshot::channel::<()>();
            let routes = peer_http::routes(address.clone(), &shared);
            let server = inbound::serve(listener, routes, shared.inbound.clone(), async move {
                let _ = stopped.await;
            });
            daemon.http_server = Some(ListenerTask::new(stop, tokio::spawn(server)));
        }
        daemon.tasks.push(tokio::spawn(shared.inbound.clone().sweep()));
        daemon.tasks.push(tokio::spawn(heartbeat::run_heartbeats(address.clone(), shared)));
        daemon.tasks.push(tokio::spawn(actor::tick(address)));
        self.serve()
    }
}

/// Time for which the listener stays open after the drain, to refuse starts that entries sent
/// before they knew of the drain.
const LATE_START_GRACE: Duration = Duration::from_millis(200);
/// Time between two queries of the drain progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl DaemonLifecycle<AgentDaemon, Serving> {
    /// Begins a planned stop: the agent refuses new starts, returns queued tasks to their entries,
    /// finishes running tasks and tells every entry by a heartbeat.
    pub async fn begin_drain(self) -> DaemonLifecycle<AgentDaemon, Draining> {
        let _ = self.components.address.send(HandleEvent(AgentEvent::Drain)).await;
        heartbeat::send_heartbeats_once(&self.components.address, &self.components.shared).await;
        self.drain()
    }

    /// Aborts all tasks without a drain, to simulate a crash in tests.
    pub fn abort(mut self) {
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        if let Some(server) = self.components.http_server.take() {
            server.abort();
        }
    }
}

impl DaemonLifecycle<AgentDaemon, Draining> {
    /// Waits for the running tasks, at most for the drain time of the settings, and stops.
    pub async fn finish(mut self) -> DaemonLifecycle<AgentDaemon, Stopped> {
        let deadline = tokio::time::Instant::now() + self.components.shared.settings.drain;
        let unfinished = loop {
            let task_count = self.components.address.send(QueryTaskCount).await.unwrap_or(0);
            if task_count == 0 || tokio::time::Instant::now() >= deadline {
                break task_count;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        };
        // An entry may have sent a start before it knew of the drain. It receives a refusal instead
        // of a connection error.
        tokio::time::sleep(LATE_START_GRACE).await;
        if let Some(server) = self.components.http_server.take() {
            server.finish().await;
        }
        for task in self.components.tasks.drain(..) {
            task.abort();
        }
        let stopped = TimelineEvent::new(EventKind::ProcessStopped);
        let unfinished_tasks = EventField::Unfinished(unfinished as u64);
        self.components.shared.recorder.record(stopped.field(unfinished_tasks));
        self.stop(unfinished)
    }
}
