//! Invariants about starts: each task starts once, and only one submission per idempotency key
//! starts any task.

use super::{ObservedEvent, TimelineInvariant, ViolationList};
use crate::claim::ClaimKey;
use crate::id::{SubmissionId, TaskIndex};
use crate::timeline::{EventField, EventKind, RunOutcome};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Checks the task starts and returns their number.
pub(super) fn check(events: &[&ObservedEvent], list: &mut ViolationList) -> usize {
    let keys = claimed_keys(events);
    let mut started: HashMap<(SubmissionId, TaskIndex), Arc<str>> = HashMap::new();
    let mut holders: HashMap<ClaimKey, SubmissionId> = HashMap::new();
    let mut count = 0;
    for observed in events {
        let event = &observed.event;
        let (Some(submission), Some(task)) = (event.submission, event.task) else { continue };
        if event.kind != EventKind::AgentStarted {
            continue;
        }
        count += 1;
        if let Some(process) = started.insert((submission, task), observed.process.clone()) {
            list.add(
                TimelineInvariant::StartsOnce,
                observed,
                &format!("already started at {process}"),
            );
        }
        let Some(key) = keys.get(&submission) else { continue };
        let holder = *holders.entry(*key).or_insert(submission);
        if holder != submission {
            let against = format!("submission {holder:032x} with the same key already started");
            list.add(TimelineInvariant::AtMostOnce, observed, &against);
        }
    }
    count
}

/// Removes the starts for which the backend server accepted no connection: nothing ran.
pub(super) fn without_unconnected(events: Vec<&ObservedEvent>) -> Vec<&ObservedEvent> {
    let unconnected = unconnected_starts(&events);
    let is_unconnected = |observed: &ObservedEvent| {
        let event = &observed.event;
        let (Some(submission), Some(task)) = (event.submission, event.task) else { return false };
        event.kind == EventKind::AgentStarted
            && unconnected.contains(&(submission, task, observed.process.clone()))
    };
    events.into_iter().filter(|observed| !is_unconnected(observed)).collect()
}

fn unconnected_starts(events: &[&ObservedEvent]) -> HashSet<(SubmissionId, TaskIndex, Arc<str>)> {
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
    let claims = events.iter().filter(|observed| observed.event.kind == EventKind::ClaimSent);
    let keyed = claims.filter_map(|observed| {
        let key = observed.event.fields.iter().find_map(|field| match field {
            EventField::Key(key) => Some(*key),
            _ => None,
        });
        Some((observed.event.submission?, key?))
    });
    keyed.collect()
}
