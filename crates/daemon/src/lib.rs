//! Daemons of the parsleyspool dispatcher.
//!
//! This crate runs the state machines of `parsleyspool-core` on tokio and xtra. It opens sockets,
//! reads clocks and transports messages; all scheduling decisions are made in the core crate.
//! [`entry`] is the daemon that callers connect to, [`agent`] is the daemon next to each backend
//! server. Both reach everything external through the traits of [`interfaces`].

pub mod agent;
pub mod answer;
pub mod backend_client;
pub mod clock;
pub mod components;
pub mod entry;
pub mod error;
pub mod http;
pub mod inbound;
pub mod interfaces;
pub mod lifecycle;
pub mod log_client;
mod member_stream;
pub mod peer_client;
pub mod peer_connections;
pub mod process_http;
pub mod reconnecting_client;
pub mod recorder;
pub mod settings;
mod stall_detector;
pub mod stop_signals;
pub mod telemetry;
pub mod worker_client;
