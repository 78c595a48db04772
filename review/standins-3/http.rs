//! HTTP/1.1 server with one thread for each connection, and a client for single requests.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Request as a server reads it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    /// Header lines, with the names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Value of the query parameter `name`, without decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(other, _)| *other == name).map(|(_, value)| value)
    }
}

/// Response of a server.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: &str) -> Self {
        Self { status, body: body.as_bytes().to_vec() }
    }
}

/// Handler of a server; `None` leaves the request unanswered and the connection open.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Serves `handler` on `listener` from threads of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if let Some(response) = handler(&request) {
            let head = format!(
                "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                response.status,
                response.body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&response.body);
            writer.write_all(&bytes)?;
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let body = read_sized_body(reader, &headers)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_sized_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends one request over a new connection and waits at most `timeout` for each part of the answer.
pub fn send(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.headers.iter().any(|(name, _)| name == "host") {
        head.push_str(&format!("host: {address}\r\n"));
    }
    head.push_str("content-type: application/json\r\n");
    head.push_str(&format!("content-length: {}\r\n\r\n", request.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut reader)?;
    let body = read_sized_body(&mut reader, &headers)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
