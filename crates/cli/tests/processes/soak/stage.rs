//! Deployment whose processes and connections a run disturbs.
//!
//! Every process is reached through a proxy at an address that stays, so that it can start again at
//! another port, and so that each connection can be disturbed.

use super::plan::{SoakLink, SoakRole, SoakShape};
use super::promise::SoakRecord;
use crate::deployment::{POLL, POLLS};
use crate::operator;
use crate::process::{self, address_in, signal, wait_exit};
use crate::surroundings::{
    agent_settings, entry_settings, listen, make_directory, start_backend, start_log,
};
use parsleyspool_standins::backend::{BackendModel, ExampleBackend};
use parsleyspool_standins::log::{LogFaults, LogStreams};
use parsleyspool_standins::proxy::LinkProxy;
use parsleyspool_wire::operator::StatusBody;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Longest planned stop, as the settings of the processes have it.
const DRAIN: Duration = Duration::from_secs(8);
/// Time that a process may take beyond that to end.
const EXIT_SLACK: Duration = Duration::from_secs(2);
/// Proxy with the address that it listens at.
pub struct SoakProxy {
    pub proxy: Arc<LinkProxy>,
    pub address: SocketAddr,
}

impl SoakProxy {
    async fn open(target: Option<SocketAddr>) -> Self {
        let (listener, address) = listen().await;
        let proxy = LinkProxy::new();
        proxy.set_target(target);
        tokio::spawn(proxy.clone().serve(listener));
        Self { proxy, address }
    }
}

/// Entry with the connections to and from it.
pub struct SoakEntry {
    pub front: SoakProxy,
    peers: SoakProxy,
    log: SoakProxy,
    child: Mutex<Option<Child>>,
}

/// Agent with its backend server and the connections to and from it.
pub struct SoakAgent {
    peers: SoakProxy,
    server: SoakProxy,
    pub backend: Arc<ExampleBackend>,
    child: Mutex<Option<Child>>,
}

pub struct SoakStage {
    pub log: Arc<LogStreams>,
    pub entries: Vec<SoakEntry>,
    pub agents: Vec<SoakAgent>,
    pub record: SoakRecord,
    pub client: reqwest::Client,
    /// Held while a failure domain is out, so that no other order takes it back.
    pub domain_order: Mutex<()>,
    directory: PathBuf,
}

impl Drop for SoakStage {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().map(|entry| entry.child.get_mut());
        let agents = self.agents.iter_mut().map(|agent| agent.child.get_mut());
        for child in entries.chain(agents).flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if self.record.breaches().is_empty() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("  logs: {}", self.directory.display());
        }
    }
}

impl SoakStage {
    /// Processes that have started; nothing is configured yet.
    pub async fn start(shape: &SoakShape) -> Self {
        let (log, log_address) = start_log().await;
        let mut stage = Self {
            log,
            entries: Vec::new(),
            agents: Vec::new(),
            record: SoakRecord::default(),
            client: reqwest::Client::builder().no_proxy().build().expect("a client"),
            domain_order: Mutex::new(()),
            directory: make_directory(log_address),
        };
        for _ in 0..shape.entries {
            let (front, peers) = (SoakProxy::open(None).await, SoakProxy::open(None).await);
            let log = SoakProxy::open(Some(log_address)).await;
            stage.entries.push(SoakEntry { front, peers, log, child: Mutex::new(None) });
        }
        for _ in 0..shape.agents {
            let (backend, address) = start_backend().await;
            let (peers, server) =
                (SoakProxy::open(None).await, SoakProxy::open(Some(address)).await);
            stage.agents.push(SoakAgent { peers, server, backend, child: Mutex::new(None) });
        }
        let entries = (0..shape.entries).map(SoakRole::Entry);
        for role in entries.chain((0..shape.agents).map(SoakRole::Agent)) {
            *stage.child(role).lock().await = Some(stage.launch(role));
        }
        stage
    }

    pub fn link(&self, link: SoakLink) -> &LinkProxy {
        match link {
            SoakLink::Entry(index) => &self.entries[index].peers.proxy,
            SoakLink::Log(index) => &self.entries[index].log.proxy,
            SoakLink::Agent(index) => &self.agents[index].peers.proxy,
            SoakLink::Backend(index) => &self.agents[index].server.proxy,
        }
    }

    /// Address at which operators reach an entry.
    pub fn operators(&self, entry: usize) -> SocketAddr {
        self.entries[entry].peers.address
    }

    fn child(&self, role: SoakRole) -> &Mutex<Option<Child>> {
        match role {
            SoakRole::Entry(index) => &self.entries[index].child,
            SoakRole::Agent(index) => &self.agents[index].child,
        }
    }

