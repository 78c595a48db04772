//! HTTP routes for agents, other entries and operators, and the polling of other entries.

use super::EntryShared;
use super::actor::{EntryActor, HandleHeartbeat};
use super::known_peers::{HandlePeerState, QueryPeerState};
use super::operator_http;
use super::queries::{EndConfigFetch, PrepareStateQuery};
use crate::http::{
    HttpReply, decode_envelope, error_reply, handle_rejection, message_body, message_reply,
};
use bytes::Bytes;
use parsleyspool_wire::peer::{Envelope, HeartbeatMessage, PeerStateMessage, PeerStateQuery};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use warp::http::StatusCode;
use warp::{Filter, Reply};
use xtra::Address;

/// Time between two state queries to another entry.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Builds the routes for agents, other entries and operators.
pub(crate) fn routes(
    address: Address<EntryActor>,
    shared: &Arc<EntryShared>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible> + Clone + use<> {
    let (agent_actor, agent_shared) = (address.clone(), shared.clone());
    let heartbeat = warp::path!("peer" / "heartbeat")
        .and(warp::post())
        .and(message_body())
        .then(move |body| handle_heartbeat(body, agent_actor.clone(), agent_shared.clone()));
    let (entry_actor, entry_shared) = (address.clone(), shared.clone());
    let state = warp::path!("peer" / "state")
        .and(warp::post())
        .and(message_body())
        .then(move |body| handle_state_query(body, entry_actor.clone(), entry_shared.clone()));
    heartbeat
        .or(state)
        .unify()
        .or(operator_http::routes(address, shared))
        .unify()
        .recover(handle_rejection)
}

async fn handle_heartbeat(
    body: Bytes,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) -> HttpReply {
    let envelope = match decode_envelope::<HeartbeatMessage>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    match address.send(HandleHeartbeat(envelope.body.into())).await {
        Ok(directive) => message_reply(&Envelope::new(shared.recorder.stamp(), directive)),
        Err(_) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "the entry has stopped"),
    }
}

async fn handle_state_query(
    body: Bytes,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) -> HttpReply {
    let envelope = match decode_envelope::<PeerStateQuery>(&body) {
        Ok(envelope) => envelope,
        Err(reply) => return *reply,
    };
    shared.recorder.observe(envelope.stamp());
    match address.send(QueryPeerState(envelope.body)).await {
        Ok(answer) => message_reply(&Envelope::new(shared.recorder.stamp(), answer)),
        Err(_) => error_reply(StatusCode::SERVICE_UNAVAILABLE, "the entry has stopped"),
    }
}

/// Queries the state of another entry until the actor stops.
///
/// `name` is `None` for a seed address, whose entry name is not known; otherwise the function
/// ignores answers from an entry of another name.
pub(crate) async fn poll_entry(
    name: Option<String>,
    peer_address: String,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) {
    let mut reported = None;
    while let Ok(query) = address.send(PrepareStateQuery { reported }).await {
        let is_fetch = query.wants_state;
        let requested_at = shared.interfaces.clock.now().elapsed;
        let answer =
            shared.interfaces.entries.fetch_state(peer_address.as_str().into(), query).await;
        let is_expected_entry =
            |answer: &PeerStateMessage| name.as_ref().is_none_or(|name| answer.entry == *name);
        if let Some(answer) = answer.filter(is_expected_entry) {
            reported = Some(answer.version);
            let message = HandlePeerState { address: peer_address.clone(), answer, requested_at };
            let _ = address.send(message).await;
        }
        if is_fetch {
            let _ = address.send(EndConfigFetch).await;
        }
        let wakeup = shared.peer_poll_wakeup.notified();
        let _ = tokio::time::timeout(PEER_POLL_INTERVAL, wakeup).await;
    }
}
