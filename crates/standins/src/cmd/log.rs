//! The `log` subcommand: runs the stand-in for the platform's log service.

use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::log::{LogStreams, server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Arguments of `log`.
#[derive(Debug, Args)]
pub struct LogArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7300")]
    listen: SocketAddr,
    /// Time after which a record expires.
    #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
    retention: Duration,
    /// File that keeps the records across restarts; without it they are only in memory.
    #[arg(long)]
    file: Option<PathBuf>,
}

impl LogArgs {
    /// Serves until the process is terminated.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        let mut streams = LogStreams::new(self.retention);
        if let Some(file) = &self.file {
            streams = streams.with_file(file).change_context(StandinError::File)?;
        }
        let listener = TcpListener::bind(self.listen).await.change_context(StandinError::Bind)?;
        println!("log stand-in listening on {}", self.listen);
        server::serve(listener, Arc::new(streams)).await;
        Ok(())
    }
}
