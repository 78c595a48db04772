//! Small HTTP/1.1 server and client with a thread for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Request with its complete body.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Value of the query parameter `name`.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn number(&self, name: &str) -> u64 {
        self.parameter(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads a head and its body; `None` if the connection ends first.
fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 8192];
    let end = loop {
        if let Some(at) = unread.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&unread[..end]).into_owned();
    let length: usize = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while unread.len() < end + length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend_from_slice(&chunk[..count]),
        }
    }
    let body = unread[end..end + length].to_vec();
    unread.drain(..end + length);
    Some((head, body))
}

/// Status and body of a response.
pub type Response = (u16, Vec<u8>);

/// Answers every request to `listener` with `answer`; `None` closes the connection.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || serve_connection(stream, &*answer));
        }
    });
}

fn serve_connection(mut stream: TcpStream, answer: &dyn Fn(Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let mut unread = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut unread) {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let Some((status, body)) = answer(Request { path, query, head, body }) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} \r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Status and body of the response.
    Answered(u16, String),
    /// No connection was opened.
    NoConnection,
    /// The connection ended without a response.
    Broken,
    /// No response came in time.
    TimedOut,
}

/// Sends one request on a connection of its own and waits for its response.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return Outcome::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let length = body.len();
    let request = format!(
        "{method} {target} HTTP/1.1\r\n{headers}content-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return Outcome::Broken;
    }
    let began = std::time::Instant::now();
    match read_message(&mut stream, &mut Vec::new()) {
        Some((head, body)) => {
            let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            Outcome::Answered(status, String::from_utf8_lossy(&body).into_owned())
        }
        None if began.elapsed() >= timeout => Outcome::TimedOut,
        None => Outcome::Broken,
    }
}
