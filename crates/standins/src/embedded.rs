//! Runs all roles in one process: an in-memory log, entries, agents and example backend servers.
//!
//! The roles communicate over loopback sockets, so requests take the same path as between separate
//! processes.

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
    AgentLimitSettings, AgentSettings, BackendSettings, EntryLimitSettings, EntrySettings,
    InboundSettings, ListenSettings, LogSettings, MachineSettings, TelemetrySettings,
    default_streams,
};
use parsleyspool_daemon::telemetry::logging::LogControl;
use parsleyspool_wire::config::ChangeWire;
use parsleyspool_wire::operator::{ChangeBody, ChangeOutcomeBody, StatusBody};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use uuid::Uuid;

/// Size and settings of a cluster that runs in one process.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of failure domains, to which entries and servers are assigned in turn.
    pub domains: usize,
    /// Number of backend servers, each with an agent.
    pub servers: usize,
    /// Slots per backend server.
    pub slots: u32,
    /// Services that every backend server offers.
    pub services: Vec<String>,
    /// Limits that apply to every entry.
    pub limits: EntryLimitSettings,
    /// Time after which a record of the log expires.
    pub retention: Duration,
}

impl ClusterOptions {
    /// Options for one entry and three backend servers with eight slots each, in three failure
    /// domains.
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

/// Running cluster whose roles are all in this process.
#[derive(Debug)]
pub struct EmbeddedCluster {
    /// Log that all entries share. Tests inject faults and read records through it.
    pub log: Arc<LogStreams>,
    /// Address of the log's HTTP server.
    pub log_address: SocketAddr,
    /// Running entries; [`entry_name`] gives the name for an index.
    pub entries: Vec<DaemonLifecycle<EntryDaemon, Serving>>,
    /// Running agents, in the order in which they were added.
    pub agents: Vec<DaemonLifecycle<AgentDaemon, Serving>>,
    /// Backend servers, in the same order as their agents.
    pub backends: Vec<Arc<ExampleBackend>>,
    http_servers: Vec<JoinHandle<()>>,
    client: reqwest::Client,
}

/// Loopback address with port 0, so that the operating system picks a free port.
const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn bind_loopback() -> Result<(TcpListener, SocketAddr), Report<StandinError>> {
    let listener = TcpListener::bind(LOOPBACK_ANY_PORT).await.change_context(StandinError::Bind)?;
    let address = listener.local_addr().change_context(StandinError::Bind)?;
    Ok((listener, address))
}

impl EmbeddedCluster {
    /// Starts the log, all entries and all backend servers with their agents.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound or a daemon cannot be started.
    pub async fn start(options: &ClusterOptions) -> Result<Self, Report<StandinError>> {
        let log = Arc::new(LogStreams::new(options.retention));
        let (listener, log_address) = bind_loopback().await?;
        let mut cluster = Self {
            log: log.clone(),
            log_address,
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            http_servers: vec![tokio::spawn(log_server::serve(listener, log))],
            client: reqwest::Client::new(),
        };
        cluster.start_entries(options).await?;
        for index in 0..options.servers {
            cluster.add_server(options, index).await?;
        }
        Ok(cluster)
    }

    async fn start_entries(
        &mut self,
        options: &ClusterOptions,
    ) -> Result<(), Report<StandinError>> {
        let mut bound = Vec::new();
        for _ in 0..options.entries {
            let (callers, _) = bind_loopback().await?;
            let (peers, address) = bind_loopback().await?;
            bound.push((EntryListeners { callers, peers }, address));
        }
        let addresses: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
        for (index, (listeners, _)) in bound.into_iter().enumerate() {
            let others = addresses.iter().enumerate().filter(|(other, _)| *other != index);
            let peers = others.map(|(other, address)| (entry_name(other), *address)).collect();
            let settings = self.entry_settings(options, index, peers);
            let clock = Arc::new(SystemClock::new());
            let entry = entry::start_on(listeners, settings, LogControl::detached(), clock);
            self.entries.push(entry.change_context(StandinError::Daemon)?.run());
        }
        Ok(())
    }

    fn entry_settings(
        &self,
        options: &ClusterOptions,
        index: usize,
        peers: BTreeMap<String, SocketAddr>,
    ) -> EntrySettings {
        EntrySettings {
            name: entry_name(index),
            domain: domain_name(index % options.domains),
            rank: u32::try_from(index).unwrap_or(u32::MAX),
            listen: ListenSettings {
                callers: LOOPBACK_ANY_PORT,
                peers: LOOPBACK_ANY_PORT,
                advertise: None,
            },
            seeds: Vec::new(),
            log: LogSettings {
                url: format!("http://{}", self.log_address),
                timeout: Duration::from_secs(1),
                wait: Duration::from_millis(500),
                retention: options.retention,
                streams: default_streams(),
            },
            peers,
            limits: options.limits.clone(),
            machine: MachineSettings::default(),
            inbound: InboundSettings::default(),
            telemetry: TelemetrySettings::default(),
            drain: Duration::from_secs(30),
        }
    }

    /// Starts one more backend server with its agent. `index` determines the server's name and
    /// failure domain.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound or the agent cannot be started.
    pub async fn add_server(
        &mut self,
        options: &ClusterOptions,
        index: usize,
    ) -> Result<(), Report<StandinError>> {
        let backend = Arc::new(ExampleBackend::new(BackendModel::default()));
        let (listener, address) = bind_loopback().await?;
        self.http_servers.push(tokio::spawn(backend::serve(listener, backend.clone())));
        self.backends.push(backend);
        let (listener, _) = bind_loopback().await?;
        self.add_agent(options, index, address, listener, None)
    }

