//! HTTP shared by the daemons: bodies, replies and listeners.

use crate::error::DaemonError;
use bytes::{Buf, Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use futures_util::{Stream, StreamExt};
use parsleyspool_wire::codec::{MAX_MESSAGE_BYTES, decode, encode};
use parsleyspool_wire::operator::OperatorErrorBody;
use parsleyspool_wire::peer::Envelope;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use warp::http::{Response, StatusCode};
use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge};
use warp::{Filter, Rejection};

/// Reply with a whole body.
pub type HttpReply = Response<Vec<u8>>;

/// Largest body of an operator's request, in bytes.
pub const MAX_OPERATOR_BODY_BYTES: u64 = 1 << 20;
/// Media type of messages between the daemons.
pub const MESSAGE_MEDIA_TYPE: &str = "application/msgpack";

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The connection broke before its end.
    Incomplete,
    /// It is larger than the limit.
    TooLarge {
        /// Bytes read when that was seen.
        size: u64,
    },
}

/// Whole body of a request of at most `limit` bytes.
///
/// # Errors
/// Fails where it is larger or ends early.
pub async fn read_body<B: Buf>(
    mut body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    limit: u64,
) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        let size = bytes.len() as u64 + chunk.remaining() as u64;
        if size > limit {
            return Err(BodyError::TooLarge { size });
        }
        bytes.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(bytes.freeze())
}

/// Time after which a client closes an idle connection.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client that gives up opening a connection after `connect_timeout`; it closes idle connections
/// soon, since one may have gone silent.
///
/// # Errors
/// Fails where the client cannot be built.
pub fn build_client(connect_timeout: Duration) -> Result<Client, Report<DaemonError>> {
    Client::builder()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(CLIENT_IDLE_TIMEOUT)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .change_context(DaemonError::Client)
}

/// Listener bound to `address`.
///
/// # Errors
/// Fails where the address is taken or not of this machine.
pub async fn bind_listener(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address)
        .await
        .change_context(DaemonError::Bind)
        .attach_with(|| format!("address {address}"))
}

/// Body of at most [`MAX_MESSAGE_BYTES`].
pub fn message_body() -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    warp::body::content_length_limit(MAX_MESSAGE_BYTES as u64).and(warp::body::bytes())
}

/// Envelope in a body; the error is the reply to send.
///
/// # Errors
/// Fails where the body is not such a message.
pub fn decode_envelope<T: DeserializeOwned>(body: &[u8]) -> Result<Envelope<T>, Box<HttpReply>> {
    decode(body, MAX_MESSAGE_BYTES)
        .map_err(|error| Box::new(error_reply(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Reply with a message.
pub fn message_reply<T: Serialize>(value: &Envelope<T>) -> HttpReply {
    match encode(value) {
        Ok(bytes) => reply(StatusCode::OK, MESSAGE_MEDIA_TYPE, bytes),
        Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Reply with JSON.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    match serde_json::to_vec(value) {
        Ok(bytes) => reply(status, "application/json", bytes),
        Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Reply that says what could not be done.
pub fn error_reply(status: StatusCode, text: &str) -> HttpReply {
    let body = OperatorErrorBody { error: text.to_owned() };
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    reply(status, "application/json", bytes)
}

/// Reply with a body of the media type `kind`.
pub fn reply(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> HttpReply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let media_type = warp::http::HeaderValue::from_static(media_type);
    reply.headers_mut().insert(warp::http::header::CONTENT_TYPE, media_type);
    reply
}

/// Reply to a request that no route took.
///
/// # Errors
/// Never fails.
pub async fn handle_rejection(rejection: Rejection) -> Result<HttpReply, Infallible> {
    let (status, text) = if rejection.find::<PayloadTooLarge>().is_some() {
        (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
    } else if rejection.find::<LengthRequired>().is_some() {
        (StatusCode::LENGTH_REQUIRED, "the body states no length")
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        (StatusCode::METHOD_NOT_ALLOWED, "the resource does not take this method")
    } else {
        (StatusCode::NOT_FOUND, "no such resource")
    };
    Ok(error_reply(status, text))
}
