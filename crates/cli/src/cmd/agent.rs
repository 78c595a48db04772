//! `parsleyspool agent`.

use crate::error::CommandError;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_daemon::agent;
use parsleyspool_daemon::clock::SystemClock;
use parsleyspool_daemon::settings::{FileSeeds, ProcessSettings, load, read_seeds};
use parsleyspool_daemon::stop_signals::StopSignals;
use parsleyspool_daemon::telemetry::logging::LogControl;
use std::path::PathBuf;
use std::sync::Arc;

/// Arguments of `agent`.
#[derive(Debug, Args)]
pub struct AgentArgs {
    /// Settings file with the top-level key `agent`.
    #[arg(long)]
    settings: PathBuf,
}

impl AgentArgs {
    /// Serves until SIGTERM or SIGINT, then finishes the tasks in progress.
    pub async fn run(self) -> Result<(), Report<CommandError>> {
        let mut signals = StopSignals::open().change_context(CommandError::DaemonFailed)?;
        let settings = load(&self.settings).change_context(CommandError::Input)?;
        let ProcessSettings::Agent(settings) = settings else {
            return Err(Report::new(CommandError::Input)
                .attach("the settings file is for an entry, not an agent"));
        };
        let control = LogControl::install(&settings.telemetry.filter);
        let control = control.change_context(CommandError::Input)?;
        let clock = Arc::new(SystemClock::new());
        let seeds = Arc::new(FileSeeds::new(self.settings, read_seeds));
        let agent = agent::start(*settings, seeds, control, clock).await;
        let agent = agent.change_context(CommandError::DaemonFailed)?.run();
        tracing::info!(event = "listening", peers = %agent.components.address());
        signals.received().await;
        let unfinished = agent.begin_drain().await.finish().await.state.unfinished;
        super::drain_result(unfinished)
    }
}
