//! The command line, declared in one place.

use crate::cmd;
use clap::{Parser, Subcommand};
use error_stack::Report;
use parsleyspool_standins::error::StandinError;

/// Stand-ins, example backend server and load tool for parsleyspool.
#[derive(Debug, Parser)]
#[command(name = "parsleyspool-standins", version, max_term_width = 80)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run all roles in one process and dispatch a job file.
    Run(cmd::run::RunArgs),
    /// Serve the stand-in of the platform's log.
    Log(cmd::log::LogArgs),
    /// Drive an experiment against running processes and report.
    Load(cmd::load::LoadArgs),
    /// Compare reports of several runs: median and spread of each variant.
    Compare(cmd::compare::CompareArgs),
    /// Measure the cost of the decision parts against the size of the system.
    Cost(cmd::cost::CostArgs),
    /// Serve an example backend server.
    Backend(cmd::backend::BackendArgs),
}

impl Cli {
    /// Runs the command.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        match self.command {
            Command::Run(args) => args.run().await,
            Command::Log(args) => args.run().await,
            Command::Load(args) => args.run().await,
            Command::Cost(args) => args.run(),
            Command::Compare(args) => args.run(),
            Command::Backend(args) => args.run().await,
        }
    }
}
