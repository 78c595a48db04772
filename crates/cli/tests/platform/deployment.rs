//! Entries and agents as real processes on loopback addresses of their own; the store and the
//! workers run within the test.

use crate::http_server::HttpServer;
use crate::play_size::PlaySize;
use crate::process::{PlatformProcess, write_settings};
use crate::run_record::RunRecord;
use crate::settings_template::render;
use crate::store_standin::StoreStandIn;
use crate::worker_standin::{LiveWorker, SERVICE, WorkerIdentity};
use futures_util::future::join_all;
use parsleyspool_standins::proxy::{LinkDirection, LinkProxy};
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;

/// Host in the requests of callers.
pub const HOST: &str = "counter.example";
/// Path before the id of a job.
pub const PATH_PREFIX: &str = "/balance/";
const ENTRY_TEMPLATE: &str = include_str!("../../../../deploy/entry.yaml");
const AGENT_TEMPLATE: &str = include_str!("../../../../deploy/agent.yaml");
/// Failure domains, to which processes are assigned in round-robin order.
pub const DOMAINS: [&str; 3] = ["bc-coast-a", "bc-coast-b", "bc-coast-c"];
const FRONT_PORT: u16 = 8161;
const WORKER_PORT: u16 = 8165;
const CONTROL_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
const STORE_PORT: u16 = 8169;
/// Port of the link of the first entry to the store.
const FIRST_LINK_PORT: u16 = 8180;
const INTERNAL_PORTS: [u16; 2] = [7720, 7735];
/// Last byte of the address of the store and of the first entry and agent.
const STORE_HOST: u8 = 1;
const FIRST_ENTRY_HOST: u8 = 10;
/// Number of addresses that entries use in turn.
const ENTRY_HOSTS: u8 = 36;
const FIRST_AGENT_HOST: u8 = 50;
/// Prefixes of the names of entries and agents.
const ENTRY_PREFIX: &str = "edge-";
const AGENT_PREFIX: &str = "side-";
/// Number of subnets that a test tries before it gives up.
const SUBNET_TRIES: u32 = 200;
/// Number of subnets used so far by this process.
static SUBNET_COUNT: AtomicU32 = AtomicU32::new(0);

/// Subnet of loopback addresses that no other test uses, since the port of its store is bound.
#[derive(Debug, Clone, Copy)]
pub struct LoopbackSubnet {
    middle: [u8; 2],
}

impl LoopbackSubnet {
    /// Finds a free subnet and returns it with the listener of its store.
    async fn find() -> (Self, TcpListener) {
        for _ in 0..SUBNET_TRIES {
            let count = SUBNET_COUNT.fetch_add(1, Ordering::SeqCst);
            let [.., low, high] = std::process::id().wrapping_add(count).to_be_bytes();
            let subnet = Self { middle: [low | 0x10, high] };
            if let Ok(listener) = TcpListener::bind(subnet.address(STORE_HOST, STORE_PORT)).await {
                return (subnet, listener);
            }
        }
        panic!("no loopback subnet is free");
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        let [second, third] = self.middle;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
    }
}

/// Addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

/// Running deployment; dropping it ends its processes.
#[derive(Debug)]
pub struct PlatformDeployment {
    subnet: LoopbackSubnet,
    pub entries: Vec<EntryAddresses>,
    /// Control addresses that the settings name as seeds.
    seeds: Vec<SocketAddr>,
    /// Whether the settings files of the agents are half written.
    is_half_written: bool,
    /// Whether agents are told the address of the store.
    pub tells_store: bool,
    pub processes: Vec<PlatformProcess>,
    pub workers: Vec<LiveWorker>,
    pub record: Arc<RunRecord>,
    pub store: Arc<StoreStandIn>,
    _store_server: HttpServer,
    /// Link of each entry to the store; a replaced entry leaves its link to its successor.
    store_links: Vec<Arc<LinkProxy>>,
    /// Directory of the settings and logs.
    directory: PathBuf,
    /// Whether the directory outlives the deployment.
    is_directory_kept: bool,
}

