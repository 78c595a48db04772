//! Clients that send a request without its end and keep the connection open.

use crate::machine::Listener;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Largest legal body of a submission, in bytes.
const BODY_BYTES: usize = 262_144;
/// Bytes sent of a body that is never complete.
const SENT_BYTES: usize = 262_000;
const PIECE_BYTES: usize = 2_000;
const LARGE_CHUNK_BYTES: usize = 65_500;
const LARGE_CHUNKS: usize = 4;
const SMALL_CHUNKS: usize = 120_000;
const HEADER_FIELDS: usize = 400;
const HEADER_FIELD_BYTES: usize = 1_000;
const ENDLESS_BYTES: usize = 400_000;
/// Every client of this number completes its request, if the request can be completed.
const COMPLETE_EVERY: usize = 8;

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdKind {
    StalledBody,
    StalledBodyInPieces,
    LargeChunks,
    OneByteChunks,
    ManyHeaderFields,
    EndlessHeaderField,
    EmptyLines,
}

impl CrowdKind {
    pub const ALL: [Self; 7] = [
        Self::StalledBody,
        Self::StalledBodyInPieces,
        Self::LargeChunks,
        Self::OneByteChunks,
        Self::ManyHeaderFields,
        Self::EndlessHeaderField,
        Self::EmptyLines,
    ];

    /// Bytes that a client sends to `listener`, and what would complete the request.
    fn request(self, listener: &Listener) -> (Vec<u8>, Vec<u8>) {
        let start = format!("{} {} HTTP/1.1\r\nhost: h\r\n", listener.method, listener.path);
        let declared = format!("{start}content-length: {BODY_BYTES}\r\n\r\n");
        let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
        let last_chunk = b"0\r\n\r\n".to_vec();
        match self {
            Self::StalledBody | Self::StalledBodyInPieces => {
                let sent = [declared.as_bytes(), &vec![b' '; SENT_BYTES]].concat();
                (sent, vec![b' '; BODY_BYTES - SENT_BYTES])
            }
            Self::LargeChunks => {
                let chunk =
                    format!("{LARGE_CHUNK_BYTES:x}\r\n{}\r\n", " ".repeat(LARGE_CHUNK_BYTES));
                ((chunked + &chunk.repeat(LARGE_CHUNKS)).into_bytes(), last_chunk)
            }
            Self::OneByteChunks => {
                ((chunked + &"1\r\n \r\n".repeat(SMALL_CHUNKS)).into_bytes(), last_chunk)
            }
            Self::ManyHeaderFields => {
                let value = "v".repeat(HEADER_FIELD_BYTES);
                let fields = (0..HEADER_FIELDS).map(|index| format!("x-{index}: {value}\r\n"));
                ((start + &fields.collect::<String>()).into_bytes(), Vec::new())
            }
            Self::EndlessHeaderField => {
                ((start + "x: " + &"v".repeat(ENDLESS_BYTES)).into_bytes(), Vec::new())
            }
            Self::EmptyLines => ("\r\n".repeat(ENDLESS_BYTES / 2).into_bytes(), Vec::new()),
        }
    }
}

/// Open connections of the clients; dropping it closes them.
#[derive(Debug)]
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `size` clients to the listener and waits until each has sent its request or its
    /// connection is closed.
    pub async fn gather(kind: CrowdKind, listener: &Listener, size: usize) -> Self {
        let (sent, completion) = kind.request(listener);
        let (sent, completion) = (Arc::new(sent), Arc::new(completion));
        let mut clients = JoinSet::new();
        for index in 0..size {
            let (sent, completion) = (sent.clone(), completion.clone());
            let address = listener.address;
            clients.spawn(async move {
                let mut stream = TcpStream::connect(address).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let piece_bytes =
                    if kind == CrowdKind::StalledBodyInPieces { PIECE_BYTES } else { sent.len() };
                // An error means that the process has closed the connection, which it may.
                for piece in sent.chunks(piece_bytes) {
                    stream.write_all(piece).await.ok()?;
                    tokio::task::yield_now().await;
                }
                if index % COMPLETE_EVERY == 0 {
                    stream.write_all(&completion).await.ok()?;
                }
                Some(stream)
            });
        }
        Self { _connections: clients.join_all().await.into_iter().flatten().collect() }
    }
}
