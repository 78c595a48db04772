//! Invariants about jobs: one complete answer, and no start if the job was reported as not run.

use super::{ObservedEvent, TimelineInvariant, ViolationList};
use crate::id::{Incarnation, SubmissionId, TaskIndex};
use crate::timeline::{EventField, EventKind};
use std::collections::{HashMap, HashSet};

#[derive(Debug, Default)]
struct JobHistory {
    tasks: Option<u64>,
    admitted_by: Option<Incarnation>,
    answered: HashSet<TaskIndex>,
    ended: Option<EventKind>,
}

/// Checks the jobs and returns the number of submissions.
pub(super) fn check(events: &[&ObservedEvent], list: &mut ViolationList) -> usize {
    let mut histories: HashMap<SubmissionId, JobHistory> = HashMap::new();
    for observed in events {
        let Some(submission) = observed.event.submission else { continue };
        let history = histories.entry(submission).or_default();
        match observed.event.kind {
            EventKind::JobAdmitted => {
                history.tasks = task_count(observed);
                history.admitted_by = Some(observed.incarnation);
            }
            EventKind::TaskAnswered => record_task_answer(history, observed, list),
            EventKind::JobComplete => record_completion(history, observed, list),
            EventKind::JobFailed | EventKind::JobRefused | EventKind::JobCancelled => {
                record_end(history, observed, list);
            }
            _ => {}
        }
    }
    check_not_run(events, list);
    histories.len()
}

fn task_count(observed: &ObservedEvent) -> Option<u64> {
    observed.event.fields.iter().find_map(|field| match field {
        EventField::Tasks(tasks) => Some(*tasks),
        _ => None,
    })
}

fn record_task_answer(
    history: &mut JobHistory,
    observed: &ObservedEvent,
    list: &mut ViolationList,
) {
    if history.admitted_by.is_some_and(|by| by != observed.incarnation) {
        list.add(TimelineInvariant::OwnAnswer, observed, "another process admitted the job");
    }
    let Some(task) = observed.event.task else { return };
    if !history.answered.insert(task) {
        list.add(TimelineInvariant::OwnAnswer, observed, "the task was already answered");
    }
    if history.tasks.is_some_and(|tasks| u64::from(task) >= tasks) {
        list.add(TimelineInvariant::OwnAnswer, observed, "the job has no such task");
    }
}

fn record_completion(history: &mut JobHistory, observed: &ObservedEvent, list: &mut ViolationList) {
    let answered = history.answered.len() as u64;
    if history.tasks.is_some_and(|tasks| answered != tasks) {
        let against = format!("{answered} tasks were answered");
        list.add(TimelineInvariant::WholeAnswer, observed, &against);
    }
    record_end(history, observed, list);
}

fn record_end(history: &mut JobHistory, observed: &ObservedEvent, list: &mut ViolationList) {
    if let Some(kind) = history.ended.replace(observed.event.kind) {
        let against = format!("the job had already ended with {}", kind.name());
        list.add(TimelineInvariant::WholeAnswer, observed, &against);
    }
}

/// Checks that a submission reported as not run has no start, before or after the report.
fn check_not_run(events: &[&ObservedEvent], list: &mut ViolationList) {
    let reports =
        events.iter().filter(|observed| observed.event.fields.contains(&EventField::NotRun(true)));
    let reports =
        reports.copied().filter_map(|observed| Some((observed.event.submission?, observed)));
    let reports: HashMap<SubmissionId, &ObservedEvent> = reports.collect();
    for observed in events {
        if observed.event.kind != EventKind::AgentStarted {
            continue;
        }
        let report = observed.event.submission.and_then(|id| reports.get(&id));
        if let Some(report) = report {
            let against = format!("{} reported {}", report.process, report.event);
            list.add(TimelineInvariant::NotRun, observed, &against);
        }
    }
}
