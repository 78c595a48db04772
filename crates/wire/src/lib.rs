//! Wire types of the parsleyspool dispatcher.
//!
//! The domain types of `parsleyspool-core` are never serialised. Each format that leaves a process
//! has its own types here, which convert from domain types with `From` and to them with `From` or
//! `TryFrom`. A change of the domain types therefore cannot silently change a format.
//!
//! * [`caller`]: JSON between callers and entries;
//! * [`operator`]: JSON between the command line and the daemons;
//! * [`peer`]: MessagePack between the daemons;
//! * [`record`]: MessagePack records in the streams of the log;
//! * [`log_service`]: MessagePack between the daemons and the log service of the platform;
//! * [`config`]: the configuration and its changes, in YAML and JSON and in messages and records;
//! * [`codec`]: encoding and decoding of MessagePack with size limits.

pub mod caller;
pub mod codec;
pub mod config;
pub mod log_service;
pub mod operator;
pub mod peer;
pub mod record;
