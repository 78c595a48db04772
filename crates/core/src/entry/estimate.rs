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
    /// Slots taken.
    busy: u32,
}

impl EntryMachine {
    /// Refuses a job whose tasks would not finish before its deadline even if all goes well.
    pub(super) fn check_deadline(
        &self,
        request: &JobRequest,
        _now: Moment,
    ) -> Result<(), JobError> {
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
    fn expected_time(
        &self,
        request: &JobRequest,
        spec: &ServiceSpec,
        capacity: &ServiceCapacity,
    ) -> Duration {
        let mut work = Duration::ZERO;
        let mut longest = Duration::ZERO;
        for task in &request.tasks {
            let Some(rule) = spec.requests.get(&task.request) else { continue };
            let time = self.run_times.expected(&request.service, &task.request, rule.run_time);
            work += time * rule.slots.max(1);
            longest = longest.max(time);
        }
        let count = u32::try_from(request.tasks.len()).unwrap_or(u32::MAX).max(1);
        let waiting = u32::try_from(self.queue.service_len(&request.service)).unwrap_or(u32::MAX);
        let mean = work / count;
        let ahead = mean.saturating_mul(waiting.saturating_add(capacity.busy));
        let drain = (ahead + work).as_secs_f64() / capacity.speed - mean.as_secs_f64();
        let finish = Duration::try_from_secs_f64(drain.max(0.0)).unwrap_or(Duration::MAX);
        longest.max(finish)
    }

    /// Speed and load of a sample of the servers of `service`, scaled to all of them.
    fn capacity(&self, service: &str) -> ServiceCapacity {
        let offering = self.directory.offering(service);
        let step = offering.len().div_ceil(self.limits.directory.sample.max(1)).max(1);
        let mut capacity = ServiceCapacity { speed: 0.0, busy: 0 };
        for &index in offering.iter().step_by(step) {
            if !self.directory.takes_work(index, self.ledger.configuration()) {
                continue;
            }
            let Some(server) = self.directory.get(index) else { continue };
            capacity.speed += f64::from(server.latest().slots) / server.pace() * step as f64;
            capacity.busy += server.load() * u32::try_from(step).unwrap_or(1);
        }
        capacity
    }
}
