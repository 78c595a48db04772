//! Starts processes of the `parsleyspool` program, signals them by their ids and waits for their
//! exit.

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Lines, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_parsleyspool");

/// Lines of a process's stdout that have not been read yet.
pub type UnreadLines = Lines<BufReader<ChildStdout>>;

/// Starts a process and returns it with its log line `event=listening`.
///
/// The lines after it are appended to the file `{name}.log` in `directory`.
pub fn start(directory: &Path, role: &str, name: &str, settings: &str) -> (Child, String) {
    let (child, listening, lines) = start_unread(directory, role, name, settings);
    let log =
        OpenOptions::new().create(true).append(true).open(directory.join(format!("{name}.log")));
    let mut log = log.expect("the log file can be opened");
    std::thread::spawn(move || {
        // A write may fail, because the directory may be removed before the process ends.
        lines.map_while(Result::ok).try_for_each(|line| writeln!(log, "{line}"))
    });
    (child, listening)
}

/// Starts a process and reads none of its log lines after `event=listening`.
pub fn start_unread(
    directory: &Path,
    role: &str,
    name: &str,
    settings: &str,
) -> (Child, String, UnreadLines) {
    let path = directory.join(format!("{name}.yaml"));
    std::fs::write(&path, settings).expect("settings can be written");
    let mut command = Command::new(PROGRAM);
    command.arg(role).arg("--settings").arg(&path);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let is_listening = |line: &String| line.contains("event=listening");
    let listening = lines.by_ref().map_while(Result::ok).find(is_listening);
    let listening = listening.expect("the process logs its listen addresses");
    (child, listening, lines)
}

/// Address in the field `key` of a log line.
pub fn address_in(line: &str, key: &str) -> SocketAddr {
    let fields = line.split_whitespace().filter_map(|field| field.split_once('='));
    let value = fields.filter(|(name, _)| *name == key).map(|(_, value)| value).next();
    value.and_then(|value| value.trim_matches('"').parse().ok()).expect("an address")
}

/// Sends the signal `name` to a process that this test has started.
pub fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    assert!(status.expect("kill runs").success());
}

/// Waits for a process to exit and returns its exit code.
pub async fn wait_exit(child: Child) -> Option<i32> {
    let mut child = child;
    tokio::task::spawn_blocking(move || child.wait().ok()?.code()).await.expect("no panic")
}
