//! Proxy that goes silent.
//!
//! It passes bytes between two ends until it is told to stop passing them in one or both
//! directions. Connections stay open then, and connections made later work again once
//! [`SilentProxy::silence`] has been given only for the open ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Directions in which bytes no longer pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentDirection {
    /// From the client to the server.
    Requests,
    /// From the server to the client.
    Answers,
    /// Both.
    Both,
}

/// Proxy in front of one server.
#[derive(Debug, Default)]
pub struct SilentProxy {
    opened: AtomicU64,
    silent_requests: AtomicU64,
    silent_answers: AtomicU64,
}

/// Bytes passed in one piece.
const PIECE: usize = 16 << 10;

impl SilentProxy {
    /// Proxy that passes everything.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Stops passing bytes on every connection that is open now.
    pub fn silence(&self, direction: SilentDirection) {
        let opened = self.opened.load(Ordering::SeqCst);
        if direction != SilentDirection::Answers {
            self.silent_requests.store(opened, Ordering::SeqCst);
        }
        if direction != SilentDirection::Requests {
            self.silent_answers.store(opened, Ordering::SeqCst);
        }
    }

    /// Connections made so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Passes connections of `listener` on to `target` until the task is ended.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let proxy = self.clone();
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else { return };
                proxy.pass(client, server).await;
            });
        }
    }

    async fn pass(self: Arc<Self>, client: TcpStream, server: TcpStream) {
        let number = self.opened.fetch_add(1, Ordering::SeqCst);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let requests = Self::copy(client_in, server_out, &self.silent_requests, number);
        let answers = Self::copy(server_in, client_out, &self.silent_answers, number);
        tokio::join!(requests, answers);
    }

    async fn copy(
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        silent_below: &AtomicU64,
        number: u64,
    ) {
        let mut piece = vec![0; PIECE];
        while let Ok(size) = from.read(&mut piece).await {
            let is_silent = number < silent_below.load(Ordering::SeqCst);
            if is_silent && size > 0 {
                continue;
            }
            if size == 0 || to.write_all(&piece[..size]).await.is_err() {
                return;
            }
        }
    }
}
