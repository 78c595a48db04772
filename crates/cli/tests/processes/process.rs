//! Starts processes of the `parsleyspool` program, signals them by their ids and waits for their
//! exit.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{self, OpenOptions};
use std::io::{BufRead, BufReader, Lines, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_parsleyspool");

/// Lines of a process's stdout that have not been read yet.
pub type UnreadLines = Lines<BufReader<ChildStdout>>;

/// Starts a process and returns it with its log line `event=listening`.
///
/// The lines after it are appended to the file `{name}.log` in `directory`.
pub fn start(directory: &Path, role: &str, name: &str, settings: &str) -> (Child, String) {
    let (child, listening, lines) = start_unread(directory, role, name, settings);
    let mut log = open_appended(&directory.join(format!("{name}.log")));
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
    let errors = open_appended(&directory.join(format!("{name}.err")));
    command.stdout(Stdio::piped()).stderr(errors);
    let mut child = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let is_listening = |line: &String| line.contains("event=listening");
    let listening = lines.by_ref().map_while(Result::ok).find(is_listening);
    let listening = listening.expect("the process logs its listen addresses");
    (child, listening, lines)
}

fn open_appended(path: &Path) -> fs::File {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.expect("the file can be opened")
}

/// Last lines of the log and of the errors of the process `name`, for the report of a failure.
pub fn last_lines(directory: &Path, name: &str) -> String {
    let last_line = |kind: &str| {
        let text = fs::read_to_string(directory.join(format!("{name}.{kind}")));
        let text = text.unwrap_or_else(|error| error.to_string());
        format!("{kind}: {:?}", text.lines().last())
    };
    format!("{}, {}", last_line("log"), last_line("err"))
}

/// Address in the field `key` of a log line.
pub fn address_in(line: &str, key: &str) -> SocketAddr {
    let fields = line.split_whitespace().filter_map(|field| field.split_once('='));
    let value = fields.filter(|(name, _)| *name == key).map(|(_, value)| value).next();
    value.and_then(|value| value.trim_matches('"').parse().ok()).expect("an address")
}

/// Sends a signal to a process that this test has started; it is delivered when the function returns.
pub fn send_signal(child: &Child, signal: Signal) {
    let id = i32::try_from(child.id()).expect("a process id");
    kill(Pid::from_raw(id), signal).expect("the process is there");
}

/// Waits for a process to exit and returns how it ended: its exit code, or the signal that ended it.
pub async fn wait_exit(mut child: Child) -> ExitStatus {
    let wait = move || child.wait().expect("the process can be waited for");
    tokio::task::spawn_blocking(wait).await.expect("no panic")
}
