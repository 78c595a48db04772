//! Connection state of each peer, as defined by the connection state chart.
//!
//! An open connection can stall permanently while new connections work. After a failed or timed-out
//! request the peer is suspect: every message to it uses a new connection until the pool has
//! dropped all idle connections and the peer has answered.

use parsleyspool_core::id::PeerAddress;
use parsleyspool_core::lifecycle::{ConnectionEvent, ConnectionState, LifecycleCharts};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
struct PeerConnection {
    state: ConnectionState,
    updated_at: Instant,
}

/// Connection states of all peers.
#[derive(Debug)]
pub struct PeerConnections {
    peers: Mutex<HashMap<PeerAddress, PeerConnection>>,
    min_suspect_time: Duration,
}

/// Largest number of tracked peers; beyond it, the least recently updated peer is evicted.
const MAX_TRACKED_PEERS: usize = 20_000;

impl PeerConnections {
    /// Tracks no peers yet; a suspect peer stays suspect for at least `min_suspect_time`.
    pub fn new(min_suspect_time: Duration) -> Self {
        Self { peers: Mutex::new(HashMap::new()), min_suspect_time }
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<PeerAddress, PeerConnection>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether messages to `address` must use a new connection.
    pub fn is_suspect(&self, address: &PeerAddress) -> bool {
        let peers = self.peers();
        peers.get(address).is_some_and(|peer| peer.state == ConnectionState::Suspect)
    }

    /// Records an answer or a timeout of the peer.
    pub fn record(&self, address: &PeerAddress, event: ConnectionEvent) {
        let chart = &LifecycleCharts::shared().connection;
        let now = Instant::now();
        let mut peers = self.peers();
        let known = peers.get(address).copied();
        let known = known.unwrap_or(PeerConnection { state: chart.initial(), updated_at: now });
        let is_recent = now.duration_since(known.updated_at) < self.min_suspect_time;
        let is_answer = event == ConnectionEvent::Answer;
        if known.state == ConnectionState::Suspect && is_answer && is_recent {
            return;
        }
        let Ok(state) = chart.next(known.state, event) else { return };
        if peers.len() >= MAX_TRACKED_PEERS && !peers.contains_key(address) {
            Self::evict_oldest(&mut peers);
        }
        peers.insert(address.clone(), PeerConnection { state, updated_at: now });
    }

    fn evict_oldest(peers: &mut HashMap<PeerAddress, PeerConnection>) {
        let oldest = peers.iter().min_by_key(|(_, peer)| peer.updated_at);
        if let Some(address) = oldest.map(|(address, _)| address.clone()) {
            peers.remove(&address);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::PeerConnections;
    use parsleyspool_core::lifecycle::ConnectionEvent::{Answer, Timeout};
    use std::time::Duration;

    #[tokio::test(start_paused = true)]
    async fn suspect_peer_recovers_after_the_minimum_time_and_an_answer() {
        let connections = PeerConnections::new(Duration::from_secs(5));
        let peer = "127.0.0.1:1".into();

        connections.record(&peer, Timeout);
        connections.record(&peer, Answer);
        let is_suspect_after_early_answer = connections.is_suspect(&peer);
        tokio::time::advance(Duration::from_secs(6)).await;
        let is_suspect_without_late_answer = connections.is_suspect(&peer);
        connections.record(&peer, Answer);

        assert!(is_suspect_after_early_answer);
        assert!(is_suspect_without_late_answer);
        assert!(!connections.is_suspect(&peer));
    }
}
