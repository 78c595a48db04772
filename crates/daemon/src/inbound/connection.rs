//! State of one connection, shared by its task and by the guard.

use super::eviction::{ConnectionPhase, ConnectionSnapshot};
use futures_util::future::AbortHandle;
use std::sync::atomic::Ordering::{AcqRel, Acquire, Relaxed};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64};

const IDLE: u8 = 0;
const HEAD: u8 = 1;
const BODY: u8 = 2;
const SERVING: u8 = 3;
const CLOSED: u8 = 4;

/// State of one connection. Only its own task advances the phase, except to closed.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub id: u64,
    /// Ends the task of the connection.
    pub abort: AbortHandle,
    phase: AtomicU8,
    /// Start of the phase, in milliseconds since the start of the guard.
    since_ms: AtomicU64,
    /// Bytes of the current request read from the socket.
    received: AtomicU64,
    /// Bytes of its body that were passed on.
    body: AtomicU64,
    /// Bytes counted in the budget.
    held: AtomicU64,
    /// Bytes held when the connection was closed.
    closing: AtomicU64,
    /// Bytes counted as those of complete requests.
    serving: AtomicU64,
    has_served: AtomicBool,
    is_refused: AtomicBool,
}

impl ConnectionState {
    pub fn new(id: u64, abort: AbortHandle, now_ms: u64) -> Self {
        Self {
            id,
            abort,
            phase: AtomicU8::new(IDLE),
            since_ms: AtomicU64::new(now_ms),
            received: AtomicU64::new(0),
            body: AtomicU64::new(0),
            held: AtomicU64::new(0),
            closing: AtomicU64::new(0),
            serving: AtomicU64::new(0),
            has_served: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
        }
    }

    pub fn phase(&self) -> ConnectionPhase {
        match self.phase.load(Acquire) {
            IDLE => ConnectionPhase::Idle,
            HEAD => ConnectionPhase::Head,
            BODY => ConnectionPhase::Body,
            SERVING => ConnectionPhase::Serving,
            _ => ConnectionPhase::Closed,
        }
    }

    pub fn snapshot(&self, now_ms: u64) -> ConnectionSnapshot {
        ConnectionSnapshot {
            id: self.id,
            phase: self.phase(),
            age_ms: now_ms.saturating_sub(self.since_ms.load(Relaxed)),
            held_bytes: self.held.load(Relaxed),
            has_served: self.has_served.load(Relaxed),
        }
    }

    /// Advances from one of the phases `from`; `false` if the connection is closed.
    fn advance(&self, from: &[u8], to: u8, now_ms: u64) -> bool {
        self.since_ms.store(now_ms, Relaxed);
        from.iter().any(|from| self.phase.compare_exchange(*from, to, AcqRel, Acquire).is_ok())
    }

    /// Begins a request with its first byte; `false` if the connection is closed.
    pub fn begin_head(&self, now_ms: u64) -> bool {
        self.received.store(0, Relaxed);
        self.advance(&[IDLE], HEAD, now_ms)
    }

    /// Begins the body after the head, which may have arrived together with the former request.
    pub fn begin_body(&self, now_ms: u64) -> bool {
        self.advance(&[HEAD, IDLE], BODY, now_ms)
    }

    /// Marks the request as complete; `false` if the connection is closed.
    pub fn complete(&self, now_ms: u64) -> bool {
        self.advance(&[BODY], SERVING, now_ms)
    }

    /// Marks the request as answered, whether or not its body was read.
    pub fn finish(&self, now_ms: u64) {
        self.received.store(0, Relaxed);
        self.body.store(0, Relaxed);
        self.is_refused.store(false, Relaxed);
        self.has_served.store(true, Relaxed);
        self.advance(&[SERVING, BODY], IDLE, now_ms);
    }

    /// Marks the connection as closed in the phase `seen`; `false` if it has advanced since.
    pub fn close(&self, seen: ConnectionPhase) -> bool {
        let from = match seen {
            ConnectionPhase::Idle => IDLE,
            ConnectionPhase::Head => HEAD,
            ConnectionPhase::Body => BODY,
            ConnectionPhase::Serving | ConnectionPhase::Closed => return false,
        };
        self.phase.compare_exchange(from, CLOSED, AcqRel, Acquire).is_ok()
    }

    /// Counts bytes read from the socket and returns how many the current request has so far.
    pub fn add_received(&self, count: u64) -> u64 {
        self.received.fetch_add(count, Relaxed) + count
    }

    pub fn add_body(&self, count: u64) {
        self.body.fetch_add(count, Relaxed);
    }

    /// Bytes that the connection holds, of which at most `buffer_bytes` are in its read buffer.
    pub fn count_held(&self, buffer_bytes: u64) -> u64 {
        let body = self.body.load(Relaxed);
        let unread = self.received.load(Relaxed).saturating_sub(body);
        body + unread.min(buffer_bytes)
    }

    /// Replaces the bytes counted in the budget and returns the former ones.
    pub fn replace_held(&self, held: u64) -> u64 {
        self.held.swap(held, Relaxed)
    }

    pub fn held(&self) -> u64 {
        self.held.load(Relaxed)
    }

    /// Records the bytes held by the connection, which is closed, and returns them.
    pub fn begin_closing(&self) -> u64 {
        let held = self.held();
        self.closing.store(held, Relaxed);
        held
    }

    /// Bytes recorded when the connection was closed; 0 from the second call on.
    pub fn end_closing(&self) -> u64 {
        self.closing.swap(0, Relaxed)
    }

    /// Replaces the bytes counted as those of complete requests and returns the former ones.
    pub fn replace_serving(&self, serving: u64) -> u64 {
        self.serving.swap(serving, Relaxed)
    }

    /// Makes the service refuse the request.
    pub fn refuse(&self) {
        self.is_refused.store(true, Relaxed);
    }

    pub fn is_refused(&self) -> bool {
        self.is_refused.load(Relaxed)
    }
}
