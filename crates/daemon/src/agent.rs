//! The agent daemon, beside each backend server.
//!
//! One actor owns the [`AgentMachine`]. Starts and
//! questions come from entries over HTTP; heartbeats go to every entry known.

mod actor;
mod entries;
mod heartbeat;
mod routes;
mod runs;

pub use actor::AgentActor;
pub use runs::ServerAnnouncement;

use crate::backend_client::BackendClient;
use crate::components::DaemonComponents;
use crate::error::DaemonError;
use crate::http::bind_listener;
use crate::interfaces::{ClockSource, EntryClient, TaskRunner};
use crate::lifecycle::{
    DaemonLifecycle, Draining, ListenerTask, Serving, Starting, StateName, Stopped,
};
use crate::recorder::EventRecorder;
use crate::settings::AgentSettings;
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use crate::worker_client::WorkerClient;
use actor::{DecideAgent, QueryHeld};
use entries::EntryBook;
use error_stack::{Report, ResultExt};
use parsleyspool_core::agent::{AgentEvent, AgentMachine};
use parsleyspool_core::id::ServerName;
use parsleyspool_core::lifecycle::LifecycleCharts;
use parsleyspool_core::timeline::{EventField, EventKind, TimelineEvent};
use runs::{AnnounceServer, ServerLeft};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use xtra::{Address, Mailbox};

/// What an agent stands on.
#[derive(Debug, Clone)]
pub struct AgentInterfaces {
    /// Clock.
    pub clock: Arc<dyn ClockSource>,
    /// Backend server and its worker.
    pub runner: TaskRunner,
    /// Entries.
    pub entries: Arc<dyn EntryClient>,
}

impl AgentInterfaces {
    /// Edges over HTTP on all sides but that of the backend server.
    pub fn new(runner: TaskRunner, parts: &DaemonComponents) -> Self {
        Self { clock: parts.clock.clone(), runner, entries: parts.peer_client.clone() }
    }
}

/// Parts of a running agent.
#[derive(Debug)]
pub struct AgentDaemon {
    address: Address<AgentActor>,
    listener: Option<TcpListener>,
    shared: Arc<AgentShared>,
    tasks: Vec<JoinHandle<()>>,
    server: Option<ListenerTask>,
}

/// What the tasks of an agent share.
#[derive(Debug)]
pub(crate) struct AgentShared {
    pub settings: AgentSettings,
    pub edges: AgentInterfaces,
    pub recorder: Arc<EventRecorder>,
    pub metrics: Arc<DaemonMetrics>,
    pub control: LogControl,
    pub word: StateName,
    pub address: SocketAddr,
    pub beat: Notify,
    /// Entries that heartbeats go to.
    pub entries: Mutex<EntryBook>,
}

/// Mailbox of the actor, in messages.
const MAILBOX: usize = 16_384;

/// Agent with its listener bound, over HTTP on all sides.
///
/// # Errors
/// Fails where the listener cannot be bound or a client cannot be built.
pub async fn start(
    settings: AgentSettings,
    control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<AgentDaemon, Starting>, Report<DaemonError>> {
    let listener = bind_listener(settings.listen).await?;
    start_on(listener, settings, control, clock)
}

/// Agent on a listener that is bound already, over HTTP on all sides.
///
/// # Errors
/// Fails where a client cannot be built.
pub fn start_on(
    listener: TcpListener,
    settings: AgentSettings,
    control: LogControl,
    clock: Arc<dyn ClockSource>,
) -> Result<DaemonLifecycle<AgentDaemon, Starting>, Report<DaemonError>> {
    let parts = DaemonComponents::new(&settings.telemetry, control, clock)?;
    let edges = AgentInterfaces::new(direct_runner(&settings)?, &parts);
    start_with(listener, settings, edges, parts)
}

/// Backend server of the settings over HTTP.
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

/// Agent on other edges; for embedders and benches.
///
/// # Errors
/// Fails where a state chart is wrong.
pub fn start_with(
    listener: TcpListener,
    settings: AgentSettings,
    edges: AgentInterfaces,
    parts: DaemonComponents,
) -> Result<DaemonLifecycle<AgentDaemon, Starting>, Report<DaemonError>> {
    LifecycleCharts::load().change_context(DaemonError::Charts)?;
    let word = StateName::starting();
    let entries = EntryBook::new(&settings);
    let machine = AgentMachine::new(parts.incarnation, settings.agent_limits());
    let shared = Arc::new(AgentShared {
        address: listener.local_addr().change_context(DaemonError::Bind)?,
        settings,
        edges,
        recorder: parts.recorder,
        metrics: parts.metrics,
        control: parts.log_control,
        word: word.clone(),
        beat: Notify::new(),
        entries: Mutex::new(entries),
    });
    shared.recorder.record(TimelineEvent::new(EventKind::ProcessStarted));
    let actor = AgentActor::new(machine, shared.clone());
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX));
    let daemon =
        AgentDaemon { address, listener: Some(listener), shared, tasks: Vec::new(), server: None };
    Ok(DaemonLifecycle::new(daemon, word))
}

