//! Making a change and waiting until it is in force everywhere.

use crate::client::OperatorClient;
use crate::error::CommandError;
use crate::output::{print_json, say};
use error_stack::Report;
use parsleyspool_core::config::ConfigChange;
use parsleyspool_wire::settings::ChangeWire;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What an operator is told of a change.
#[derive(Debug, Serialize)]
struct ChangeReport {
    subject: String,
    version: u64,
    accepted_ms: u128,
    in_force_ms: Option<u128>,
    missing: Vec<MissingProcess>,
}

/// Process that has not confirmed a version.
#[derive(Debug, Clone, Serialize)]
struct MissingProcess {
    name: String,
    role: String,
    version: u64,
    heard_ms: u64,
}

/// Time between two looks at who has confirmed.
const POLL: Duration = Duration::from_millis(100);

/// Makes `change`, waits where the options say so, and prints the result.
///
/// # Errors
/// Fails where the change is rejected or not confirmed in time.
pub async fn make(client: &OperatorClient, change: ChangeWire) -> Result<(), Report<CommandError>> {
    let subject = ConfigChange::from(change.clone()).subject();
    let started = Instant::now();
    let accepted = client.change(&subject, change).await?;
    let mut report = ChangeReport {
        subject: subject.to_string(),
        version: accepted.version,
        accepted_ms: started.elapsed().as_millis(),
        in_force_ms: None,
        missing: Vec::new(),
    };
    if let Some(wait) = client.options().wait {
        report.missing = await_everywhere(client, accepted.version, started + wait).await;
        report.in_force_ms = report.missing.is_empty().then(|| started.elapsed().as_millis());
    }
    print(client, &report)?;
    if report.missing.is_empty() {
        return Ok(());
    }
    let text = format!("{} processes have not confirmed", report.missing.len());
    Err(Report::new(CommandError::Unconfirmed).attach(text))
}

fn print(client: &OperatorClient, report: &ChangeReport) -> Result<(), Report<CommandError>> {
    if client.options().json {
        return print_json(report);
    }
    say!(
        "accepted {} as version {} after {} ms",
        report.subject,
        report.version,
        report.accepted_ms
    );
    if let Some(in_force) = report.in_force_ms {
        say!("in force everywhere after {in_force} ms");
    }
    for missing in &report.missing {
        say!(
            "not confirmed: {} {} holds version {}, heard from {} ms ago",
            missing.role,
            missing.name,
            missing.version,
            missing.heard_ms
        );
    }
    Ok(())
}

/// Waits until every process known holds `version`; returns those that do not by `until`.
async fn await_everywhere(
    client: &OperatorClient,
    version: u64,
    until: Instant,
) -> Vec<MissingProcess> {
    loop {
        let missing = missing(client, version).await;
        if missing.is_empty() || Instant::now() >= until {
            return missing;
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn missing(client: &OperatorClient, version: u64) -> Vec<MissingProcess> {
    let mut processes: BTreeMap<(String, String), MissingProcess> = BTreeMap::new();
    for (address, status) in client.statuses().await {
        let Some(status) = status else {
            let name = address.to_string();
            let role = "entry".to_owned();
            let silent = MissingProcess { name: name.clone(), role, version: 0, heard_ms: 0 };
            processes.insert(("address".to_owned(), name), silent);
            continue;
        };
        for process in status.processes {
            let key = (process.role.clone(), process.name.clone());
            let heard = MissingProcess {
                name: process.name,
                role: process.role,
                version: process.version,
                heard_ms: process.message_age_ms,
            };
            let known = processes.entry(key).or_insert_with(|| heard.clone());
            if heard.version > known.version {
                *known = heard;
            }
        }
    }
    processes.into_values().filter(|process| process.version < version).collect()
}
