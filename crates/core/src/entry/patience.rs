//! Patience: what becomes of jobs that wait longer than their callers want.

use super::EntryMachine;
use super::admit::millis;
use super::late::LateChoice;
use crate::error::{ErrorKind, RefusalFigures};
use crate::id::{SubmissionId, TaskId};
use crate::job::{ActiveJob, PriorityClass, WaitLimits};
use crate::lifecycle::TaskState;
use crate::time::Moment;

impl EntryMachine {
    /// Times up to which a job keeps its place in the queue, where all its requests have objectives.
    pub(super) fn patience(&self, job: &ActiveJob) -> Option<WaitLimits> {
        let spec = self.ledger.configuration().services.get(&job.service)?;
        let patience = job.tasks.iter().map(|task| {
            let request = &task.request.request_name;
            let objective = spec.requests.get(request)?.objective?;
            let expected = self.run_times.expected(&job.service, request, task.declared_run_time);
            let (slack, expires_after) = (objective.slack(expected), objective.patience(expected));
            Some(WaitLimits { slack, expires_after })
        });
        let patience: Option<Vec<WaitLimits>> = patience.collect();
        patience?.into_iter().max_by_key(|patience| patience.slack)
    }

    /// Puts the waiting tasks of a job where its band has them, or refuses the job where it is late
    /// and would wait in vain; returns whether anything changed.
    pub(super) fn settle_band(&mut self, id: SubmissionId, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let band = job.priority_class_at(now.elapsed);
        if band == job.priority_class() {
            return false;
        }
        if band == PriorityClass::Late && job.has_not_started() && !self.is_warming(now) {
            let is_waiting = |other| self.jobs.get(&other).is_some_and(ActiveJob::has_not_started);
            if self.late.choose(&job.service, id, is_waiting) == LateChoice::Refuse {
                let allowed = job.wait_limits.map_or(0, |patience| millis(patience.slack));
                self.refuse_waiting(id, "late_after_ms", allowed, now);
                return true;
            }
        }
        self.set_band(id, band);
        true
    }

    fn set_band(&mut self, id: SubmissionId, band: PriorityClass) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (service, team, before) = (job.service.clone(), job.team.clone(), job.queue_position());
        job.set_priority_class(band);
        let after = job.queue_position();
        let waiting = job.tasks.iter().zip(0u32..);
        let waiting = waiting.filter(|(task, _)| task.state() == TaskState::Queued);
        for (_, index) in waiting {
            let task = TaskId::new(id, index);
            if self.queue.remove(&service, task, before) {
                self.queue.push(&service, &team, task, after);
            }
        }
    }

    /// Has the band of a job looked at again when it may change.
    pub(super) fn follow_band(&mut self, id: SubmissionId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.reclassify_at = job.next_reclassification(now.elapsed);
        if let Some(due) = job.reclassify_at {
            self.band_dues.insert((due, id));
        }
    }

    /// Follows the jobs that become late, and refuses every one that waited until its answer would
    /// be of no use without a single start.
    pub(super) fn follow_patience(&mut self, now: Moment) {
        while let Some(&(due, id)) = self.band_dues.first() {
            if due >= now.elapsed {
                return;
            }
            self.band_dues.pop_first();
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.priority_class_at(now.elapsed) == PriorityClass::Expired && job.has_not_started()
            {
                let allowed = job.wait_limits.map_or(0, |patience| millis(patience.expires_after));
                if !self.is_warming(now) {
                    self.late.note_expired(&job.service, id);
                }
                self.refuse_waiting(id, "patience_ms", allowed, now);
            } else {
                self.settle_band(id, now);
                self.follow_band(id, now);
            }
        }
    }

    fn refuse_waiting(&mut self, id: SubmissionId, limit: &'static str, allowed: u64, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let waited = millis(now.elapsed.saturating_sub(job.arrived_at));
        let figures = RefusalFigures::new(limit, allowed, waited);
        self.end_failed(id, ErrorKind::Overloaded, figures, now);
    }
}
