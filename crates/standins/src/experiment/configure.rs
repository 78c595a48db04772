//! Configuration changes that an experiment makes: those of its requests, and of its actions.

use super::file::ExperimentFile;
use crate::error::StandinError;
use error_stack::{Report, ResultExt};
use parsleyspool_wire::config::{ChangeWire, RequestWire, ServiceWire};
use parsleyspool_wire::operator::{ChangeBody, ChangeOutcomeBody, ConfigBody};
use reqwest::Client;
use std::net::SocketAddr;
use std::time::Duration;
use uuid::Uuid;

/// Number of times that an entry is asked for a version before it counts as too slow.
const VERSION_POLLS: u32 = 100;
/// Time between two of these.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sets the priorities and latency objectives of the experiment in its service, and waits until
/// all entries have applied them. Does nothing if the experiment has none.
///
/// # Errors
/// Fails if the service does not exist, or if the change is not accepted or not applied in time.
pub async fn declare_requests(
    client: &Client,
    file: &ExperimentFile,
    with_priorities: bool,
) -> Result<(), Report<StandinError>> {
    if !file.has_objectives() {
        return Ok(());
    }
    let operator = file.operators[0];
    let services = fetch_config(client, operator).await?.configuration.services;
    let Some(mut spec) = services.get(&file.service).cloned() else {
        let text = format!("there is no service {}", file.service);
        return Err(Report::new(StandinError::Request).attach(text));
    };
    declare(file, with_priorities, &mut spec);
    let change = ChangeWire::PutService { name: file.service.clone(), spec };
    let subject = format!("service/{}", file.service);
    let version = send_change(client, operator, &subject, change).await?;
    for entry in &file.operators {
        wait_for_version(client, *entry, version).await?;
    }
    Ok(())
}

fn declare(file: &ExperimentFile, with_priorities: bool, spec: &mut ServiceWire) {
    for mix in &file.requests {
        let default = || RequestWire::new(true, mix.run_time.median, 1);
        let rule = spec.requests.entry(mix.request.clone()).or_insert_with(default);
        rule.objective = mix.objective;
        rule.priority = mix.priority.filter(|_| with_priorities);
    }
}

async fn fetch_config(
    client: &Client,
    entry: SocketAddr,
) -> Result<ConfigBody, Report<StandinError>> {
    let request = client.get(format!("http://{entry}/v1/config"));
    let response = request.send().await.change_context(StandinError::Request)?;
    response.json().await.change_context(StandinError::Request)
}

async fn wait_for_version(
    client: &Client,
    entry: SocketAddr,
    version: u64,
) -> Result<(), Report<StandinError>> {
    for _ in 0..VERSION_POLLS {
        if fetch_config(client, entry).await?.configuration.version >= version {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let text = format!("{entry} has not applied version {version}");
    Err(Report::new(StandinError::Request).attach(text))
}

/// Sends a change that is based on the current version of `subject`, and returns the configuration
/// version from which it is in force.
///
/// # Errors
/// Fails if the entry cannot be reached or does not accept the change.
pub async fn send_change(
    client: &Client,
    entry: SocketAddr,
    subject: &str,
    change: ChangeWire,
) -> Result<u64, Report<StandinError>> {
    let config = fetch_config(client, entry).await?;
    let body = ChangeBody {
        id: Uuid::new_v4().simple().to_string(),
        operator: "experiment".to_owned(),
        base: config.configuration.subjects.get(subject).copied().unwrap_or(0),
        change,
    };
    let request = client.post(format!("http://{entry}/v1/changes")).json(&body);
    let response = request.send().await.change_context(StandinError::Request)?;
    let text = response.text().await.change_context(StandinError::Request)?;
    match serde_json::from_str(&text) {
        Ok(ChangeOutcomeBody::Accepted { version }) => Ok(version),
        _ => Err(Report::new(StandinError::Request).attach(text)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::discipline::fixture::two_priorities;

    /// Guards against an experiment that measures priorities or objectives which the entries never
    /// received.
    #[test]
    fn the_configuration_carries_priorities_and_objectives() {
        let file = two_priorities(1.0);
        let mut spec = ServiceWire {
            team: "t".to_owned(),
            deadline: Duration::from_secs(10),
            requests: std::collections::BTreeMap::new(),
        };
        declare(&file, true, &mut spec);
        assert_eq!(spec.requests["urgent"].priority, Some(0));
        assert_eq!(spec.requests["bulk"].objective, file.requests[1].objective);
        declare(&file, false, &mut spec);
        assert_eq!(spec.requests["urgent"].priority, None);
    }
}