    fn launch(&self, role: SoakRole) -> Child {
        match role {
            SoakRole::Entry(index) => self.launch_entry(index),
            SoakRole::Agent(index) => self.launch_agent(index),
        }
    }

    fn launch_entry(&self, index: usize) -> Child {
        let entry = &self.entries[index];
        let settings = entry_settings(index, entry.log.address)
            + &format!(
                "    advertise: {}\n  drain: {}s\n  peers:\n{}",
                entry.peers.address,
                DRAIN.as_secs(),
                self.addresses(Some(index))
            );
        let name = format!("entry-{}", index + 1);
        let (child, line) = process::start(&self.directory, "entry", &name, &settings);
        entry.peers.proxy.set_target(Some(address_in(&line, "peers")));
        entry.front.proxy.set_target(Some(address_in(&line, "callers")));
        child
    }

    fn launch_agent(&self, index: usize) -> Child {
        let agent = &self.agents[index];
        let settings = agent_settings(index, agent.server.address)
            + &format!(
                "{}  advertise: {}\n  drain: {}s\n",
                self.addresses(None),
                agent.peers.address,
                DRAIN.as_secs()
            );
        let name = format!("agent-{}", index + 1);
        let (child, line) = process::start(&self.directory, "agent", &name, &settings);
        agent.peers.proxy.set_target(Some(address_in(&line, "peers")));
        child
    }

    /// Addresses of the entries but `except`, one line each.
    fn addresses(&self, except: Option<usize>) -> String {
        let entries = self.entries.iter().enumerate().filter(|(at, _)| Some(*at) != except);
        let lines =
            entries.map(|(at, entry)| format!("    entry-{}: {}\n", at + 1, entry.peers.address));
        lines.collect()
    }

    pub async fn kill(&self, role: SoakRole, down: Duration) {
        let mut slot = self.child(role).lock().await;
        let Some(mut child) = slot.take() else { return };
        let since = Instant::now();
        signal(&child, "KILL");
        child.wait().expect("the process ends");
        tokio::time::sleep(down).await;
        *slot = Some(self.launch(role));
        self.record.note_gone(role, since, Instant::now());
    }

    pub async fn freeze(&self, role: SoakRole, time: Duration) {
        let slot = self.child(role).lock().await;
        let Some(child) = slot.as_ref() else { return };
        let since = Instant::now();
        signal(child, "STOP");
        tokio::time::sleep(time).await;
        signal(child, "CONT");
        self.record.note_frozen(role, since, Instant::now());
    }

    /// Stops a process as planned and starts it again.
    pub async fn stop(&self, role: SoakRole) {
        let mut slot = self.child(role).lock().await;
        let Some(child) = slot.take() else { return };
        let id = child.id();
        signal(&child, "TERM");
        let since = Instant::now();
        let code = tokio::time::timeout(DRAIN + EXIT_SLACK, wait_exit(child)).await;
        match code {
            Ok(Some(0)) => {}
            Ok(code) => self.record.breach(format!("{role:?} ended with {code:?} after SIGTERM")),
            Err(_) => {
                self.record.breach(format!(
                    "{role:?} (process {id}) goes on {:?} after SIGTERM",
                    since.elapsed()
                ));
            }
        }
        *slot = Some(self.launch(role));
        self.record.note_stopped(role, since, Instant::now());
    }

    /// Lets every connection and stand-in work as they should.
    pub fn heal(&self) {
        self.log.set_faults(LogFaults::default());
        let entries = self.entries.iter().flat_map(|entry| [&entry.peers, &entry.log]);
        let agents = self.agents.iter().flat_map(|agent| [&agent.peers, &agent.server]);
        for link in entries.chain(agents) {
            link.proxy.set_paused(None);
            link.proxy.set_delay(Duration::ZERO);
        }
        for agent in &self.agents {
            agent.backend.set_model(BackendModel::default());
        }
    }

    /// Waits until every entry knows every entry and agent.
    pub async fn wait_known(&self) {
        for entry in 0..self.entries.len() {
            let mut polls = 0;
            while !self.knows_all(entry).await {
                polls += 1;
                assert!(polls < POLLS, "entry {entry} never knew all");
                tokio::time::sleep(POLL).await;
            }
        }
    }

    async fn knows_all(&self, entry: usize) -> bool {
        let status = operator::get(&self.client, self.operators(entry), "/v1/status").await;
        let Some(status): Option<StatusBody> = status else { return false };
        let known = |role| status.processes.iter().filter(|process| process.role == role).count();
        status.freshness == "confirmed"
            && known("entry") >= self.entries.len()
            && known("agent") >= self.agents.len()
    }
}
