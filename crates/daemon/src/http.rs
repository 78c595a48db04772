//! HTTP helpers shared by the daemons: request bodies, replies, clients and listeners.

use crate::error::DaemonError;
use bytes::{Buf, Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use futures_util::{Stream, StreamExt};
use parsleyspool_core::entry::ExchangeFailure;
use parsleyspool_wire::codec::{MAX_MESSAGE_BYTES, decode, encode};
use parsleyspool_wire::operator::OperatorErrorBody;
use parsleyspool_wire::peer::Envelope;
use reqwest::{Client, ClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::error::Error as _;
use std::io::ErrorKind as IoErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use warp::http::{Response, StatusCode};
use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge};
use warp::{Filter, Rejection};

/// Reply with a complete body in memory.
pub type HttpReply = Response<Vec<u8>>;

/// Largest body of an operator request, in bytes.
pub const MAX_OPERATOR_BODY_BYTES: u64 = 1 << 20;
/// Media type of messages between the daemons.
pub const MESSAGE_MEDIA_TYPE: &str = "application/msgpack";

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The connection failed before the end of the body.
    Incomplete,
    /// The body is larger than the limit.
    TooLarge {
        /// Number of bytes received when the limit was exceeded.
        size: u64,
    },
}

/// Reads a complete request body of at most `limit` bytes.
///
/// # Errors
/// Fails if the body is larger or ends early.
pub async fn read_body<B: Buf>(
    mut body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    limit: u64,
) -> Result<Bytes, BodyError> {
    let mut segments = BodySegments::default();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        let size = segments.size as u64 + chunk.remaining() as u64;
        if size > limit {
            return Err(BodyError::TooLarge { size });
        }
        segments.append(&mut chunk);
    }
    Ok(segments.concat())
}

/// Largest segment of a body, in bytes.
const SEGMENT_BYTES: usize = 16 << 10;

/// Body in segments of about the same size. A single buffer that grows would leave gaps of all sizes in
/// the heap, which then occupies several times what the incomplete bodies do.
#[derive(Debug, Default)]
struct BodySegments {
    full: Vec<BytesMut>,
    last: BytesMut,
    size: usize,
}

impl BodySegments {
    fn append(&mut self, chunk: &mut impl Buf) {
        while chunk.has_remaining() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                let capacity = self.size.max(chunk.remaining()).min(SEGMENT_BYTES);
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
                if !full.is_empty() {
                    self.full.push(full);
                }
                continue;
            }
            let piece = chunk.chunk();
            let size = piece.len().min(room);
            self.last.extend_from_slice(&piece[..size]);
            chunk.advance(size);
            self.size += size;
        }
    }

    fn concat(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.size);
        for segment in self.full.into_iter().chain([self.last]) {
            bytes.extend_from_slice(&segment);
        }
        bytes.freeze()
    }
}

/// Time after which a client closes an idle connection.
pub(crate) const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Classifies a failed request by whether the peer may have received it.
pub fn classify_failure(error: &reqwest::Error) -> ExchangeFailure {
    if !error.is_connect() {
        return ExchangeFailure::MaybeSent;
    }
    let mut source = error.source();
    while let Some(cause) = source {
        let io = cause.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == IoErrorKind::ConnectionRefused) {
            return ExchangeFailure::PeerGone;
        }
        source = cause.source();
    }
    ExchangeFailure::NothingSent
}

/// Builds an HTTP client with a time limit for opening connections.
///
/// The client closes idle connections early, because an idle connection may have stalled.
///
/// # Errors
/// Fails if the client cannot be built.
pub fn build_client(connect_timeout: Duration) -> Result<Client, Report<DaemonError>> {
    let builder = client_builder(connect_timeout).pool_idle_timeout(CLIENT_IDLE_TIMEOUT);
    builder.build().change_context(DaemonError::Client)
}

/// Builds an HTTP client that opens a new connection for each request, as an open one may be silent
/// for good.
///
/// # Errors
/// Fails if the client cannot be built.
pub(crate) fn build_unpooled_client(
    connect_timeout: Duration,
) -> Result<Client, Report<DaemonError>> {
    let builder = client_builder(connect_timeout).pool_max_idle_per_host(0);
    builder.build().change_context(DaemonError::Client)
}

fn client_builder(connect_timeout: Duration) -> ClientBuilder {
    Client::builder().connect_timeout(connect_timeout).no_proxy().tcp_nodelay(true)
}

/// Binds a TCP listener to `address`.
///
/// # Errors
/// Fails if the address is in use or does not belong to this machine.
pub async fn bind_listener(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address)
        .await
        .change_context(DaemonError::Bind)
        .attach_with(|| format!("address {address}"))
}

/// Extracts a body of at most [`MAX_MESSAGE_BYTES`].
pub fn message_body() -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    sized_body(MAX_MESSAGE_BYTES as u64)
}

/// Extracts a body with a stated length of at most `limit` bytes.
///
/// Unlike `warp::body::bytes`, it copies the pieces received into segments, and does not keep a buffer
/// for each piece.
pub fn sized_body(limit: u64) -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    let body = warp::body::content_length_limit(limit).and(warp::body::stream());
    body.and_then(move |body| async move {
        read_body(body, limit).await.map_err(|_| warp::reject::custom(BodyLost))
    })
}

/// The connection failed before the end of a body.
#[derive(Debug)]
struct BodyLost;

impl warp::reject::Reject for BodyLost {}

/// Decodes the envelope in a body.
///
/// # Errors
/// Returns the reply to send if the body is not a message of type `T`.
pub fn decode_envelope<T: DeserializeOwned>(body: &[u8]) -> Result<Envelope<T>, Box<HttpReply>> {
    decode(body, MAX_MESSAGE_BYTES)
        .map_err(|error| Box::new(error_reply(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Reply with a message in MessagePack.
pub fn message_reply<T: Serialize>(value: &Envelope<T>) -> HttpReply {
    match encode(value) {
        Ok(bytes) => reply(StatusCode::OK, MESSAGE_MEDIA_TYPE, bytes),
        Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Reply with a value in JSON.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    match serde_json::to_vec(value) {
        Ok(bytes) => reply(status, "application/json", bytes),
        Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Reply with an error text in JSON.
pub fn error_reply(status: StatusCode, text: &str) -> HttpReply {
    let body = OperatorErrorBody { error: text.to_owned() };
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    reply(status, "application/json", bytes)
}

/// Reply with a body of the given media type.
pub fn reply(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> HttpReply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let media_type = warp::http::HeaderValue::from_static(media_type);
    reply.headers_mut().insert(warp::http::header::CONTENT_TYPE, media_type);
    reply
}

/// Converts a rejection, for a request that no route accepted, into an error reply.
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
    } else if rejection.find::<BodyLost>().is_some() {
        (StatusCode::BAD_REQUEST, "the body is incomplete")
    } else {
        (StatusCode::NOT_FOUND, "no such resource")
    };
    Ok(error_reply(status, text))
}
