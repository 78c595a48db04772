//! Priority classes of waiting jobs: on time, late and expired.

use super::EntryMachine;
use super::admission::millis;
use super::load_shedding::ShedDecision;
use crate::error::{ErrorKind, LimitDetails, LimitName};
use crate::id::{SubmissionId, TaskId};
use crate::job::{ActiveJob, PriorityClass, WaitLimits};
use crate::lifecycle::TaskState;
use crate::time::Moment;

impl EntryMachine {
    /// How long a job keeps its priority; `None` unless all its requests have a latency objective.
    pub(super) fn wait_limits(&self, job: &ActiveJob) -> Option<WaitLimits> {
        let spec = self.ledger.configuration().services.get(&job.service)?;
        let limits = job.tasks.iter().map(|task| {
            let request = &task.request.request_name;
            let objective = spec.requests.get(request)?.objective?;
            let expected = self.run_times.expected(&job.service, request, task.declared_run_time);
            let (slack, expires_after) =
                (objective.slack(expected), objective.expires_after(expected));
            Some(WaitLimits { slack, expires_after })
        });
        let limits: Option<Vec<WaitLimits>> = limits.collect();
        limits?.into_iter().max_by_key(|limits| limits.slack)
    }

    /// Updates the priority class of a job and the queue position of its tasks, or refuses the job
    /// if it has become late and late jobs of its service are being shed.
    ///
    /// Returns whether anything changed.
    pub(super) fn reclassify(&mut self, id: SubmissionId, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let class = job.priority_class_at(now.elapsed);
        if class == job.priority_class() {
            return false;
        }
        let is_shed = !self.is_warming_up(now) && !self.is_planned(&job.service);
        if class == PriorityClass::Late && job.has_not_started() && is_shed {
            let is_waiting = |other| self.jobs.get(&other).is_some_and(ActiveJob::has_not_started);
            if self.load_shedder.decide(&job.service, id, is_waiting) == ShedDecision::Refuse {
                let allowed = job.wait_limits.map_or(0, |limits| millis(limits.slack));
                self.refuse_waiting_job(id, LimitName::LateAfterMs, allowed, now);
                return true;
            }
        }
        self.set_priority_class(id, class);
        true
    }

    pub(super) fn set_priority_class(&mut self, id: SubmissionId, class: PriorityClass) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (service, team, before) = (job.service.clone(), job.team.clone(), job.queue_position());
        job.set_priority_class(class);
        let after = job.queue_position();
        let queued = job.tasks.iter().zip(0u32..);
        let queued = queued.filter(|(task, _)| task.state() == TaskState::Queued);
        for (_, index) in queued {
            let task = TaskId::new(id, index);
            if self.queue.remove(&service, task, before) {
                self.queue.push(&service, &team, task, after);
            }
        }
    }

    /// Schedules the next time at which the priority class of a job may change.
    pub(super) fn schedule_reclassification(&mut self, id: SubmissionId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.reclassify_at = job.next_reclassification(now.elapsed);
        if let Some(at) = job.reclassify_at {
            self.reclassify_times.insert((at, id));
        }
    }

    /// Reclassifies every job whose class may have changed. Refuses a job whose answer is no longer
    /// of use and of which no task has started.
    pub(super) fn reclassify_due_jobs(&mut self, now: Moment) {
        while let Some(&(at, id)) = self.reclassify_times.first() {
            if at >= now.elapsed {
                return;
            }
            self.reclassify_times.pop_first();
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.priority_class_at(now.elapsed) == PriorityClass::Expired && job.has_not_started()
            {
                let allowed = job.wait_limits.map_or(0, |limits| millis(limits.expires_after));
                if !self.is_warming_up(now) && !self.is_planned(&job.service) {
                    self.load_shedder.record_expired(&job.service, id);
                }
                self.refuse_waiting_job(id, LimitName::PatienceMs, allowed, now);
            } else {
                self.reclassify(id, now);
                self.schedule_reclassification(id, now);
            }
        }
    }

    fn refuse_waiting_job(
        &mut self,
        id: SubmissionId,
        limit: LimitName,
        allowed: u64,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let waited = millis(now.elapsed.saturating_sub(job.arrived_at));
        let details = LimitDetails::new(limit, allowed, waited);
        self.fail_job(id, ErrorKind::Overloaded, details, now);
    }
}
