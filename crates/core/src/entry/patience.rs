//! Patience: what becomes of jobs that wait longer than their callers want.

use super::EntryMachine;
use super::admit::millis;
use crate::error::{ErrorKind, RefusalFigures};
use crate::id::{SubmissionId, TaskId};
use crate::job::{HeldJob, JobPatience};
use crate::lifecycle::TaskState;
use crate::time::Moment;

impl EntryMachine {
    /// Times up to which a job keeps its place in the queue, where all its requests have objectives.
    pub(super) fn patience(&self, job: &HeldJob) -> Option<JobPatience> {
        let spec = self.ledger.configuration().services.get(&job.service)?;
        let patience = job.tasks.iter().map(|task| {
            let request = &task.request.request;
            let objective = spec.requests.get(request)?.objective?;
            let expected = self.run_times.expected(&job.service, request, task.declared);
            let (slack, useless_after) = (objective.slack(expected), objective.patience(expected));
            Some(JobPatience { slack, useless_after })
        });
        let patience: Option<Vec<JobPatience>> = patience.collect();
        patience?.into_iter().max_by_key(|patience| patience.slack)
    }

    /// Puts the waiting tasks of a job that has become late behind those that can still be on time;
    /// returns whether its place changed.
    pub(super) fn demote(&mut self, id: SubmissionId, now: Moment) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let band = job.band_at(now.elapsed);
        if band == job.band() {
            return false;
        }
        let (service, team, before) = (job.service.clone(), job.team.clone(), job.rank());
        job.set_band(band);
        let after = job.rank();
        let waiting = job.tasks.iter().zip(0u32..);
        let waiting = waiting.filter(|(task, _)| task.state() == TaskState::Queued);
        for (_, index) in waiting {
            let task = TaskId::new(id, index);
            if self.queue.remove(&service, task, before) {
                self.queue.push(&service, &team, task, after);
            }
        }
        true
    }

    /// Refuses every job that waited until its answer would be of no use without a single start.
    pub(super) fn end_impatient(&mut self, now: Moment) {
        while let Some(&(due, id)) = self.patience_dues.first() {
            if due > now.elapsed {
                return;
            }
            self.patience_dues.pop_first();
            let Some(job) = self.jobs.get(&id).filter(|job| job.is_not_run()) else { continue };
            let allowed = millis(due.saturating_sub(job.arrived));
            let waited = millis(now.elapsed.saturating_sub(job.arrived));
            let figures = RefusalFigures::new("patience_ms", allowed, waited);
            self.end_failed(id, ErrorKind::Overloaded, figures, now);
        }
    }
}
