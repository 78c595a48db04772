//! The command line, declared in one place.

use crate::cmd;
use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "parsleyspool", version, max_term_width = 80)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an entry, which takes jobs from callers.
    Entry(cmd::entry::EntryArgs),
    /// Run an agent, beside a backend server.
    Agent(cmd::agent::AgentArgs),
}

impl Cli {
    /// Runs the command and returns the exit code of the process.
    pub async fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Entry(args) => args.run().await,
            Command::Agent(args) => args.run().await,
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("parsleyspool: {report:?}");
                report.current_context().exit_code()
            }
        }
    }
}
