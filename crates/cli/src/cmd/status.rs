//! `parsleyspool status`.

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::{format_table, print_json, print_line};
use clap::Args;
use error_stack::Report;
use parsleyspool_wire::operator::StatusBody;

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {}

const HEADERS: [&str; 9] =
    ["process", "role", "domain", "worker", "state", "version", "heard", "load", "slots"];

impl StatusArgs {
    /// Prints the status of each entry and of the processes that it knows.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let statuses = client.statuses().await;
        let answered: Vec<&StatusBody> =
            statuses.iter().filter_map(|(_, status)| status.as_ref()).collect();
        if client.options().json {
            print_json(&answered)?;
        } else {
            answered.iter().for_each(|status| print_status(status));
        }
        let unreachable = statuses.iter().filter(|(_, status)| status.is_none());
        let unreachable: Vec<String> =
            unreachable.map(|(address, _)| address.to_string()).collect();
        if unreachable.is_empty() {
            return Ok(());
        }
        let text = format!("no answer from {}", unreachable.join(", "));
        Err(Report::new(CommandError::Unreachable).attach(text))
    }
}

fn print_status(status: &StatusBody) {
    print_line!(
        "{} is {}, holds version {} ({}), {} jobs, {} tasks queued",
        status.name,
        status.state,
        status.version,
        status.freshness,
        status.jobs,
        status.queued
    );
    let mut rows = vec![HEADERS.map(str::to_owned).to_vec()];
    for process in &status.processes {
        rows.push(vec![
            process.name.clone(),
            process.role.clone(),
            process.domain.clone(),
            process.worker.clone(),
            process.state.clone(),
            process.version.to_string(),
            format!("{} ms", process.message_age_ms),
            process.load.to_string(),
            process.slots.to_string(),
        ]);
    }
    print_line!("{}", format_table(&rows));
}
