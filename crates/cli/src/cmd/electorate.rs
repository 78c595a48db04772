//! `parsleyspool electorate`.

use crate::change::send_and_report;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use clap::Args;
use error_stack::Report;
use parsleyspool_wire::config::ChangeWire;

/// Arguments of `electorate`.
#[derive(Debug, Args)]
pub struct ElectorateArgs {
    /// Names of all voting entries.
    #[arg(required = true)]
    entries: Vec<String>,
}

impl ElectorateArgs {
    /// Replaces the set of voting entries.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let entries = self.entries.into_iter().collect();
        send_and_report(&client, ChangeWire::SetElectorate { entries }).await
    }
}
