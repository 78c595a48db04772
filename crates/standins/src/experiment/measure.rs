//! Measurements read from the processes: message counts from their metrics, and busy slots and
//! violated invariants from their timelines.

use parsleyspool_core::checker::{CheckReport, GracePeriods, ObservedEvent, check};
use parsleyspool_core::timeline::{EventField, EventKind};
use parsleyspool_wire::operator::{StatusBody, TimelineBody};
use reqwest::Client;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Counts of messages and task results, summed over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Start requests sent to agents.
    pub starts: u64,
    /// Status queries sent to agents.
    pub asks: u64,
    /// Cancellations sent to agents.
    pub cancels: u64,
    /// Tasks that ran and either returned an answer or failed.
    pub ran: u64,
    /// Results of runs that the entry was no longer waiting for.
    pub orphans: u64,
    /// Append requests sent to the log.
    pub appends: u64,
}

impl MessageCounts {
    /// Increase of each count since `before`.
    pub fn since(self, before: Self) -> Self {
        Self {
            starts: self.starts - before.starts,
            asks: self.asks - before.asks,
            cancels: self.cancels - before.cancels,
            ran: self.ran - before.ran,
            orphans: self.orphans - before.orphans,
            appends: self.appends - before.appends,
        }
    }

    /// Messages that contributed nothing to a result: start requests that did not lead to a run,
    /// status queries and cancellations.
    pub fn wasted(&self) -> u64 {
        let useful = self.ran + self.orphans;
        self.starts.saturating_sub(useful) + self.asks + self.cancels
    }
}

/// Value of the sample `name`, which includes the labels, in the text format of Prometheus; 0 if
/// the sample is missing.
fn sample(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter_map(|line| line.strip_prefix(name));
    lines.filter_map(|rest| rest.trim().parse::<f64>().ok()).sum::<f64>() as u64
}

/// Reads the counts from the metrics of all entries and sums them. Entries that do not answer are
/// left out.
pub async fn count_messages(client: &Client, entries: &[SocketAddr]) -> MessageCounts {
    let mut counts = MessageCounts::default();
    for entry in entries {
        let Ok(response) = client.get(format!("http://{entry}/metrics")).send().await else {
            continue;
        };
        let Ok(text) = response.text().await else { continue };
        let message = |kind: &str| {
            sample(&text, &format!("parsleyspool_messages_total{{message=\"{kind}\"}}"))
        };
        let event =
            |kind: &str| sample(&text, &format!("parsleyspool_events_total{{event=\"{kind}\"}}"));
        counts.starts += message("start");
        counts.asks += message("ask");
        counts.cancels += message("cancel");
        counts.appends += message("append");
        counts.ran += event("task_answered") + event("task_faulted");
        counts.orphans += event("answer_orphaned");
    }
    counts
}

/// Fetches the timelines of all processes that the entries list. Processes that do not answer are
/// left out.
pub async fn fetch_timelines(client: &Client, entries: &[SocketAddr]) -> Vec<TimelineBody> {
    let mut addresses = BTreeSet::new();
    for entry in entries {
        let request = client.get(format!("http://{entry}/v1/status"));
        let Ok(response) = request.send().await else { continue };
        let Ok(status) = response.json::<StatusBody>().await else { continue };
        addresses.extend(status.processes.into_iter().map(|process| process.address));
    }
    let mut timelines = Vec::new();
    for address in addresses {
        let request = client.get(format!("http://{address}/v1/timeline"));
        let Ok(response) = request.send().await else { continue };
        timelines.extend(response.json::<TimelineBody>().await.ok());
    }
    timelines
}

/// Checks the invariants over the events of all timelines. Processes that dropped events are
/// reported as gaps.
pub fn check_invariants(timelines: &[TimelineBody]) -> CheckReport {
    let events: Vec<ObservedEvent> =
        timelines.iter().flat_map(TimelineBody::observed_events).collect();
    let gaps = timelines.iter().filter(|body| body.dropped > 0);
    let gaps: BTreeMap<_, _> =
        gaps.map(|body| (body.process.as_str().into(), body.dropped)).collect();
    CheckReport { gaps, ..check(&events, GracePeriods::default()) }
}

/// Average share of the slots that were running a task between `from` and `until`, which are times
/// since the Unix epoch. Only agents for which `is_included` returns true count.
pub fn busy_share(
    timelines: &[TimelineBody],
    slots: u32,
    from: Duration,
    until: Duration,
    is_included: impl Fn(&TimelineBody) -> bool,
) -> f64 {
    let agents: Vec<&TimelineBody> =
        timelines.iter().filter(|body| body.role == "agent" && is_included(body)).collect();
    let busy: Duration = agents.iter().map(|body| busy_time(body, from, until)).sum();
    let window = until.saturating_sub(from).as_secs_f64();
    busy.as_secs_f64() / (window * f64::from(slots) * agents.len() as f64)
}

fn busy_time(body: &TimelineBody, from: Duration, until: Duration) -> Duration {
    let runs = body.observed_events().into_iter().filter_map(|observed| {
        let run_time = observed.event.fields.iter().find_map(|field| match field {
            EventField::RunTimeUs(time) => Some(Duration::from_micros(*time)),
            _ => None,
        })?;
        let end = Duration::from_micros(observed.event.stamp.wall_us);
        let is_finished = observed.event.kind == EventKind::AgentFinished;
        is_finished.then(|| (end.saturating_sub(run_time), end))
    });
    runs.map(|(start, end)| end.min(until).saturating_sub(start.max(from))).sum()
}