    /// Starts one more backend server whose agent is reached through `proxy`.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound or the agent cannot be started.
    pub async fn add_proxied_server(
        &mut self,
        options: &ClusterOptions,
        proxy: Arc<LinkProxy>,
    ) -> Result<(), Report<StandinError>> {
        let backend = Arc::new(ExampleBackend::new(BackendModel::default()));
        let (listener, address) = bind_loopback().await?;
        self.http_servers.push(tokio::spawn(backend::serve(listener, backend.clone())));
        self.backends.push(backend);
        let (agent_listener, agent_address) = bind_loopback().await?;
        let (proxy_listener, proxy_address) = bind_loopback().await?;
        proxy.set_target(Some(agent_address));
        self.http_servers.push(tokio::spawn(proxy.serve(proxy_listener)));
        let index = self.agents.len();
        self.add_agent(options, index, address, agent_listener, Some(proxy_address))
    }

    /// Starts an agent on `listener` for the backend server at the address `backend`. The agent
    /// announces the address `advertise`, or without one the address of `listener`.
    ///
    /// # Errors
    /// Fails if the agent cannot be started.
    pub fn add_agent(
        &mut self,
        options: &ClusterOptions,
        index: usize,
        backend: SocketAddr,
        listener: TcpListener,
        advertise: Option<SocketAddr>,
    ) -> Result<(), Report<StandinError>> {
        let entries = self.entries.iter().enumerate();
        let entries =
            entries.map(|(index, entry)| (entry_name(index), entry.components.peer_address()));
        let settings = AgentSettings {
            name: format!("server-{}", index + 1),
            domain: domain_name(index % options.domains),
            worker: format!("worker-{}", index + 1),
            listen: LOOPBACK_ANY_PORT,
            advertise,
            entries: entries.collect(),
            seeds: Vec::new(),
            runs: None,
            backend: Some(BackendSettings {
                url: format!("http://{backend}"),
                worker_url: Some(format!("http://{backend}")),
                services: options.services.clone(),
                slots: options.slots,
                connections: 60,
                timeout: Duration::from_secs(60),
                answer_bytes: 1 << 20,
            }),
            limits: AgentLimitSettings::default(),
            machine: MachineSettings::default(),
            inbound: InboundSettings::default(),
            telemetry: TelemetrySettings::default(),
            drain: Duration::from_secs(30),
        };
        let clock = Arc::new(SystemClock::new());
        let agent = agent::start_on(listener, settings, LogControl::detached(), clock);
        let agent = agent.change_context(StandinError::Daemon)?;
        self.agents.push(agent.run());
        Ok(())
    }

    /// URL for job submissions to the entry at `index`.
    pub fn caller_url(&self, index: usize) -> String {
        format!("http://{}/v1/jobs", self.entries[index].components.caller_address())
    }

    /// URL of `path` on the listener of the entry at `index` that serves peers and operators.
    pub fn operator_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[index].components.peer_address())
    }

    /// Submits a configuration change to the first entry. `base` is the version of the last change
    /// to the same subject, or 0 if it has not been changed before.
    ///
    /// # Errors
    /// Fails if the entry does not answer or its answer is unreadable.
    pub async fn apply_change(
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

    /// Fetches the status of the entry at `index`.
    ///
    /// # Errors
    /// Fails if the entry does not answer or its answer is unreadable.
    pub async fn status(&self, index: usize) -> Result<StatusBody, Report<StandinError>> {
        let request = self.client.get(self.operator_url(index, "/v1/status"));
        let response = request.send().await.change_context(StandinError::Request)?;
        response.json().await.change_context(StandinError::Request)
    }

    /// Waits until every entry has a confirmed configuration and lists more than `servers`
    /// processes as serving. The entry lists itself too, so with one entry these are `servers`
    /// agents.
    ///
    /// # Errors
    /// Fails if an entry does not answer, or is not ready after ten seconds of polling.
    pub async fn wait_until_ready(&self, servers: usize) -> Result<(), Report<StandinError>> {
        for index in 0..self.entries.len() {
            let mut polls = 0;
            loop {
                let status = self.status(index).await?;
                let serving = status.processes.iter().filter(|process| process.state == "serving");
                if status.freshness == "confirmed" && serving.count() > servers {
                    break;
                }
                polls += 1;
                if polls > MAX_READY_POLLS {
                    return Err(Report::new(StandinError::Daemon)
                        .attach("an entry was not ready after ten seconds"));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// HTTP client for requests to the cluster's processes.
    pub fn client(&self) -> &reqwest::Client {
        &self.client
    }

    /// Aborts all roles immediately, without draining them.
    pub fn shut_down(self) {
        for entry in self.entries {
            entry.abort();
        }
        for agent in self.agents {
            agent.abort();
        }
        for server in self.http_servers {
            server.abort();
        }
    }
}

const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_READY_POLLS: u32 = 500;

/// Name of the entry at `index`.
pub fn entry_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

/// Name of the failure domain at `index`.
pub fn domain_name(index: usize) -> String {
    format!("domain-{}", index + 1)
}
