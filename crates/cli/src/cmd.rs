//! One file for each subcommand.

pub mod agent;
pub mod entry;
mod signal;

use crate::error::CommandError;
use error_stack::Report;

/// Result of a daemon that stopped with `unfinished` jobs or tasks cut off.
fn ended(unfinished: usize) -> Result<(), Report<CommandError>> {
    if unfinished == 0 {
        return Ok(());
    }
    let text = format!("{unfinished} jobs or tasks were not finished within the bound");
    Err(Report::new(CommandError::Daemon).attach(text))
}
