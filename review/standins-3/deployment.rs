//! Small deployment on loopback addresses: the project's own programs, started with the commands and
//! the templates of the deploy file, beside a store and runners that are stand-ins.

use crate::http::{self, Request};
use crate::record::Record;
use crate::runner::{Runner, RunnerSettings};
use crate::store::Store;
use crate::template::{Field, Fields, fill};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Path of the only queue.
pub const PREFIX: &str = "/lohu930/";
/// Host of the only queue.
pub const HOST: &str = "nony24.example";
/// Name of the only service.
pub const SERVICE: &str = "huvo11a";
/// Port of the metrics in the templates.
const METRICS_PORT: u16 = 9464;
/// Zones; the agents are spread over them, and the entry is in the first.
pub const ZONES: [&str; 2] = ["bc-coast-a", "bc-coast-b"];

/// One machine: a loopback address of its own, so that ports are free.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub ip: Ipv4Addr,
}

impl Machine {
    /// Machine number `index` of a case; the process id sets cases apart.
    pub fn new(index: u8) -> Self {
        let id = std::process::id();
        let ip = Ipv4Addr::new(127, 10 + (id >> 8 & 0x7f) as u8, (id & 0xff) as u8, index);
        Self { ip }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }

    pub fn listen(&self, port: u16) -> io::Result<TcpListener> {
        TcpListener::bind(self.address(port))
    }
}

/// Ports that every machine uses.
pub const FRONT: u16 = 8161;
pub const READY: u16 = 8167;
pub const CONTROL: u16 = 8166;
pub const RUNNER: u16 = 8165;
pub const STORE: u16 = 8169;
const INTERNAL: u16 = 7720;

/// Process of the project; dropping it kills it.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Deployment of one entry and of agents with a runner each.
pub struct Deployment {
    pub store: Store,
    pub entry_machine: Machine,
    /// The entry and the agents.
    _processes: Vec<Process>,
    pub runners: Vec<Runner>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
}

/// Size of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub agents: u8,
    /// Processor of each runner, in thousandths of a core.
    pub cpu: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for runner in &self.runners {
            runner.end();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts the store, the entry, the agents and their runners. The entry reaches the store at
    /// `store_address`, which may be that of a proxy.
    pub fn start(
        store: Store,
        store_address: SocketAddr,
        size: Size,
        record: Arc<Record>,
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let entry_machine = Machine::new(1);
        let seed = entry_machine.address(CONTROL).to_string();
        let launch = |role: &str, name: &str, machine: Machine, more: Fields| {
            launch(&folder, role, name, machine, &seed, more)
                .map_err(|error| format!("{name} did not start: {error}"))
        };
        let more = vec![
            ("zone", Field::Text(ZONES[0].to_owned())),
            ("platform.address", Field::Text(store_address.to_string())),
            ("platform.keep_s", Field::Text("300".to_owned())),
            ("listenAddrs.front", Field::Text(entry_machine.address(FRONT).to_string())),
            ("listenAddrs.ready", Field::Text(entry_machine.address(READY).to_string())),
            ("limits.memoryMb", Field::Text("260".to_owned())),
            ("limits.maxFds", Field::Text("4100".to_owned())),
        ];
        let entry = launch("entry", "edge-1", entry_machine, more)?;
        let (mut agents, mut runners) = (Vec::new(), Vec::new());
        for index in 0..size.agents {
            let machine = Machine::new(10 + index);
            let zone = ZONES[usize::from(index) % ZONES.len()];
            let more = vec![
                ("zone", Field::Text(zone.to_owned())),
                ("app", Field::Text(machine.address(RUNNER).to_string())),
                ("limits.memoryMb", Field::Text("128".to_owned())),
                ("limits.maxFds", Field::Text("4096".to_owned())),
            ];
            agents.push(launch("agent", &format!("side-{}", index + 1), machine, more)?);
            let settings = RunnerSettings {
                id: format!("i-{:08x}", 0x7f3a_9100 + u32::from(index)),
                service: SERVICE.to_owned(),
                zone: zone.to_owned(),
                cpu: size.cpu,
                memory_mb: 131_072,
                address: machine.address(RUNNER),
                control: machine.address(CONTROL),
            };
            let listener = machine.listen(RUNNER).map_err(|error| error.to_string())?;
            runners.push(Runner::start(listener, settings, record.clone()));
        }
        agents.push(entry);
        Ok(Self { store, entry_machine, _processes: agents, runners, record, folder })
    }

    /// Waits until the entry is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        let request = get("/v1/ready");
        let address = self.entry_machine.address(READY);
        while Instant::now() < deadline {
            if matches!(http::send(address, &request, Duration::from_secs(1)), Ok((200, _))) {
                self.record.line("the entry is ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the entry is not ready".to_owned())
    }

    /// Address of the entry for clients.
    pub fn front(&self) -> SocketAddr {
        self.entry_machine.address(FRONT)
    }
}

/// Request without a body.
pub fn get(path: &str) -> Request {
    Request {
        method: "GET".to_owned(),
        path: path.to_owned(),
        query: String::new(),
        headers: vec![("host".to_owned(), HOST.to_owned())],
        body: Vec::new(),
    }
}

/// Configuration with a route for each of `prefixes`, whose jobs may take `timeout_ms`.
pub fn configuration(version: u64, prefixes: &[&str], timeout_ms: u64) -> String {
    let routes = prefixes.iter().enumerate().map(|(index, prefix)| {
        format!(
            "{{\"name\":\"r-{index}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
             \"routeType\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":60,\
             \"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\"stretch\":1.6}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0,\"enforcesCapacity\":true,\"standby\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144}}}}"
    )
}

/// Starts a role of the deploy file with settings from its template.
fn launch(
    folder: &std::path::Path,
    role: &str,
    name: &str,
    machine: Machine,
    seed: &str,
    more: Fields,
) -> io::Result<Process> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let section = deploy.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let section = section.split("\n[").next().unwrap_or_default();
    let value = |key: &str| {
        let mut lines = section.lines().filter_map(|line| line.split_once(" = "));
        let line = lines.find(|(other, _)| *other == key);
        line.map(|(_, value)| value.trim_matches('"').to_owned()).unwrap_or_default()
    };
    let mut fields: Fields = vec![
        ("nodeName", Field::Text(name.to_owned())),
        ("ip", Field::Text(machine.ip.to_string())),
        ("internalPorts.0", Field::Text(INTERNAL.to_string())),
        ("listenAddrs.control", Field::Text(machine.address(CONTROL).to_string())),
        ("seeds", Field::List(vec![seed.to_owned()])),
        ("zones", Field::List(ZONES.map(str::to_owned).to_vec())),
        ("bounds.graceS", Field::Text("6".to_owned())),
    ];
    fields.extend(more);
    let template = fs::read_to_string(value("template"))?;
    let text = fill(&template, &fields).ok_or(io::ErrorKind::InvalidData)?;
    debug_assert!(text.contains(&METRICS_PORT.to_string()));
    let path = folder.join(format!("{name}.settings"));
    fs::write(&path, text)?;
    let run = value("run");
    let mut words = run.split(' ');
    let log = File::create(folder.join(format!("{name}.log")))?;
    let child = Command::new(words.next().unwrap_or_default())
        .args(words)
        .env_clear()
        .env("PARSLEYSPOOL_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Process { child })
}
