//! Command-line interface of the stand-ins.

mod cli;
mod cmd;

use clap::Parser;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match cli::Cli::parse().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("parsleyspool-standins: {report:?}");
            ExitCode::FAILURE
        }
    }
}
