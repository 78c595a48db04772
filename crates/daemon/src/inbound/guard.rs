//! Budget, connection limit and times of all listeners of a process.

use super::connection::ConnectionState;
use super::eviction::{ConnectionPhase, choose_connection_victim, choose_memory_victims};
use crate::telemetry::metrics::DaemonMetrics;
use futures_util::future::AbortHandle;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Limits on what clients can make a process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundLimits {
    /// Most bytes held of requests that are not answered yet.
    pub memory_bytes: u64,
    /// Most connections, of all listeners together.
    pub connections: usize,
    /// Largest head of a request, with the empty lines before it.
    pub head_bytes: usize,
    /// Longest time for receiving a head, from its first byte.
    pub head_time: Duration,
    /// Longest time for receiving a body, from the end of its head.
    pub body_time: Duration,
}

/// Why a connection was closed or a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The head was larger than the limit.
    HeadBytes,
    /// The head was not complete in time.
    HeadTime,
    /// The body was not complete in time.
    BodyTime,
    /// The memory budget was exhausted.
    Memory,
    /// The connection limit was reached.
    Connections,
}

impl CloseReason {
    const ALL: [Self; 5] =
        [Self::HeadBytes, Self::HeadTime, Self::BodyTime, Self::Memory, Self::Connections];

    /// Label value of the metric.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadBytes => "head_bytes",
            Self::HeadTime => "head_time",
            Self::BodyTime => "body_time",
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// Interval at which overdue requests are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the budget that is free after connections were closed, as a divisor, so that the next
/// bytes do not require another search.
const RELIEF_SHARE: u64 = 8;
/// Share of the budget by which connections being closed may exceed it, as a divisor.
const OVERRUN_SHARE: u64 = 8;
/// Quarters of the budget that complete requests may occupy. The rest stays available for receiving
/// requests, and for small ones.
const SERVING_QUARTERS: u64 = 3;

/// Limits of a process and the connections of all of its listeners.
#[derive(Debug)]
pub struct InboundGuard {
    limits: InboundLimits,
    metrics: Arc<DaemonMetrics>,
    started_at: Instant,
    /// Bytes held by all connections.
    used: AtomicU64,
    /// Bytes of these that are held by connections being closed.
    closing: AtomicU64,
    /// Bytes held by complete requests.
    serving: AtomicU64,
    registry: Mutex<Registry>,
    /// Connections closed since the last log line, by reason.
    closed: [AtomicU64; CloseReason::ALL.len()],
}

#[derive(Debug, Default)]
struct Registry {
    next_id: u64,
    connections: HashMap<u64, Arc<ConnectionState>>,
}

impl InboundGuard {
    /// Creates a guard without connections.
    pub fn new(limits: InboundLimits, metrics: Arc<DaemonMetrics>) -> Self {
        Self {
            limits,
            metrics,
            started_at: Instant::now(),
            used: AtomicU64::new(0),
            closing: AtomicU64::new(0),
            serving: AtomicU64::new(0),
            registry: Mutex::default(),
            closed: Default::default(),
        }
    }

    /// Limits of the process.
    pub fn limits(&self) -> &InboundLimits {
        &self.limits
    }

