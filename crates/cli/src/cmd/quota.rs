//! `parsleyspool quota`.

use crate::change::send_and_report;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use clap::Args;
use error_stack::Report;
use parsleyspool_wire::config::{ChangeWire, QuotaWire};

/// Arguments of `quota`.
#[derive(Debug, Args)]
pub struct QuotaArgs {
    /// Name of the team.
    team: String,
    /// Maximum number of tasks accepted and not yet answered, over all entries.
    #[arg(long)]
    tasks_in_flight: u32,
    /// Weight of the team when several teams wait for the same slots.
    #[arg(long, default_value_t = 1)]
    weight: u32,
}

impl QuotaArgs {
    /// Sets the quota.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let quota = QuotaWire { tasks_in_flight: self.tasks_in_flight, weight: self.weight };
        send_and_report(&client, ChangeWire::SetQuota { team: self.team, quota }).await
    }
}
