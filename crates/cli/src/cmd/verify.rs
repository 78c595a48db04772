//! `parsleyspool verify`.

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::gather::GatheredEvents;
use crate::output::{print_json, say};
use clap::Args;
use error_stack::Report;
use parsleyspool_core::checker::{CheckReport, GracePeriods, TimelineInvariant, check};
use serde::Serialize;

/// Arguments of `verify`.
#[derive(Debug, Args)]
pub struct VerifyArgs {}

#[derive(Debug, Serialize)]
struct VerifyReport {
    submissions: usize,
    starts: usize,
    breaches: Vec<String>,
    gaps: Vec<String>,
}

impl VerifyArgs {
    /// Checks the promises and names the events that break them.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let gathered = GatheredEvents::load(&client).await;
        let report = check(&gathered.events, GracePeriods::default());
        print(&client, &report, gathered.gaps())?;
        if report.violations.is_empty() {
            return Ok(());
        }
        let text = format!("{} breaches", report.violations.len());
        Err(Report::new(CommandError::Broken).attach(text))
    }
}

fn print(
    client: &OperatorClient,
    report: &CheckReport,
    gaps: Vec<String>,
) -> Result<(), Report<CommandError>> {
    if client.options().json {
        return print_json(&VerifyReport {
            submissions: report.submissions,
            starts: report.starts,
            breaches: report.violations.iter().map(ToString::to_string).collect(),
            gaps,
        });
    }
    say!("{} submissions, {} starts", report.submissions, report.starts);
    for (promise, name) in TimelineInvariant::ALL {
        match report.first_violation(promise) {
            None => say!("{name}: holds"),
            Some(breach) => say!("{name}: BROKEN first by {breach}"),
        }
    }
    for gap in gaps {
        say!("gap: {gap}; what it would show is not checked");
    }
    Ok(())
}