impl AgentDaemon {
    /// Address of the listener for entries and operators.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Where the backend server announces itself.
    pub fn announcement_handle(&self) -> AnnouncementHandle {
        AnnouncementHandle { address: self.address.clone() }
    }
}

/// Takes what a backend server says of itself, where its settings do not.
#[derive(Debug, Clone)]
pub struct AnnouncementHandle {
    address: Address<AgentActor>,
}

impl AnnouncementHandle {
    /// Takes an announcement.
    pub async fn announce(&self, announcement: ServerAnnouncement) {
        // An actor that has stopped has no use for it.
        let _ = self.address.send(AnnounceServer(announcement)).await;
    }

    /// Takes the leave of the server called `server`.
    pub async fn deregister(&self, server: ServerName) {
        // An actor that has stopped has no use for it.
        let _ = self.address.send(ServerLeft(server)).await;
    }
}

impl DaemonLifecycle<AgentDaemon, Starting> {
    /// Serves entries and operators, and sends heartbeats.
    pub fn run(mut self) -> DaemonLifecycle<AgentDaemon, Serving> {
        let daemon = &mut self.components;
        let (address, shared) = (daemon.address.clone(), daemon.shared.clone());
        if let Some(listener) = daemon.listener.take() {
            let (stop, stopped) = oneshot::channel::<()>();
            let server = warp::serve(routes::routes(address.clone(), &shared));
            let server = server.incoming(listener).graceful(async move {
                let _ = stopped.await;
            });
            daemon.server = Some(ListenerTask::new(stop, tokio::spawn(server.run())));
        }
        daemon.tasks.push(tokio::spawn(heartbeat::beat_all(address.clone(), shared)));
        daemon.tasks.push(tokio::spawn(actor::tick(address)));
        self.serve()
    }
}

/// Time for starts under way to arrive after every entry has heard of the drain.
const LINGER: Duration = Duration::from_millis(200);
/// Time between two looks at the progress of a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

impl DaemonLifecycle<AgentDaemon, Serving> {
    /// Begins a planned stop: new starts are refused, queued tasks go back, running ones finish,
    /// and every entry is told.
    pub async fn begin_drain(self) -> DaemonLifecycle<AgentDaemon, Draining> {
        let _ = self.components.address.send(DecideAgent(AgentEvent::Drain)).await;
        heartbeat::beat_once(&self.components.address, &self.components.shared).await;
        self.drain()
    }

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

impl DaemonLifecycle<AgentDaemon, Draining> {
    /// Waits for the tasks in progress, at most as long as the settings say, and stops.
    pub async fn finish(mut self) -> DaemonLifecycle<AgentDaemon, Stopped> {
        let bound = tokio::time::Instant::now() + self.components.shared.settings.drain;
        let unfinished = loop {
            let left = self.components.address.send(QueryHeld).await.unwrap_or(0);
            if left == 0 || tokio::time::Instant::now() >= bound {
                break left;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        };
        // Starts that left before their entry heard of the drain are still refused in words.
        tokio::time::sleep(LINGER).await;
        if let Some(server) = self.components.server.take() {
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
