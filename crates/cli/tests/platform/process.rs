//! Process of the `parsleyspool` program that is ended by its handle.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_parsleyspool");
/// Variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "PARSLEYSPOOL_BOOT";
/// Variable with the address of the store, for agents.
const STORE_VARIABLE: &str = "PARSLEYSPOOL_STORE";

/// How a process is started.
#[derive(Debug, Clone, Copy)]
pub struct ProcessStart<'a> {
    /// Directory of the log.
    pub directory: &'a Path,
    pub role: &'a str,
    pub name: &'a str,
    pub settings_path: &'a Path,
    /// Value of the variable with the address of the store, if it is set.
    pub store: Option<&'a str>,
    /// Further arguments of the program.
    pub arguments: &'a [&'a str],
}

/// Running entry or agent; dropping it kills the process.
#[derive(Debug)]
pub struct PlatformProcess {
    #[allow(dead_code, reason = "the target `inbound` does not use it")]
    pub name: String,
    log: PathBuf,
    child: Child,
}

impl PlatformProcess {
    /// Starts a process that writes its log to a file in `directory`, with the store at `store` in its
    /// environment.
    #[allow(dead_code, reason = "the target `startup` does not use it")]
    pub fn start(
        directory: &Path,
        role: &str,
        name: &str,
        settings: &str,
        store: Option<SocketAddr>,
    ) -> Self {
        let settings_path = write_settings(directory, name, settings);
        let store = store.map(|store| store.to_string());
        Self::spawn(ProcessStart {
            directory,
            role,
            name,
            settings_path: &settings_path,
            store: store.as_deref(),
            arguments: &[],
        })
    }

    /// Starts a process that writes its log and its errors to a file.
    pub fn spawn(start: ProcessStart<'_>) -> Self {
        let log = start.directory.join(format!("{}.log", start.name));
        let output = File::create(&log).expect("the log file can be created");
        let errors = output.try_clone().expect("the log file can be shared");
        let mut command = Command::new(PROGRAM);
        command.args(["platform", start.role]).args(start.arguments);
        command.env(SETTINGS_VARIABLE, start.settings_path);
        command.envs(start.store.map(|store| (STORE_VARIABLE, store)));
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = command.spawn().expect("the program starts");
        Self { name: start.name.to_owned(), log, child }
    }

    /// Lines of its log so far.
    pub fn log_lines(&self) -> Vec<String> {
        let log = fs::read_to_string(&self.log).expect("the log can be read");
        log.lines().map(str::to_owned).collect()
    }

    /// Id of the process.
    #[allow(dead_code, reason = "only the target `inbound` uses it")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGHUP, unless the process has ended.
    #[allow(dead_code, reason = "the target `inbound` does not use it")]
    pub fn hang_up(&mut self) {
        self.signal("-HUP");
    }

    /// Sends SIGTERM, unless the process has ended.
    #[allow(dead_code, reason = "only the target `startup` uses it")]
    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    #[allow(dead_code, reason = "the target `inbound` does not use it")]
    fn signal(&mut self, name: &str) {
        if self.is_running() {
            let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
            assert!(status.expect("kill runs").success());
        }
    }

    /// Exit code or signal once the process has ended; `None` while it runs.
    #[allow(dead_code, reason = "the target `inbound` does not use it")]
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process can be waited for")
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }
}

/// Writes the settings file of the process `name`, and returns its path.
pub fn write_settings(directory: &Path, name: &str, settings: &str) -> PathBuf {
    let path = directory.join(format!("{name}.yaml"));
    fs::write(&path, settings).expect("settings can be written");
    path
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
