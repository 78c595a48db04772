//! HTTP of an agent.

use super::AgentShared;
use super::actor::{AgentActor, AskTask, DecideAgent, QueryAgent, StartTask};
use crate::exchange::ASK_HOLD;
use crate::http::{HttpReply, fault, json, message, message_body, open, recover};
use crate::process_http::{self, ProcessIdentity};
use bytes::Bytes;
use parsleyspool_core::agent::AgentEvent;
use parsleyspool_core::entry::{LoadReport, TaskReply};
use parsleyspool_wire::peer::{
    AskMessage, CancelMessage, Envelope, StartMessage, TaskReplyMessage,
};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::oneshot;
use warp::http::StatusCode;
use warp::{Filter, Rejection, Reply};
use xtra::Address;

/// Routes for entries and operators.
pub(crate) fn routes(
    address: Address<AgentActor>,
    shared: &Arc<AgentShared>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible> + Clone + use<> {
    let (actor, with) = (address.clone(), shared.clone());
    let start = warp::path!("peer" / "start")
        .and(warp::post())
        .and(message_body())
        .then(move |body| start(body, actor.clone(), with.clone()));
    let (actor, with) = (address.clone(), shared.clone());
    let ask = warp::path!("peer" / "ask")
        .and(warp::post())
        .and(message_body())
        .then(move |body| ask(body, actor.clone(), with.clone()));
    let (actor, with) = (address.clone(), shared.clone());
    let cancel = warp::path!("peer" / "cancel")
        .and(warp::post())
        .and(message_body())
        .then(move |body| cancel(body, actor.clone(), with.clone()));
    let tasks = start.or(ask).unify().or(cancel).unify();
    tasks.or(operator_routes(address, shared)).unify().recover(recover)
}

fn operator_routes(
    address: Address<AgentActor>,
    shared: &Arc<AgentShared>,
) -> impl Filter<Extract = (HttpReply,), Error = Rejection> + Clone + use<> {
    let status = warp::path!("v1" / "status").and(warp::get()).then(move || {
        let address = address.clone();
        async move {
            match address.send(QueryAgent).await {
                Ok(body) => json(StatusCode::OK, &body),
                Err(_) => fault(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped"),
            }
        }
    });
    let identity = ProcessIdentity {
        name: shared.settings.name.clone(),
        role: "agent",
        domain: shared.settings.domain.clone(),
        worker: shared.settings.worker.clone(),
        recorder: shared.recorder.clone(),
        metrics: shared.metrics.clone(),
        control: shared.control.clone(),
    };
    status.or(process_http::routes(identity)).unify()
}

async fn start(body: Bytes, address: Address<AgentActor>, shared: Arc<AgentShared>) -> HttpReply {
    let envelope = match open::<StartMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    let entry = envelope.body.entry.as_str().into();
    let (sender, outcome) = oneshot::channel();
    let start = StartTask { entry, order: envelope.body.into(), sender };
    if address.send(start).await.is_err() {
        return fault(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped");
    }
    match outcome.await {
        Ok(reply) => message(&Envelope::new(shared.recorder.stamp(), reply)),
        Err(_) => fault(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped"),
    }
}

async fn ask(body: Bytes, address: Address<AgentActor>, shared: Arc<AgentShared>) -> HttpReply {
    let envelope = match open::<AskMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    let (sender, outcome) = oneshot::channel();
    if address.send(AskTask { ask: envelope.body, sender }).await.is_err() {
        return fault(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped");
    }
    let reply = match tokio::time::timeout(ASK_HOLD, outcome).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) => return fault(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped"),
        Err(_) => TaskReplyMessage::new(TaskReply::Pending, LoadReport::default()),
    };
    message(&Envelope::new(shared.recorder.stamp(), reply))
}

async fn cancel(body: Bytes, address: Address<AgentActor>, shared: Arc<AgentShared>) -> HttpReply {
    let envelope = match open::<CancelMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    for task in envelope.body.tasks {
        let event = AgentEvent::Cancel { task: task.into() };
        let _ = address.send(DecideAgent(event)).await;
    }
    message(&Envelope::new(shared.recorder.stamp(), ()))
}
