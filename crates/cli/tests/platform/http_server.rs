//! HTTP/1.1 server of a stand-in. All of its connections break when it closes, as after the crash
//! of a process.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes between the head of a request and its body.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Request with its complete body.
#[derive(Debug, Clone, Default)]
pub struct HttpRequest {
    pub path: String,
    pub query: HashMap<String, String>,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Number in the query parameter `name`; 0 if there is none.
    pub fn query_number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Status and body of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

impl HttpResponse {
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        Self { status, body: body.to_string().into_bytes() }
    }

    pub fn empty(status: u16) -> Self {
        Self { status, body: Vec::new() }
    }
}

/// Answers the requests of a server.
pub trait HttpService: Send + Sync + 'static {
    /// Answers a request; `None` closes the connection without a response.
    fn answer(
        self: Arc<Self>,
        request: HttpRequest,
    ) -> impl Future<Output = Option<HttpResponse>> + Send;
}

/// Server that is open until it is closed or dropped.
#[derive(Debug)]
pub struct HttpServer {
    /// `None` once the server is closed.
    stop: Option<oneshot::Sender<()>>,
    accepting: JoinHandle<()>,
}

impl HttpServer {
    pub fn open<S: HttpService>(listener: TcpListener, service: Arc<S>) -> Self {
        let (stop, stopped) = oneshot::channel();
        Self { stop: Some(stop), accepting: tokio::spawn(accept_until(stopped, listener, service)) }
    }

    /// Closes the listener and all connections, and waits until they are closed.
    pub async fn close(&mut self) {
        if self.stop.take().is_some() {
            (&mut self.accepting).await.expect("the server ends");
        }
    }
}

async fn accept_until<S: HttpService>(
    mut stopped: oneshot::Receiver<()>,
    listener: TcpListener,
    service: Arc<S>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve_connection(stream, service.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    connections.shutdown().await;
}

/// Answers the requests on a connection in turn until either side closes it.
async fn serve_connection<S: HttpService>(mut stream: TcpStream, service: Arc<S>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut unread = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut unread).await {
        let Some(response) = service.clone().answer(request).await else { return };
        if stream.write_all(&encode_response(&response)).await.is_err() {
            return;
        }
    }
}

/// Reads the next request; `None` if the connection closes before its end or it is malformed.
async fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<HttpRequest> {
    let head_length = loop {
        if let Some(at) = unread.windows(HEAD_END.len()).position(|window| window == HEAD_END) {
            break at + HEAD_END.len();
        }
        if unread.len() > MAX_HEAD_BYTES || stream.read_buf(unread).await.ok()? == 0 {
            return None;
        }
    };
    let mut request = parse_head(std::str::from_utf8(&unread[..head_length]).ok()?)?;
    let body_length = match request.headers.get("content-length") {
        Some(length) => length.parse().ok()?,
        None => 0,
    };
    while unread.len() < head_length + body_length {
        if stream.read_buf(unread).await.ok()? == 0 {
            return None;
        }
    }
    request.body = unread[head_length..head_length + body_length].to_vec();
    unread.drain(..head_length + body_length);
    Some(request)
}

fn parse_head(head: &str) -> Option<HttpRequest> {
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers =
        fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    Some(HttpRequest {
        path: path.to_owned(),
        query: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        headers,
        body: Vec::new(),
    })
}

fn encode_response(response: &HttpResponse) -> Vec<u8> {
    let (status, length) = (response.status, response.body.len());
    let head = format!(
        "HTTP/1.1 {status} \r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), &response.body].concat()
}
