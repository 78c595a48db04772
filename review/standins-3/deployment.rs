//! Small deployment on loopback addresses: the project's own programs, started with the commands and
//! the templates of the deploy file, beside a store and runners that are stand-ins.

use crate::http::{self, Request};
use crate::record::Record;
use crate::runner::{Runner, RunnerSettings};
use crate::store::Store;
use crate::template::{Field, Fields, fill};
use std::fs::{self, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
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

    fn index(&self) -> u8 {
        self.ip.octets()[3]
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

impl Process {
    /// Sends SIGHUP.
    fn hang_up(&self) {
        let _ = Command::new("kill").arg("-HUP").arg(self.child.id().to_string()).status();
    }

    /// Exit code, if the process has ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
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
    /// Address at which the entry reaches the store; it may be that of a proxy.
    store_address: SocketAddr,
    pub entry_machine: Machine,
    entry: Option<Process>,
    pub agents: Vec<Process>,
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
        let mut runners = Vec::new();
        for index in 0..size.agents {
            let machine = agent_machine(index);
            let settings = RunnerSettings {
                id: format!("i-{:08x}", 0x7f3a_9100 + u32::from(index)),
                service: SERVICE.to_owned(),
                zone: zone_of(index).to_owned(),
                cpu: size.cpu,
                memory_mb: 131_072,
                address: machine.address(RUNNER),
                control: machine.address(CONTROL),
            };
            let listener = machine.listen(RUNNER).map_err(|error| error.to_string())?;
            runners.push(Runner::start(listener, settings, record.clone()));
        }
        let entry_machine = Machine::new(1);
        let seeds = vec![entry_machine.address(CONTROL).to_string()];
        let mut deployment = Self {
            store,
            store_address,
            entry_machine,
            entry: None,
            agents: Vec::new(),
            runners,
            record,
            folder,
        };
        deployment.start_entry(entry_machine, &seeds)?;
        deployment.start_agents(&seeds)?;
        Ok(deployment)
    }

    /// Starts the entry on `machine`, at which clients find it from now on.
    pub fn start_entry(&mut self, machine: Machine, seeds: &[String]) -> Result<(), String> {
        self.entry_machine = machine;
        let settings = self.entry_settings(seeds).map_err(|error| error.to_string())?;
        self.entry = Some(launch("entry", &settings).map_err(|error| error.to_string())?);
        Ok(())
    }

    /// Starts every agent.
    pub fn start_agents(&mut self, seeds: &[String]) -> Result<(), String> {
        self.agents.clear();
        for index in 0..self.runners.len() {
            self.agents.push(self.start_agent(index, seeds)?);
        }
        Ok(())
    }

    /// Starts the agent number `index`.
    pub fn start_agent(&self, index: usize, seeds: &[String]) -> Result<Process, String> {
        let settings = self.agent_settings(index, seeds).map_err(|error| error.to_string())?;
        launch("agent", &settings).map_err(|error| error.to_string())
    }

    /// Kills the entry.
    pub fn kill_entry(&mut self) {
        self.entry = None;
    }

    /// Kills all processes of the project.
    pub fn kill_all(&mut self) {
        self.entry = None;
        self.agents.clear();
    }

    /// Writes the settings files anew, and tells the processes so by SIGHUP.
    pub fn list_seeds(&self, seeds: &[String]) -> Result<(), String> {
        self.entry_settings(seeds).map_err(|error| error.to_string())?;
        for index in 0..self.runners.len() {
            self.agent_settings(index, seeds).map_err(|error| error.to_string())?;
        }
        self.entry.iter().chain(&self.agents).for_each(Process::hang_up);
        Ok(())
    }

    fn entry_settings(&self, seeds: &[String]) -> io::Result<PathBuf> {
        let machine = self.entry_machine;
        let more = vec![
            ("zone", Field::Text(ZONES[0].to_owned())),
            ("platform.address", Field::Text(self.store_address.to_string())),
            ("platform.keep_s", Field::Text("300".to_owned())),
            ("listenAddrs.front", Field::Text(machine.address(FRONT).to_string())),
            ("listenAddrs.ready", Field::Text(machine.address(READY).to_string())),
            ("limits.memoryMb", Field::Text("260".to_owned())),
            ("limits.maxFds", Field::Text("4100".to_owned())),
        ];
        let name = format!("edge-{}", machine.index());
        write_settings(&self.folder, "entry", &name, machine, seeds, more)
    }

    fn agent_settings(&self, index: usize, seeds: &[String]) -> io::Result<PathBuf> {
        let settings = &self.runners[index].settings;
        let more = vec![
            ("zone", Field::Text(settings.zone.clone())),
            ("app", Field::Text(settings.address.to_string())),
            ("limits.memoryMb", Field::Text("128".to_owned())),
            ("limits.maxFds", Field::Text("4096".to_owned())),
        ];
        let machine = agent_machine(index as u8);
        let name = format!("side-{}", index + 1);
        write_settings(&self.folder, "agent", &name, machine, seeds, more)
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

fn agent_machine(index: u8) -> Machine {
    Machine::new(10 + index)
}

fn zone_of(index: u8) -> &'static str {
    ZONES[usize::from(index) % ZONES.len()]
}

/// Value of `key` in the part of the deploy file on `role`.
fn deployed(role: &str, key: &str) -> io::Result<String> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let section = deploy.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let section = section.split("\n[").next().unwrap_or_default();
    let mut lines = section.lines().filter_map(|line| line.split_once(" = "));
    let line = lines.find(|(other, _)| *other == key);
    Ok(line.map(|(_, value)| value.trim_matches('"').to_owned()).unwrap_or_default())
}

/// Writes the settings of a process from the template of its role, and returns their path.
fn write_settings(
    folder: &Path,
    role: &str,
    name: &str,
    machine: Machine,
    seeds: &[String],
    more: Fields,
) -> io::Result<PathBuf> {
    let mut fields: Fields = vec![
        ("nodeName", Field::Text(name.to_owned())),
        ("ip", Field::Text(machine.ip.to_string())),
        ("internalPorts.0", Field::Text(INTERNAL.to_string())),
        ("listenAddrs.control", Field::Text(machine.address(CONTROL).to_string())),
        ("seeds", Field::List(seeds.to_vec())),
        ("zones", Field::List(ZONES.map(str::to_owned).to_vec())),
        ("bounds.graceS", Field::Text("6".to_owned())),
    ];
    fields.extend(more);
    let template = fs::read_to_string(deployed(role, "template")?)?;
    let text = fill(&template, &fields).ok_or(io::ErrorKind::InvalidData)?;
    debug_assert!(text.contains(&METRICS_PORT.to_string()));
    let path = folder.join(format!("{name}.settings"));
    fs::write(&path, text)?;
    Ok(path)
}

/// Starts a role with the command of the deploy file.
fn launch(role: &str, settings: &Path) -> io::Result<Process> {
    let run = deployed(role, "run")?;
    let mut words = run.split(' ');
    let log = OpenOptions::new().create(true).append(true).open(settings.with_extension("log"))?;
    let child = Command::new(words.next().unwrap_or_default())
        .args(words)
        .env_clear()
        .env("PARSLEYSPOOL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Process { child })
}
