//! Protocol of the platform's log service, as implemented by its stand-in.
//!
//! `POST /streams/NAME/records` appends the body as one record and returns an [`AppendReply`].
//! `GET /streams/NAME/records?from=N&limit=M&wait_ms=W` returns a [`ReadReply`]. If there is no
//! record at or after `from`, the log holds the request open until one is appended or `wait_ms` has
//! passed. Replies are encoded as MessagePack.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Reply to an append, sent once the record is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended record.
    pub offset: u64,
}

/// Query parameters of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadQuery {
    /// Offset of the first record to return.
    pub from: u64,
    /// Maximum number of records to return.
    pub limit: usize,
    /// Longest time to wait for a record, in milliseconds.
    pub wait_ms: u64,
}

/// Record of a stream with its offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecordWire {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Bytes of the record as appended.
    pub data: Bytes,
}

/// Reply to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Offset of the oldest record that the log still holds.
    pub earliest: u64,
    /// Offset that the next appended record will have.
    pub end: u64,
    /// Records from the requested offset on, in ascending order; empty if none arrived in time.
    pub records: Vec<LogRecordWire>,
}
