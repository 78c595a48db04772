//! Collects the events of all processes into one timeline.

use crate::client::OperatorClient;
use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_wire::operator::TimelineBody;
use std::collections::BTreeMap;

/// Events of all processes, and the processes whose events are missing or incomplete.
#[derive(Debug, Default)]
pub struct CollectedEvents {
    /// Events in the order of their timestamps, each with its process.
    pub events: Vec<ObservedEvent>,
    /// Worker of each process, by the name of the process; empty for an entry or if unknown.
    pub workers: BTreeMap<String, String>,
    /// Processes that did not answer.
    pub unreachable: Vec<String>,
    /// Processes whose event ring has dropped events, with the number of events dropped.
    pub overflowed: Vec<(String, u64)>,
}

impl CollectedEvents {
    /// Collects the events of every process that the entries know.
    pub async fn collect(client: &OperatorClient) -> Self {
        let mut addresses: BTreeMap<String, String> = BTreeMap::new();
        let mut collected = Self::default();
        for (address, status) in client.statuses().await {
            let Some(status) = status else {
                collected.unreachable.push(address.to_string());
                continue;
            };
            for process in status.processes {
                let label = format!("{} at {}", process.name, process.address);
                addresses.insert(process.address, label);
            }
        }
        for (address, label) in addresses {
            match client.timeline(&address).await {
                Ok(body) => collected.add(&body),
                Err(_) => collected.unreachable.push(label),
            }
        }
        collected.events.sort_by_key(|observed| observed.event.stamp);
        collected
    }

    /// Adds the events of one process.
    pub fn add(&mut self, body: &TimelineBody) {
        if body.dropped > 0 {
            self.overflowed.push((body.process.clone(), body.dropped));
        }
        self.workers.insert(body.process.clone(), body.worker.clone());
        self.events.extend(body.observed_events());
    }

    /// One line for each process whose events are missing or incomplete.
    pub fn gaps(&self) -> Vec<String> {
        let unreachable = self.unreachable.iter().map(|name| format!("no answer from {name}"));
        let overflowed = self.overflowed.iter();
        let overflowed = overflowed
            .map(|(name, dropped)| format!("{name} has dropped its oldest {dropped} events"));
        unreachable.chain(overflowed).collect()
    }
}
