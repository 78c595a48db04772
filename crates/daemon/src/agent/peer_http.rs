//! HTTP routes for entries and operators.

use super::AgentShared;
use super::actor::{
    AgentActor, HandleEvent, QueryLoad, QueryStatusPage, QueryTaskStatus, StartTask,
};
use crate::http::{
    HttpReply, decode_envelope, error_reply, handle_rejection, json_reply, message_body,
    message_reply,
};
use crate::peer_client::STATUS_QUERY_HOLD;
use crate::process_http::{self, ProcessContext};
use bytes::Bytes;
use parsleyspool_core::agent::AgentEvent;
use parsleyspool_core::entry::TaskReply;
use parsleyspool_core::id::EntryName;
use parsleyspool_wire::peer::{
    CancelMessage, Envelope, StartMessage, StatusQueryMessage, TaskReplyMessage,
};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::oneshot;
use warp::http::StatusCode;
use warp::{Filter, Rejection, Reply};
use xtra::Address;

/// Builds the routes for entries and operators.
pub(crate) fn routes(
    address: Address<AgentActor>,
    shared: &Arc<AgentShared>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible> + Clone + use<> {
    let (actor, shared_state) = (address.clone(), shared.clone());
    let start = warp::path!("peer" / "start")
        .and(warp::post())
        .and(message_body())
        .then(move |body| handle_start(body, actor.clone(), shared_state.clone()));
    let (actor, shared_state) = (address.clone(), shared.clone());
    let status_query = warp::path!("peer" / "ask")
        .and(warp::post())
        .and(message_body())
        .then(move |body| handle_status_query(body, actor.clone(), shared_state.clone()));
    let (actor, shared_state) = (address.clone(), shared.clone());
    let cancel = warp::path!("peer" / "cancel")
        .and(warp::post())
        .and(message_body())
        .then(move |body| handle_cancel(body, actor.clone(), shared_state.clone()));
    let tasks = start.or(status_query).unify().or(cancel).unify();
    tasks.or(operator_routes(address, shared)).unify().recover(handle_rejection)
}

fn operator_routes(
    address: Address<AgentActor>,
    shared: &Arc<AgentShared>,
) -> impl Filter<Extract = (HttpReply,), Error = Rejection> + Clone + use<> {
    let status = warp::path!("v1" / "status").and(warp::get()).then(move || {
        let address = address.clone();
        async move {
            match address.send(QueryStatusPage).await {
                Ok(body) => json_reply(StatusCode::OK, &body),
                Err(_) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped"),
            }
        }
    });
    let context = ProcessContext {
        name: shared.settings.name.clone(),
        role: "agent",
        domain: shared.settings.domain.clone(),
        worker: shared.settings.worker.clone(),
        recorder: shared.recorder.clone(),
        metrics: shared.metrics.clone(),
        log_control: shared.log_control.clone(),
    };
    status.or(process_http::routes(context)).unify()
}

async fn handle_start(
    body: Bytes,
    address: Address<AgentActor>,
    shared: Arc<AgentShared>,
) -> HttpReply {
    let envelope = match decode_envelope::<StartMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    let entry = envelope.body.entry.as_str().into();
    let (sender, receiver) = oneshot::channel();
    let start = StartTask { entry, request: envelope.body.into(), sender };
    if address.send(start).await.is_err() {
        return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped");
    }
    match receiver.await {
        Ok(reply) => message_reply(&Envelope::new(shared.recorder.stamp(), reply)),
        Err(_) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped"),
    }
}

async fn handle_status_query(
    body: Bytes,
    address: Address<AgentActor>,
    shared: Arc<AgentShared>,
) -> HttpReply {
    let envelope = match decode_envelope::<StatusQueryMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    let entry: EntryName = envelope.body.entry.as_str().into();
    let (sender, receiver) = oneshot::channel();
    if address.send(QueryTaskStatus { query: envelope.body, sender }).await.is_err() {
        return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped");
    }
    let reply = match tokio::time::timeout(STATUS_QUERY_HOLD, receiver).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            let load = address.send(QueryLoad(entry)).await.ok();
            load.map(|load| TaskReplyMessage::new(TaskReply::Pending, load))
        }
    };
    let Some(reply) = reply else {
        return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped");
    };
    message_reply(&Envelope::new(shared.recorder.stamp(), reply))
}

async fn handle_cancel(
    body: Bytes,
    address: Address<AgentActor>,
    shared: Arc<AgentShared>,
) -> HttpReply {
    let envelope = match decode_envelope::<CancelMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    for task in envelope.body.tasks {
        let event = AgentEvent::Cancel { task: task.into() };
        let _ = address.send(HandleEvent(event)).await;
    }
    message_reply(&Envelope::new(shared.recorder.stamp(), ()))
}
