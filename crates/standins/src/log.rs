//! Stand-in for the platform's append-only log service.
//!
//! [`LogStreams`] stores the records. [`server`] serves them over HTTP with the protocol of
//! `parsleyspool_wire::log_service`, and [`MemoryLog`] gives tests access to them without a socket.
//! [`LogFaults`] injects faults: an outage, slow answers, and appends that take effect although
//! their answer is lost.

pub mod server;
mod store;

pub use store::{LogFaults, LogStreams, MemoryLog};
