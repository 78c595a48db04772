//! Coordination parts of the parsleyspool dispatcher.
//!
//! Every part is a plain state machine: an event and the present time go in, an enum of what to do
//! next comes out. Nothing in this package opens a socket, reads a clock or spawns a task, so a
//! part can be embedded in another program, replayed from a recorded session, or driven by a
//! property test.
//!
//! The two parts that the daemons carry are [`entry::EntryMachine`] and [`agent::AgentMachine`].
//! They are put together from smaller parts that stand alone: [`config::ConfigLedger`],
//! [`freshness::FreshnessLease`], [`claim::ClaimLedger`], [`directory::ServerDirectory`],
//! [`placement::PlacementPolicy`], [`queue::TeamQueue`], [`retry::RetryBudget`],
//! [`account::RefusalBook`] and [`timeline::EventRing`].

pub mod account;
pub mod agent;
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
pub mod placement;
pub mod queue;
pub mod resources;
pub mod retry;
pub mod route;
pub mod run;
pub mod time;
pub mod timeline;
