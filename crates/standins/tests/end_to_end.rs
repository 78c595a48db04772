//! End-to-end tests: requests pass through all roles over real sockets, in one process.

use futures_util::FutureExt;
use parsleyspool_core::job::JobRequest;
use parsleyspool_standins::embedded::{ClusterOptions, EmbeddedCluster};
use parsleyspool_standins::proxy::{LinkDirection, LinkProxy};
use parsleyspool_wire::caller::{AnswerBody, ErrorBody, SubmitBody, TaskBody};
use parsleyspool_wire::config::{ChangeWire, RequestWire, ServiceWire};
use parsleyspool_wire::operator::{ChangeOutcomeBody, TimelineBody};
use parsleyspool_wire::record::{AuditLogStepWire, RefusalRecordWire, decode_audit_log};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time in which an entry notices that callers have left.
const NOTICE_TIME: Duration = Duration::from_secs(1);

fn put_token_service() -> ChangeWire {
    let rule = |idempotent| RequestWire::new(idempotent, Duration::from_millis(20), 1);
    let requests =
        BTreeMap::from([("balance".to_owned(), rule(true)), ("redeem".to_owned(), rule(false))]);
    let deadline = Duration::from_secs(5);
    let spec = ServiceWire { team: "prizeleaf".to_owned(), deadline, requests };
    ChangeWire::PutService { name: "tokens".to_owned(), spec }
}

