//! Decides which connections are closed when the memory budget or the connection limit is reached.

use std::cmp::Reverse;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of a request has arrived since the last answer.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// The body of a request is incomplete.
    Body,
    /// The request is complete and not answered yet.
    Serving,
    /// The connection is being closed.
    Closed,
}

/// State of a connection at the time of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSnapshot {
    /// Id of the connection.
    pub id: u64,
    /// What the connection is doing.
    pub phase: ConnectionPhase,
    /// Time in this phase, in milliseconds.
    pub age_ms: u64,
    /// Bytes held of the current request.
    pub held_bytes: u64,
    /// Whether a request of the connection has been answered.
    pub has_served: bool,
}

/// Factor by which a connection that has served requests may be idle longer than one that has not.
const SERVED_ADVANTAGE: u64 = 4;

impl ConnectionSnapshot {
    fn is_incomplete(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Head | ConnectionPhase::Body)
    }

    /// Bytes held, times the time spent in the phase: a stalled request outweighs a new one.
    fn memory_weight(&self) -> u64 {
        self.held_bytes.saturating_mul(self.age_ms + 1)
    }

    fn idle_weight(&self) -> u64 {
        let advantage = if self.has_served { 1 } else { SERVED_ADVANTAGE };
        (self.age_ms + 1).saturating_mul(advantage)
    }
}

/// Connections to close to release at least `excess_bytes`, or all that can be closed.
///
/// Only connections with an incomplete request are closed, those first that have held the most for
/// the longest time. A complete request is never cut.
pub fn choose_memory_victims(
    connections: impl Iterator<Item = ConnectionSnapshot>,
    excess_bytes: u64,
) -> Vec<u64> {
    let mut candidates: Vec<_> = connections
        .filter(|connection| connection.is_incomplete() && connection.held_bytes > 0)
        .collect();
    candidates.sort_unstable_by_key(|candidate| Reverse(candidate.memory_weight()));
    let mut released = 0;
    let victims = candidates.into_iter().take_while(|candidate| {
        let is_needed = released < excess_bytes;
        released += candidate.held_bytes;
        is_needed
    });
    victims.map(|victim| victim.id).collect()
}

/// Connection to close in favor of a new one: the one that has been idle or incomplete the longest,
/// where one that has served no request counts as older; `None` if all have complete requests.
pub fn choose_connection_victim(
    connections: impl Iterator<Item = ConnectionSnapshot>,
) -> Option<u64> {
    let candidates = connections.filter(|connection| {
        connection.phase == ConnectionPhase::Idle || connection.is_incomplete()
    });
    candidates.max_by_key(ConnectionSnapshot::idle_weight).map(|victim| victim.id)
}

#[cfg(test)]
mod tests {
    use super::ConnectionPhase::{Body, Head, Idle, Serving};
    use super::*;

    fn snapshot(id: u64, phase: ConnectionPhase, age_ms: u64, held: u64) -> ConnectionSnapshot {
        ConnectionSnapshot { id, phase, age_ms, held_bytes: held, has_served: false }
    }

    /// Failure: the budget is restored at the cost of callers whose requests are arriving.
    #[test]
    fn stalled_and_large_requests_are_closed_before_new_and_small_ones() {
        let connections = [
            snapshot(1, Body, 10, 260_000),
            snapshot(2, Body, 3_000, 260_000),
            snapshot(3, Head, 3_000, 300),
            snapshot(4, Head, 3_000, 16_000),
        ];

        assert_eq!(choose_memory_victims(connections.into_iter(), 260_000), [2]);
        assert_eq!(choose_memory_victims(connections.into_iter(), 270_000), [2, 4]);
        assert_eq!(choose_memory_victims(connections.into_iter(), u64::MAX), [2, 4, 1, 3]);
    }

    /// Failure: a job that an entry has accepted is cut off.
    #[test]
    fn complete_requests_are_never_closed() {
        let connections = [snapshot(1, Serving, 9_000, 260_000), snapshot(2, Serving, 9_000, 0)];

        assert!(choose_memory_victims(connections.into_iter(), u64::MAX).is_empty());
        assert_eq!(choose_connection_victim(connections.into_iter()), None);
    }

    /// Failure: idle connections that never sent a request push out those of callers.
    #[test]
    fn connections_that_served_no_request_make_room_first() {
        let served = ConnectionSnapshot { has_served: true, ..snapshot(1, Idle, 3_000, 0) };
        let connections = [served, snapshot(2, Idle, 1_000, 0), snapshot(3, Serving, 9_000, 0)];

        assert_eq!(choose_connection_victim(connections.into_iter()), Some(2));
        assert_eq!(choose_connection_victim([served].into_iter()), Some(1));
    }
}
