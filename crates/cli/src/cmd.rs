//! Subcommands, one module each.

pub mod agent;
pub mod apply;
pub mod check;
pub mod config;
pub mod domain;
pub mod electorate;
pub mod entry;
pub mod log_level;
pub mod platform;
pub mod questionnaire;
pub mod quota;
pub mod reference;
pub mod refusals;
pub mod server;
pub mod service;
pub mod status;
pub mod timeline;
pub mod verify;

use crate::error::CommandError;
use error_stack::Report;

/// Result of a daemon that has stopped; an error if it left `unfinished` jobs or tasks.
fn drain_result(unfinished: usize) -> Result<(), Report<CommandError>> {
    if unfinished == 0 {
        return Ok(());
    }
    let text = format!("{unfinished} jobs or tasks were unfinished when the daemon stopped");
    Err(Report::new(CommandError::DaemonFailed).attach(text))
}
