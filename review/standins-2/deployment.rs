//! Entries and agents as separate processes, started with the commands of the deploy file on
//! loopback addresses of their own.

use crate::http::{self, Outcome};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Identity, Worker};
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Host and path prefix of the only route.
pub const HOST: &str = "counter.example";
pub const PATH_PREFIX: &str = "/redeem/";
const ZONES: [&str; 3] = ["bc-coast-a", "bc-coast-b", "bc-coast-c"];
const STORE_HOST: u8 = 1;
const FIRST_ENTRY_HOST: u8 = 10;
const FIRST_AGENT_HOST: u8 = 50;

/// Memory of an entry, `memoryMb`; the platform kills a process that exceeds it.
pub const MEMORY_LIMIT_MIB: u64 = 260;
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Error text of a case that could not run.
pub type CaseResult<T> = Result<T, String>;

/// Ids of the processes that were started.
static STARTED_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that was started and still runs under its id as a program of the project.
pub fn kill_all_processes() {
    for id in STARTED_IDS.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let command = fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
        if command.contains("parsleyspool") {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
    }
}

/// Number of entries and of agents, each agent with one server.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: u8,
    pub agents: u8,
}

/// Process of the project.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    settings: PathBuf,
    child: Child,
}

/// Running deployment; dropping it ends its processes.
#[derive(Debug)]
pub struct Deployment {
    subnet: [u8; 2],
    directory: PathBuf,
    pub record: Arc<Record>,
    store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    /// How often each entry ended by itself or for its memory.
    pub entry_ends: Vec<usize>,
    /// When each entry that ended is started again.
    restart_at: Vec<Option<Instant>>,
}

