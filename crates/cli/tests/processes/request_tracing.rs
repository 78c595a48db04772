//! Tests that the log lines of all processes lead from the name of a job to the cause of its
//! outcome, and that an entry serves while nobody reads its log lines.

use crate::caller::{CallerReply, incomplete_replies};
use crate::deployment::Deployment;
use futures_util::future::join_all;
use parsleyspool_standins::backend::BackendModel;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time for which the log lines of a process are not read.
const UNREAD_TIME: Duration = Duration::from_secs(10);

/// Value of the field `key` in a log line, without quotes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let found = line.split_once(&format!("{key}="))?.1;
    Some(found.split([' ', '"']).find(|word| !word.is_empty()).unwrap_or_default())
}

/// Log lines of all processes that belong to the submission of the job.
async fn lines_of(deployment: &Deployment, job: &str) -> Vec<String> {
    // The lines pass through a pipe to a thread that writes them to files.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = deployment.lines();
    let admitted = lines.iter().find(|line| field(line, "subject") == Some(job));
    let submission = admitted.and_then(|line| field(line, "submission")).expect("a submission");
    lines.iter().filter(|line| field(line, "submission") == Some(submission)).cloned().collect()
}

fn events(lines: &[String]) -> Vec<&str> {
    lines.iter().filter_map(|line| field(line, "event")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lines_of_a_refused_job_show_the_error_kind() {
    let deployment = Deployment::start(1, 1).await;
    let mut job = deployment.redemption("till-7");
    job.created_at_ms = Some(1);

    deployment.submit(0, &job).await;

    let lines = lines_of(&deployment, "till-7").await;
    assert_eq!(events(&lines), ["job_refused", "answered"], "{lines:#?}");
    assert!(lines[0].contains("kind=request_key_expired"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lines_of_a_slow_job_show_the_server_and_its_run_time() {
    let deployment = Deployment::start(1, 1).await;
    let slow = BackendModel { slowdown: 30.0, ..BackendModel::default() };
    deployment.backends[0].set_model(slow);

    let reply = deployment.submit(0, &deployment.redemption("till-8")).await;

    assert!(reply.is_complete(), "{reply:?}");
    let lines = lines_of(&deployment, "till-8").await;
    let asked = lines.iter().find(|line| field(line, "event") == Some("task_asked"));
    assert_eq!(asked.and_then(|line| field(line, "subject")), Some("server-1"), "{lines:#?}");
    let running = lines.iter().find(|line| field(line, "event") == Some("agent_asked"));
    assert!(running.is_some_and(|line| line.contains("run_time_us=")), "{lines:#?}");
    let answered = lines.iter().find(|line| field(line, "event") == Some("answered"));
    assert_eq!(answered.and_then(|line| field(line, "answer")), Some("complete"), "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lines_of_a_failed_job_show_the_failed_run() {
    let deployment = Deployment::start(1, 1).await;
    let failing = BackendModel { fails_all: true, ..BackendModel::default() };
    deployment.backends[0].set_model(failing);

    deployment.submit(0, &deployment.redemption("till-9")).await;

    let lines = lines_of(&deployment, "till-9").await;
    let seen = events(&lines);
    for expected in ["job_admitted", "agent_finished", "task_faulted", "job_failed", "answered"] {
        assert!(seen.contains(&expected), "{expected} is missing: {lines:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_serves_while_its_log_lines_are_not_read() {
    let mut deployment = Deployment::start(1, 2).await;
    let entry = deployment.add_unread_entry().await;

    let is_over = Arc::new(AtomicBool::new(false));
    let calls: Vec<_> = (0..8).map(|_| deployment.submit_until(entry, &is_over)).collect();

    tokio::time::sleep(UNREAD_TIME).await;
    is_over.store(true, Ordering::SeqCst);

    let replies: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
    assert!(replies.iter().all(CallerReply::is_complete), "{:?}", incomplete_replies(&replies));
    // The log lines of more than 500 jobs exceed the capacity of the pipe.
    assert!(replies.len() > 500, "{} jobs", replies.len());
}
