//! HTTP routes for callers: `POST /v1/jobs` and `GET /healthz`.

use super::EntryShared;
use super::actor::CallerAnswer;
use super::handle::{EntryHandle, SubmitError};
use crate::http::{BodyError, HttpReply, error_reply, handle_rejection, json_reply, read_body};
use futures_util::Stream;
use parsleyspool_core::entry::EntryEvent;
use parsleyspool_core::error::{ErrorKind, LimitDetails, LimitName};
use parsleyspool_core::job::{JobAnswer, JobRequest};
use parsleyspool_wire::caller::{AnswerBody, ErrorBody, MAX_NAME_BYTES, SubmitBody};
use std::convert::Infallible;
use std::sync::Arc;
use warp::http::StatusCode;
use warp::{Buf, Filter, Reply};

/// Builds the routes for callers.
pub(crate) fn routes(
    handle: EntryHandle,
    shared: Arc<EntryShared>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let jobs = warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(warp::body::stream())
        .then(move |body| submit(body, handle.clone(), shared.clone()));
    let health = warp::path!("healthz")
        .and(warp::get())
        .map(|| json_reply(StatusCode::OK, &serde_json::json!({"serving": true})));
    jobs.or(health).unify().recover(handle_rejection)
}

async fn submit<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    handle: EntryHandle,
    shared: Arc<EntryShared>,
) -> HttpReply {
    let arrived_at = shared.interfaces.clock.now().elapsed;
    let limit = shared.settings.limits.body_bytes;
    let body = read_body(body, limit).await.map_err(|error| body_refusal(error, limit));
    let request = body.and_then(|bytes| parse_job(&bytes));
    let team = request.as_ref().ok().map(|request| request.team.clone());
    let answer = match request {
        Ok(request) => handle.submit(request).await,
        Err((kind, details)) => {
            handle
                .submit_event(|waiter_id| EntryEvent::Malformed { waiter_id, kind, details })
                .await
        }
    };
    match answer {
        Ok(answer) => {
            let response_time = shared.interfaces.clock.now().elapsed.saturating_sub(arrived_at);
            render_answer(&answer, team.as_deref(), response_time, &shared)
        }
        Err(SubmitError::NotRun) => {
            error_reply(StatusCode::SERVICE_UNAVAILABLE, "the entry has stopped; nothing was run")
        }
        Err(SubmitError::OutcomeUnknown) => {
            error_reply(StatusCode::GATEWAY_TIMEOUT, "the entry stopped; the outcome is unknown")
        }
    }
}

/// Error kind and limit values for a body that could not be read.
fn body_refusal(error: BodyError, limit: u64) -> (ErrorKind, LimitDetails) {
    match error {
        BodyError::Incomplete => (ErrorKind::InvalidRequest, LimitDetails::default()),
        BodyError::TooLarge { size } => {
            (ErrorKind::RequestTooLarge, LimitDetails::new(LimitName::BodyBytes, limit, size))
        }
    }
}

fn parse_job(bytes: &[u8]) -> Result<JobRequest, (ErrorKind, LimitDetails)> {
    let Ok(body) = serde_json::from_slice::<SubmitBody>(bytes) else {
        return Err((ErrorKind::InvalidRequest, LimitDetails::default()));
    };
    JobRequest::try_from(body).map_err(|error| {
        let details =
            LimitDetails::new(LimitName::NameBytes, MAX_NAME_BYTES as u64, error.size as u64);
        (ErrorKind::InvalidRequest, details)
    })
}

fn render_answer(
    answer: &CallerAnswer,
    team: Option<&str>,
    response_time: std::time::Duration,
    shared: &EntryShared,
) -> HttpReply {
    let is_known_team = !matches!(
        &answer.answer,
        JobAnswer::Failed(error) if error.kind == ErrorKind::UnknownTeam
    );
    shared.metrics.count_answer(answer.answer.kind_name(), team.filter(|_| is_known_team));
    match &answer.answer {
        JobAnswer::Complete(answers) => {
            shared.metrics.observe_response_time(response_time);
            json_reply(StatusCode::OK, &AnswerBody::new(answer.submission, answers))
        }
        JobAnswer::Failed(error) => {
            let response = error.kind.answer();
            let status = StatusCode::from_u16(response.status);
            let body = ErrorBody::new(answer.submission, error, answer.version);
            json_reply(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body)
        }
    }
}
