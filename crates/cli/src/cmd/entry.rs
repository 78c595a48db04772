//! `parsleyspool entry`.

use crate::error::CommandError;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_daemon::clock::SystemClock;
use parsleyspool_daemon::entry;
use parsleyspool_daemon::settings::{FileSeeds, ProcessSettings, load, read_seeds};
use parsleyspool_daemon::stop_signals::StopSignals;
use parsleyspool_daemon::telemetry::logging::LogControl;
use std::path::PathBuf;
use std::sync::Arc;

/// Arguments of `entry`.
#[derive(Debug, Args)]
pub struct EntryArgs {
    /// Settings file with the top-level key `entry`.
    #[arg(long)]
    settings: PathBuf,
}

impl EntryArgs {
    /// Serves until SIGTERM or SIGINT, then finishes the jobs in progress.
    pub async fn run(self) -> Result<(), Report<CommandError>> {
        let mut signals = StopSignals::open().change_context(CommandError::DaemonFailed)?;
        let settings = load(&self.settings).change_context(CommandError::Input)?;
        let ProcessSettings::Entry(settings) = settings else {
            return Err(Report::new(CommandError::Input)
                .attach("the settings file is for an agent, not an entry"));
        };
        let control = LogControl::install(&settings.telemetry.filter);
        let control = control.change_context(CommandError::Input)?;
        let clock = Arc::new(SystemClock::new());
        let seeds = Arc::new(FileSeeds::new(self.settings, read_seeds));
        let entry = entry::start(*settings, seeds, control, clock).await;
        let entry = entry.change_context(CommandError::DaemonFailed)?.run();
        tracing::info!(
            event = "listening",
            callers = %entry.components.caller_address(),
            peers = %entry.components.peer_address()
        );
        signals.received().await;
        let unfinished = entry.begin_drain().await.finish().await.state.unfinished;
        super::drain_result(unfinished)
    }
}
