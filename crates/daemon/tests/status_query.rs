//! An agent whose backend server never answers: what an entry learns from a status query.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::RunResult;
use parsleyspool_core::entry::{LoadReport, StartRequest, TaskReply};
use parsleyspool_core::id::{PeerAddress, TaskId, submission_id};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_daemon::agent::{AgentDaemon, AgentInterfaces, start_with};
use parsleyspool_daemon::clock::SystemClock;
use parsleyspool_daemon::components::DaemonComponents;
use parsleyspool_daemon::http::bind_listener;
use parsleyspool_daemon::interfaces::{AgentClient, BackendServer, TaskRunner};
use parsleyspool_daemon::lifecycle::{DaemonLifecycle, Serving};
use parsleyspool_daemon::settings::{AgentSettings, ProcessSettings, parse};
use parsleyspool_daemon::telemetry::logging::LogControl;
use parsleyspool_daemon::worker_client::WorkerClient;
use parsleyspool_wire::peer::{StartMessage, StatusQueryMessage};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

const SETTINGS: &str = "\
agent:
  name: server-1
  domain: coast
  worker: worker-1
  listen: 127.0.0.1:0
  entries:
    entry-1: 127.0.0.1:7201
  backend:
    url: http://127.0.0.1:7300
    services: [s]
    slots: 8
";
const INCARNATION: u64 = 9;
const SLOTS: u32 = 3;
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Backend server that never answers a task.
#[derive(Debug, Default)]
struct SilentServer {
    has_task: Notify,
}

impl BackendServer for SilentServer {
    fn run(&self, _request: StartRequest) -> BoxFuture<'_, RunResult> {
        self.has_task.notify_one();
        std::future::pending().boxed()
    }
}

fn components(settings: &AgentSettings) -> DaemonComponents {
    let clock = Arc::new(SystemClock::new());
    let components = DaemonComponents::new(&settings.telemetry, LogControl::detached(), clock);
    DaemonComponents { incarnation: INCARNATION, ..components.expect("the components start") }
}

/// Starts the agent; returns it with a client of an entry.
async fn start_agent(
    backend: Arc<SilentServer>,
) -> (DaemonLifecycle<AgentDaemon, Serving>, Arc<dyn AgentClient>) {
    let Ok(ProcessSettings::Agent(settings)) = parse(SETTINGS) else {
        panic!("the settings are those of an agent");
    };
    let worker = Arc::new(WorkerClient::new(None).expect("a client"));
    let runner = TaskRunner::Direct { backend, worker };
    let components = components(&settings);
    let client = components.peer_client.clone();
    let interfaces = AgentInterfaces::new(runner, &components);
    let listener = bind_listener(settings.listen).await.expect("a port is free");
    let agent = start_with(listener, *settings, interfaces, components);
    (agent.expect("the agent starts").run(), client)
}

fn start_request() -> StartRequest {
    StartRequest {
        task: TaskId::new(submission_id(7, 1), 0),
        attempt: 1,
        incarnation: INCARNATION,
        service: "s".into(),
        job: "j".into(),
        request_name: "look".into(),
        demand: ResourceAmounts::from_slots(SLOTS),
        may_stop: true,
        queue_penalty: Duration::ZERO,
        payload: Bytes::new(),
        version: 1,
        permit_until: Duration::from_secs(5),
        confirmation: None,
        run_lease_until: None,
        start_before: Duration::from_secs(60),
    }
}

/// Failure: the reply about a task that still runs says that the agent has no load, and the entry
/// sends more tasks to a full server.
#[tokio::test]
async fn the_reply_about_a_running_task_states_the_load_of_the_agent() {
    let server = Arc::new(SilentServer::default());
    let (agent, client) = start_agent(server.clone()).await;
    let address: PeerAddress = agent.components.address().to_string().into();
    let start = StartMessage::new("entry-1", start_request());
    let (sender, to) = (client.clone(), address.clone());
    tokio::spawn(async move { sender.start(to, start, LONGEST_WAIT).await });
    server.has_task.notified().await;

    let query = StatusQueryMessage::new("entry-1", start_request().start_id(), Duration::ZERO);
    let reply = client.query_status(address, query).await.expect("the agent replies");

    assert_eq!(TaskReply::from(reply.reply.clone()), TaskReply::Pending);
    assert_eq!(reply.load_report(), LoadReport { load: SLOTS, own_load: SLOTS });
}