impl PlatformDeployment {
    /// Starts the store, the processes and the workers.
    pub async fn start(size: &PlaySize) -> Self {
        let (subnet, listener) = LoopbackSubnet::find().await;
        let store = Arc::new(StoreStandIn::default());
        store.put_operator_record("config", &configuration());
        let [second, third] = subnet.middle;
        let name = format!("parsleyspool-platform-{}-{second}-{third}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory can be made");
        let mut deployment = Self {
            subnet,
            entries: Vec::new(),
            seeds: Vec::new(),
            is_half_written: false,
            tells_store: true,
            processes: Vec::new(),
            workers: Vec::new(),
            record: Arc::new(RunRecord::begin()),
            _store_server: HttpServer::open(listener, store.clone()),
            store_links: Vec::new(),
            store,
            directory,
            is_directory_kept: false,
        };
        for index in 0..size.entries {
            deployment.open_store_link(index).await;
        }
        let first_hosts = FIRST_ENTRY_HOST..FIRST_ENTRY_HOST + size.entries as u8;
        deployment.seeds =
            first_hosts.clone().map(|host| deployment.entry_at(host).control).collect();
        deployment.entries = first_hosts.map(|host| deployment.start_entry(host)).collect();
        deployment.start_agents(size.agents);
        deployment.start_workers(size).await;
        deployment
    }

    async fn open_store_link(&mut self, index: usize) {
        let link = LinkProxy::new();
        link.set_target(Some(self.subnet.address(STORE_HOST, STORE_PORT)));
        let address = self.subnet.address(STORE_HOST, FIRST_LINK_PORT + index as u16);
        let listener = TcpListener::bind(address).await.expect("the port is free");
        tokio::spawn(link.clone().serve(listener));
        self.store_links.push(link);
    }

    /// Kills every entry, and starts as many at other addresses. The settings still name the former
    /// ones.
    pub fn replace_entries(&mut self) {
        for index in 0..self.entries.len() {
            self.replace_entry(index);
        }
    }

    /// Kills the entry with this index, and starts one at another address.
    pub fn replace_entry(&mut self, index: usize) {
        let host = host_of(self.entries[index].control);
        self.processes.retain(|process| process.name != entry_name(host));
        let count = self.entries.len() as u8;
        let next_host = FIRST_ENTRY_HOST + (host - FIRST_ENTRY_HOST + count) % ENTRY_HOSTS;
        self.entries[index] = self.start_entry(next_host);
    }

    /// Cuts the entry with this index off from the store.
    pub fn cut_from_store(&self, index: usize) {
        self.store_links[index].set_paused(Some(LinkDirection::Both));
    }

    /// Ends the cut of the entry with this index.
    pub fn heal_store_link(&self, index: usize) {
        self.store_links[index].set_paused(None);
    }

    /// Makes the open connections of the entry with this index to the store silent for good.
    pub fn silence_store_connections(&self, index: usize) {
        self.store_links[index].discard_traffic(LinkDirection::Both);
    }

    /// Kills every agent, and starts them again with the settings at this time.
    pub fn restart_agents(&mut self) {
        let before = self.processes.len();
        self.processes.retain(|process| !process.name.starts_with(AGENT_PREFIX));
        self.start_agents(before - self.processes.len());
    }

    /// Names the present entries in the settings of the agents, which get no signal.
    pub fn name_entries_in_settings(&mut self) {
        self.seeds = self.entries.iter().map(|entry| entry.control).collect();
        self.is_half_written = false;
        self.write_agent_settings();
    }

    /// Names no entry in the settings of the agents.
    pub fn name_no_entry_in_settings(&mut self) {
        self.seeds.clear();
        self.is_half_written = false;
        self.write_agent_settings();
    }

    /// Leaves the settings of the agents half written, also at a start.
    pub fn write_half_of_settings(&mut self) {
        self.is_half_written = true;
        self.write_agent_settings();
    }

    fn write_agent_settings(&self) {
        for index in 0..self.workers.len() {
            let (name, host) = (agent_name(index), FIRST_AGENT_HOST + index as u8);
            write_settings(&self.directory, &name, &self.agent_settings(&name, host));
        }
    }

    fn agent_settings(&self, name: &str, host: u8) -> String {
        let mut settings = render(AGENT_TEMPLATE, &self.settings_fields(name, host));
        if self.is_half_written {
            settings.truncate(settings.len() / 2);
        }
        settings
    }

    /// Sends SIGHUP to every agent.
    pub fn hang_up_agents(&mut self) {
        let agents =
            self.processes.iter_mut().filter(|process| process.name.starts_with(AGENT_PREFIX));
        agents.for_each(PlatformProcess::hang_up);
    }

    fn entry_at(&self, host: u8) -> EntryAddresses {
        EntryAddresses {
            front: self.subnet.address(host, FRONT_PORT),
            ready: self.subnet.address(host, READY_PORT),
            control: self.subnet.address(host, CONTROL_PORT),
        }
    }

