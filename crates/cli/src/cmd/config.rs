//! `parsleyspool config`.

mod check;

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::{print_json, print_line, write_stdout};
use clap::{Args, Subcommand};
use error_stack::{Report, ResultExt};

/// Arguments of `config`.
#[derive(Debug, Args)]
pub struct ConfigArgs {
    #[command(subcommand)]
    command: Option<ConfigCommand>,
}

/// Subcommands of `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a configuration or a file of changes; sends no change.
    Check(check::ConfigCheckArgs),
}

impl ConfigArgs {
    /// Prints the configuration of the first entry that answers, with its freshness, or runs the
    /// subcommand.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        if let Some(ConfigCommand::Check(args)) = self.command {
            return args.run(options).await;
        }
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
