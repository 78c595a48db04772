//! TCP proxy that injects network faults in tests.
//!
//! It forwards bytes between a client and a server. A test can discard all further bytes on the
//! connections that are open, without closing them, while later connections work; pause one or
//! both directions until it resumes them, as in a network partition; delay all bytes; and reset all
//! connections. A proxy without a target closes every new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Direction of traffic that a fault applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the client to the server.
    Requests,
    /// From the server to the client.
    Answers,
    /// Both directions.
    Both,
}

impl LinkDirection {
    fn includes(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// Faults that apply to all connections. Connections watch it for changes.
#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    paused: Option<LinkDirection>,
    delay: Duration,
    /// Number of resets so far. A connection closes when the number rises.
    resets: u64,
}

/// Proxy in front of one server, shared by all its connections.
#[derive(Debug, Default)]
pub struct LinkProxy {
    target: Mutex<Option<SocketAddr>>,
    state: watch::Sender<LinkState>,
    connection_count: AtomicU64,
    /// Connections with lower numbers discard their requests.
    discard_requests_below: AtomicU64,
    /// Connections with lower numbers discard their answers.
    discard_answers_below: AtomicU64,
}

/// Size of the buffer for one read, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// What a connection does after one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyStep {
    Continue,
    Close,
    Reset,
}

impl LinkProxy {
    /// Creates a proxy without faults and without a target.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sets the address that new connections are forwarded to. With `None` they are closed.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Discards all further bytes in `direction` on the connections that are open now, without
    /// closing them. Later connections are not affected.
    pub fn discard_traffic(&self, direction: LinkDirection) {
        let connection_count = self.connection_count.load(Ordering::SeqCst);
        if direction.includes(LinkDirection::Requests) {
            self.discard_requests_below.store(connection_count, Ordering::SeqCst);
        }
        if direction.includes(LinkDirection::Answers) {
            self.discard_answers_below.store(connection_count, Ordering::SeqCst);
        }
    }

    /// Pauses all connections in the given direction, or resumes them with `None`. Bytes sent in
    /// the meantime are delivered later.
    pub fn set_paused(&self, paused: Option<LinkDirection>) {
        self.state.send_modify(|state| state.paused = paused);
    }

    /// Sets the delay before each chunk is forwarded, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Closes the connections that are open now with a TCP reset.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Number of connections forwarded so far, including closed ones.
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Forwards the connections of `listener` until the calling task is aborted.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let proxy = self.clone();
            let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
            tokio::spawn(async move {
                let Some(target) = target else { return };
                let Ok(server) = TcpStream::connect(target).await else { return };
                proxy.forward_connection(client, server).await;
            });
        }
    }

    async fn forward_connection(self: Arc<Self>, client: TcpStream, server: TcpStream) {
        let number = self.connection_count.fetch_add(1, Ordering::SeqCst);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let requests =
            self.forward_direction(client_in, server_out, LinkDirection::Requests, number);
        let answers = self.forward_direction(server_in, client_out, LinkDirection::Answers, number);
        tokio::join!(requests, answers);
    }

    async fn forward_direction(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        direction: LinkDirection,
        number: u64,
    ) {
        let mut states = self.state.subscribe();
        let resets = states.borrow().resets;
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let step = tokio::select! {
                _ = wait_for_state(&mut states, |state| state.resets != resets) => CopyStep::Reset,
                read = from.read(&mut chunk) => match read {
                    Ok(size) if size > 0 => {
                        self.forward_chunk(&chunk[..size], &mut to, direction, number).await
                    }
                    _ => CopyStep::Close,
                },
            };
            match step {
                CopyStep::Continue => {}
                CopyStep::Close => return,
                CopyStep::Reset => {
                    // Setting the option fails if the peer has already closed the connection, and
                    // then there is nothing to reset.
                    let _ = from.as_ref().set_zero_linger();
                    let _ = to.as_ref().set_zero_linger();
                    to.forget();
                    return;
                }
            }
        }
    }

    async fn forward_chunk(
        &self,
        chunk: &[u8],
        to: &mut OwnedWriteHalf,
        direction: LinkDirection,
        number: u64,
    ) -> CopyStep {
        let mut states = self.state.subscribe();
        let LinkState { resets, delay, .. } = *states.borrow();
        tokio::time::sleep(delay).await;
        let is_paused =
            |state: &LinkState| state.paused.is_some_and(|paused| paused.includes(direction));
        let can_proceed = |state: &LinkState| state.resets != resets || !is_paused(state);
        if wait_for_state(&mut states, can_proceed).await.is_none_or(|state| state.resets != resets)
        {
            return CopyStep::Reset;
        }
        if self.is_discarded(direction, number) {
            return CopyStep::Continue;
        }
        if to.write_all(chunk).await.is_ok() { CopyStep::Continue } else { CopyStep::Close }
    }

    fn is_discarded(&self, direction: LinkDirection, number: u64) -> bool {
        let discard_below = match direction {
            LinkDirection::Requests => &self.discard_requests_below,
            LinkDirection::Answers | LinkDirection::Both => &self.discard_answers_below,
        };
        number < discard_below.load(Ordering::SeqCst)
    }
}

/// Waits for a state that satisfies `is_reached`; `None` if the proxy has been dropped.
async fn wait_for_state(
    states: &mut watch::Receiver<LinkState>,
    is_reached: impl FnMut(&LinkState) -> bool,
) -> Option<LinkState> {
    states.wait_for(is_reached).await.ok().map(|state| *state)
}
