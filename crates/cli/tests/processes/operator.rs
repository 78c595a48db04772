//! Requests of operators to the entries: queries and configuration changes.

use parsleyspool_core::config::ConfigChange;
use parsleyspool_wire::config::{ChangeWire, QuotaWire, RequestWire, ServiceWire};
use parsleyspool_wire::operator::{ChangeBody, ChangeOutcomeBody, ConfigBody};
use reqwest::Client;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of a change. An accepted change is in force everywhere within this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Fetches `path` from the process at `address`; `None` if it does not answer.
pub async fn get<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let request = client.get(format!("http://{address}{path}")).timeout(QUERY_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}

/// Sends a change to the entry at `peers`, based on the version that this entry holds.
pub async fn send_change(
    client: &Client,
    peers: SocketAddr,
    change: ChangeWire,
) -> Option<ChangeOutcomeBody> {
    let config: ConfigBody = get(client, peers, "/v1/config").await?;
    let subject = ConfigChange::from(change.clone()).subject();
    let base = config.configuration.subjects.get(&subject.to_string()).copied().unwrap_or(0);
    let id = uuid::Uuid::new_v4().simple().to_string();
    let body = ChangeBody { id, operator: "test".to_owned(), base, change };
    let request = client.post(format!("http://{peers}/v1/changes")).timeout(CHANGE_TIMEOUT);
    request.json(&body).send().await.ok()?.json().await.ok()
}

/// Changes that create the initial configuration of a deployment with `entries` entries.
pub fn initial_changes(entries: usize) -> [ChangeWire; 3] {
    let entries = (1..=entries).map(|number| format!("entry-{number}")).collect();
    let quota = QuotaWire { tasks_in_flight: 10_000, weight: 1 };
    [
        ChangeWire::SetElectorate { entries },
        put_service(Duration::from_secs(10)),
        ChangeWire::SetQuota { team: "prizeleaf".to_owned(), quota },
    ]
}

/// Change that declares the service with `deadline` as the default deadline of its jobs.
pub fn put_service(deadline: Duration) -> ChangeWire {
    let rule = |idempotent| RequestWire::new(idempotent, Duration::from_millis(20), 1);
    let requests =
        BTreeMap::from([("balance".to_owned(), rule(true)), ("redeem".to_owned(), rule(false))]);
    let spec = ServiceWire { team: "prizeleaf".to_owned(), deadline, requests };
    ChangeWire::PutService { name: "tokens".to_owned(), spec }
}
