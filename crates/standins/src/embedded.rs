//! All roles in one process: the log in memory, entries, agents and example backend servers.
//!
//! The roles still talk over loopback sockets, so the path of a request is the one of the product.

use crate::backend::{self, BackendModel, ExampleBackend};
use crate::error::StandinError;
use crate::log::{LogStreams, server as log_server};
use crate::proxy::LinkProxy;
use error_stack::{Report, ResultExt};
use parsleyspool_daemon::agent::{self, AgentDaemon};
use parsleyspool_daemon::clock::SystemClock;
use parsleyspool_daemon::entry::{self, EntryDaemon, EntryListeners};
use parsleyspool_daemon::lifecycle::{DaemonLifecycle, Serving};
use parsleyspool_daemon::settings::{
    AgentLimitSettings, AgentSettings, BackendSettings, EntryLimitSettings, EntryListen,
    EntrySettings, LogSettings, TelemetrySettings, default_streams,
};
use parsleyspool_daemon::telemetry::logging::LogControl;
use parsleyspool_wire::operator::{ChangeBody, ChangeOutcomeBody, StatusBody};
use parsleyspool_wire::settings::ChangeWire;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use uuid::Uuid;

/// Shape of an embedded system.
#[derive(Debug, Clone)]
pub struct EmbeddedShape {
    /// Number of entries.
    pub entries: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Services that each offers.
    pub services: Vec<String>,
    /// Limits of the entries.
    pub limits: EntryLimitSettings,
    /// Time for which the log keeps records.
    pub retention: Duration,
}

impl EmbeddedShape {
    /// One entry and three servers of eight slots in three failure domains.
    pub fn small(services: Vec<String>) -> Self {
        Self {
            entries: 1,
            domains: 3,
            servers: 3,
            slots: 8,
            services,
            limits: EntryLimitSettings::default(),
            retention: Duration::from_secs(3600),
        }
    }
}

/// Embedded system.
#[derive(Debug)]
pub struct EmbeddedSystem {
    /// Streams of the log.
    pub log: Arc<LogStreams>,
    /// Address of the log.
    pub log_address: SocketAddr,
    /// Entries.
    pub entries: Vec<DaemonLifecycle<EntryDaemon, Serving>>,
    /// Agents.
    pub agents: Vec<DaemonLifecycle<AgentDaemon, Serving>>,
    /// Backend servers, in the order of the agents.
    pub backends: Vec<Arc<ExampleBackend>>,
    tasks: Vec<JoinHandle<()>>,
    client: reqwest::Client,
}

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn listen() -> Result<(TcpListener, SocketAddr), Report<StandinError>> {
    let listener = TcpListener::bind(LOOPBACK).await.change_context(StandinError::Bind)?;
    let address = listener.local_addr().change_context(StandinError::Bind)?;
    Ok((listener, address))
}

impl EmbeddedSystem {
    /// System of `shape` that serves.
    ///
    /// # Errors
    /// Fails where a listener cannot be bound.
    pub async fn start(shape: &EmbeddedShape) -> Result<Self, Report<StandinError>> {
        let log = Arc::new(LogStreams::new(shape.retention));
        let (listener, log_address) = listen().await?;
        let mut system = Self {
            log: log.clone(),
            log_address,
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            tasks: vec![tokio::spawn(log_server::serve(listener, log))],
            client: reqwest::Client::new(),
        };
        system.start_entries(shape).await?;
        for index in 0..shape.servers {
            system.add_server(shape, index).await?;
        }
        Ok(system)
    }

    async fn start_entries(&mut self, shape: &EmbeddedShape) -> Result<(), Report<StandinError>> {
        let mut bound = Vec::new();
        for _ in 0..shape.entries {
            let (callers, _) = listen().await?;
            let (peers, address) = listen().await?;
            bound.push((EntryListeners { callers, peers }, address));
        }
        let addresses: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
        for (index, (listeners, _)) in bound.into_iter().enumerate() {
            let others = addresses.iter().enumerate().filter(|(other, _)| *other != index);
            let peers = others.map(|(other, at)| (entry_name(other), *at)).collect();
            let settings = self.entry_settings(shape, index, peers);
            let clock = Arc::new(SystemClock::new());
            let entry = entry::start_on(listeners, settings, LogControl::detached(), clock);
            self.entries.push(entry.change_context(StandinError::Daemon)?.run());
        }
        Ok(())
    }

    fn entry_settings(
        &self,
        shape: &EmbeddedShape,
        index: usize,
        peers: BTreeMap<String, SocketAddr>,
    ) -> EntrySettings {
        EntrySettings {
            name: entry_name(index),
            domain: domain_name(index % shape.domains),
            rank: u32::try_from(index).unwrap_or(u32::MAX),
            listen: EntryListen { callers: LOOPBACK, peers: LOOPBACK, advertise: None },
            seeds: Vec::new(),
            log: LogSettings {
                url: format!("http://{}", self.log_address),
                timeout: Duration::from_secs(1),
                wait: Duration::from_millis(500),
                retention: shape.retention,
                streams: default_streams(),
            },
            peers,
            limits: shape.limits.clone(),
            telemetry: TelemetrySettings::default(),
            drain: Duration::from_secs(30),
        }
    }

