//! The `backend` subcommand: runs an example backend server.

use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_standins::backend::{BackendModel, ExampleBackend, serve};
use parsleyspool_standins::error::StandinError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Arguments of `backend`.
#[derive(Debug, Args)]
pub struct BackendArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7400")]
    listen: SocketAddr,
    /// Factor applied to every run time; 2 is half as fast.
    #[arg(long, default_value_t = 1.0)]
    pace: f64,
    /// Run time of a task whose payload does not state one.
    #[arg(long, default_value = "100ms", value_parser = humantime::parse_duration)]
    run_time: Duration,
}

impl BackendArgs {
    /// Serves until the process is terminated.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        let model = BackendModel { slowdown: self.pace, run_time: self.run_time, fails_all: false };
        let listener = TcpListener::bind(self.listen).await.change_context(StandinError::Bind)?;
        println!("example backend server listening on {}", self.listen);
        serve(listener, Arc::new(ExampleBackend::new(model))).await;
        Ok(())
    }
}
