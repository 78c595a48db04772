//! Completion time estimates: whether a job can finish before its deadline.

use super::EntryMachine;
use super::admission::{find_spec, millis, saturated};
use crate::config::ServiceSpec;
use crate::error::{ErrorKind, JobError, LimitDetails, LimitName};
use crate::job::{JobRequest, TaskGroup};
use crate::time::Moment;
use std::time::Duration;

/// Combined capacity of the servers of a service.
struct ServiceCapacity {
    /// Sum of the slots, each divided by the slowdown of its server.
    speed: f64,
    /// Mean run time at slowdown 1; zero before the first answer.
    mean_run_time: Duration,
}

impl EntryMachine {
    /// Refuses a job whose tasks would miss its deadline even without failures.
    pub(super) fn check_deadline(&self, request: &JobRequest, now: Moment) -> Result<(), JobError> {
        // Not all servers have registered yet, so their capacity is unknown.
        if self.is_warming_up(now) {
            return Ok(());
        }
        let spec = find_spec(self.ledger.configuration(), request)?;
        let deadline = request.deadline.unwrap_or(spec.default_deadline);
        let capacity = self.service_capacity(&request.service);
        if capacity.speed == 0.0 {
            let details = LimitDetails::new(LimitName::ServersInService, 1, 0);
            return Err(JobError::new(ErrorKind::NoServerInService, details));
        }
        let needed = self.expected_completion_time(request, spec, &capacity);
        if needed <= deadline {
            return Ok(());
        }
        let details = LimitDetails::new(LimitName::DeadlineMs, millis(deadline), millis(needed));
        Err(JobError::new(ErrorKind::DeadlineUnreachable, details))
    }

    /// Time until the last task of `request` would finish, based on measured run times.
    ///
    /// The open tasks of the team at all entries run first. While those run, smaller jobs may
    /// overtake this one, which delays it by at most its queue penalty.
    fn expected_completion_time(
        &self,
        request: &JobRequest,
        spec: &ServiceSpec,
        capacity: &ServiceCapacity,
    ) -> Duration {
        let mut work = Duration::ZERO;
        let mut longest = Duration::ZERO;
        for TaskGroup { task, count } in &request.task_groups {
            let (demand, declared) = spec.demand(task);
            let run_time = self.run_times.expected(&request.service, &task.request_name, declared);
            let task_work = run_time.saturating_mul(demand.slots.max(1));
            work = work.saturating_add(task_work.saturating_mul(saturated(*count)));
            longest = longest.max(run_time);
        }
        let count = saturated(request.task_count()).max(1);
        let mean =
            if capacity.mean_run_time.is_zero() { work / count } else { capacity.mean_run_time };
        let wait = mean.saturating_mul(self.open_tasks_of(&request.team));
        let wait = time_at_speed(wait, capacity.speed).saturating_mul(WAIT_SAFETY_FACTOR);
        let overtaking = wait.min(self.limits.task_queue_penalty.saturating_mul(count));
        let finish = wait.saturating_add(time_at_speed(work, capacity.speed));
        longest.max(finish).saturating_add(overtaking)
    }

    /// Tasks of `team` accepted and not yet answered, at all entries.
    fn open_tasks_of(&self, team: &str) -> u32 {
        let local = self.team_load.get(team).copied().unwrap_or(0);
        let remote = self.peer_loads.values().filter_map(|load| load.teams.get(team));
        remote.fold(local, |sum, open| sum.saturating_add(*open))
    }

    /// Capacity of a sample of the servers of `service`, scaled to all of them, with the mean run
    /// time of the sample at slowdown 1.
    fn service_capacity(&self, service: &str) -> ServiceCapacity {
        let sample = self.directory.even_sample(service);
        let mut speed = 0.0;
        let (mut times, mut samples) = (Duration::ZERO, 0);
        for index in sample.indexes() {
            if !self.directory.is_eligible(index, self.ledger.configuration()) {
                continue;
            }
            let Some(server) = self.directory.get(index) else { continue };
            let slots = f64::from(server.latest_report().capacity.slots);
            speed += slots / server.slowdown() * sample.stride as f64;
            let run_time = server.mean_run_time();
            if !run_time.is_zero() {
                times += run_time.div_f64(server.slowdown());
                samples += 1;
            }
        }
        ServiceCapacity {
            speed,
            mean_run_time: if samples > 0 { times / samples } else { Duration::ZERO },
        }
    }
}

/// Time for `work` at `speed`; longer than any deadline if the result is not a valid duration.
fn time_at_speed(work: Duration, speed: f64) -> Duration {
    Duration::try_from_secs_f64(work.as_secs_f64() / speed).unwrap_or(BEYOND_ANY_DEADLINE)
}

/// Safety factor on the expected wait: the load reports of other entries are half a second old, and
/// a job that starts and misses its deadline wastes capacity.
const WAIT_SAFETY_FACTOR: u32 = 2;
/// A time longer than any deadline, 2^20 s.
const BEYOND_ANY_DEADLINE: Duration = Duration::from_secs(1 << 20);
