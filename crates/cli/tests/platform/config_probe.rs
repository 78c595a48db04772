//! Probes of the configuration that every entry serves, and their check against the changes.
//!
//! Each version has a route of its own, which an entry answers with 404 until it serves that version.

use crate::deployment::{HOST, configuration};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after a change from which on every entry in contact with the store serves it.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Time for which an entry has been undisturbed if it is in contact with the store.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which an entry that has served a version serves no older one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Change of the configuration that the operator has written.
#[derive(Debug, Clone, Copy)]
struct ConfigChange {
    version: u64,
    written_at: Duration,
}

/// Answer of an entry about the route of a version.
#[derive(Debug, Clone, Copy)]
struct ProbeAnswer {
    front: SocketAddr,
    version: u64,
    asked_at: Duration,
    is_served: bool,
}

/// Time in which an entry was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct EntryTrouble {
    pub front: SocketAddr,
    pub since: Duration,
    pub until: Duration,
}

#[derive(Debug, Default)]
struct ProbeState {
    changes: Vec<ConfigChange>,
    answers: Vec<ProbeAnswer>,
}

/// Changes and answers of a play; all times count from its beginning.
#[derive(Debug)]
pub struct ConfigProbe {
    began: Instant,
    state: Mutex<ProbeState>,
}

impl ConfigProbe {
    /// Creates a probe of a play that began at `began`.
    pub fn new(began: Instant) -> Self {
        Self { began, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, ProbeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Configuration for the next change, which `write` then makes known.
    pub fn change(&self, write: impl FnOnce(Value)) {
        let version = self.state().changes.len() as u64 + 2;
        write(configuration_of(version));
        let change = ConfigChange { version, written_at: self.began.elapsed() };
        self.state().changes.push(change);
    }

    /// Asks the entries at `fronts` for the newest version, again and again for `length`.
    pub async fn ask_repeatedly(self: Arc<Self>, fronts: Vec<SocketAddr>, length: Duration) {
        let client = Client::builder().no_proxy().timeout(PROBE_TIMEOUT).build().expect("a client");
        let end = self.began.elapsed() + length;
        while self.began.elapsed() < end {
            let newest = self.state().changes.last().copied();
            if let Some(ConfigChange { version, .. }) = newest {
                for front in &fronts {
                    tokio::spawn(self.clone().ask(client.clone(), *front, version));
                }
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    async fn ask(self: Arc<Self>, client: Client, front: SocketAddr, version: u64) {
        let asked_at = self.began.elapsed();
        let url = format!("http://{front}{}", path_of(version));
        let Ok(response) = client.get(url).header("host", HOST).send().await else { return };
        let is_served = match response.status() {
            StatusCode::OK => true,
            StatusCode::NOT_FOUND => false,
            _ => return,
        };
        self.state().answers.push(ProbeAnswer { front, version, asked_at, is_served });
    }

    /// Answers that entries in contact with the store must not give, or that go back to an older version.
    pub fn violations(&self, troubles: &[EntryTrouble]) -> Vec<String> {
        let state = self.state();
        let old = state.answers.iter().filter(|answer| !answer.is_served);
        let wrong = old.filter(|answer| {
            is_overdue(answer, &state.changes, troubles) || is_rollback(answer, &state.answers)
        });
        wrong.map(|answer| format!("old configuration: {answer:?}")).collect()
    }
}

fn is_overdue(answer: &ProbeAnswer, changes: &[ConfigChange], troubles: &[EntryTrouble]) -> bool {
    let is_due = |change: &ConfigChange| {
        change.version == answer.version && answer.asked_at > change.written_at + APPLY_BOUND
    };
    let contact_since = answer.asked_at.saturating_sub(CONTACT_TIME);
    let is_disturbed = |trouble: &EntryTrouble| {
        trouble.front == answer.front
            && trouble.since <= answer.asked_at
            && trouble.until >= contact_since
    };
    changes.iter().any(is_due) && !troubles.iter().any(is_disturbed)
}

fn is_rollback(answer: &ProbeAnswer, answers: &[ProbeAnswer]) -> bool {
    let is_newer = |earlier: &ProbeAnswer| {
        earlier.front == answer.front
            && earlier.version == answer.version
            && earlier.is_served
            && answer.asked_at > earlier.asked_at + PROBE_TIMEOUT + ROLLBACK_SLACK
    };
    answers.iter().any(is_newer)
}

fn path_of(version: u64) -> String {
    format!("/version-{version}/")
}

/// Configuration of a version, with a further route.
fn configuration_of(version: u64) -> Value {
    let mut configuration = configuration();
    configuration["version"] = json!(version);
    let mut route = configuration["routes"][0].clone();
    route["name"] = json!(format!("version-{version}"));
    route["pathPrefix"] = json!(path_of(version));
    configuration["routes"].as_array_mut().expect("a list").push(route);
    configuration
}

#[cfg(test)]
mod config_probe_tests {
    use super::*;

    const FRONT: &str = "127.0.0.1:8161";

    fn probe(is_served: &[(u64, bool)]) -> ConfigProbe {
        let probe = ConfigProbe::new(Instant::now());
        let change = ConfigChange { version: 2, written_at: Duration::from_secs(10) };
        probe.state().changes.push(change);
        let answers = is_served.iter().map(|(asked_ms, is_served)| ProbeAnswer {
            front: FRONT.parse().expect("an address"),
            version: 2,
            asked_at: Duration::from_millis(*asked_ms),
            is_served: *is_served,
        });
        probe.state().answers.extend(answers);
        probe
    }

    fn trouble(since: u64, until: u64) -> EntryTrouble {
        let front = FRONT.parse().expect("an address");
        let [since, until] = [since, until].map(Duration::from_millis);
        EntryTrouble { front, since, until }
    }

    #[test]
    fn an_old_version_is_allowed_until_the_bound_and_near_a_disturbance() {
        assert!(probe(&[(11_900, false)]).violations(&[]).is_empty());
        assert_eq!(probe(&[(12_100, false)]).violations(&[]).len(), 1);
        assert!(probe(&[(12_100, false)]).violations(&[trouble(9_200, 9_200)]).is_empty());
        assert_eq!(probe(&[(12_100, false)]).violations(&[trouble(8_900, 9_000)]).len(), 1);
    }

    #[test]
    fn an_entry_that_has_served_a_version_serves_no_older_one() {
        let answers = [(10_500, true), (11_300, false)];

        assert_eq!(probe(&answers).violations(&[trouble(0, 20_000)]).len(), 1);
    }
}