    fn start_entry(&mut self, host: u8) -> EntryAddresses {
        let name = entry_name(host);
        let settings = render(ENTRY_TEMPLATE, &self.settings_fields(&name, host));
        self.spawn("entry", &name, &settings);
        self.entry_at(host)
    }

    fn start_agents(&mut self, count: usize) {
        for index in 0..count {
            let (name, host) = (agent_name(index), FIRST_AGENT_HOST + index as u8);
            let settings = self.agent_settings(&name, host);
            self.spawn("agent", &name, &settings);
        }
    }

    /// Keeps the directory of the settings and logs, and returns it.
    pub fn keep_directory(&mut self) -> &Path {
        self.is_directory_kept = true;
        &self.directory
    }

    fn spawn(&mut self, role: &str, name: &str, settings: &str) {
        let store = self.tells_store.then(|| self.subnet.address(STORE_HOST, STORE_PORT));
        let process = PlatformProcess::start(&self.directory, role, name, settings, store);
        self.processes.push(process);
    }

    async fn start_workers(&mut self, size: &PlaySize) {
        let workers = (0..size.agents).map(|index| {
            let host = FIRST_AGENT_HOST + index as u8;
            let identity = WorkerIdentity {
                id: format!("i-{:08x}", size.seed << 8 | index as u64),
                machine: agent_name(index),
                domain: domain_of(host).to_owned(),
                address: self.subnet.address(host, WORKER_PORT),
                control: self.subnet.address(host, CONTROL_PORT),
            };
            let seed = size.seed.wrapping_mul(1000) + index as u64;
            LiveWorker::start(identity, size.faults, self.record.clone(), seed)
        });
        self.workers = join_all(workers).await;
    }

    /// Port at which the entry at `host` reaches the store.
    fn link_port(&self, host: u8) -> u16 {
        let index = usize::from(host.saturating_sub(FIRST_ENTRY_HOST)) % self.store_links.len();
        FIRST_LINK_PORT + index as u16
    }

    /// Fields of the settings of a process, as the platform fills them in.
    fn settings_fields(&self, name: &str, host: u8) -> Value {
        let address = |port| self.subnet.address(host, port).to_string();
        let seeds = self.seeds.iter().map(ToString::to_string);
        let zones = DOMAINS.iter().map(|domain| ((*domain).to_owned(), json!("bc-coast")));
        json!({
            "nodeName": name,
            "zone": domain_of(host),
            "zones": zones.collect::<serde_json::Map<_, _>>(),
            "ip": self.subnet.address(host, 0).ip().to_string(),
            "listenAddrs": {
                "front": address(FRONT_PORT),
                "ready": address(READY_PORT),
                "control": address(CONTROL_PORT),
            },
            "internalPorts": INTERNAL_PORTS,
            "seeds": seeds.take(3).collect::<Vec<_>>(),
            "bounds": {"graceS": 6},
            "limits": {"maxFds": 4100, "memoryMb": 160},
            "app": address(WORKER_PORT),
            "platform": {
                "address": self.subnet.address(STORE_HOST, self.link_port(host)).to_string(),
                "keep_s": 20,
            },
        })
    }
}

impl Drop for PlatformDeployment {
    fn drop(&mut self) {
        self.processes.clear();
        if !self.is_directory_kept && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn entry_name(host: u8) -> String {
    format!("{ENTRY_PREFIX}{host}")
}

/// Failure domain of the agent with this index.
pub fn agent_domain(index: usize) -> &'static str {
    domain_of(FIRST_AGENT_HOST + index as u8)
}

/// Name of the agent with this index, and of its machine.
pub fn agent_name(index: usize) -> String {
    format!("{AGENT_PREFIX}{}", index + 1)
}

/// Last byte of an IPv4 address.
fn host_of(address: SocketAddr) -> u8 {
    let IpAddr::V4(ip) = address.ip() else { panic!("the deployment uses IPv4") };
    ip.octets()[3]
}

fn domain_of(host: u8) -> &'static str {
    DOMAINS[usize::from(host) % DOMAINS.len()]
}

/// Configuration of the operator, with one route.
pub fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "balance", "hostname": HOST, "pathPrefix": PATH_PREFIX, "service": SERVICE,
            "routeType": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
            "priority": 0, "maxAttempts": 3, "stretch": 1.6,
        }],
        "services": [{
            "name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
            "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "enforcesCapacity": true,
            "standby": false,
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}
