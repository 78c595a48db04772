//! HTTP routes that every process offers to operators: events, metrics and log levels.

use crate::http::{HttpReply, MAX_OPERATOR_BODY_BYTES, error_reply, json_reply, reply};
use crate::recorder::EventRecorder;
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use bytes::Bytes;
use parsleyspool_wire::operator::LogLevelBody;
use std::sync::Arc;
use warp::http::StatusCode;
use warp::{Filter, Rejection};

/// Identity of a process and the state that its routes expose.
#[derive(Debug, Clone)]
pub struct ProcessContext {
    /// Name of the entry or agent.
    pub name: String,
    /// `entry` or `agent`.
    pub role: &'static str,
    /// Failure domain.
    pub domain: String,
    /// Worker, empty if unknown.
    pub worker: String,
    /// Recorder whose events are returned.
    pub recorder: Arc<EventRecorder>,
    /// Metrics that are returned in the Prometheus text format.
    pub metrics: Arc<DaemonMetrics>,
    /// Handle that changes the log levels.
    pub log_control: LogControl,
}

/// Builds the routes of one process.
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

/// Sets the log levels of this process from a JSON body.
fn set_log_level(body: &[u8], control: &LogControl) -> HttpReply {
    let body: LogLevelBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match control.set_filter(&body.filter) {
        Ok(()) => json_reply(StatusCode::OK, &body),
        Err(report) => error_reply(StatusCode::BAD_REQUEST, &report.to_string()),
    }
}
