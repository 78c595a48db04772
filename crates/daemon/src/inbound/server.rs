//! Accepts connections and serves a filter on them.

use super::guard::{CloseReason, InboundGuard, OpenConnection, RequestHandle};
use crate::http::error_reply;
use futures_util::future::{AbortHandle, Abortable, BoxFuture, Either, select};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use warp::http::header::{CONNECTION, RETRY_AFTER};
use warp::http::{HeaderValue, Request, StatusCode};
use warp::{Filter, Reply};

/// Pause after a failed accept, since the next one fails too until descriptors are closed.
const ACCEPT_PAUSE: Duration = Duration::from_secs(1);

/// Serves `filter` on the connections of `listener` until `stop` is ready; then closes the listener
/// and waits for the requests in progress.
pub async fn serve<F>(
    listener: TcpListener,
    filter: F,
    guard: Arc<InboundGuard>,
    stop: impl Future<Output = ()> + Send,
) where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let graceful = GracefulShutdown::new();
    let mut stop = pin!(stop);
    loop {
        let accepted = match select(pin!(listener.accept()), &mut stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, _)) => open(stream, filter.clone(), &guard, graceful.watcher()),
            Err(error) => handle_accept_error(&error).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn handle_accept_error(error: &io::Error) {
    let is_of_connection = matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
    );
    if !is_of_connection {
        tracing::error!(event = "accept_failed", %error);
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Serves a connection in its own task, or closes it if the limit is reached.
fn open<F>(stream: TcpStream, filter: F, guard: &Arc<InboundGuard>, watcher: Watcher)
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let (abort, registration) = AbortHandle::new_pair();
    let Some(connection) = guard.admit(abort) else { return };
    let guard = guard.clone();
    let service = InboundService {
        service: TowerToHyperService::new(warp::service(filter)),
        request: connection.handle(),
    };
    let head_bytes = guard.limits().head_bytes;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_bytes).max_header_size(head_bytes);
    let io = TokioIo::new(InboundIo { stream, connection });
    let served = watcher.watch(builder.serve_connection(io, service));
    tokio::spawn(async move {
        match Abortable::new(served, registration).await {
            Ok(Err(error)) if error.is_parse_too_large() => {
                guard.count_closed(CloseReason::HeadBytes);
            }
            Ok(Err(error)) => tracing::debug!(event = "connection_failed", %error),
            Ok(Ok(())) | Err(_) => {}
        }
    });
}

/// Socket whose received bytes are counted.
#[derive(Debug)]
struct InboundIo {
    stream: TcpStream,
    connection: OpenConnection,
}

impl AsyncRead for InboundIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let count = buffer.filled().len() - before;
        let is_open = count == 0 || self.connection.receive(count as u64);
        Poll::Ready(if is_open { Ok(()) } else { Err(ErrorKind::ConnectionAborted.into()) })
    }
}

impl AsyncWrite for InboundIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Body whose bytes are counted, and whose end is withheld from the handler if the request is
/// refused.
#[derive(Debug)]
struct InboundBody {
    body: Incoming,
    request: RequestHandle,
}

impl Body for InboundBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let size = frame.data_ref().map_or(0, Bytes::len);
            self.request.pass_on(size as u64);
        }
        let is_end = frame.is_none() || self.body.is_end_stream();
        // The service answers a refused request, and a closed connection drops it.
        if is_end && !self.request.complete() { Poll::Pending } else { Poll::Ready(frame) }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Service of one connection, which counts the phases of its requests.
#[derive(Debug)]
struct InboundService<S> {
    service: S,
    request: RequestHandle,
}

impl<S> Service<Request<Incoming>> for InboundService<S>
where
    S: Service<Request<InboundBody>, Response = warp::reply::Response, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = warp::reply::Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let handle = self.request.clone();
        handle.begin_body();
        if request.body().is_end_stream() && !handle.complete() {
            return Box::pin(std::future::pending());
        }
        let request = request.map(|body| InboundBody { body, request: handle.clone() });
        let answering = self.service.call(request);
        Box::pin(async move {
            let mut answering = pin!(answering);
            let answer = poll_fn(|cx| match answering.as_mut().poll(cx) {
                Poll::Pending if handle.is_refused() => Poll::Ready(Ok(refusal())),
                answer => answer,
            });
            let answer = answer.await;
            handle.finish();
            answer
        })
    }
}

/// Answer to a request whose end was withheld from its handler.
fn refusal() -> warp::reply::Response {
    let text = "too many large requests are in progress; nothing was run";
    let mut reply = error_reply(StatusCode::SERVICE_UNAVAILABLE, text);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from(1));
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply.into_response()
}
