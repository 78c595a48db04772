//! Estimates: whether a job can be answered in time.

use super::EntryMachine;
use super::admit::{find_spec, millis};
use crate::config::ServiceSpec;
use crate::error::{ErrorKind, JobError, RefusalFigures};
use crate::job::JobRequest;
use crate::time::Moment;
use std::time::Duration;

/// What the servers of a service can do together.
struct ServiceCapacity {
    /// Slots, each weighed by the speed of its server.
    speed: f64,
    /// Mean run time at pace 1, zero before the first answer.
    mean: Duration,
}

impl EntryMachine {
    /// Refuses a job whose tasks would not finish before its deadline even if all goes well.
    pub(super) fn check_deadline(&self, request: &JobRequest, now: Moment) -> Result<(), JobError> {
        // Not all servers are known yet, so nothing can be said of what they will do.
        if self.is_warming(now) {
            return Ok(());
        }
        let spec = find_spec(self.ledger.configuration(), request)?;
        let deadline = request.deadline.unwrap_or(spec.deadline);
        let capacity = self.capacity(&request.service);
        if capacity.speed == 0.0 {
            let figures = RefusalFigures::new("servers_in_service", 1, 0);
            return Err(JobError::new(ErrorKind::NoServerInService, figures));
        }
        let needed = self.expected_time(request, spec, &capacity);
        if needed <= deadline {
            return Ok(());
        }
        let figures = RefusalFigures::new("deadline_ms", millis(deadline), millis(needed));
        Err(JobError::new(ErrorKind::DeadlineUnreachable, figures))
    }

    /// Time until the last task of `request` would finish, by what is learnt.
    ///
    /// The open tasks of the team at all entries come first, and jobs that are smaller may pass for
    /// as long as those take, at most by the surcharge of the job.
    fn expected_time(
        &self,
        request: &JobRequest,
        spec: &ServiceSpec,
        capacity: &ServiceCapacity,
    ) -> Duration {
        let mut work = Duration::ZERO;
        let mut longest = Duration::ZERO;
        for task in &request.tasks {
            let (room, declared) = spec.demand(task);
            let time = self.run_times.expected(&request.service, &task.request_name, declared);
            work += time * room.slots.max(1);
            longest = longest.max(time);
        }
        let count = u32::try_from(request.tasks.len()).unwrap_or(u32::MAX).max(1);
        let mean = if capacity.mean.is_zero() { work / count } else { capacity.mean };
        let ahead = mean.saturating_mul(self.open_tasks(&request.team));
        let ahead = divided(ahead, capacity.speed) * WAIT_MARGIN;
        let passed = ahead.min(self.limits.task_surcharge.saturating_mul(count));
        longest.max(ahead + divided(work, capacity.speed)) + passed
    }

    /// Tasks of `team` accepted and not yet answered, here and at the other entries.
    fn open_tasks(&self, team: &str) -> u32 {
        let here = self.team_open.get(team).copied().unwrap_or(0);
        let elsewhere = self.peer_load.values().filter_map(|load| load.teams.get(team));
        elsewhere.fold(here, |sum, open| sum.saturating_add(*open))
    }

    /// Speed of a sample of the servers of `service`, scaled to all of them, and the mean run time
    /// there at pace 1.
    fn capacity(&self, service: &str) -> ServiceCapacity {
        let offering = self.directory.offering(service);
        let step = offering.len().div_ceil(self.limits.directory.sample_size.max(1)).max(1);
        let mut speed = 0.0;
        let (mut times, mut learnt) = (Duration::ZERO, 0);
        for &index in offering.iter().step_by(step) {
            if !self.directory.is_eligible(index, self.ledger.configuration()) {
                continue;
            }
            let Some(server) = self.directory.get(index) else { continue };
            speed +=
                f64::from(server.latest_report().capacity.slots) / server.slowdown() * step as f64;
            let time = server.mean_run_time();
            if !time.is_zero() {
                times += time.div_f64(server.slowdown());
                learnt += 1;
            }
        }
        ServiceCapacity { speed, mean: if learnt > 0 { times / learnt } else { Duration::ZERO } }
    }
}

/// Time for `work` at `speed`; longer than any deadline where it cannot be told.
fn divided(work: Duration, speed: f64) -> Duration {
    Duration::try_from_secs_f64(work.as_secs_f64() / speed).unwrap_or(LONG)
}

/// Factor on the time to wait: what is known of the other entries is half a second old, and a job
/// that starts and misses its deadline is work thrown away.
const WAIT_MARGIN: u32 = 2;
/// Time longer than any deadline.
const LONG: Duration = Duration::from_secs(1 << 20);
