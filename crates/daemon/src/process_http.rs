//! HTTP that every process offers to operators: its events, metrics and log levels.

use crate::http::{HttpReply, MAX_OPERATOR_BODY_BYTES, error_reply, json_reply, reply};
use crate::recorder::EventRecorder;
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use bytes::Bytes;
use parsleyspool_wire::operator::LogLevelBody;
use std::sync::Arc;
use warp::http::StatusCode;
use warp::{Filter, Rejection};

/// Who a process is, and what it offers.
#[derive(Debug, Clone)]
pub struct ProcessContext {
    /// Name.
    pub name: String,
    /// `entry` or `agent`.
    pub role: &'static str,
    /// Failure domain.
    pub domain: String,
    /// Worker, empty where unknown.
    pub worker: String,
    /// Events.
    pub recorder: Arc<EventRecorder>,
    /// Metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Log levels.
    pub log_control: LogControl,
}

/// Routes of one process.
pub fn routes(
    context: ProcessContext,
) -> impl Filter<Extract = (HttpReply,), Error = Rejection> + Clone {
    let process = context.clone();
    let timeline = warp::path!("v1" / "timeline").and(warp::get()).map(move || {
        let mut body = process.recorder.timeline(&process.name, process.role);
        body.domain.clone_from(&process.domain);
        body.worker.clone_from(&process.worker);
        json_reply(StatusCode::OK, &body)
    });
    let process = context.clone();
    let metrics = warp::path!("metrics").and(warp::get()).map(move || {
        let text = process.metrics.render();
        reply(StatusCode::OK, "text/plain; version=0.0.4", text.into_bytes())
    });
    let level = warp::path!("v1" / "log-level")
        .and(warp::put())
        .and(warp::body::content_length_limit(MAX_OPERATOR_BODY_BYTES))
        .and(warp::body::bytes())
        .map(move |body: Bytes| set_log_level(&body, &context.log_control));
    timeline.or(metrics).unify().or(level).unify()
}

/// Sets the log levels of this process.
fn set_log_level(body: &[u8], control: &LogControl) -> HttpReply {
    let body: LogLevelBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match control.set(&body.filter) {
        Ok(()) => json_reply(StatusCode::OK, &body),
        Err(report) => error_reply(StatusCode::BAD_REQUEST, &report.to_string()),
    }
}
