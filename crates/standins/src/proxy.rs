//! Proxy whose connections a test disturbs.
//!
//! It passes bytes between two ends. A test can silence the connections that are open, for good
//! and without an end, while later ones work; hold up every byte of one or both directions until
//! it lets them go, as a partition does; delay every byte; and reset all connections. Where it has
//! no target, it closes what connects.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Directions in which bytes do not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the client to the server.
    Requests,
    /// From the server to the client.
    Answers,
    /// Both.
    Both,
}

impl LinkDirection {
    fn includes(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// What happens to bytes now.
#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    held: Option<LinkDirection>,
    delay: Duration,
    resets: u64,
}

/// Proxy in front of one server.
#[derive(Debug, Default)]
pub struct LinkProxy {
    target: Mutex<Option<SocketAddr>>,
    state: watch::Sender<LinkState>,
    opened: AtomicU64,
    silent_requests: AtomicU64,
    silent_answers: AtomicU64,
}

/// Bytes passed in one piece.
const PIECE: usize = 16 << 10;

/// What to do with a connection after one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyStep {
    Go,
    End,
    Reset,
}

impl LinkProxy {
    /// Proxy that passes everything.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sets where later connections lead to; nowhere with `None`.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Stops passing bytes on every connection that is open now, for good.
    pub fn silence(&self, direction: LinkDirection) {
        let opened = self.opened.load(Ordering::SeqCst);
        if direction.includes(LinkDirection::Requests) {
            self.silent_requests.store(opened, Ordering::SeqCst);
        }
        if direction.includes(LinkDirection::Answers) {
            self.silent_answers.store(opened, Ordering::SeqCst);
        }
    }

    /// Holds up the bytes of `held` on every connection, until it is set otherwise.
    pub fn hold(&self, held: Option<LinkDirection>) {
        self.state.send_modify(|state| state.held = held);
    }

    /// Delays every piece.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Resets every connection that is open now.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Connections made so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Passes connections of `listener` on until the task is ended.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let proxy = self.clone();
            let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
            tokio::spawn(async move {
                let Some(target) = target else { return };
                let Ok(server) = TcpStream::connect(target).await else { return };
                proxy.pass(client, server).await;
            });
        }
    }

    async fn pass(self: Arc<Self>, client: TcpStream, server: TcpStream) {
        let number = self.opened.fetch_add(1, Ordering::SeqCst);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let requests = self.copy(client_in, server_out, LinkDirection::Requests, number);
        let answers = self.copy(server_in, client_out, LinkDirection::Answers, number);
        tokio::join!(requests, answers);
    }

    async fn copy(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        direction: LinkDirection,
        number: u64,
    ) {
        let mut states = self.state.subscribe();
        let resets = states.borrow().resets;
        let mut piece = vec![0; PIECE];
        loop {
            let step = tokio::select! {
                _ = wait_for(&mut states, |state| state.resets != resets) => CopyStep::Reset,
                read = from.read(&mut piece) => match read {
                    Ok(size) if size > 0 => {
                        self.pass_piece(&piece[..size], &mut to, direction, number).await
                    }
                    _ => CopyStep::End,
                },
            };
            match step {
                CopyStep::Go => {}
                CopyStep::End => return,
                CopyStep::Reset => {
                    // The peer may have gone first, and then there is nothing to reset.
                    let _ = from.as_ref().set_zero_linger();
                    let _ = to.as_ref().set_zero_linger();
                    to.forget();
                    return;
                }
            }
        }
    }

    async fn pass_piece(
        &self,
        piece: &[u8],
        to: &mut OwnedWriteHalf,
        direction: LinkDirection,
        number: u64,
    ) -> CopyStep {
        let mut states = self.state.subscribe();
        let LinkState { resets, delay, .. } = *states.borrow();
        tokio::time::sleep(delay).await;
        let is_held = |state: &LinkState| state.held.is_some_and(|held| held.includes(direction));
        let passes = |state: &LinkState| state.resets != resets || !is_held(state);
        if wait_for(&mut states, passes).await.is_none_or(|state| state.resets != resets) {
            return CopyStep::Reset;
        }
        if self.is_silent(direction, number) {
            return CopyStep::Go;
        }
        if to.write_all(piece).await.is_ok() { CopyStep::Go } else { CopyStep::End }
    }

    fn is_silent(&self, direction: LinkDirection, number: u64) -> bool {
        let silent_below = match direction {
            LinkDirection::Requests => &self.silent_requests,
            LinkDirection::Answers | LinkDirection::Both => &self.silent_answers,
        };
        number < silent_below.load(Ordering::SeqCst)
    }
}

/// First state that `is_reached` holds for; `None` once nothing sets states any more.
async fn wait_for(
    states: &mut watch::Receiver<LinkState>,
    is_reached: impl FnMut(&LinkState) -> bool,
) -> Option<LinkState> {
    states.wait_for(is_reached).await.ok().map(|state| *state)
}
