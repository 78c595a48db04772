//! Events of all processes, merged into one time line.

use crate::client::OperatorClient;
use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_wire::operator::TimelineBody;
use std::collections::BTreeMap;

/// Events gathered, and what is missing from them.
#[derive(Debug, Default)]
pub struct GatheredEvents {
    /// Events in their order, each with its process.
    pub events: Vec<ObservedEvent>,
    /// Worker of each process.
    pub workers: BTreeMap<String, String>,
    /// Processes that did not answer.
    pub silent: Vec<String>,
    /// Processes whose ring has dropped events, with their number.
    pub turned_over: Vec<(String, u64)>,
}

impl GatheredEvents {
    /// Events of every process that the entries know.
    pub async fn load(client: &OperatorClient) -> Self {
        let mut addresses: BTreeMap<String, String> = BTreeMap::new();
        let mut gathered = Self::default();
        for (address, status) in client.statuses().await {
            let Some(status) = status else {
                gathered.silent.push(address.to_string());
                continue;
            };
            for process in status.processes {
                let label = format!("{} at {}", process.name, process.address);
                addresses.insert(process.address, label);
            }
        }
        for (address, label) in addresses {
            match client.timeline(&address).await {
                Ok(body) => gathered.add(&body),
                Err(_) => gathered.silent.push(label),
            }
        }
        gathered.events.sort_by_key(|observed| observed.event.stamp);
        gathered
    }

    /// Adds the events of one process.
    pub fn add(&mut self, body: &TimelineBody) {
        if body.dropped > 0 {
            self.turned_over.push((body.process.clone(), body.dropped));
        }
        self.workers.insert(body.process.clone(), body.worker.clone());
        self.events.extend(body.observed_events());
    }

    /// Lines that say what is missing.
    pub fn gaps(&self) -> Vec<String> {
        let silent = self.silent.iter().map(|name| format!("no answer from {name}"));
        let turned = self.turned_over.iter();
        let turned =
            turned.map(|(name, dropped)| format!("{name} has dropped its oldest {dropped} events"));
        silent.chain(turned).collect()
    }
}
