//! Promises about starts: each task once, each request key by one submission.

use super::{ObservedEvent, TimelineInvariant, ViolationList};
use crate::claim::ClaimKey;
use crate::id::{SubmissionId, TaskIndex};
use crate::timeline::{EventField, EventKind, RunOutcome};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Checks the starts and returns their number.
pub(super) fn check(events: &[&ObservedEvent], list: &mut ViolationList) -> usize {
    let keys = claimed_keys(events);
    let mut running: HashMap<(SubmissionId, TaskIndex), Arc<str>> = HashMap::new();
    let mut holders: HashMap<ClaimKey, SubmissionId> = HashMap::new();
    let mut count = 0;
    for observed in events {
        let event = &observed.event;
        let (Some(submission), Some(task)) = (event.submission, event.task) else { continue };
        if event.kind != EventKind::AgentStarted {
            continue;
        }
        count += 1;
        if let Some(process) = running.insert((submission, task), observed.process.clone()) {
            list.add(
                TimelineInvariant::StartsOnce,
                observed,
                &format!("started at {process} before"),
            );
        }
        let Some(key) = keys.get(&submission) else { continue };
        let holder = *holders.entry(*key).or_insert(submission);
        if holder != submission {
            let against = format!("submission {holder:032x} of the same key started before");
            list.add(TimelineInvariant::AtMostOnce, observed, &against);
        }
    }
    count
}

/// Leaves out the starts that the backend server took no connection for: nothing ran.
pub(super) fn without_unreached(events: Vec<&ObservedEvent>) -> Vec<&ObservedEvent> {
    let unreached = unreached(&events);
    let is_unreached = |observed: &ObservedEvent| {
        let event = &observed.event;
        let (Some(submission), Some(task)) = (event.submission, event.task) else { return false };
        event.kind == EventKind::AgentStarted
            && unreached.contains(&(submission, task, observed.process.clone()))
    };
    events.into_iter().filter(|observed| !is_unreached(observed)).collect()
}

fn unreached(events: &[&ObservedEvent]) -> HashSet<(SubmissionId, TaskIndex, Arc<str>)> {
    let ended = events.iter().filter(|observed| {
        let fields = &observed.event.fields;
        observed.event.kind == EventKind::AgentFinished
            && fields.contains(&EventField::Result(RunOutcome::NoConnection))
    });
    let ended = ended.filter_map(|observed| {
        let event = &observed.event;
        Some((event.submission?, event.task?, observed.process.clone()))
    });
    ended.collect()
}

fn claimed_keys(events: &[&ObservedEvent]) -> HashMap<SubmissionId, ClaimKey> {
    let sent = events.iter().filter(|observed| observed.event.kind == EventKind::ClaimSent);
    let keyed = sent.filter_map(|observed| {
        let key = observed.event.fields.iter().find_map(|field| match field {
            EventField::Key(key) => Some(*key),
            _ => None,
        });
        Some((observed.event.submission?, key?))
    });
    keyed.collect()
}
