//! `parsleyspool verify`.

use crate::client::{ClientOptions, OperatorClient};
use crate::collected_events::CollectedEvents;
use crate::error::CommandError;
use crate::output::{print_json, print_line};
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
    #[serde(rename = "breaches")]
    violations: Vec<String>,
    gaps: Vec<String>,
}

impl VerifyArgs {
    /// Checks the invariants and prints the first violation of each; `--json` prints all.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        let collected = CollectedEvents::collect(&client).await;
        let report = check(&collected.events, GracePeriods::default());
        print(&client, &report, collected.gaps())?;
        if report.violations.is_empty() {
            return Ok(());
        }
        let text = format!("{} violations", report.violations.len());
        Err(Report::new(CommandError::InvariantViolated).attach(text))
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
            violations: report.violations.iter().map(ToString::to_string).collect(),
            gaps,
        });
    }
    print_line!("{} submissions, {} starts", report.submissions, report.starts);
    for &invariant in TimelineInvariant::ALL {
        let name = invariant.name();
        match report.first_violation(invariant) {
            None => print_line!("{name}: holds"),
            Some(violation) => print_line!("{name}: BROKEN first by {violation}"),
        }
    }
    for gap in gaps {
        print_line!("gap: {gap}; what it would show is not checked");
    }
    Ok(())
}
