//! Waiting jobs of a service and their work, as plans see them.

use super::super::EntryMachine;
use super::super::dispatch::Contention;
use crate::id::{RequestName, SubmissionId, TaskId};
use crate::job::ActiveJob;
use crate::lifecycle::TaskState;
use crate::overload::{SlotSeconds, WaitingJob};
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use std::time::Duration;

/// Largest number of jobs in a plan; further jobs, which are served last, wait.
pub(super) const MAX_PLANNED_JOBS: usize = 512;
/// Jobs of a plan, with what the plan is based on.
pub(super) struct Backlog {
    pub ids: Vec<SubmissionId>,
    pub jobs: Vec<WaitingJob>,
}

/// Run time of a kind of request, and the servers for one demand, looked up once for each plan.
#[derive(Default)]
struct PlanLookups {
    run_times: Vec<(RequestName, Option<Duration>)>,
    free_demands: Vec<(ResourceAmounts, bool)>,
}

impl EntryMachine {
    /// The waiting jobs of `service` in the order of the queue.
    pub(super) fn backlog(&self, service: &str, now: Moment) -> Backlog {
        let mut lookups = PlanLookups::default();
        let mut backlog = Backlog { ids: Vec::new(), jobs: Vec::new() };
        for id in self.queue.waiting_jobs(service, MAX_PLANNED_JOBS) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if let Some(waiting) = self.waiting_job(job, &mut lookups, now) {
                backlog.ids.push(id);
                backlog.jobs.push(waiting);
            }
        }
        backlog
    }

    fn waiting_job(
        &self,
        job: &ActiveJob,
        lookups: &mut PlanLookups,
        now: Moment,
    ) -> Option<WaitingJob> {
        let limits = job.wait_limits?;
        let (mut work, mut largest_task, mut longest) = (0.0, 0.0f64, Duration::ZERO);
        let mut may_yield = job.has_not_started() && job.probed_kind.is_none();
        let is_queued = |state| state == TaskState::Queued;
        for task in job.tasks.iter().filter(|task| is_queued(task.state())) {
            let request = &task.request.request_name;
            let run_time = self.measured_run_time(&job.service, request, lookups, now);
            // Declared run times may be far off, so they count as no work and decide nothing.
            let run_time = run_time.unwrap_or_else(|| {
                may_yield = false;
                Duration::ZERO
            });
            may_yield = may_yield && !self.is_server_free(&job.service, task.demand, lookups, now);
            let task_work = task_work(task.demand, run_time);
            work += task_work;
            largest_task = largest_task.max(task_work);
            longest = longest.max(run_time);
        }
        let useful_until = (job.arrived_at + limits.expires_after).min(job.deadline_at);
        Some(WaitingJob {
            priority: job.priority?,
            latest_start: job.arrived_at + limits.slack,
            expires_at: useful_until.saturating_sub(longest),
            work,
            largest_task,
            may_yield,
        })
    }

    /// Average run time of a kind of request; `None` if none was measured lately.
    fn measured_run_time(
        &self,
        service: &str,
        request: &RequestName,
        lookups: &mut PlanLookups,
        now: Moment,
    ) -> Option<Duration> {
        let known = lookups.run_times.iter().find(|(name, _)| name == request);
        if let Some((_, run_time)) = known {
            return *run_time;
        }
        let run_time = self.run_times.measured(service, request, now.elapsed);
        lookups.run_times.push((request.clone(), run_time));
        run_time
    }

    /// Whether a server has free capacity for a task that needs `demand`.
    fn is_server_free(
        &self,
        service: &str,
        demand: ResourceAmounts,
        lookups: &mut PlanLookups,
        now: Moment,
    ) -> bool {
        if let Some((_, is_free)) = lookups.free_demands.iter().find(|(known, _)| *known == demand)
        {
            return *is_free;
        }
        let mut offering = self.directory.offering(service).iter();
        let is_free =
            offering.any(|&index| self.has_free_capacity(index, demand, Contention::Alone, now));
        lookups.free_demands.push((demand, is_free));
        is_free
    }

    /// Records the work of a task that was answered after `run_time`. A start shows no capacity, since
    /// the agent may return the task.
    pub(in crate::entry) fn record_served_task(
        &mut self,
        id: TaskId,
        run_time: Duration,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&id.submission) else { return };
        let Some(priority) = job.priority else { return };
        if !self.overload.services.contains_key(&job.service) {
            return;
        }
        let task = &job.tasks[id.index as usize];
        let mut lookups = PlanLookups::default();
        let request = &task.request.request_name;
        let expected = self.measured_run_time(&job.service, request, &mut lookups, now);
        let Some(work) = expected.map(|expected| task_work(task.demand, expected)) else { return };
        let latest_start = job.wait_limits.map(|limits| job.arrived_at + limits.slack);
        let started_at = now.elapsed.saturating_sub(run_time);
        let is_on_time = latest_start.is_some_and(|latest| started_at <= latest);
        if let Some(control) = self.overload.services.get_mut(&job.service) {
            control.history.advance(now.elapsed);
            control.history.record_served(priority, work, is_on_time);
        }
    }
}

fn task_work(demand: ResourceAmounts, run_time: Duration) -> SlotSeconds {
    f64::from(demand.slots.max(1)) * run_time.as_secs_f64()
}
