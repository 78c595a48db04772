//! Sends a configuration change and waits until it is in force everywhere.

use crate::client::OperatorClient;
use crate::error::CommandError;
use crate::output::{print_json, print_line};
use error_stack::Report;
use parsleyspool_core::config::ConfigChange;
use parsleyspool_wire::config::ChangeWire;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Result of a change, as printed for the operator.
#[derive(Debug, Serialize)]
struct ChangeReport {
    subject: String,
    version: u64,
    accepted_ms: u128,
    in_force_ms: Option<u128>,
    missing: Vec<MissingProcess>,
}

/// Process that has not confirmed the version of a change. For an entry that does not answer, the
/// version and the age are 0.
#[derive(Debug, Clone, Serialize)]
struct MissingProcess {
    name: String,
    role: String,
    version: u64,
    #[serde(rename = "heard_ms")]
    message_age_ms: u64,
}

/// Interval at which the entries are polled for confirmations.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends `change`, waits for its confirmation if `--wait` is given, and prints the result.
///
/// # Errors
/// Fails if the change is rejected or not confirmed in time.
pub async fn send_and_report(
    client: &OperatorClient,
    change: ChangeWire,
) -> Result<(), Report<CommandError>> {
    let subject = ConfigChange::from(change.clone()).subject();
    let started = Instant::now();
    let accepted = client.send_change(&subject, change).await?;
    let mut report = ChangeReport {
        subject: subject.to_string(),
        version: accepted.version,
        accepted_ms: started.elapsed().as_millis(),
        in_force_ms: None,
        missing: Vec::new(),
    };
    if let Some(wait) = client.options().wait {
        report.missing = wait_until_confirmed(client, accepted.version, started + wait).await;
        report.in_force_ms = report.missing.is_empty().then(|| started.elapsed().as_millis());
    }
    print(client, &report)?;
    if report.missing.is_empty() {
        return Ok(());
    }
    let text = format!("{} processes have not confirmed the change", report.missing.len());
    Err(Report::new(CommandError::Unconfirmed).attach(text))
}

fn print(client: &OperatorClient, report: &ChangeReport) -> Result<(), Report<CommandError>> {
    if client.options().json {
        return print_json(report);
    }
    print_line!(
        "accepted {} as version {} after {} ms",
        report.subject,
        report.version,
        report.accepted_ms
    );
    if let Some(in_force) = report.in_force_ms {
        print_line!("in force everywhere after {in_force} ms");
    }
    for missing in &report.missing {
        print_line!(
            "not confirmed: {} {} holds version {}, heard from {} ms ago",
            missing.role,
            missing.name,
            missing.version,
            missing.message_age_ms
        );
    }
    Ok(())
}

/// Waits until every known process holds `version`; returns those that do not at `deadline`.
async fn wait_until_confirmed(
    client: &OperatorClient,
    version: u64,
    deadline: Instant,
) -> Vec<MissingProcess> {
    loop {
        let missing = unconfirmed_processes(client, version).await;
        if missing.is_empty() || Instant::now() >= deadline {
            return missing;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Known processes with an older version than `version`, and entries that do not answer. If the
/// entries report different versions of a process, the newest counts.
async fn unconfirmed_processes(client: &OperatorClient, version: u64) -> Vec<MissingProcess> {
    let mut processes: BTreeMap<(String, String), MissingProcess> = BTreeMap::new();
    for (address, status) in client.statuses().await {
        let Some(status) = status else {
            let name = address.to_string();
            let role = "entry".to_owned();
            let unreachable =
                MissingProcess { name: name.clone(), role, version: 0, message_age_ms: 0 };
            processes.insert(("address".to_owned(), name), unreachable);
            continue;
        };
        for process in status.processes {
            let key = (process.role.clone(), process.name.clone());
            let reported = MissingProcess {
                name: process.name,
                role: process.role,
                version: process.version,
                message_age_ms: process.message_age_ms,
            };
            let newest = processes.entry(key).or_insert_with(|| reported.clone());
            if reported.version > newest.version {
                *newest = reported;
            }
        }
    }
    processes.into_values().filter(|process| process.version < version).collect()
}
