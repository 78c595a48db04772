//! Commands that need no running process: help, reference tables, checks and the questionnaire.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

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

const COMMANDS: [&[&str]; 20] = [
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
