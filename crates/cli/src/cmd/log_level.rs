//! `parsleyspool log-level`.

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::print_line;
use clap::Args;
use error_stack::Report;
use parsleyspool_wire::operator::LogLevelBody;
use std::net::SocketAddr;

/// Arguments of `log-level`.
#[derive(Debug, Args)]
pub struct LogLevelArgs {
    /// Peer listener of the entry or agent.
    address: SocketAddr,
    /// Filter, as in `info,parsleyspool_daemon=debug`.
    filter: String,
}

impl LogLevelArgs {
    /// Sets the filter and prints the one that the process reports.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let body = LogLevelBody { filter: self.filter };
        let body = client.put(self.address, "/v1/log-level", &body).await?;
        print_line!("{} logs at {}", self.address, body.filter);
        Ok(())
    }
}
