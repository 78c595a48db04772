//! `parsleyspool config`.

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::{print_json, print_line, write_stdout};
use clap::Args;
use error_stack::{Report, ResultExt};

/// Arguments of `config`.
#[derive(Debug, Args)]
pub struct ConfigArgs {}

impl ConfigArgs {
    /// Prints the configuration of the first entry that answers, with its freshness.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let body = client.config().await?;
        if client.options().json {
            return print_json(&body);
        }
        print_line!("# as of {}, {}", body.entry, body.freshness);
        let text = serde_saphyr::to_string(&body.configuration);
        write_stdout(format_args!("{}", text.change_context(CommandError::Input)?));
        Ok(())
    }
}
