//! Promises about jobs: one answer, whole, and true refusals.

use super::{ObservedEvent, TimelineInvariant, ViolationList};
use crate::id::{Incarnation, SubmissionId, TaskIndex};
use crate::timeline::{EventField, EventKind};
use std::collections::{HashMap, HashSet};

#[derive(Debug, Default)]
struct JobLife {
    tasks: Option<u64>,
    admitted_by: Option<Incarnation>,
    answered: HashSet<TaskIndex>,
    ended: Option<EventKind>,
}

/// Checks the jobs and returns the number of submissions.
pub(super) fn check(events: &[&ObservedEvent], list: &mut ViolationList) -> usize {
    let mut lives: HashMap<SubmissionId, JobLife> = HashMap::new();
    for observed in events {
        let Some(submission) = observed.event.submission else { continue };
        let life = lives.entry(submission).or_default();
        match observed.event.kind {
            EventKind::JobAdmitted => {
                life.tasks = tasks_of(observed);
                life.admitted_by = Some(observed.incarnation);
            }
            EventKind::TaskAnswered => answer_task(life, observed, list),
            EventKind::JobComplete => complete(life, observed, list),
            EventKind::JobFailed | EventKind::JobRefused | EventKind::JobCancelled => {
                end(life, observed, list);
            }
            _ => {}
        }
    }
    check_not_run(events, list);
    lives.len()
}

fn tasks_of(observed: &ObservedEvent) -> Option<u64> {
    observed.event.fields.iter().find_map(|field| match field {
        EventField::Tasks(tasks) => Some(*tasks),
        _ => None,
    })
}

fn answer_task(life: &mut JobLife, observed: &ObservedEvent, list: &mut ViolationList) {
    if life.admitted_by.is_some_and(|by| by != observed.incarnation) {
        list.add(TimelineInvariant::OwnAnswer, observed, "another process admitted the job");
    }
    let Some(task) = observed.event.task else { return };
    if !life.answered.insert(task) {
        list.add(TimelineInvariant::OwnAnswer, observed, "the task was answered before");
    }
    if life.tasks.is_some_and(|tasks| u64::from(task) >= tasks) {
        list.add(TimelineInvariant::OwnAnswer, observed, "the job has no such task");
    }
}

fn complete(life: &mut JobLife, observed: &ObservedEvent, list: &mut ViolationList) {
    let answered = life.answered.len() as u64;
    if life.tasks.is_some_and(|tasks| answered != tasks) {
        let against = format!("{answered} tasks were answered");
        list.add(TimelineInvariant::WholeAnswer, observed, &against);
    }
    end(life, observed, list);
}

fn end(life: &mut JobLife, observed: &ObservedEvent, list: &mut ViolationList) {
    if let Some(kind) = life.ended.replace(observed.event.kind) {
        let against = format!("the job had ended with {}", kind.name());
        list.add(TimelineInvariant::WholeAnswer, observed, &against);
    }
}

/// A submission said not to have run must have no start, before or after.
fn check_not_run(events: &[&ObservedEvent], list: &mut ViolationList) {
    let said =
        events.iter().filter(|observed| observed.event.fields.contains(&EventField::NotRun(true)));
    let said = said.copied().filter_map(|observed| Some((observed.event.submission?, observed)));
    let said: HashMap<SubmissionId, &ObservedEvent> = said.collect();
    for observed in events {
        if observed.event.kind != EventKind::AgentStarted {
            continue;
        }
        let refused = observed.event.submission.and_then(|id| said.get(&id));
        if let Some(refused) = refused {
            let against = format!("{} said {}", refused.process, refused.event);
            list.add(TimelineInvariant::NotRun, observed, &against);
        }
    }
}
