//! The whole path of a request over real sockets, in one process.

use parsleyspool_standins::embedded::{EmbeddedShape, EmbeddedSystem};
use parsleyspool_wire::caller::{AnswerBody, ErrorBody, SubmitBody, TaskBody};
use parsleyspool_wire::operator::ChangeOutcomeBody;
use parsleyspool_wire::settings::{ChangeWire, RequestWire, ServiceWire};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn token_service() -> ChangeWire {
    let rule =
        |idempotent| RequestWire { idempotent, run_time: Duration::from_millis(20), slots: 1 };
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

async fn serving_system() -> EmbeddedSystem {
    let shape = EmbeddedShape::small(vec!["tokens".to_owned()]);
    let system = EmbeddedSystem::start(&shape).await.expect("the system starts");
    let outcome = system.change(token_service(), 0).await.expect("the entry answers");
    assert!(matches!(outcome, ChangeOutcomeBody::Accepted { .. }), "{outcome:?}");
    system.wait_ready(3).await.expect("the servers announce themselves");
    system
}

async fn submit(system: &EmbeddedSystem, job: &SubmitBody) -> (u16, Vec<u8>) {
    let request = system.client().post(system.caller_url(0)).json(job);
    let response = request.send().await.expect("the entry answers");
    let status = response.status().as_u16();
    (status, response.bytes().await.expect("the body is whole").to_vec())
}

#[tokio::test]
async fn a_job_is_answered_whole_and_in_order() {
    let system = serving_system().await;

    let (status, body) = submit(&system, &job("many", "balance", 40)).await;

    assert_eq!(status, 200);
    let body: AnswerBody = serde_json::from_slice(&body).expect("an answer");
    let expected: Vec<String> = (0..40).map(|index| format!("done 5ms t{index}")).collect();
    assert_eq!(body.answers, expected);
    let starts = system.backends.iter().flat_map(|backend| backend.starts());
    assert!(starts.into_iter().all(|(_, count)| count == 1));
    system.shut_down();
}

#[tokio::test]
async fn a_refusal_states_its_kind_and_that_nothing_ran() {
    let system = serving_system().await;

    let (status, body) = submit(&system, &job("unknown", "withdraw", 1)).await;

    assert_eq!(status, 404);
    let body: ErrorBody = serde_json::from_slice(&body).expect("a refusal");
    assert_eq!((body.kind.as_str(), body.not_run), ("unknown_request", true));
    assert!(system.backends.iter().all(|backend| backend.starts().is_empty()));
    system.shut_down();
}

#[tokio::test]
async fn a_non_idempotent_request_runs_once_over_resubmissions() {
    let system = serving_system().await;
    let redemption = SubmitBody { created_at_ms: Some(now_ms()), ..job("redeem-1", "redeem", 1) };

    let first = submit(&system, &redemption).await;
    let second = submit(&system, &redemption).await;

    assert_eq!(first.0, 200, "{}", String::from_utf8_lossy(&first.1));
    assert_eq!(first, second);
    let starts: u32 =
        system.backends.iter().flat_map(|backend| backend.starts()).map(|(_, count)| count).sum();
    assert_eq!(starts, 1);
    system.shut_down();
}
