//! Protocol of the platform's log service, as its stand-in speaks it.
//!
//! `POST /streams/NAME/records` appends the body as one record and answers with an [`AppendReply`].
//! `GET /streams/NAME/records?from=N&limit=M&wait_ms=W` answers with a [`ReadReply`]; where nothing
//! stands at or after `from`, the answer waits for a record or for `wait_ms`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the record.
    pub offset: u64,
}

/// Query of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadQuery {
    /// First offset wanted.
    pub from: u64,
    /// Most records wanted.
    pub limit: usize,
    /// Longest time to wait for a record, in milliseconds.
    pub wait_ms: u64,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecordWire {
    /// Offset.
    pub offset: u64,
    /// Content.
    pub data: Bytes,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset still held.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// Records from `from` on.
    pub records: Vec<LogRecordWire>,
}
