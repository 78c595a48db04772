//! Commands that need no running process: help, reference tables, checks and the questionnaire.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleyspool"));
    command.args(arguments).env_remove("PARSLEYSPOOL_ENTRIES").env_remove("PARSLEYSPOOL_LOG");
    command.env("USER", "operator").env("COLUMNS", "80").current_dir(workspace_root());
    command.output().expect("the program runs")
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("a workspace")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the output is text")
}

const COMMANDS: [&[&str]; 21] = [
    &[],
    &["entry"],
    &["agent"],
    &["check"],
    &["reference"],
    &["questionnaire"],
    &["questionnaire", "generate"],
    &["service"],
    &["service", "request"],
    &["quota"],
    &["domain"],
    &["domain", "out"],
    &["server"],
    &["electorate"],
    &["apply"],
    &["config"],
    &["config", "check"],
    &["status"],
    &["timeline"],
    &["refusals"],
    &["log-level"],
];

#[test]
fn help_fits_into_80_columns_and_says_what_each_command_does() {
    for command in COMMANDS {
        let output = run(&[command, &["--help"]].concat());
        let help = text(&output.stdout);
        assert!(output.status.success(), "{command:?}");
        assert!(help.lines().all(|line| line.chars().count() <= 80), "{command:?}\n{help}");
    }
    insta::assert_snapshot!(text(&run(&["--help"]).stdout));
}

#[test]
fn the_documentation_holds_the_reference_tables() {
    let pages = [
        ("settings", "docs/SETTINGS.md"),
        ("errors", "docs/ERRORS.md"),
        ("metrics", "docs/METRICS.md"),
        ("exit-codes", "docs/COMMANDS.md"),
    ];

    for (table, page) in pages {
        let printed = text(&run(&["reference", table]).stdout);
        let page_text =
            std::fs::read_to_string(workspace_root().join(page)).expect("the page is there");
        assert!(printed.lines().count() > 2);
        assert!(page_text.contains(&printed), "{page} lacks the table of `reference {table}`");
    }
}

#[test]
fn invalid_settings_give_their_exit_code_with_file_line_and_key() {
    let directory = std::env::temp_dir().join(format!("parsleyspool-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory can be made");
    let path = directory.join("entry.yaml");
    let settings = "entry:\n  name: e\n  domain: d\n  listen:\n    callers: 127.0.0.1:1\n    \
                    peers: 127.0.0.1:1\n  log:\n    url: http://127.0.0.1:2\n";
    std::fs::write(&path, settings).expect("a file can be written");

    let output = run(&["check", &path.display().to_string()]);

    let expected = "entry.yaml:6: entry.listen.peers: must differ from entry.listen.callers";
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains(expected), "{}", text(&output.stderr));
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
}

#[test]
fn both_deployments_are_generated_explained_and_valid() {
    for name in ["prizeleaf", "registro"] {
        let directory =
            std::env::temp_dir().join(format!("parsleyspool-{name}-{}", std::process::id()));
        let answers = format!("deployments/{name}.answers.yaml");
        let out = directory.display().to_string();

        let output = run(&["questionnaire", "generate", &answers, "--out", &out]);
        let files = std::fs::read_dir(&directory).expect("files were written");
        let files = files.map(|file| file.expect("a file").path().display().to_string());
        let files: Vec<String> = files.filter(|file| !file.ends_with("changes.yaml")).collect();
        let mut arguments = vec!["check"];
        arguments.extend(files.iter().map(String::as_str));
        let checked = run(&arguments);

        assert!(output.status.success(), "{}", text(&output.stderr));
        assert_eq!(files.len(), 13);
        assert!(checked.status.success(), "{}", text(&checked.stderr));
        let explained = text(&output.stdout).replace(&out, "DIRECTORY");
        insta::assert_snapshot!(name, explained);
        std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    }
}

#[test]
fn every_fault_of_the_answers_is_listed_with_place_and_fix() {
    let answers =
        std::fs::read_to_string(workspace_root().join("deployments/prizeleaf.answers.yaml"));
    let answers = answers.expect("the answers are there");
    let answers = answers
        .replace("retention: 1h", "retention: 5m")
        .replace("domain: bc-valley", "domain: bc-valy")
        .replace("run_time: 80ms", "run_time: 80s")
        .replace("services: [tokens]", "services: [tokens, coupons]");
    let path = std::env::temp_dir().join(format!("parsleyspool-{}.yaml", std::process::id()));
    std::fs::write(&path, answers).expect("a file can be written");

    let output = run(&["questionnaire", "check", &path.display().to_string()]);

    assert_eq!(output.status.code(), Some(3));
    let faults = text(&output.stderr).replace(&path.display().to_string(), "FILE");
    insta::assert_snapshot!(faults);
    std::fs::remove_file(&path).expect("the file can be removed");
}

