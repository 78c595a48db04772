//! `parsleyspool platform`.

use crate::error::CommandError;
use clap::{Args, Subcommand};
use error_stack::{Report, ResultExt};
use parsleyspool_platform::{agent, entry};
use std::path::PathBuf;

/// Subcommands of `platform`.
#[derive(Debug, Subcommand)]
pub enum PlatformCommand {
    /// Run an entry on the platform.
    Entry(PlatformArgs),
    /// Run an agent on the platform.
    Agent(PlatformArgs),
}

/// Arguments of `platform entry` and `platform agent`.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Settings file; defaults to the path in PARSLEYSPOOL_BOOT.
    #[arg(long)]
    settings: Option<PathBuf>,
}

impl PlatformCommand {
    /// Serves until SIGTERM, then finishes the work in progress.
    pub async fn run(self) -> Result<(), Report<CommandError>> {
        let unfinished = match self {
            Self::Entry(args) => entry::run(args.settings).await,
            Self::Agent(args) => agent::run(args.settings).await,
        };
        super::drain_result(unfinished.change_context(CommandError::DaemonFailed)?)
    }
}
