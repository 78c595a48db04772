//! Patience: what becomes of jobs that wait longer than their callers want.

use super::EntryMachine;
use super::admit::millis;
use super::late::LateChoice;
use crate::error::{ErrorKind, LimitDetails};
use crate::id::{SubmissionId, TaskId};
use crate::job::{HeldJob, JobBand, JobPatience};
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
            let (slack, useless_after) =
                (objective.slack(expected), objective.expires_after(expected));
            Some(JobPatience { slack, useless_after })
        });
        let patience: Option<Vec<JobPatience>> = patience.collect();
        patience?.into_iter().max_by_key(|patience| patience.slack)
    }

    /// Puts the waiting tasks of a job where its band has them, or refuses the job where it is late
    /// and would wait in vain; returns whether anything changed.
    pub(super) fn settle_band(&mut self, id: SubmissionId, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let band = job.band_at(now.elapsed);
        if band == job.band() {
            return false;
        }
        if band == JobBand::Late && job.is_not_run() && !self.is_warming(now) {
            let is_waiting = |other| self.jobs.get(&other).is_some_and(HeldJob::is_not_run);
            if self.late.choose(&job.service, id, is_waiting) == LateChoice::Refuse {
                let allowed = job.patience.map_or(0, |patience| millis(patience.slack));
                self.refuse_waiting(id, "late_after_ms", allowed, now);
                return true;
            }
        }
        self.set_band(id, band);
        true
    }

    fn set_band(&mut self, id: SubmissionId, band: JobBand) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
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
    }

    /// Has the band of a job looked at again when it may change.
    pub(super) fn follow_band(&mut self, id: SubmissionId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.band_due = job.next_band_due(now.elapsed);
        if let Some(due) = job.band_due {
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
            if job.band_at(now.elapsed) == JobBand::Spent && job.is_not_run() {
                let allowed = job.patience.map_or(0, |patience| millis(patience.useless_after));
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
        let waited = millis(now.elapsed.saturating_sub(job.arrived));
        let figures = LimitDetails::new(limit, allowed, waited);
        self.end_failed(id, ErrorKind::Overloaded, figures, now);
    }
}
