//! Command-line program that runs the daemons and the operators' commands.

mod change;
mod cli;
mod client;
mod cmd;
mod collected_events;
mod error;
mod output;
mod timeline_chart;

use clap::Parser;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    cli::Cli::parse().run().await
}
