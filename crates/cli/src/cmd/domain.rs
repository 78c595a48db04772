//! `parsleyspool domain`.

use crate::change::send_and_report;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use clap::{Args, Subcommand};
use error_stack::Report;
use parsleyspool_wire::config::{ChangeWire, DomainAvailabilityWire};

/// Subcommands of `domain`.
#[derive(Debug, Subcommand)]
pub enum DomainCommand {
    /// Take a failure domain out of service.
    Out(DomainArgs),
    /// Bring a failure domain back into service.
    Back(DomainArgs),
}

/// Arguments of `domain out` and `domain back`.
#[derive(Debug, Args)]
pub struct DomainArgs {
    /// Name of the failure domain.
    domain: String,
}

impl DomainCommand {
    /// Runs the subcommand.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let (domain, availability) = match self {
            Self::Out(args) => (args.domain, DomainAvailabilityWire::OutOfService),
            Self::Back(args) => (args.domain, DomainAvailabilityWire::InService),
        };
        send_and_report(&client, ChangeWire::SetDomainAvailability { domain, availability }).await
    }
}
