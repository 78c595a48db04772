//! Logging and metrics of a process.

pub mod logging;
pub mod metrics;
