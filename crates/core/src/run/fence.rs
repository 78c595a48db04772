//! Fencing tokens of an agent.
//!
//! The worker does nothing for a call whose token is lower than one that it has seen, so each agent
//! needs a token above those of its predecessors, and above its own from before a restart of the
//! server: calls from then may still arrive. Nothing is stored, so the token is the time at the
//! server, which the start time of the incarnation and the reading of its steady clock give together.
//! If the wall clock of the server went back between two incarnations, the worker may have seen a
//! higher token; the agent then raises its own until it is accepted.

use super::protocol::{FenceToken, ServerIncarnation};
use std::time::Duration;

/// Highest token taken from a clock, in milliseconds: the largest integer that every JSON parser
/// reads exactly.
const MAX_CLOCK_TOKEN: FenceToken = (1 << 53) - 1;
/// First step by which a refused token is raised; it doubles with each further refusal.
const FIRST_RAISE: FenceToken = 1;

/// Chooses the tokens of one agent, each higher than the one before.
#[derive(Debug)]
pub(super) struct FenceChooser {
    latest: FenceToken,
    raise: FenceToken,
}

impl FenceChooser {
    pub(super) fn new() -> Self {
        Self { latest: 0, raise: FIRST_RAISE }
    }

    /// Token for `incarnation`, whose clock reads `clock`.
    pub(super) fn choose(
        &mut self,
        incarnation: &ServerIncarnation,
        clock: Duration,
    ) -> FenceToken {
        let time_ms = (incarnation.started_at + clock).as_millis();
        let from_clock = FenceToken::try_from(time_ms).unwrap_or(FenceToken::MAX);
        let raised = self.latest.saturating_add(self.raise);
        self.latest = from_clock.min(MAX_CLOCK_TOKEN).max(raised);
        self.latest
    }

    /// Records that the worker refused the latest token.
    pub(super) fn record_refusal(&mut self) {
        self.raise = self.raise.saturating_mul(2);
    }

    /// Records that the worker accepted the latest token.
    pub(super) fn record_acceptance(&mut self) {
        self.raise = FIRST_RAISE;
    }
}
