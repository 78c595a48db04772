//! Waits until the entries of a deployment report a state.

use crate::deployment::{Deployment, MAX_POLLS, POLL_INTERVAL};
use parsleyspool_wire::operator::StatusBody;
use std::time::Duration;

impl Deployment {
    /// Waits until every running entry reports a status for which `is_reached` holds.
    async fn wait_status(&self, state: &str, is_reached: impl Fn(&StatusBody) -> bool) {
        for entry in 0..self.entries.len() {
            if self.entries[entry].child.is_none() {
                continue;
            }
            let mut polls = 0;
            while !self.get(entry, "/v1/status").await.is_some_and(|status| is_reached(&status)) {
                polls += 1;
                assert!(polls < MAX_POLLS, "entry {entry} never reached: {state}");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    pub async fn wait_freshness(&self, freshness: &str) {
        self.wait_status(freshness, |status| status.freshness == freshness).await;
    }

    pub async fn wait_entries(&self, entries: usize) {
        let is_known = |status: &StatusBody| {
            status.processes.iter().filter(|process| process.role == "entry").count() >= entries
        };
        self.wait_status("all entries", is_known).await;
    }

    pub async fn wait_serving(&self, agents: usize) {
        let is_serving = |status: &StatusBody| {
            let agents_seen = status.processes.iter().filter(|process| process.role == "agent");
            agents_seen.filter(|process| process.state == "serving").count() >= agents
        };
        self.wait_status("serving agents", is_serving).await;
    }

    /// Waits until every process that an entry knows holds `version`.
    pub async fn wait_version(&self, version: u64) {
        let is_held =
            |status: &StatusBody| status.processes.iter().all(|process| process.version >= version);
        self.wait_status("the version everywhere", is_held).await;
    }

    /// Waits until an entry holds at least `jobs` unanswered jobs.
    pub async fn wait_jobs(&self, entry: usize, jobs: usize) {
        for _ in 0..MAX_POLLS {
            let status: Option<StatusBody> = self.get(entry, "/v1/status").await;
            if status.is_some_and(|status| status.jobs >= jobs) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("entry {entry} never held {jobs} jobs");
    }
}
