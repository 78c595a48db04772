//! Machine at a loopback address of its own, with the settings of one daemon as the deploy file's
//! template renders them.

use crate::machine_fields::machine_fields;
use crate::process::{PlatformProcess, ProcessStart, write_settings};
use crate::settings_template::render;
use serde_json::Value;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const ENTRY_TEMPLATE: &str = include_str!("../../../../deploy/entry.yaml");
const AGENT_TEMPLATE: &str = include_str!("../../../../deploy/agent.yaml");
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a wait has failed.
const MAX_POLLS: u32 = 1500;
/// Number of machines so far, which gives each an address of its own.
static MACHINE_COUNT: AtomicU32 = AtomicU32::new(0);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonRole {
    Entry,
    Agent,
}

impl DaemonRole {
    pub const BOTH: [Self; 2] = [Self::Entry, Self::Agent];

    fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }

    /// Ports that the daemon cannot work without.
    pub fn required_ports(self) -> &'static [u16] {
        match self {
            Self::Entry => &[7720, 8161, 8166, 8167],
            Self::Agent => &[7720, 8166],
        }
    }
}

/// Whether `is_met` holds within the time of a wait.
pub fn poll(mut is_met: impl FnMut() -> bool) -> bool {
    (0..MAX_POLLS).any(|_| {
        std::thread::sleep(POLL_INTERVAL);
        is_met()
    })
}

/// Machine with at most one process; dropping it ends the process.
#[derive(Debug)]
pub struct StartMachine {
    role: DaemonRole,
    ip: String,
    /// Values that the template is rendered with.
    pub fields: Value,
    /// Value of the variable with the address of the store, if it is set.
    pub store: Option<&'static str>,
    directory: PathBuf,
    process: Option<PlatformProcess>,
}

impl StartMachine {
    pub fn new(role: DaemonRole) -> Self {
        let count = MACHINE_COUNT.fetch_add(1, Ordering::SeqCst);
        let [.., second, third] = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{third}.{}", second | 0x10, 10 + count);
        let directory = format!("parsleyspool-startup-{}-{count}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        std::fs::create_dir_all(&directory).expect("a directory can be made");
        Self { role, fields: machine_fields(&ip), ip, store: None, directory, process: None }
    }

    /// Settings with the present values.
    pub fn settings(&self) -> String {
        let template = match self.role {
            DaemonRole::Entry => ENTRY_TEMPLATE,
            DaemonRole::Agent => AGENT_TEMPLATE,
        };
        render(template, &self.fields)
    }

    /// Writes `settings` to the settings file.
    pub fn write(&self, settings: &str) {
        write_settings(&self.directory, self.role.name(), settings);
    }

    /// Starts the process with the settings file as it is.
    pub fn start(&mut self, arguments: &[&str]) {
        let name = self.role.name();
        self.process = Some(PlatformProcess::spawn(ProcessStart {
            directory: &self.directory,
            role: name,
            name,
            settings_path: &self.directory.join(format!("{name}.yaml")),
            store: self.store,
            arguments,
        }));
    }

    /// Writes the settings with the present values, and starts the process.
    pub fn start_with_fields(&mut self, arguments: &[&str]) {
        self.write(&self.settings());
        self.start(arguments);
    }

    /// Occupies a port of the machine.
    pub fn occupy(&self, port: u16) -> TcpListener {
        TcpListener::bind(format!("{}:{port}", self.ip)).expect("the port is free")
    }

    /// Whether something listens at the port.
    pub fn accepts_at(&self, port: u16) -> bool {
        std::net::TcpStream::connect(format!("{}:{port}", self.ip)).is_ok()
    }

    /// Waits until the process serves.
    pub fn wait_up(&mut self) -> Result<(), String> {
        self.wait_line("event=listening")
    }

    /// Waits for a line of the log that contains `text`; fails if the process ends before.
    pub fn wait_line(&mut self, text: &str) -> Result<(), String> {
        let process = self.process.as_mut().expect("the process was started");
        for _ in 0..MAX_POLLS {
            // Read first, so that the last lines of an ended process count.
            let exit_status = process.exit_status();
            if process.log_lines().iter().any(|line| line.contains(text)) {
                return Ok(());
            }
            if let Some(status) = exit_status {
                return Err(format!("ended with {status}: {:?}", process.log_lines()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("no {text}: {:?}", process.log_lines()))
    }

    /// Waits until the process has ended; returns its exit code and its log.
    pub fn wait_end(&mut self) -> (i32, String) {
        let process = self.process.as_mut().expect("the process was started");
        for _ in 0..MAX_POLLS {
            if let Some(status) = process.exit_status() {
                let code = status.code().expect("no signal ends the process");
                return (code, process.log_lines().join("\n"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the process runs on: {:?}", process.log_lines());
    }

    /// Sends SIGHUP to the process.
    pub fn hang_up(&mut self) {
        self.process.as_mut().expect("the process was started").hang_up();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&mut self) {
        self.process.as_mut().expect("the process was started").terminate();
    }
}

impl Drop for StartMachine {
    fn drop(&mut self) {
        self.process = None;
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
