//! One file for each subcommand.

pub mod backend;
pub mod log;
pub mod run;
