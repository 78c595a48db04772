//! Wire types of the parsleyspool dispatcher.
//!
//! The domain types of `parsleyspool-core` are never serialised themselves. Each form that leaves a
//! process has a type of its own here, with `From` for the way out and `From` or `TryFrom` for the
//! way in, so that a change of a decision does not silently change a format.
//!
//! * [`caller`]: JSON between callers and entries;
//! * [`operator`]: JSON between the command line and the daemons;
//! * [`peer`]: MessagePack between the daemons;
//! * [`record`]: MessagePack in the streams of the log;
//! * [`platform`]: the protocol of the platform's log service.

pub mod caller;
pub mod codec;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod record;
pub mod settings;
