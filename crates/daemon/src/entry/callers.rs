//! HTTP for callers: `POST /v1/jobs`.

use super::EntryShared;
use super::actor::{CallerAnswer, CallerEvent, CallerGone, EntryActor};
use crate::http::{HttpReply, fault, json, recover};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use parsleyspool_core::entry::EntryEvent;
use parsleyspool_core::error::{ErrorKind, RefusalFigures};
use parsleyspool_core::job::{JobAnswer, JobRequest};
use parsleyspool_wire::caller::{AnswerBody, ErrorBody, MAX_NAME_BYTES, SubmitBody};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::oneshot;
use warp::http::StatusCode;
use warp::{Buf, Filter, Reply};
use xtra::Address;

/// Next ticket of this process.
static TICKET: AtomicU64 = AtomicU64::new(1);

/// Routes for callers.
pub(crate) fn routes(
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let jobs = warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(warp::body::stream())
        .then(move |body| submit(body, address.clone(), shared.clone()));
    let health = warp::path!("healthz")
        .and(warp::get())
        .map(|| json(StatusCode::OK, &serde_json::json!({"serving": true})));
    jobs.or(health).unify().recover(recover)
}

async fn submit<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) -> HttpReply {
    let ticket = TICKET.fetch_add(1, Ordering::Relaxed);
    let arrived = shared.edges.clock.now().elapsed;
    let event = match collect(body, shared.settings.limits.body_bytes).await {
        Ok(bytes) => read_job(ticket, &bytes),
        Err((kind, figures)) => EntryEvent::Malformed { ticket, kind, figures },
    };
    let team = match &event {
        EntryEvent::Submit { request, .. } => Some(request.team.clone()),
        _ => None,
    };
    let (waiter, answer) = oneshot::channel();
    let mut guard = GoneGuard { ticket, address: Some(address.clone()) };
    if address.send(CallerEvent { ticket, event, waiter }).await.is_err() {
        guard.disarm();
        return fault(StatusCode::SERVICE_UNAVAILABLE, "the entry has stopped; nothing was run");
    }
    let answer = answer.await;
    guard.disarm();
    match answer {
        Ok(answer) => {
            let took = shared.edges.clock.now().elapsed.saturating_sub(arrived);
            render(&answer, team.as_deref(), took, &shared)
        }
        Err(_) => fault(StatusCode::GATEWAY_TIMEOUT, "the entry stopped; the outcome is unknown"),
    }
}

/// Tells the actor when the caller's connection ends before its answer.
struct GoneGuard {
    ticket: u64,
    address: Option<Address<EntryActor>>,
}

impl GoneGuard {
    fn disarm(&mut self) {
        self.address = None;
    }
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        let Some(address) = self.address.take() else { return };
        let ticket = self.ticket;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = address.send(CallerGone(ticket)).await;
            });
        }
    }
}

async fn collect<B: Buf>(
    mut body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    limit: u64,
) -> Result<Bytes, (ErrorKind, RefusalFigures)> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let Ok(mut chunk) = chunk else {
            return Err((ErrorKind::InvalidRequest, RefusalFigures::default()));
        };
        let size = bytes.len() as u64 + chunk.remaining() as u64;
        if size > limit {
            let figures = RefusalFigures::new("body_bytes", limit, size);
            return Err((ErrorKind::RequestTooLarge, figures));
        }
        bytes.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(bytes.freeze())
}

fn read_job(ticket: u64, bytes: &[u8]) -> EntryEvent {
    let Ok(body) = serde_json::from_slice::<SubmitBody>(bytes) else {
        let (kind, figures) = (ErrorKind::InvalidRequest, RefusalFigures::default());
        return EntryEvent::Malformed { ticket, kind, figures };
    };
    match JobRequest::try_from(body) {
        Ok(request) => EntryEvent::Submit { ticket, request },
        Err(error) => {
            let figures =
                RefusalFigures::new("name_bytes", MAX_NAME_BYTES as u64, error.size as u64);
            EntryEvent::Malformed { ticket, kind: ErrorKind::InvalidRequest, figures }
        }
    }
}

fn render(
    answer: &CallerAnswer,
    team: Option<&str>,
    took: std::time::Duration,
    shared: &EntryShared,
) -> HttpReply {
    match &answer.answer {
        JobAnswer::Complete(answers) => {
            shared.metrics.count_answer("complete", team);
            shared.metrics.observe_job(took);
            json(StatusCode::OK, &AnswerBody::new(answer.submission, answers))
        }
        JobAnswer::Failed(error) => {
            let is_known = !matches!(error.kind, ErrorKind::UnknownTeam);
            shared.metrics.count_answer(error.kind.name(), team.filter(|_| is_known));
            let row = error.kind.answer();
            let status = StatusCode::from_u16(row.status);
            let body = ErrorBody::new(answer.submission, error, answer.version);
            json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body)
        }
    }
}
