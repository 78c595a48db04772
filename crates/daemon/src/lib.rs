//! Daemons of the parsleyspool dispatcher.
//!
//! This package carries the decisions of `parsleyspool-core` on tokio and xtra: it opens the
//! sockets, reads the clocks and moves the messages, and decides nothing itself. [`entry`] is the
//! daemon that callers talk to, [`agent`] the one beside each backend server. Everything outside
//! stands behind the narrow traits of [`interfaces`].

pub mod agent;
pub mod backend;
pub mod clock;
pub mod components;
pub mod entry;
pub mod error;
pub mod http;
pub mod interfaces;
pub mod lifecycle;
pub mod log_client;
pub mod peer_client;
pub mod peer_connections;
pub mod process_http;
pub mod recorder;
pub mod settings;
pub mod telemetry;
pub mod worker;
