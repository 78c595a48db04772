//! Cluster of real processes, with faults in its processes and connections.
//!
//! Every process is reached through a proxy at a fixed address, so that it can restart on another
//! port and faults can be injected into each connection.

use super::fault_schedule::{SoakLink, SoakRole, SoakSize};
use super::invariants::SoakRecord;
use crate::deployment::{MAX_POLLS, POLL_INTERVAL};
use crate::environment::{
    agent_settings, entry_settings, listen, make_directory, start_backend, start_log,
};
use crate::operator;
use crate::process::{self, address_in, last_lines, send_signal, wait_exit};
use nix::sys::signal::Signal;
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

/// Drain time in the settings of the processes, the maximum duration of a graceful stop.
const DRAIN_TIME: Duration = Duration::from_secs(8);
/// Time after the drain time within which a process must exit.
const EXIT_SLACK: Duration = Duration::from_secs(2);

/// Name of a process, of its settings and of its log.
fn process_name(role: SoakRole) -> String {
    match role {
        SoakRole::Entry(index) => format!("entry-{}", index + 1),
        SoakRole::Agent(index) => format!("agent-{}", index + 1),
    }
}

/// Proxy with its listen address.
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
    pub callers: SoakProxy,
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

pub struct SoakCluster {
    pub log: Arc<LogStreams>,
    pub entries: Vec<SoakEntry>,
    pub agents: Vec<SoakAgent>,
    pub record: SoakRecord,
    pub client: reqwest::Client,
    /// Held while a failure domain is out of service, so that no other fault brings it back.
    pub domain_out_lock: Mutex<()>,
    directory: PathBuf,
}

impl Drop for SoakCluster {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().map(|entry| entry.child.get_mut());
        let agents = self.agents.iter_mut().map(|agent| agent.child.get_mut());
        for child in entries.chain(agents).flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if self.record.violations().is_empty() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("  logs: {}", self.directory.display());
        }
    }
}

impl SoakCluster {
    /// Starts all processes; `fault::configure` then sends the initial configuration.
    pub async fn start(size: &SoakSize) -> Self {
        let (log, log_address) = start_log().await;
        let mut cluster = Self {
            log,
            entries: Vec::new(),
            agents: Vec::new(),
            record: SoakRecord::default(),
            client: reqwest::Client::builder().no_proxy().build().expect("a client"),
            domain_out_lock: Mutex::new(()),
            directory: make_directory(log_address),
        };
        for _ in 0..size.entries {
            let (callers, peers) = (SoakProxy::open(None).await, SoakProxy::open(None).await);
            let log = SoakProxy::open(Some(log_address)).await;
            cluster.entries.push(SoakEntry { callers, peers, log, child: Mutex::new(None) });
        }
        for _ in 0..size.agents {
            let (backend, address) = start_backend().await;
            let (peers, server) =
                (SoakProxy::open(None).await, SoakProxy::open(Some(address)).await);
            cluster.agents.push(SoakAgent { peers, server, backend, child: Mutex::new(None) });
        }
        let entries = (0..size.entries).map(SoakRole::Entry);
        for role in entries.chain((0..size.agents).map(SoakRole::Agent)) {
            *cluster.child(role).lock().await = Some(cluster.start_process(role));
        }
        cluster
    }

    /// Proxy through which the connections of `link` pass.
    pub fn proxy_of(&self, link: SoakLink) -> &LinkProxy {
        match link {
            SoakLink::Entry(index) => &self.entries[index].peers.proxy,
            SoakLink::Log(index) => &self.entries[index].log.proxy,
            SoakLink::Agent(index) => &self.agents[index].peers.proxy,
            SoakLink::Backend(index) => &self.agents[index].server.proxy,
        }
    }

