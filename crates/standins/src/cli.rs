//! Command-line parser, and dispatch to the subcommands.

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
    /// Run all roles in one process and submit the jobs of a job file.
    Run(cmd::run::RunArgs),
    /// Run the stand-in for the platform's log service.
    Log(cmd::log::LogArgs),
    /// Run an experiment against running processes and print its report.
    Load(cmd::load::LoadArgs),
    /// Compare the reports of several runs: median and range for each variant.
    Compare(cmd::compare::CompareArgs),
    /// Write a table and a plot of the results by priority of several runs.
    Priorities(cmd::priorities::PrioritiesArgs),
    /// Measure how processing time, memory and message sizes grow with the size of the system.
    Cost(cmd::cost::CostArgs),
    /// Run an example backend server.
    Backend(cmd::backend::BackendArgs),
}

impl Cli {
    /// Runs the selected subcommand.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        match self.command {
            Command::Run(args) => args.run().await,
            Command::Log(args) => args.run().await,
            Command::Load(args) => args.run().await,
            Command::Cost(args) => args.run(),
            Command::Compare(args) => args.run(),
            Command::Priorities(args) => args.run(),
            Command::Backend(args) => args.run().await,
        }
    }
}
