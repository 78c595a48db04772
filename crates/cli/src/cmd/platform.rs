//! `parsleyspool platform`.

use crate::error::CommandError;
use clap::{Args, Subcommand};
use error_stack::{Report, ResultExt};
use parsleyspool_platform::startup::StartWindow;
use parsleyspool_platform::{agent, entry};
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Subcommands of `platform`.
#[derive(Debug, Subcommand)]
pub enum PlatformCommand {
    /// Run an entry on the platform.
    Entry(PlatformArgs),
    /// Run an agent on the platform.
    Agent(PlatformAgentArgs),
}

/// Arguments of `platform entry` and `platform agent`.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Settings file; defaults to the path in PARSLEYSPOOL_BOOT.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Time for which a start waits for valid settings and free ports before the process ends; defaults to
    /// 8h.
    #[arg(long, value_parser = humantime::parse_duration)]
    start_window: Option<Duration>,
}

impl PlatformArgs {
    fn window(&self) -> StartWindow {
        self.start_window.map(StartWindow::new).unwrap_or_default()
    }
}

/// Address that a variable or option may leave empty.
#[derive(Debug, Clone, Copy)]
struct OptionalAddress(Option<SocketAddr>);

impl FromStr for OptionalAddress {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Ok(Self(None));
        }
        text.parse().map(|address| Self(Some(address)))
    }
}

/// Arguments of `platform agent`.
#[derive(Debug, Args)]
pub struct PlatformAgentArgs {
    #[command(flatten)]
    common: PlatformArgs,
    /// Address of the platform's store, in which the agent finds entries when none answers, and reads
    /// whether its failure domain is in service when no entry can; empty if there is none.
    #[arg(long, env = "PARSLEYSPOOL_STORE", default_value = "")]
    store: OptionalAddress,
}

impl PlatformCommand {
    /// Serves until SIGTERM, then finishes the work in progress.
    pub async fn run(self) -> Result<(), Report<CommandError>> {
        let unfinished = match self {
            Self::Entry(args) => {
                let window = args.window();
                entry::run(args.settings, window).await
            }
            Self::Agent(args) => {
                let window = args.common.window();
                agent::run(args.common.settings, args.store.0, window).await
            }
        };
        super::drain_result(unfinished.change_context(CommandError::DaemonFailed)?)
    }
}
