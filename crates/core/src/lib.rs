//! Coordination components of the parsleyspool dispatcher.
//!
//! Every component is a state machine without I/O: the caller passes an event and the current time,
//! and receives the actions to carry out. Nothing in this package opens a socket, reads a clock or
//! spawns a task, so a component can be embedded in another program, replayed from a recorded
//! session, or driven by a property test.
//!
//! The daemons run [`entry::EntryMachine`] and [`agent::AgentMachine`]. These are built from
//! smaller components that can be used on their own: [`config::ConfigLedger`],
//! [`freshness::FreshnessLease`], [`claim::ClaimLedger`], [`directory::ServerDirectory`],
//! [`placement::PlacementPolicy`], [`queue::TeamQueue`], [`retry::RetryBudget`],
//! [`audit_log::RefusalBuffer`] and [`timeline::EventRing`].
//!
//! A job enters at an entry, which admits or refuses it, queues its tasks, dispatches them to
//! agents, retries them and answers the caller; [`entry`] names the module of each step. [`agent`]
//! checks and starts the tasks at a backend server, and [`run`] tracks their runs if a worker
//! executes them. [`audit_log`] records refusals and failures, [`timeline`] records events, and
//! [`checker`] checks the recorded events.

pub mod agent;
pub mod audit_log;
pub mod chart;
pub mod checker;
pub mod claim;
pub mod config;
pub mod directory;
pub mod entry;
pub mod error;
pub mod freshness;
pub mod id;
pub mod job;
pub mod lifecycle;
pub mod member;
mod named_enum;
pub mod overload;
pub mod placement;
pub mod queue;
pub mod resources;
pub mod retry;
pub mod route;
pub mod run;
pub mod time;
pub mod timeline;
