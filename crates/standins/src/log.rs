//! Stand-in of the platform's append-only log service.
//!
//! [`LogStreams`] holds the records, [`MemoryLog`] is the log of a test in one process, and
//! [`server`] speaks the protocol of `parsleyspool_wire::platform`. Faults are induced through
//! [`LogFaults`]: an outage, slow answers, and answers lost after the append took effect.

pub mod server;
mod store;

pub use store::{LogFaults, LogStreams, MemoryLog};
