//! Subcommands, one module each.

pub mod backend;
pub mod compare;
pub mod cost;
pub mod load;
pub mod log;
pub mod priorities;
pub mod run;