fn job(name: &str, request: &str, tasks: usize) -> SubmitBody {
    let task = |index| TaskBody { request: request.to_owned(), payload: format!("5ms t{index}") };
    SubmitBody {
        job: name.to_owned(),
        team: "prizeleaf".to_owned(),
        service: "tokens".to_owned(),
        deadline_ms: None,
        created_at_ms: None,
        tasks: (0..tasks).map(task).collect(),
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past the epoch");
    u64::try_from(now.as_millis()).expect("the time fits")
}

async fn ready_cluster() -> EmbeddedCluster {
    let options = ClusterOptions::small(vec!["tokens".to_owned()]);
    let cluster = EmbeddedCluster::start(&options).await.expect("the cluster starts");
    let outcome = cluster.apply_change(put_token_service(), 0).await.expect("the entry answers");
    assert!(matches!(outcome, ChangeOutcomeBody::Accepted { .. }), "{outcome:?}");
    cluster.wait_until_ready(3).await.expect("the servers announce themselves");
    cluster
}

async fn submit(cluster: &EmbeddedCluster, job: &SubmitBody) -> (u16, Vec<u8>) {
    let request = cluster.client().post(cluster.caller_url(0)).json(job);
    let response = request.send().await.expect("the entry answers");
    let status = response.status().as_u16();
    (status, response.bytes().await.expect("the body is complete").to_vec())
}

#[tokio::test]
async fn a_job_is_answered_completely_and_in_order() {
    let cluster = ready_cluster().await;

    let (status, body) = submit(&cluster, &job("many", "balance", 40)).await;

    assert_eq!(status, 200);
    let body: AnswerBody = serde_json::from_slice(&body).expect("an answer");
    let expected: Vec<String> = (0..40).map(|index| format!("done 5ms t{index}")).collect();
    assert_eq!(body.answers, expected);
    let starts = cluster.backends.iter().flat_map(|backend| backend.starts());
    assert!(starts.into_iter().all(|(_, count)| count == 1));
    cluster.shut_down();
}

#[tokio::test]
async fn a_refusal_states_its_kind_and_that_nothing_ran() {
    let cluster = ready_cluster().await;

    let (status, body) = submit(&cluster, &job("unknown", "withdraw", 1)).await;

    assert_eq!(status, 404);
    let body: ErrorBody = serde_json::from_slice(&body).expect("a refusal");
    assert_eq!((body.kind.as_str(), body.not_run), ("unknown_request", true));
    assert!(cluster.backends.iter().all(|backend| backend.starts().is_empty()));
    cluster.shut_down();
}

#[tokio::test]
async fn a_resubmitted_non_idempotent_request_runs_once() {
    let cluster = ready_cluster().await;
    let redemption = SubmitBody { created_at_ms: Some(now_ms()), ..job("redeem-1", "redeem", 1) };

    let first = submit(&cluster, &redemption).await;
    let second = submit(&cluster, &redemption).await;

    assert_eq!(first.0, 200, "{}", String::from_utf8_lossy(&first.1));
    assert_eq!(first, second);
    let starts: u32 =
        cluster.backends.iter().flat_map(|backend| backend.starts()).map(|(_, count)| count).sum();
    assert_eq!(starts, 1);
    cluster.shut_down();
}

async fn send_for_status(request: reqwest::RequestBuilder) -> u16 {
    request.send().await.expect("the process answers").status().as_u16()
}

#[tokio::test]
async fn malformed_input_on_every_interface_is_rejected_and_the_processes_keep_running() {
    let cluster = ready_cluster().await;
    let client = cluster.client();
    let peers = cluster.operator_url(0, "");
    let agent = format!("http://{}", cluster.agents[0].components.address());
    let huge = "x".repeat(2 << 20);
    cluster.log.append("config", "no record".into()).await.expect("the log accepts any bytes");
    cluster.log.append("claims", "no record".into()).await.expect("the log accepts any bytes");
    cluster.log.append("members", "no record".into()).await.expect("the log accepts any bytes");

    let statuses = [
        send_for_status(client.post(cluster.caller_url(0)).body("no json")).await,
        send_for_status(client.post(cluster.caller_url(0)).body(huge)).await,
        send_for_status(client.get(cluster.caller_url(0))).await,
        send_for_status(client.post(format!("{peers}/peer/heartbeat")).body("no message")).await,
        send_for_status(client.post(format!("{peers}/peer/state")).body("no message")).await,
        send_for_status(client.post(format!("{peers}/v1/changes")).body("{}")).await,
        send_for_status(client.put(format!("{peers}/v1/log-level")).body("{}")).await,
        send_for_status(client.post(format!("{agent}/peer/start")).body("no message")).await,
        send_for_status(client.post(format!("{agent}/peer/ask")).body("no message")).await,
        send_for_status(client.post(format!("{agent}/peer/cancel")).body("no message")).await,
        send_for_status(client.get(format!("{agent}/nowhere"))).await,
    ];
    let (status, _) = submit(&cluster, &job("after", "balance", 3)).await;

    assert_eq!(statuses, [400, 413, 405, 400, 400, 400, 400, 400, 400, 400, 404]);
    assert_eq!(status, 200);
    cluster.shut_down();
}

#[tokio::test]
async fn answer_refusal_record_metric_and_timeline_agree_on_a_refusal() {
    let cluster = ready_cluster().await;

    let (_, body) = submit(&cluster, &job("unknown", "withdraw", 1)).await;

    let answer: ErrorBody = serde_json::from_slice(&body).expect("a refusal");
    let refusal = first_refusal_record(&cluster).await;
    let metrics = get_text(&cluster, "/metrics").await;
    let timeline: TimelineBody =
        serde_json::from_str(&get_text(&cluster, "/v1/timeline").await).expect("a timeline");
    let event = timeline.events.iter().find(|event| event.event == "job_refused");
    let event = event.expect("an event for the refusal");
    assert_eq!((&refusal.kind, refusal.not_run), (&answer.kind, answer.not_run));
    assert_eq!(refusal.submission, answer.submission);
    assert_eq!(refusal.config_version, answer.config_version);
    assert!(metrics.contains("parsleyspool_answers_total{kind=\"unknown_request\"} 1"));
    assert_eq!(event.submission.as_ref(), Some(&answer.submission));
    let (age, other_fields) = event.fields.split_last().expect("the event has fields");
    assert_eq!(other_fields, ["kind=unknown_request", "not_run=true", "servers=3"]);
    assert!(age.starts_with("report_age_ms="), "{age}");
    cluster.shut_down();
}

async fn get_text(cluster: &EmbeddedCluster, path: &str) -> String {
    let request = cluster.client().get(cluster.operator_url(0, path));
    request.send().await.expect("the entry answers").text().await.expect("a body")
}

async fn first_refusal_record(cluster: &EmbeddedCluster) -> RefusalRecordWire {
    let mut from = 0;
    loop {
        let wait = Duration::from_secs(1);
        let page =
            cluster.log.read("accounts", from, 10, wait).await.expect("the log is available");
        for (offset, bytes) in &page.records {
            from = offset + 1;
            let record = decode_audit_log(bytes).expect("a refusal record");
            if let AuditLogStepWire::Batch(mut batch) = record.step {
                return batch.remove(0);
            }
        }
    }
}

/// The proxy discards all bytes on the connections that an earlier job opened, without closing
/// them. The next job must still be answered, and none of its tasks may start twice.
#[tokio::test]
async fn a_job_is_answered_over_a_new_connection_when_the_open_ones_lose_all_bytes() {
    let proxy = LinkProxy::new();
    let options = ClusterOptions::small(vec!["tokens".to_owned()]);
    let mut cluster = EmbeddedCluster::start(&ClusterOptions { servers: 0, ..options.clone() })
        .await
        .expect("the cluster starts");
    cluster.apply_change(put_token_service(), 0).await.expect("the entry answers");
    cluster.add_proxied_server(&options, proxy.clone()).await.expect("the server starts");
    cluster.wait_until_ready(1).await.expect("the server announces itself");
    submit(&cluster, &job("before", "balance", 4)).await;

    proxy.discard_traffic(LinkDirection::Both);
    let (status, _) = submit(&cluster, &job("during", "balance", 4)).await;

    assert_eq!(status, 200);
    let starts = cluster.backends.iter().flat_map(|backend| backend.starts());
    assert!(starts.into_iter().all(|(_, count)| count == 1));
    cluster.shut_down();
}

#[tokio::test]
async fn cancelling_many_jobs_frees_their_slots() {
    let cluster = ready_cluster().await;
    let long = |number: usize| {
        let mut job = job(&format!("long-{number}"), "balance", 4);
        job.tasks.iter_mut().for_each(|task| task.payload = "9s t".to_owned());
        job
    };
    let calls = (0..30).map(|number| {
        let request = cluster.client().post(cluster.caller_url(0)).json(&long(number));
        tokio::spawn(request.send())
    });
    let calls: Vec<_> = calls.collect();
    while cluster.status(0).await.expect("the entry answers").jobs < 30 {
        tokio::task::yield_now().await;
    }

    calls.iter().for_each(tokio::task::JoinHandle::abort);
    while cluster.status(0).await.expect("the entry answers").jobs > 0 {
        tokio::task::yield_now().await;
    }
    let (status, _) = submit(&cluster, &job("after", "balance", 24)).await;

    assert_eq!(status, 200, "the slots are free again before the long tasks would end");
    assert_eq!(cluster.backends.iter().map(|backend| backend.stop_count()).sum::<u32>(), 24);
    cluster.shut_down();
}

/// Failure: the report that a caller has left overtakes its job, which then runs with nobody waiting
/// and is never cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_caller_left_before_its_admission_does_not_run() {
    let cluster = ready_cluster().await;
    let handle = cluster.entries[0].components.handle();
    let long = |number: usize| {
        let mut job = job(&format!("left-{number}"), "balance", 1);
        job.tasks[0].payload = "9s t".to_owned();
        JobRequest::try_from(job).expect("a valid job")
    };

    for number in 0..200 {
        let _ = handle.submit(long(number)).now_or_never();
    }
    tokio::time::sleep(NOTICE_TIME).await;

    assert_eq!(cluster.status(0).await.expect("the entry answers").jobs, 0);
    cluster.shut_down();
}
