//! Promises about configuration, failure domains, leaving servers and planned stops.

use super::{GracePeriods, ObservedEvent, TimelineInvariant, ViolationList};
use crate::id::{Incarnation, Version};
use crate::timeline::{EventField, EventKind};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Order about one failure domain or server, as of one version.
#[derive(Debug, Clone, Copy)]
struct KnownOrder {
    is_out: bool,
}

/// Orders by version, for each failure domain or server.
type OrderBook = HashMap<Arc<str>, BTreeMap<Version, KnownOrder>>;

pub(super) fn check(events: &[&ObservedEvent], grace: GracePeriods, list: &mut ViolationList) {
    let accepted = acceptances(events);
    let domains = orders(events, EventKind::DomainOut, EventKind::DomainBack);
    let servers = orders(events, EventKind::ServerLeaving, EventKind::ServerRejoined);
    let mut held: HashMap<Incarnation, Version> = HashMap::new();
    for observed in events {
        match observed.event.kind {
            EventKind::AgentStarted => {
                let few = grace.last_start;
                let domain = domains.get(&observed.domain);
                if let Some(version) = forbidding(domain, &accepted, observed, few) {
                    let against = format!("{} is out since version {version}", observed.domain);
                    list.add(TimelineInvariant::DomainOut, observed, &against);
                }
                let server = servers.get(&observed.process);
                if let Some(version) = forbidding(server, &accepted, observed, few) {
                    let against = format!("the server leaves since version {version}");
                    list.add(TimelineInvariant::LeavingServer, observed, &against);
                }
                check_in_force(&accepted, observed, grace, list);
            }
            EventKind::ConfigApplied => check_forward(&mut held, observed, list),
            EventKind::ProcessStopped => {
                let is_cut = |field: &EventField| matches!(field, EventField::Unfinished(count) if *count > 0);
                if observed.event.fields.iter().any(is_cut) {
                    list.add(
                        TimelineInvariant::GracefulStop,
                        observed,
                        "a planned stop cuts nothing",
                    );
                }
            }
            _ => {}
        }
    }
}

/// Time at which each version was first accepted, in the order of the versions.
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

fn orders(events: &[&ObservedEvent], out: EventKind, back: EventKind) -> OrderBook {
    let mut book = OrderBook::new();
    for observed in events {
        let event = &observed.event;
        let is_out = event.kind == out;
        if !is_out && event.kind != back {
            continue;
        }
        let (Some(subject), Some(version)) = (&event.subject, event.version()) else { continue };
        book.entry(subject.clone()).or_default().insert(version, KnownOrder { is_out });
    }
    book
}

/// Version that forbids the start, where one does.
fn forbidding(
    orders: Option<&BTreeMap<Version, KnownOrder>>,
    accepted: &BTreeMap<Version, u64>,
    observed: &ObservedEvent,
    grace: Duration,
) -> Option<Version> {
    let orders = orders?;
    let known = accepted_before(accepted, observed, grace)?;
    let (version, order) = orders.range(..=known).next_back()?;
    // A start may rest on a later order that brought the subject back.
    let is_back_later = orders.range(version + 1..).any(|(_, later)| !later.is_out);
    (order.is_out && !is_back_later).then_some(*version)
}

fn check_in_force(
    accepted: &BTreeMap<Version, u64>,
    observed: &ObservedEvent,
    grace: GracePeriods,
    list: &mut ViolationList,
) {
    let Some(version) = observed.event.version() else { return };
    let Some(known) = accepted_before(accepted, observed, grace.propagation) else { return };
    if version < known {
        let against = format!("version {known} should be in force");
        list.add(TimelineInvariant::ConfigForward, observed, &against);
    }
}

fn check_forward(
    held: &mut HashMap<Incarnation, Version>,
    observed: &ObservedEvent,
    list: &mut ViolationList,
) {
    let Some(version) = observed.event.version() else { return };
    let before = held.insert(observed.incarnation, version);
    if let Some(before) = before.filter(|before| *before > version) {
        let against = format!("the process held version {before}");
        list.add(TimelineInvariant::ConfigForward, observed, &against);
    }
}
