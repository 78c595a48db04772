//! `parsleyspool apply`.

use crate::change::send_and_report;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_wire::config::ChangeWire;
use std::path::PathBuf;

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// YAML file with a list of changes.
    file: PathBuf,
}

impl ApplyArgs {
    /// Sends the changes in order and stops at the first that fails.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let path = self.file.display().to_string();
        let text = std::fs::read_to_string(&self.file)
            .change_context(CommandError::Input)
            .attach_with(|| path.clone())?;
        let changes: Vec<ChangeWire> = serde_saphyr::from_str(&text)
            .map_err(|error| Report::new(CommandError::Input).attach(format!("{path}: {error}")))?;
        let client = OperatorClient::new(options)?;
        for change in changes {
            send_and_report(&client, change).await?;
        }
        Ok(())
    }
}
