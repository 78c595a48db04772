//! Limits on what clients send, with a server of a few connections.

use parsleyspool_daemon::http::{read_body, reply};
use parsleyspool_daemon::inbound::{InboundGuard, InboundLimits, serve};
use parsleyspool_daemon::telemetry::metrics::DaemonMetrics;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use warp::Filter;
use warp::http::StatusCode;

const LIMITS: InboundLimits = InboundLimits {
    memory_bytes: 1 << 20,
    connections: 4,
    head_bytes: 16 << 10,
    head_time: Duration::from_secs(5),
    body_time: Duration::from_secs(15),
};
const BODY_BYTES: usize = 262_144;
/// Time since the start of a guard at which every incomplete request is overdue.
const LONG_AFTER: Duration = Duration::from_secs(3600);

struct TestServer {
    address: SocketAddr,
    guard: Arc<InboundGuard>,
    metrics: Arc<DaemonMetrics>,
    /// Lets the handler of `/slow` answer.
    release: Arc<Notify>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl TestServer {
    async fn start(limits: InboundLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let metrics = Arc::new(DaemonMetrics::new().expect("metrics"));
        let guard = Arc::new(InboundGuard::new(limits, metrics.clone()));
        let release = Arc::new(Notify::new());
        let released = release.clone();
        let echo = warp::body::stream().then(|body| async move {
            let body = read_body(body, u64::MAX).await.expect("a body");
            reply(StatusCode::OK, "text/plain", body.len().to_string().into_bytes())
        });
        let slow = warp::path("slow").and(warp::body::stream()).then(move |body| {
            let released = released.clone();
            async move {
                read_body(body, u64::MAX).await.expect("a body");
                released.notified().await;
                reply(StatusCode::OK, "text/plain", b"slow".to_vec())
            }
        });
        let routes = slow.or(echo).unify();
        let routes = routes.recover(parsleyspool_daemon::http::handle_rejection);
        let (stop, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(serve(listener, routes, guard.clone(), async move {
            let _ = stopped.await;
        }));
        Self { address, guard, metrics, release, stop, server }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a connection")
    }

    /// Waits until `is_reached`; a server that does not come to that hangs the test.
    async fn wait_until(&self, is_reached: impl Fn(&InboundGuard) -> bool) {
        while !is_reached(&self.guard) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn closed(&self, reason: &str) -> bool {
        self.metrics.render().contains(&format!("closed_total{{reason=\"{reason}\"}}"))
    }
}

/// Text of the next answer, or as much as arrives before the connection is closed.
async fn answer(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.windows(4).any(|window| window == b"\r\n\r\n") {
        if !stream.read_buf(&mut text).await.is_ok_and(|count| count > 0) {
            break;
        }
    }
    String::from_utf8(text).expect("text")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("the connection is open");
}

fn body_start(path: &str, sent: usize) -> String {
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    head + &" ".repeat(sent)
}

/// Failure: the time for receiving a head ends idle connections, which breaks the next requests of
/// their callers.
#[tokio::test]
async fn an_idle_connection_stays_open_and_an_incomplete_head_does_not() {
    let server = TestServer::start(LIMITS).await;
    let (mut idle, mut silent, mut slow) =
        (server.connect().await, server.connect().await, server.connect().await);
    send(&mut idle, "GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert!(answer(&mut idle).await.starts_with("HTTP/1.1 200"));
    send(&mut slow, "GET / HTTP/1.1\r\nhost").await;
    server.wait_until(|guard| guard.held_bytes() > 0 && guard.connections() == 3).await;

    server.guard.close_overdue(LONG_AFTER);

    assert_eq!(answer(&mut slow).await, "");
    assert!(server.closed("head_time"));
    for stream in [&mut idle, &mut silent] {
        send(stream, "GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
        assert!(answer(stream).await.starts_with("HTTP/1.1 200"));
    }
}

/// Failure: a body that stops just short of its end is held for as long as its client likes; or the
/// time for receiving it cuts off a request that is complete and in progress.
#[tokio::test]
async fn an_incomplete_body_is_closed_in_time_and_a_request_in_progress_is_not() {
    let server = TestServer::start(LIMITS).await;
    let (mut in_progress, mut stalled) = (server.connect().await, server.connect().await);
    send(&mut in_progress, &body_start("/slow", BODY_BYTES)).await;
    let complete = BODY_BYTES as u64;
    server.wait_until(|guard| guard.held_bytes() >= complete).await;
    send(&mut stalled, &body_start("/", BODY_BYTES - 1)).await;
    server.wait_until(|guard| guard.held_bytes() >= 2 * complete - 1).await;

    server.guard.close_overdue(LONG_AFTER);

    assert_eq!(answer(&mut stalled).await, "");
    assert!(server.closed("body_time"));
    server.release.notify_one();
    assert!(answer(&mut in_progress).await.starts_with("HTTP/1.1 200"));
    server.wait_until(|guard| guard.held_bytes() == 0).await;
}

/// Failure: stalled bodies hold more than the budget, or use it up so that no other is served.
#[tokio::test]
async fn stalled_bodies_make_room_for_a_whole_one() {
    let server = TestServer::start(InboundLimits { connections: 100, ..LIMITS }).await;
    let mut stalled = Vec::new();
    for _ in 0..12 {
        let mut stream = server.connect().await;
        // An error means that the connection was closed already.
        let _ = stream.write_all(body_start("/", BODY_BYTES - 1).as_bytes()).await;
        stalled.push(stream);
    }
    server.wait_until(|_| server.closed("memory")).await;

    let mut whole = server.connect().await;
    send(&mut whole, &body_start("/", BODY_BYTES)).await;

    assert!(answer(&mut whole).await.starts_with("HTTP/1.1 200"));
    assert!(server.guard.held_bytes() <= LIMITS.memory_bytes);
}

/// Failure: complete large requests that wait for their answers use up the budget, and small ones
/// are cut off. A refusal must say that nothing was run.
#[tokio::test]
async fn a_large_request_is_refused_and_a_small_one_served_while_others_wait() {
    let server = TestServer::start(LIMITS).await;
    let (mut first, mut second) = (server.connect().await, server.connect().await);
    for (index, stream) in [&mut first, &mut second].into_iter().enumerate() {
        send(stream, &body_start("/slow", BODY_BYTES)).await;
        let expected = (index + 1) * BODY_BYTES;
        server.wait_until(|guard| guard.held_bytes() >= expected as u64).await;
    }

    let mut refused = server.connect().await;
    send(&mut refused, &body_start("/slow", BODY_BYTES)).await;
    let refusal = answer(&mut refused).await;
    let mut small = server.connect().await;
    send(&mut small, "GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;

    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.to_lowercase().contains("retry-after: 1"), "{refusal}");
    assert!(answer(&mut small).await.starts_with("HTTP/1.1 200"));
    for stream in [&mut first, &mut second] {
        server.release.notify_one();
        assert!(answer(stream).await.starts_with("HTTP/1.1 200"));
    }
}

/// Failure: idle connections use up the limit, and no caller can connect.
#[tokio::test]
async fn an_idle_connection_makes_room_for_a_new_one() {
    let server = TestServer::start(LIMITS).await;
    let mut idle = Vec::new();
    for count in 1..=LIMITS.connections {
        idle.push(server.connect().await);
        server.wait_until(|guard| guard.connections() == count).await;
    }

    let mut new = server.connect().await;
    send(&mut new, "GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;

    assert!(answer(&mut new).await.starts_with("HTTP/1.1 200"));
    assert!(server.closed("connections"));
    assert_eq!(server.guard.connections(), LIMITS.connections);
}

/// Failure: a head, or the empty lines before it, can be as long as the client likes.
#[tokio::test]
async fn endless_heads_and_empty_lines_are_cut_off() {
    let server = TestServer::start(LIMITS).await;
    for start in ["\r\n".repeat(40_000), format!("GET / HTTP/1.1\r\nx: {}", "v".repeat(80_000))] {
        let mut stream = server.connect().await;
        let _ = stream.write_all(start.as_bytes()).await;

        let answer = answer(&mut stream).await;

        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    }
    assert!(server.closed("head_bytes"));
}

/// Failure: a planned stop cuts a request in progress, or does not close idle connections.
#[tokio::test]
async fn a_stop_waits_for_the_request_in_progress() {
    let server = TestServer::start(LIMITS).await;
    let (mut idle, mut in_progress) = (server.connect().await, server.connect().await);
    send(&mut in_progress, "GET /slow HTTP/1.1\r\nhost: h\r\n\r\n").await;
    send(&mut idle, "GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert!(answer(&mut idle).await.starts_with("HTTP/1.1 200"));
    server.wait_until(|guard| guard.held_bytes() > 0).await;

    server.stop.send(()).expect("the server runs");
    idle.read_to_end(&mut Vec::new()).await.expect("the connection is closed in order");
    assert!(!server.server.is_finished());
    server.release.notify_one();

    assert!(answer(&mut in_progress).await.starts_with("HTTP/1.1 200"));
    server.server.await.expect("the server ends");
    assert_eq!(server.guard.connections(), 0);
}
