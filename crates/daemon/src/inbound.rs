//! HTTP server of all listeners, with limits on what clients can make a process hold.
//!
//! All listeners of a process share one [`InboundGuard`]: a budget for the bytes received of requests
//! that are not answered yet, a limit on connections, and times for receiving heads and bodies.

mod connection;
pub mod eviction;
mod guard;
mod server;

pub use guard::{CloseReason, InboundGuard, InboundLimits};
pub use server::serve;
