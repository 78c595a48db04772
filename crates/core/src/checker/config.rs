//! Invariants about configuration, failure domains, leaving backend servers and graceful stops.

use super::{GracePeriods, ObservedEvent, TimelineInvariant, ViolationList};
use crate::id::{Incarnation, Version};
use crate::timeline::{EventField, EventKind};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Availability of one failure domain or backend server as set by one configuration version.
#[derive(Debug, Clone, Copy)]
struct AvailabilityChange {
    is_out: bool,
}

/// Availability changes by version, for each failure domain or backend server.
type AvailabilityHistories = HashMap<Arc<str>, BTreeMap<Version, AvailabilityChange>>;

pub(super) fn check(events: &[&ObservedEvent], grace: GracePeriods, list: &mut ViolationList) {
    let accepted = acceptances(events);
    let domains = availability_histories(events, EventKind::DomainOut, EventKind::DomainBack);
    let servers =
        availability_histories(events, EventKind::ServerLeaving, EventKind::ServerRejoined);
    let mut applied: HashMap<Incarnation, Version> = HashMap::new();
    for observed in events {
        match observed.event.kind {
            EventKind::AgentStarted => {
                let last_start = grace.last_start;
                let domain = domains.get(&observed.domain);
                if let Some(version) = forbidding_version(domain, &accepted, observed, last_start) {
                    let against =
                        format!("{} is out of service since version {version}", observed.domain);
                    list.add(TimelineInvariant::DomainOut, observed, &against);
                }
                let server = servers.get(&observed.process);
                if let Some(version) = forbidding_version(server, &accepted, observed, last_start) {
                    let against = format!("the server is leaving since version {version}");
                    list.add(TimelineInvariant::LeavingServer, observed, &against);
                }
                check_propagation(&accepted, observed, grace, list);
            }
            EventKind::ConfigApplied => check_monotonic(&mut applied, observed, list),
            EventKind::ProcessStopped => {
                let is_unfinished =
                    |field: &EventField| matches!(field, EventField::Unfinished(1..));
                if observed.event.fields.iter().any(is_unfinished) {
                    list.add(
                        TimelineInvariant::GracefulStop,
                        observed,
                        "a graceful stop leaves nothing unfinished",
                    );
                }
            }
            _ => {}
        }
    }
}

/// Wall-clock time in microseconds at which each version was first accepted, by version.
fn acceptances(events: &[&ObservedEvent]) -> BTreeMap<Version, u64> {
    let mut accepted = BTreeMap::new();
    for observed in events {
        if observed.event.kind == EventKind::ConfigAccepted
            && let Some(version) = observed.event.version()
        {
            accepted.entry(version).or_insert(observed.event.stamp.wall_us);
        }
    }
    accepted
}

/// Highest version accepted at least `grace` before the event.
fn accepted_before(
    accepted: &BTreeMap<Version, u64>,
    observed: &ObservedEvent,
    grace: Duration,
) -> Option<Version> {
    let grace_us = u64::try_from(grace.as_micros()).unwrap_or(u64::MAX);
    let latest = observed.event.stamp.wall_us.saturating_sub(grace_us);
    accepted.iter().rev().find(|(_, at)| **at <= latest).map(|(version, _)| *version)
}

fn availability_histories(
    events: &[&ObservedEvent],
    out: EventKind,
    back: EventKind,
) -> AvailabilityHistories {
    let mut histories = AvailabilityHistories::new();
    for observed in events {
        let event = &observed.event;
        let is_out = event.kind == out;
        if !is_out && event.kind != back {
            continue;
        }
        let (Some(subject), Some(version)) = (&event.subject, event.version()) else { continue };
        histories
            .entry(subject.clone())
            .or_default()
            .insert(version, AvailabilityChange { is_out });
    }
    histories
}

/// Version that forbids the start, or `None` if the start is allowed.
fn forbidding_version(
    history: Option<&BTreeMap<Version, AvailabilityChange>>,
    accepted: &BTreeMap<Version, u64>,
    observed: &ObservedEvent,
    grace: Duration,
) -> Option<Version> {
    let history = history?;
    let accepted_version = accepted_before(accepted, observed, grace)?;
    let (version, change) = history.range(..=accepted_version).next_back()?;
    // The agent may already have applied a later version that put the subject back in service.
    let is_back_later = history.range(version + 1..).any(|(_, later)| !later.is_out);
    (change.is_out && !is_back_later).then_some(*version)
}

fn check_propagation(
    accepted: &BTreeMap<Version, u64>,
    observed: &ObservedEvent,
    grace: GracePeriods,
    list: &mut ViolationList,
) {
    let Some(version) = observed.event.version() else { return };
    let Some(expected) = accepted_before(accepted, observed, grace.propagation) else { return };
    if version < expected {
        let against = format!("version {expected} should be in force");
        list.add(TimelineInvariant::ConfigForward, observed, &against);
    }
}

fn check_monotonic(
    applied: &mut HashMap<Incarnation, Version>,
    observed: &ObservedEvent,
    list: &mut ViolationList,
) {
    let Some(version) = observed.event.version() else { return };
    let before = applied.insert(observed.incarnation, version);
    if let Some(before) = before.filter(|before| *before > version) {
        let against = format!("the process had already applied version {before}");
        list.add(TimelineInvariant::ConfigForward, observed, &against);
    }
}