    /// Starts one more backend server with its agent.
    ///
    /// # Errors
    /// Fails where a listener cannot be bound.
    pub async fn add_server(
        &mut self,
        shape: &EmbeddedShape,
        index: usize,
    ) -> Result<(), Report<StandinError>> {
        let backend = Arc::new(ExampleBackend::new(BackendModel::default()));
        let (listener, address) = listen().await?;
        self.tasks.push(tokio::spawn(backend::serve(listener, backend.clone())));
        self.backends.push(backend);
        let (listener, _) = listen().await?;
        self.add_agent(shape, index, address, listener, None)
    }

    /// Starts one more backend server whose agent is reached through `proxy`.
    ///
    /// # Errors
    /// Fails where a listener cannot be bound.
    pub async fn add_proxied_server(
        &mut self,
        shape: &EmbeddedShape,
        proxy: Arc<LinkProxy>,
    ) -> Result<(), Report<StandinError>> {
        let backend = Arc::new(ExampleBackend::new(BackendModel::default()));
        let (listener, address) = listen().await?;
        self.tasks.push(tokio::spawn(backend::serve(listener, backend.clone())));
        self.backends.push(backend);
        let (agent_listener, agent_address) = listen().await?;
        let (proxy_listener, proxy_address) = listen().await?;
        proxy.set_target(Some(agent_address));
        self.tasks.push(tokio::spawn(proxy.serve(proxy_listener)));
        let index = self.agents.len();
        self.add_agent(shape, index, address, agent_listener, Some(proxy_address))
    }

    /// Starts an agent for the backend server at `backend`.
    ///
    /// # Errors
    /// Fails where a client cannot be built.
    pub fn add_agent(
        &mut self,
        shape: &EmbeddedShape,
        index: usize,
        backend: SocketAddr,
        listener: TcpListener,
        advertise: Option<SocketAddr>,
    ) -> Result<(), Report<StandinError>> {
        let entries = self.entries.iter().enumerate();
        let entries = entries.map(|(at, entry)| (entry_name(at), entry.components.peer_address()));
        let settings = AgentSettings {
            name: format!("server-{}", index + 1),
            domain: domain_name(index % shape.domains),
            worker: format!("worker-{}", index + 1),
            listen: LOOPBACK,
            advertise,
            entries: entries.collect(),
            seeds: Vec::new(),
            runs: None,
            backend: Some(BackendSettings {
                url: format!("http://{backend}"),
                worker_url: Some(format!("http://{backend}")),
                services: shape.services.clone(),
                slots: shape.slots,
                connections: 60,
                timeout: Duration::from_secs(60),
                answer_bytes: 1 << 20,
            }),
            limits: AgentLimitSettings::default(),
            telemetry: TelemetrySettings::default(),
            drain: Duration::from_secs(30),
        };
        let clock = Arc::new(SystemClock::new());
        let agent = agent::start_on(listener, settings, LogControl::detached(), clock);
        let agent = agent.change_context(StandinError::Daemon)?;
        self.agents.push(agent.run());
        Ok(())
    }

    /// URL of the callers' listener of the entry at `index`.
    pub fn caller_url(&self, index: usize) -> String {
        format!("http://{}/v1/jobs", self.entries[index].components.caller_address())
    }

    /// URL of the operators' resource `path` of the entry at `index`.
    pub fn operator_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[index].components.peer_address())
    }

    /// Makes a change through the first entry, for a subject that never changed before.
    ///
    /// # Errors
    /// Fails where the entry does not answer.
    pub async fn change(
        &self,
        change: ChangeWire,
        base: u64,
    ) -> Result<ChangeOutcomeBody, Report<StandinError>> {
        let id = Uuid::new_v4().simple().to_string();
        let body = ChangeBody { id, operator: "embedded".to_owned(), base, change };
        let request = self.client.post(self.operator_url(0, "/v1/changes")).json(&body);
        let response = request.send().await.change_context(StandinError::Request)?;
        response.json().await.change_context(StandinError::Request)
    }

    /// Status of the entry at `index`.
    ///
    /// # Errors
    /// Fails where the entry does not answer.
    pub async fn status(&self, index: usize) -> Result<StatusBody, Report<StandinError>> {
        let request = self.client.get(self.operator_url(index, "/v1/status"));
        let response = request.send().await.change_context(StandinError::Request)?;
        response.json().await.change_context(StandinError::Request)
    }

    /// Waits until every entry has confirmed its configuration and knows `servers` that serve.
    ///
    /// # Errors
    /// Fails where that takes over ten seconds.
    pub async fn wait_ready(&self, servers: usize) -> Result<(), Report<StandinError>> {
        for index in 0..self.entries.len() {
            let mut tries = 0;
            loop {
                let status = self.status(index).await?;
                let serving = status.processes.iter().filter(|process| process.state == "serving");
                if status.freshness == "confirmed" && serving.count() > servers {
                    break;
                }
                tries += 1;
                if tries > READY_TRIES {
                    return Err(Report::new(StandinError::Daemon).attach("not ready in time"));
                }
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// HTTP client of the system.
    pub fn client(&self) -> &reqwest::Client {
        &self.client
    }

    /// Ends everything.
    pub fn shut_down(self) {
        for entry in self.entries {
            entry.abort();
        }
        for agent in self.agents {
            agent.abort();
        }
        for task in self.tasks {
            task.abort();
        }
    }
}

const READY_POLL: Duration = Duration::from_millis(20);
const READY_TRIES: u32 = 500;

/// Name of the entry at `index`.
pub fn entry_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

/// Name of the failure domain at `index`.
pub fn domain_name(index: usize) -> String {
    format!("domain-{}", index + 1)
}
