//! The dispatcher's daemons and operators' commands.

mod change;
mod cli;
mod client;
mod cmd;
mod error;
mod gather;
mod output;
mod picture;

use clap::Parser;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    cli::Cli::parse().run().await
}