    /// Address at which operators reach an entry.
    pub fn operator_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].peers.address
    }

    fn child(&self, role: SoakRole) -> &Mutex<Option<Child>> {
        match role {
            SoakRole::Entry(index) => &self.entries[index].child,
            SoakRole::Agent(index) => &self.agents[index].child,
        }
    }

    fn start_process(&self, role: SoakRole) -> Child {
        match role {
            SoakRole::Entry(index) => self.start_entry(index),
            SoakRole::Agent(index) => self.start_agent(index),
        }
    }

    fn start_entry(&self, index: usize) -> Child {
        let entry = &self.entries[index];
        let settings = entry_settings(index, entry.log.address)
            + &format!(
                "    advertise: {}\n  drain: {}s\n  peers:\n{}",
                entry.peers.address,
                DRAIN_TIME.as_secs(),
                self.entry_addresses(Some(index))
            );
        let name = process_name(SoakRole::Entry(index));
        let (child, line) = process::start(&self.directory, "entry", &name, &settings);
        entry.peers.proxy.set_target(Some(address_in(&line, "peers")));
        entry.callers.proxy.set_target(Some(address_in(&line, "callers")));
        child
    }

    fn start_agent(&self, index: usize) -> Child {
        let agent = &self.agents[index];
        let settings = agent_settings(index, agent.server.address)
            + &format!(
                "{}  advertise: {}\n  drain: {}s\n",
                self.entry_addresses(None),
                agent.peers.address,
                DRAIN_TIME.as_secs()
            );
        let name = process_name(SoakRole::Agent(index));
        let (child, line) = process::start(&self.directory, "agent", &name, &settings);
        agent.peers.proxy.set_target(Some(address_in(&line, "peers")));
        child
    }

    /// Settings lines with the addresses of all entries but the one at `except`.
    fn entry_addresses(&self, except: Option<usize>) -> String {
        let entries = self.entries.iter().enumerate().filter(|(at, _)| Some(*at) != except);
        let lines =
            entries.map(|(at, entry)| format!("    entry-{}: {}\n", at + 1, entry.peers.address));
        lines.collect()
    }

    pub async fn kill(&self, role: SoakRole, downtime: Duration) {
        let mut guard = self.child(role).lock().await;
        let Some(mut child) = guard.take() else { return };
        let since = Instant::now();
        send_signal(&child, Signal::SIGKILL);
        child.wait().expect("the process ends");
        tokio::time::sleep(downtime).await;
        *guard = Some(self.start_process(role));
        self.record.add_kill(role, since, Instant::now());
    }

    pub async fn freeze(&self, role: SoakRole, time: Duration) {
        let guard = self.child(role).lock().await;
        let Some(child) = guard.as_ref() else { return };
        let since = Instant::now();
        send_signal(child, Signal::SIGSTOP);
        tokio::time::sleep(time).await;
        send_signal(child, Signal::SIGCONT);
        self.record.add_freeze(role, since, Instant::now());
    }

    /// Stops a process with SIGTERM and starts it again.
    pub async fn stop(&self, role: SoakRole) {
        let mut guard = self.child(role).lock().await;
        let Some(child) = guard.take() else { return };
        let id = child.id();
        let since = Instant::now();
        send_signal(&child, Signal::SIGTERM);
        let ended = tokio::time::timeout(DRAIN_TIME + EXIT_SLACK, wait_exit(child)).await;
        match ended {
            Ok(status) if status.success() => {}
            Ok(status) => self.record.add_violation(format!(
                "SIGTERM ended {role:?} (process {id}) with {status} after {:?}; {}",
                since.elapsed(),
                last_lines(&self.directory, &process_name(role))
            )),
            Err(_) => {
                self.record.add_violation(format!(
                    "{role:?} (process {id}) still runs {:?} after SIGTERM",
                    since.elapsed()
                ));
            }
        }
        *guard = Some(self.start_process(role));
        self.record.add_stop(role, since, Instant::now());
    }

    /// Ends the faults of all connections, the log and the backend servers.
    pub fn clear_faults(&self) {
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
    pub async fn wait_membership(&self) {
        for entry in 0..self.entries.len() {
            let mut polls = 0;
            while !self.has_full_membership(entry).await {
                polls += 1;
                assert!(polls < MAX_POLLS, "entry {entry} does not know all processes");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn has_full_membership(&self, entry: usize) -> bool {
        let status = operator::get(&self.client, self.operator_address(entry), "/v1/status").await;
        let Some(status): Option<StatusBody> = status else { return false };
        let known = |role| status.processes.iter().filter(|process| process.role == role).count();
        status.freshness == "confirmed"
            && known("entry") >= self.entries.len()
            && known("agent") >= self.agents.len()
    }
}