#[test]
fn the_interview_repeats_a_question_after_an_invalid_answer_and_writes_the_answers() {
    let path = std::env::temp_dir().join(format!("parsleyspool-ask-{}.yaml", std::process::id()));
    let lines = [
        "harbour",
        "speed",
        "",
        "many",
        "200",
        "",
        "",
        "north",
        "names",
        "5s",
        "check 100ms idempotent",
        "release 200ms non-idempotent",
        "",
        "",
        "entry-1 north 127.0.0.1:7001 127.0.0.1:7002",
        "",
        "runner-1 north w1 127.0.0.1:7003 http://127.0.0.1:7004 8 60 names",
        "",
        "",
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleyspool"));
    command.args(["questionnaire", "ask"]).arg(&path);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());

    let mut child = command.spawn().expect("the program runs");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(lines.join("\n").as_bytes()).expect("the program reads its input");
    drop(input);
    let output = child.wait_with_output().expect("the program ends");

    assert!(output.status.success(), "{}", text(&output.stderr));
    let asked = text(&output.stdout).replace(&path.display().to_string(), "FILE");
    let written = std::fs::read_to_string(&path).expect("the answers were written");
    insta::assert_snapshot!(format!("{asked}---\n{written}"));
    std::fs::remove_file(&path).expect("the file can be removed");
}

#[test]
fn an_unreachable_entry_gives_its_exit_code() {
    let output = run(&["--entry-at", "127.0.0.1:1", "config"]);

    assert_eq!(output.status.code(), Some(4));
    assert!(text(&output.stderr).starts_with("parsleyspool: a process could not be reached"));
}

const CONFIGURATION: &str = r#"{"version": 7, "services": {"tokens": {"team": "harbour",
    "deadline": "10s", "requests": {"redeem": {"idempotent": false, "run_time": "150ms"}}}},
    "quotas": {"harbour": {"tasks_in_flight": 100}}, "domains": {"north": "in_service"},
    "leaving": [], "electorate": ["e1"], "subjects": {}}"#;

/// Stand-in for an entry that answers every request from `CONFIGURATION`, and the first line of
/// each request that it received.
fn entry_stand_in() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound address");
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let lines = BufReader::new(&stream).lines().map(|line| line.expect("a line"));
            let lines: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
            let process = r#"{"name": "s1", "role": "agent", "address": "", "domain": "south",
                "worker": "", "state": "up", "version": 7, "heard_ms": 0, "load": 0, "slots": 8}"#;
            let body = if lines[0].contains("/v1/config") {
                format!(
                    r#"{{"entry": "e1", "freshness": "confirmed", "configuration": {CONFIGURATION}}}"#
                )
            } else {
                format!(
                    r#"{{"name": "e1", "role": "entry", "life": "serving", "version": 7, "queued": 0,
                    "freshness": "confirmed", "jobs": 0, "processes": [{process}]}}"#
                )
            };
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close");
            write!(stream, "{head}\r\n\r\n{body}").expect("an answer can be sent");
            if sender.send(lines[0].clone()).is_err() {
                break;
            }
        }
    });
    (address, requests)
}

/// Guards against a check that sends more than reads, and against a wrong text, JSON or exit code
/// for each outcome: nothing found, warnings, errors and an unreadable file.
#[test]
fn a_configuration_is_checked_and_compared_without_sending_a_change() {
    let directory = std::env::temp_dir().join(format!("parsleyspool-cfg-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory can be made");
    let write = |name: &str, content: &str| {
        let path = directory.join(name).display().to_string();
        std::fs::write(&path, content).expect("a file can be written");
        path
    };
    let base = write("base.json", CONFIGURATION);
    let changes = "- put_service:\n    name: tokens\n    spec:\n      team: harbour\n      \
                   deadline: 100ms\n      requests:\n        redeem: {idempotent: false, \
                   run_time: 150ms, attempts: 3}\n";
    let warned = write("warned.yaml", changes);
    let domain = "- order_domain: {domain: east, order: out_of_service}\n";
    let wrong = write("wrong.yaml", &(changes.replace("100ms", "0s") + domain));
    let unreadable = write("unreadable.yaml", &changes.replace("run_time", "runtime"));
    let (address, requests) = entry_stand_in();
    let address = address.to_string();

    let outputs = [
        run(&["config", "check", &base]),
        run(&["config", "check", &warned, "--against", &base]),
        run(&["config", "check", &wrong, "--entry", &address]),
        run(&["config", "check", &unreadable, "--json"]),
    ];

    let codes = outputs.each_ref().map(|output| output.status.code());
    assert_eq!(codes, [Some(0), Some(9), Some(3), Some(3)]);
    let printed = outputs.map(|output| text(&output.stdout)).join("---\n");
    insta::assert_snapshot!(printed.replace(&directory.display().to_string(), "DIRECTORY"));
    let received: Vec<String> = requests.try_iter().collect();
    assert_eq!(received, ["GET /v1/status HTTP/1.1", "GET /v1/config HTTP/1.1"]);
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
}