    /// Bytes held of requests that are not answered yet.
    pub fn held_bytes(&self) -> u64 {
        self.used.load(Relaxed)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.registry().connections.len()
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Admits a new connection, in place of another if the limit is reached; `None` if all others
    /// have requests in progress.
    pub(super) fn admit(self: &Arc<Self>, abort: AbortHandle) -> Option<OpenConnection> {
        let now_ms = self.now_ms();
        let mut registry = self.registry();
        if registry.connections.len() >= self.limits.connections {
            self.count_closed(CloseReason::Connections);
            let snapshots = registry.connections.values().map(|state| state.snapshot(now_ms));
            let victim = choose_connection_victim(snapshots)?;
            self.close(&mut registry, victim);
        }
        let id = registry.next_id;
        registry.next_id += 1;
        let state = Arc::new(ConnectionState::new(id, abort, now_ms));
        registry.connections.insert(id, state.clone());
        Some(OpenConnection { state, guard: self.clone() })
    }

    /// Closes a connection unless its request has become complete; `false` if it has.
    fn close(&self, registry: &mut Registry, id: u64) -> bool {
        let Some(state) = registry.connections.get(&id) else { return false };
        let is_closed = state.close(state.phase());
        if is_closed {
            self.closing.fetch_add(state.begin_closing(), Relaxed);
            state.abort.abort();
            registry.connections.remove(&id);
        }
        is_closed
    }

    /// Counts a connection that was closed or a request that was refused.
    pub(super) fn count_closed(&self, reason: CloseReason) {
        self.metrics.count_inbound_closed(reason.name());
        self.closed[reason as usize].fetch_add(1, Relaxed);
    }

    fn set_held(&self, state: &ConnectionState, held: u64) -> u64 {
        let former = state.replace_held(held);
        let used = self.used.fetch_add(held.wrapping_sub(former), Relaxed);
        used.wrapping_add(held.wrapping_sub(former))
    }

    /// Bytes held by connections that stay open.
    fn staying(&self) -> u64 {
        self.held_bytes().saturating_sub(self.closing.load(Relaxed))
    }

    /// Closes connections until the budget will have room again.
    fn relieve(&self) {
        if self.staying() <= self.limits.memory_bytes {
            return;
        }
        // Whoever holds the lock is about to make room, or to add or remove a connection.
        let Ok(mut registry) = self.registry.try_lock() else { return };
        let limit = self.limits.memory_bytes;
        let staying = self.staying();
        if staying <= limit {
            return;
        }
        let now_ms = self.now_ms();
        let excess = staying - (limit - limit / RELIEF_SHARE);
        let snapshots = registry.connections.values().map(|state| state.snapshot(now_ms));
        for victim in choose_memory_victims(snapshots, excess) {
            if self.close(&mut registry, victim) {
                self.count_closed(CloseReason::Memory);
            }
        }
    }

    /// Closes the connections whose head or body was not received in time by `now`, a time since the
    /// start of the guard.
    pub fn close_overdue(&self, now: Duration) {
        let now_ms = now.as_millis() as u64;
        let (head_ms, body_ms) =
            (self.limits.head_time.as_millis(), self.limits.body_time.as_millis());
        let mut registry = self.registry();
        let overdue = registry.connections.values().filter_map(|state| {
            let snapshot = state.snapshot(now_ms);
            let (reason, limit_ms) = match snapshot.phase {
                ConnectionPhase::Head => (CloseReason::HeadTime, head_ms),
                ConnectionPhase::Body => (CloseReason::BodyTime, body_ms),
                _ => return None,
            };
            (u128::from(snapshot.age_ms) > limit_ms).then_some((snapshot.id, reason))
        });
        for (id, reason) in overdue.collect::<Vec<_>>() {
            if self.close(&mut registry, id) {
                self.count_closed(reason);
            }
        }
    }

    /// Closes overdue connections, sets the gauges and logs what was closed; never returns.
    pub async fn sweep(self: Arc<Self>) {
        let mut logged_at = self.started_at;
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.close_overdue(self.started_at.elapsed());
            self.metrics.set_gauge("inbound_connections", self.connections() as u64);
            self.metrics.set_gauge("inbound_bytes", self.held_bytes());
            if logged_at.elapsed() >= LOG_INTERVAL && self.log_closed() {
                logged_at = Instant::now();
            }
        }
    }

