//! Waits until the entries of a deployment serve.

use crate::deployment::PlatformDeployment;
use parsleyspool_wire::operator::StatusBody;
use reqwest::Client;
use std::time::Duration;

/// Number of polls after which a wait has failed.
const MAX_POLLS: u32 = 1500;
/// States of the servers that accept tasks.
const ACCEPTING_STATES: [&str; 3] = ["serving", "quarantined", "probing"];
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const QUERY_TIMEOUT: Duration = Duration::from_secs(4);

impl PlatformDeployment {
    /// Waits until every entry is ready and knows `agents` servers that accept tasks.
    ///
    /// A quarantined server counts, since only a further task releases it. Fails if an entry does
    /// not come to that, however long it takes on a busy machine.
    pub async fn wait_serving(&mut self, agents: usize) -> Result<(), String> {
        let client = Client::builder().no_proxy().timeout(QUERY_TIMEOUT).build().expect("a client");
        for entry in self.entries.clone() {
            let mut polls = 0;
            while !(is_ready(&client, &format!("http://{}/v1/ready", entry.ready)).await
                && serving_agents(&client, &format!("http://{}/v1/status", entry.control)).await
                    >= agents)
            {
                polls += 1;
                if polls == MAX_POLLS {
                    return Err(format!("the entry at {} does not serve\n", entry.front));
                }
                self.assert_running();
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every process has read its settings and listens.
    pub async fn wait_listening(&mut self) {
        let is_listening = |line: &String| line.contains("event=listening");
        while !self.processes.iter().all(|process| process.log_lines().iter().any(is_listening)) {
            self.assert_running();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Asserts that no process has ended.
    pub fn assert_running(&mut self) {
        for process in &mut self.processes {
            let is_running = process.is_running();
            let last_line = process.log_lines().pop();
            assert!(is_running, "{} has ended: {last_line:?}", process.name);
        }
    }
}

async fn is_ready(client: &Client, url: &str) -> bool {
    client.get(url).send().await.is_ok_and(|response| response.status().is_success())
}

async fn serving_agents(client: &Client, url: &str) -> usize {
    let Ok(response) = client.get(url).send().await else { return 0 };
    let Ok(status) = response.json::<StatusBody>().await else { return 0 };
    let agents = status.processes.iter().filter(|process| process.role == "agent");
    agents.filter(|process| ACCEPTING_STATES.contains(&&*process.state)).count()
}
