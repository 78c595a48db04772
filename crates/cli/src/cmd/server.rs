//! `parsleyspool server`.

use crate::change::send_and_report;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use clap::{Args, Subcommand};
use error_stack::Report;
use parsleyspool_wire::config::ChangeWire;

/// Subcommands of `server`.
#[derive(Debug, Subcommand)]
pub enum ServerCommand {
    /// Let a backend server finish its tasks and give it no new ones.
    Leave(ServerArgs),
    /// Let a backend server take work again.
    Rejoin(ServerArgs),
}

/// Arguments of `server leave` and `server rejoin`.
#[derive(Debug, Args)]
pub struct ServerArgs {
    /// Name of the backend server.
    server: String,
}

impl ServerCommand {
    /// Runs the subcommand.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let change = match self {
            Self::Leave(args) => ChangeWire::LeaveServer { server: args.server },
            Self::Rejoin(args) => ChangeWire::RejoinServer { server: args.server },
        };
        send_and_report(&client, change).await
    }
}