    /// Logs the number of closed connections by reason; `false` if there are none.
    fn log_closed(&self) -> bool {
        let [head_bytes, head_time, body_time, memory, connections] =
            CloseReason::ALL.map(|reason| self.closed[reason as usize].swap(0, Relaxed));
        let is_any = head_bytes + head_time + body_time + memory + connections > 0;
        if is_any {
            tracing::warn!(
                event = "connections_closed",
                head_bytes,
                head_time,
                body_time,
                memory,
                connections,
                held_bytes = self.held_bytes(),
            );
        }
        is_any
    }
}

/// Open connection; dropping it releases what it holds.
#[derive(Debug)]
pub(super) struct OpenConnection {
    pub state: Arc<ConnectionState>,
    pub guard: Arc<InboundGuard>,
}

impl OpenConnection {
    /// Handle for the service of the connection, which does not keep the connection open.
    pub fn handle(&self) -> RequestHandle {
        RequestHandle { state: self.state.clone(), guard: self.guard.clone() }
    }

    /// Counts bytes read from the socket; `false` if the connection is or must be closed.
    pub fn receive(&self, count: u64) -> bool {
        let (state, guard) = (&self.state, &self.guard);
        if state.phase() == ConnectionPhase::Idle && !state.begin_head(guard.now_ms()) {
            return false;
        }
        let received = state.add_received(count);
        let buffer_bytes = guard.limits.head_bytes as u64;
        // hyper reads on while its buffer is not full, so an incomplete head comes with less than two
        // buffers. More are empty lines, which hyper drops from its buffer without an error.
        if state.phase() == ConnectionPhase::Head && received > 2 * buffer_bytes {
            guard.count_closed(CloseReason::HeadBytes);
            return false;
        }
        let used = guard.set_held(state, state.count_held(buffer_bytes));
        let limit = guard.limits.memory_bytes;
        if used > limit {
            guard.relieve();
        }
        // Closed connections release their memory only when their tasks run. Until then, incomplete
        // requests that hold more than a read buffer may not grow.
        let is_incomplete = matches!(state.phase(), ConnectionPhase::Head | ConnectionPhase::Body);
        if used > limit + limit / OVERRUN_SHARE && is_incomplete && state.held() > buffer_bytes {
            guard.count_closed(CloseReason::Memory);
            return false;
        }
        state.phase() != ConnectionPhase::Closed
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.guard.set_held(&self.state, 0);
        self.guard.closing.fetch_sub(self.state.end_closing(), Relaxed);
        self.guard.serving.fetch_sub(self.state.replace_serving(0), Relaxed);
        self.guard.registry().connections.remove(&self.state.id);
    }
}

/// Request in progress on a connection.
#[derive(Debug, Clone)]
pub(super) struct RequestHandle {
    state: Arc<ConnectionState>,
    guard: Arc<InboundGuard>,
}

impl RequestHandle {
    /// Begins the body.
    pub fn begin_body(&self) {
        self.state.begin_body(self.guard.now_ms());
    }

    /// Counts bytes of the body that are passed on.
    pub fn pass_on(&self, count: u64) {
        self.state.add_body(count);
        let held = self.state.count_held(self.guard.limits.head_bytes as u64);
        self.guard.set_held(&self.state, held);
    }

    /// Marks the request as complete; `false` if its end must be withheld from its handler.
    pub fn complete(&self) -> bool {
        if self.state.phase() == ConnectionPhase::Serving {
            return true;
        }
        if !self.state.complete(self.guard.now_ms()) {
            return false;
        }
        let held = self.state.held();
        let serving = self.guard.serving.fetch_add(held, Relaxed) + held;
        self.state.replace_serving(held);
        let is_small = held <= self.guard.limits.head_bytes as u64;
        let is_accepted =
            is_small || serving <= self.guard.limits.memory_bytes / 4 * SERVING_QUARTERS;
        if !is_accepted {
            self.guard.count_closed(CloseReason::Memory);
            self.state.refuse();
        }
        is_accepted
    }

    /// Whether the request is refused for lack of memory.
    pub fn is_refused(&self) -> bool {
        self.state.is_refused()
    }

    /// Marks the request as answered and releases what it held.
    pub fn finish(&self) {
        self.state.finish(self.guard.now_ms());
        self.guard.set_held(&self.state, 0);
        self.guard.serving.fetch_sub(self.state.replace_serving(0), Relaxed);
    }
}
