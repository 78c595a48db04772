//! HTTP server of the log stand-in.

use super::{LogFaults, LogStreams};
use bytes::Bytes;
use parsleyspool_daemon::http::{HttpReply, error_reply, handle_rejection, json_reply, reply};
use parsleyspool_wire::codec::{MAX_RECORD_BYTES, encode};
use parsleyspool_wire::log_service::{AppendReply, LogRecordWire, ReadQuery, ReadReply};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::StatusCode;

/// Upper bound for the time that one read waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Serves `streams` on `listener` until the calling task is aborted.
pub async fn serve(listener: TcpListener, streams: Arc<LogStreams>) {
    let append_streams = streams.clone();
    let append = warp::path!("streams" / String / "records")
        .and(warp::post())
        .and(warp::body::content_length_limit(MAX_RECORD_BYTES as u64))
        .and(warp::body::bytes())
        .then(move |stream, body| append(stream, body, append_streams.clone()));
    let read_streams = streams.clone();
    let read = warp::path!("streams" / String / "records")
        .and(warp::get())
        .and(warp::query())
        .then(move |stream, query| read(stream, query, read_streams.clone()));
    let faults = warp::path!("faults").and(warp::put()).and(warp::body::json()).map(
        move |faults: LogFaults| {
            streams.set_faults(faults);
            json_reply(StatusCode::OK, &faults)
        },
    );
    let routes = append.or(read).unify().or(faults).unify().recover(handle_rejection);
    warp::serve(routes).incoming(listener).run().await;
}

async fn append(stream: String, body: Bytes, streams: Arc<LogStreams>) -> HttpReply {
    match streams.append(&stream, body).await {
        Ok(offset) => msgpack_reply(&AppendReply { offset }),
        Err(text) => error_reply(StatusCode::SERVICE_UNAVAILABLE, text),
    }
}

async fn read(stream: String, query: ReadQuery, streams: Arc<LogStreams>) -> HttpReply {
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    match streams.read(&stream, query.from, query.limit, wait).await {
        Ok(page) => {
            let records = page.records.into_iter();
            let records = records.map(|(offset, data)| LogRecordWire { offset, data });
            msgpack_reply(&ReadReply {
                earliest: page.earliest,
                end: page.end,
                records: records.collect(),
            })
        }
        Err(text) => error_reply(StatusCode::SERVICE_UNAVAILABLE, text),
    }
}

fn msgpack_reply<T: Serialize>(value: &T) -> HttpReply {
    match encode(value) {
        Ok(bytes) => reply(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
