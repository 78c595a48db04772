//! A daemon with the settings of the deploy file on a small machine, and the measurements of its
//! process.

use crate::crowd::CrowdKind;
use crate::machine_fields::machine_fields;
use crate::process::PlatformProcess;
use crate::settings_template::render;
use crate::socket_queues::unread_bytes;
use reqwest::Client;
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const ENTRY_TEMPLATE: &str = include_str!("../../../../deploy/entry.yaml");
const AGENT_TEMPLATE: &str = include_str!("../../../../deploy/agent.yaml");
/// Memory of the machine, which bounds that of the process.
const MEMORY_MB: u64 = 40;
/// Descriptors of the machine, of which `FILE_DESCRIPTORS` are for files.
const DESCRIPTORS: usize = 320;
const FILE_DESCRIPTORS: usize = 200;
/// Time after which an ordinary request counts as not answered.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a process has not started.
const MAX_POLLS: u32 = 1500;
const KIB: u64 = 1024;
/// Number of machines started so far, which gives each a loopback address of its own.
static MACHINE_COUNT: AtomicU32 = AtomicU32::new(0);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Daemon {
    Entry,
    Agent,
}

/// Listener of a daemon, the request of the crowd, and an ordinary request with its answer.
#[derive(Debug, Clone)]
pub struct Listener {
    pub name: &'static str,
    pub address: SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    ordinary_path: &'static str,
    /// Status of the answer to a `GET` for the ordinary path.
    ordinary_status: u16,
}

/// Running daemon; dropping it ends the process.
#[derive(Debug)]
pub struct Machine {
    pub listeners: Vec<Listener>,
    process: PlatformProcess,
    directory: PathBuf,
}

impl Machine {
    /// Starts the daemon and waits until all of its listeners answer.
    pub async fn start(daemon: Daemon) -> Self {
        let count = MACHINE_COUNT.fetch_add(1, Ordering::SeqCst);
        let [.., second, third] = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{third}.{}", second | 0x10, 10 + count);
        let directory = format!("parsleyspool-inbound-{}-{count}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        std::fs::create_dir_all(&directory).expect("a directory can be made");
        let (role, template) = match daemon {
            Daemon::Entry => ("entry", ENTRY_TEMPLATE),
            Daemon::Agent => ("agent", AGENT_TEMPLATE),
        };
        let process =
            PlatformProcess::start(&directory, role, role, &render(template, &fields(&ip)), None);
        let mut machine = Self { listeners: listeners(daemon, &ip), process, directory };
        let mut polls = 0;
        while !machine.unanswered_names().await.is_empty() {
            polls += 1;
            assert!(polls < MAX_POLLS && machine.process.is_running(), "the {role} does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        machine
    }

    /// Names of the listeners that do not answer an ordinary request as expected.
    async fn unanswered_names(&self) -> Vec<&'static str> {
        let mut names = Vec::new();
        for listener in &self.listeners {
            // Each request is one of a new client.
            let client = Client::builder().no_proxy().timeout(HANG_TIMEOUT).build();
            let url = format!("http://{}{}", listener.address, listener.ordinary_path);
            let response = client.expect("a client").get(url).send().await;
            let is_expected = |status: reqwest::StatusCode| status == listener.ordinary_status;
            if !response.is_ok_and(|response| is_expected(response.status())) {
                names.push(listener.name);
            }
        }
        names
    }

    /// Waits until the process has read what the clients have sent, at most for the time of a start.
    pub async fn wait_until_read(&self) {
        let IpAddr::V4(ip) = self.listeners[0].address.ip() else { return };
        for _ in 0..MAX_POLLS {
            if unread_bytes(ip) == 0 {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Says which ordinary requests are not answered, or that the process has ended.
    pub async fn unanswered(&mut self, kind: CrowdKind) -> Option<String> {
        if !self.process.is_running() {
            return Some(format!("{kind:?}: the process has ended"));
        }
        let names = self.unanswered_names().await;
        (!names.is_empty()).then(|| format!("{kind:?}: not answered: {names:?}"))
    }

    /// Says which limits of the machine the process exceeds or has exceeded.
    pub fn exceeded_limits(&self, kind: CrowdKind) -> Vec<String> {
        let proc = PathBuf::from(format!("/proc/{}", self.process.id()));
        let status = std::fs::read_to_string(proc.join("status")).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let peak = peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") / KIB;
        let descriptors = std::fs::read_dir(proc.join("fd")).expect("the process runs").count();
        println!("{kind:?}: peak memory {peak} MB, {descriptors} descriptors");
        let sockets = DESCRIPTORS - FILE_DESCRIPTORS;
        let memory = (peak > MEMORY_MB)
            .then(|| format!("{kind:?}: peak memory is {peak} MB of {MEMORY_MB} MB"));
        let descriptors = (descriptors > sockets)
            .then(|| format!("{kind:?}: {descriptors} descriptors of {sockets} are open"));
        memory.into_iter().chain(descriptors).collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{}", self.process.log_lines().join("\n"));
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn listeners(daemon: Daemon, ip: &str) -> Vec<Listener> {
    let listener = |name, port, method, path, ordinary_path, ordinary_status| {
        let address = format!("{ip}:{port}").parse().expect("an address");
        Listener { name, address, method, path, ordinary_path, ordinary_status }
    };
    match daemon {
        // The store does not answer, so the entry has no configuration.
        Daemon::Entry => vec![
            listener("front", 8161, "POST", "/balance/1", "/balance/1", 503),
            listener("callers", 7720, "POST", "/v1/jobs", "/healthz", 200),
            listener("control", 8166, "POST", "/peer/heartbeat", "/v1/status", 200),
            listener("ready", 8167, "GET", "/v1/ready", "/v1/ready", 503),
            listener("metrics", 9464, "GET", "/metrics", "/metrics", 200),
        ],
        Daemon::Agent => vec![
            listener("entries", 7720, "POST", "/peer/start", "/v1/status", 200),
            listener("control", 8166, "PUT", "/v1/instances/i-1", "/", 404),
            listener("metrics", 9464, "GET", "/metrics", "/metrics", 200),
        ],
    }
}

/// Fields of the settings of a small machine.
fn fields(ip: &str) -> serde_json::Value {
    let mut fields = machine_fields(ip);
    fields["limits"] = json!({"maxFds": DESCRIPTORS, "memoryMb": MEMORY_MB});
    fields
}
