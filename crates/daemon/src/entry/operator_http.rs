//! HTTP routes for operators: configuration, status, changes, and the routes of every process.

use super::EntryShared;
use super::actor::EntryActor;
use super::queries::{QueryChange, QueryConfig, QueryStatusPage};
use crate::http::{HttpReply, MAX_OPERATOR_BODY_BYTES, error_reply, json_reply, sized_body};
use crate::process_http::{self, ProcessContext};
use bytes::Bytes;
use parsleyspool_core::config::{ApplyOutcome, ChangeRecord, ConfigRecord};
use parsleyspool_core::id::ChangeId;
use parsleyspool_wire::operator::{ChangeBody, ChangeOutcomeBody};
use parsleyspool_wire::record::{CONFIG_STREAM, encode_config};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use warp::http::StatusCode;
use warp::{Filter, Rejection};
use xtra::Address;

/// Longest time to wait until a change has been read back from the log and decided.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two queries of the outcome of a change.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of appends of one change while its outcome is unknown.
const MAX_CHANGE_APPENDS: u32 = 3;

/// Builds the routes for operators.
pub(crate) fn routes(
    address: Address<EntryActor>,
    shared: &Arc<EntryShared>,
) -> impl Filter<Extract = (HttpReply,), Error = Rejection> + Clone + use<> {
    let config_actor = address.clone();
    let config = warp::path!("v1" / "config").and(warp::get()).then(move || {
        let address = config_actor.clone();
        async move { query_reply(address.send(QueryConfig).await) }
    });
    let status_actor = address.clone();
    let status = warp::path!("v1" / "status").and(warp::get()).then(move || {
        let address = status_actor.clone();
        async move { query_reply(address.send(QueryStatusPage).await) }
    });
    let change_shared = shared.clone();
    let changes = warp::path!("v1" / "changes")
        .and(warp::post())
        .and(sized_body(MAX_OPERATOR_BODY_BYTES))
        .then(move |body| submit_change(body, address.clone(), change_shared.clone()));
    let context = ProcessContext {
        name: shared.settings.name.clone(),
        role: "entry",
        domain: shared.settings.domain.clone(),
        worker: String::new(),
        recorder: shared.recorder.clone(),
        metrics: shared.metrics.clone(),
        log_control: shared.log_control.clone(),
    };
    config.or(status).unify().or(changes).unify().or(process_http::routes(context)).unify()
}

fn query_reply<T: serde::Serialize>(result: Result<T, xtra::Error>) -> HttpReply {
    match result {
        Ok(body) => json_reply(StatusCode::OK, &body),
        Err(_) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "the entry has stopped"),
    }
}

async fn submit_change(
    body: Bytes,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) -> HttpReply {
    let record = serde_json::from_slice::<ChangeBody>(&body)
        .map_err(|error| error.to_string())
        .and_then(|body| ChangeRecord::try_from(body).map_err(|error| error.to_string()));
    let record = match record {
        Ok(record) => record,
        Err(text) => return error_reply(StatusCode::BAD_REQUEST, &text),
    };
    let id = record.id;
    let bytes = match encode_config(&ConfigRecord::Change(record)) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => return error_reply(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
    };
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut outcome = query_change(&address, id).await;
    for _ in 0..MAX_CHANGE_APPENDS {
        if outcome != ChangeOutcomeBody::Unknown || Instant::now() >= deadline {
            break;
        }
        let append = shared.interfaces.log.append(CONFIG_STREAM, bytes.clone()).await;
        let wait = if append.is_ok() { CHANGE_TIMEOUT } else { CHANGE_POLL_INTERVAL };
        outcome =
            wait_for_outcome(&address, &shared, id, deadline.min(Instant::now() + wait)).await;
    }
    json_reply(StatusCode::OK, &outcome)
}

/// Waits until the change is accepted or rejected, at most until `deadline`.
async fn wait_for_outcome(
    address: &Address<EntryActor>,
    shared: &EntryShared,
    id: ChangeId,
    deadline: Instant,
) -> ChangeOutcomeBody {
    loop {
        let outcome = query_change(address, id).await;
        let is_decided = matches!(
            outcome,
            ChangeOutcomeBody::Accepted { .. } | ChangeOutcomeBody::Rejected { .. }
        );
        if is_decided || Instant::now() >= deadline {
            return outcome;
        }
        if matches!(outcome, ChangeOutcomeBody::Unconfirmed { .. }) {
            shared.peer_poll_wakeup.notify_waiters();
        }
        tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
    }
}

async fn query_change(address: &Address<EntryActor>, id: ChangeId) -> ChangeOutcomeBody {
    let Ok(state) = address.send(QueryChange(id)).await else {
        return ChangeOutcomeBody::Unknown;
    };
    match state.outcome {
        Some(ApplyOutcome::Accepted { version }) if state.is_held_by_majority => {
            ChangeOutcomeBody::Accepted { version }
        }
        Some(ApplyOutcome::Accepted { version }) => ChangeOutcomeBody::Unconfirmed { version },
        Some(ApplyOutcome::Rejected { current }) => ChangeOutcomeBody::Rejected { current },
        _ => ChangeOutcomeBody::Unknown,
    }
}
