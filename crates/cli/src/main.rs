//! The dispatcher's daemons and operators' commands.

mod cli;
mod cmd;
mod error;

use clap::Parser;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    cli::Cli::parse().run().await
}