impl Deployment {
    pub fn start(size: Size, record: Arc<Record>) -> CaseResult<Self> {
        let (subnet, listener) = find_subnet()?;
        let name = format!("review-2-{}-{}", std::process::id(), subnet[1]);
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let store = Store::open(listener);
        store.put_operator_record("config", CONFIGURATION);
        let mut deployment = Self {
            subnet,
            directory,
            record,
            store,
            workers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            entry_ends: vec![0; size.entries.into()],
            restart_at: vec![None; size.entries.into()],
        };
        for index in 0..size.entries {
            let process = deployment.spawn(
                "entry",
                size,
                &format!("edge-{}", index + 1),
                FIRST_ENTRY_HOST + index,
            )?;
            deployment.entries.push(process);
        }
        for index in 0..size.agents {
            let host = FIRST_AGENT_HOST + index;
            let process = deployment.spawn("agent", size, &format!("side-{}", index + 1), host)?;
            deployment.agents.push(process);
            let identity = Identity {
                id: format!("i-{:08x}", 0x7f3a_9100_u32 + u32::from(index)),
                zone: ZONES[usize::from(host) % ZONES.len()].to_owned(),
                address: deployment.address(host, 8165),
                control: deployment.address(host, 8166),
            };
            let worker = Worker::start(identity, deployment.record.clone());
            deployment.workers.push(worker.map_err(|error| error.to_string())?);
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.subnet[0], self.subnet[1], host), port))
    }

    /// Address of the entry `index` for callers.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.address(FIRST_ENTRY_HOST + index as u8, 8161)
    }

    fn spawn(&self, role: &str, size: Size, name: &str, host: u8) -> CaseResult<Process> {
        let path = format!("deploy/{role}.yaml");
        let template = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
        let settings = self.directory.join(format!("{name}.yaml"));
        fs::write(&settings, self.render(&template, size, name, host))
            .map_err(|error| error.to_string())?;
        let child = self.run_program(role, name, &settings)?;
        Ok(Process { name: name.to_owned(), settings, child })
    }

    fn run_program(&self, role: &str, name: &str, settings: &PathBuf) -> CaseResult<Child> {
        let words = deploy_command(role)?;
        let log = self.directory.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("PARSLEYSPOOL_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.map_err(|error| format!("{}: {error}", words[0]))?;
        STARTED_IDS.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        Ok(child)
    }

    /// Fills in a settings template as the platform does.
    fn render(&self, template: &str, size: Size, name: &str, host: u8) -> String {
        let quoted = |texts: Vec<String>| {
            let quoted: Vec<String> = texts.iter().map(|text| format!("\"{text}\"")).collect();
            quoted.join(",")
        };
        let seeds = (0..size.entries.min(3))
            .map(|index| self.address(FIRST_ENTRY_HOST + index, 8166).to_string());
        let zones = ZONES.iter().map(|zone| (*zone).to_owned());
        let address = |port| self.address(host, port).to_string();
        let fields = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", quoted(seeds.collect())),
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", quoted(zones.collect())),
            ("{{nodeName}}", name.to_owned()),
            ("{{zone}}", ZONES[usize::from(host) % ZONES.len()].to_owned()),
            ("{{ip}}", self.address(host, 0).ip().to_string()),
            ("{{internalPorts.0}}", "7720".to_owned()),
            ("{{listenAddrs.front}}", address(8161)),
            ("{{listenAddrs.ready}}", address(8167)),
            ("{{listenAddrs.control}}", address(8166)),
            ("{{app}}", address(8165)),
            ("{{bounds.graceS}}", "6".to_owned()),
            ("{{limits.memoryMb}}", MEMORY_LIMIT_MIB.to_string()),
            ("{{limits.maxFds}}", "4096".to_owned()),
            ("{{platform.address}}", self.address(STORE_HOST, 8169).to_string()),
            ("{{platform.keep_s}}", "300".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| text.replace(name, value);
        fields.iter().fold(template.to_owned(), fill)
    }

    /// Waits until every entry is ready and every agent has reported to it.
    fn wait_until_ready(&self) -> CaseResult<()> {
        let until = Instant::now() + Duration::from_secs(30);
        for index in 0..self.entries.len() {
            while !self.is_ready(index) {
                if Instant::now() >= until {
                    return Err(format!("{} is not ready", self.entries[index].name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        // The traffic begins 10 s after the machines.
        std::thread::sleep(Duration::from_secs(8));
        self.record.line("every entry is ready");
        Ok(())
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let ready = self.address(FIRST_ENTRY_HOST + index as u8, 8167);
        let second = Duration::from_secs(1);
        let outcome = http::send(ready, "GET", "/v1/ready", "host: ready\r\n", "", second);
        matches!(outcome, Outcome::Answered(200, _))
    }

    /// Kills the entry `index`.
    pub fn kill_entry(&mut self, index: usize) {
        let process = &mut self.entries[index];
        let _ = process.child.kill();
        let _ = process.child.wait();
        self.record.line(&format!("{} is killed", process.name));
    }

    /// Starts a killed entry again, with the same settings.
    pub fn restart_entry(&mut self, index: usize) -> CaseResult<()> {
        let process = &self.entries[index];
        let child = self.run_program("entry", &process.name, &process.settings)?;
        self.record.line(&format!("{} starts again", process.name));
        self.entries[index].child = child;
        Ok(())
    }

    /// Kills the agents at `indexes`; their servers stay up.
    pub fn kill_agents(&mut self, indexes: &[usize]) {
        for &index in indexes {
            let process = &mut self.agents[index];
            let _ = process.child.kill();
            let _ = process.child.wait();
            self.record.line(&format!("{} is killed", process.name));
        }
    }

    /// Starts the killed agents at `indexes` again.
    pub fn restart_agents(&mut self, indexes: &[usize]) -> CaseResult<()> {
        for &index in indexes {
            let process = &self.agents[index];
            let child = self.run_program("agent", &process.name, &process.settings)?;
            self.record.line(&format!("{} starts again", process.name));
            self.agents[index].child = child;
        }
        Ok(())
    }

    /// Writes a change of the configuration, kills all entries and agents right after the store has
    /// confirmed it, and starts them again after [`RESTART_DELAY`].
    pub fn restart_all_after_change(&mut self) -> CaseResult<()> {
        let changed = CONFIGURATION
            .replace("\"version\":1", "\"version\":4")
            .replace("\"timeoutMs\":9000", "\"timeoutMs\":9500");
        self.store.put_operator_record("config", &changed);
        self.record.line("a change of the configuration is confirmed");
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            let _ = process.child.kill();
        }
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            let _ = process.child.wait();
        }
        self.record.line("all processes are killed");
        std::thread::sleep(RESTART_DELAY);
        for index in 0..self.entries.len() {
            self.restart_entry(index)?;
        }
        let agents: Vec<usize> = (0..self.agents.len()).collect();
        self.restart_agents(&agents)
    }

    /// Plays the platform for `time`: kills entries that exceed their memory, and starts those that
    /// have ended again after [`RESTART_DELAY`].
    pub fn end_large_entries_for(&mut self, time: Duration) -> CaseResult<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for index in 0..self.entries.len() {
                self.watch_entry(index)?;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn watch_entry(&mut self, index: usize) -> CaseResult<()> {
        if let Some(at) = self.restart_at[index] {
            if Instant::now() >= at {
                self.restart_at[index] = None;
                self.restart_entry(index)?;
            }
            return Ok(());
        }
        let peak = peak_memory_mib(self.entries[index].child.id());
        let process = &mut self.entries[index];
        let mut ended = process.child.try_wait().ok().flatten().map(|status| status.to_string());
        if ended.is_none() && peak > MEMORY_LIMIT_MIB {
            let _ = process.child.kill();
            let _ = process.child.wait();
            ended = Some(format!("killed with {peak} MB, over its limit"));
        }
        if let Some(how) = ended {
            self.record.line(&format!("{} ended: {how}", process.name));
            self.entry_ends[index] += 1;
            self.restart_at[index] = Some(Instant::now() + RESTART_DELAY);
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Largest memory of a process so far, in MiB; 0 if it has ended.
fn peak_memory_mib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) / 1024
}

/// Subnet of loopback addresses that nobody uses, with the listener of its store.
fn find_subnet() -> CaseResult<([u8; 2], TcpListener)> {
    for count in 0..200_u32 {
        let [.., low, high] = std::process::id().wrapping_add(count).to_be_bytes();
        let subnet = [low | 0x10, high];
        let address = Ipv4Addr::new(127, subnet[0], subnet[1], STORE_HOST);
        if let Ok(listener) = TcpListener::bind((address, 8169)) {
            return Ok((subnet, listener));
        }
    }
    Err("no loopback subnet is free".to_owned())
}

/// Words of the command of a role in the deploy file.
fn deploy_command(role: &str) -> CaseResult<Vec<String>> {
    let path = "deploy/system.toml";
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let line = section.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"')).ok_or("no command for the role")?;
    Ok(command.split(' ').map(str::to_owned).collect())
}

/// Configuration with one route of the kind of the site's requests.
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"redeem","hostname":"counter.example","pathPrefix":"/redeem/","service":"till-gateway","routeType":"non_idempotent","timeoutMs":9000,"targetLatencyMs":60,"priority":0,"maxAttempts":3,"stretch":1.6}],"services":[{"name":"till-gateway","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"enforcesCapacity":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
