//! MessagePack messages between the daemons.
//!
//! Each message is wrapped in an [`Envelope`] with a timestamp of the sender's hybrid logical
//! clock.

mod control;
mod task;

pub use control::{DirectiveMessage, HeartbeatMessage, PeerStateMessage, PeerStateQuery};
pub use task::{
    CancelMessage, ConfirmationWire, NotStartedReasonWire, StartMessage, StatusQueryMessage,
    TaskIdWire, TaskReplyMessage, TaskReplyWire,
};

use parsleyspool_core::time::HybridTimestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Message with the timestamp of its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Wall clock part of the timestamp, in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Counter part of the timestamp.
    #[serde(rename = "count")]
    pub counter: u32,
    /// Content of the message.
    pub body: T,
}

impl<T> Envelope<T> {
    /// Creates an envelope with the timestamp `stamp`.
    pub fn new(stamp: HybridTimestamp, body: T) -> Self {
        Self { wall_us: stamp.wall_us, counter: stamp.counter, body }
    }

    /// Timestamp of the sender's hybrid logical clock when it sent the message.
    pub fn stamp(&self) -> HybridTimestamp {
        HybridTimestamp { wall_us: self.wall_us, counter: self.counter }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
