//! Completion time estimates: whether a job can finish before its deadline.

use super::EntryMachine;
use super::admission::{find_spec, millis, saturated};
use super::deadline_probe::{ProbeDecision, ProbeResult, RequestKind};
use crate::config::{MAX_RUN_TIME, ServiceSpec};
use crate::directory::{EstimateSource, RunTimeEstimate};
use crate::error::{ErrorKind, JobError, LimitDetails, LimitName};
use crate::id::SubmissionId;
use crate::job::{JobRequest, TaskGroup};
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use std::time::Duration;

/// Combined capacity of the servers of a service.
pub(super) struct ServiceCapacity {
    /// Sum of the slots, each divided by the slowdown of its server.
    pub(super) speed: f64,
    /// Mean run time at slowdown 1; zero if none was measured recently.
    mean_run_time: Duration,
}

/// Whether a job can finish before its deadline.
#[derive(Debug)]
pub(super) enum DeadlineDecision {
    /// It can, as far as is known.
    Reachable,
    /// By the estimate it cannot; it is admitted to test the estimate.
    Probe(CompletionEstimate),
    /// By the estimate it cannot.
    Unreachable(CompletionEstimate),
    /// The job cannot run at all.
    Impossible(JobError),
}

/// Estimated completion of a job that would miss its deadline.
#[derive(Debug, Clone)]
pub(super) struct CompletionEstimate {
    /// Time until the last task would finish.
    needed: Duration,
    deadline: Duration,
    /// Kind of request of the longest task.
    pub(super) kind: RequestKind,
    /// Run time that the longest task declares.
    declared: Duration,
    /// Estimated run time of the longest task.
    longest: RunTimeEstimate,
}

impl CompletionEstimate {
    pub(super) fn error(&self) -> JobError {
        let (allowed, actual) = (millis(self.deadline), millis(self.needed));
        let details = LimitDetails::new(LimitName::DeadlineMs, allowed, actual);
        JobError::new(ErrorKind::DeadlineUnreachable, details)
    }

    /// The evidence, for the event about the job.
    pub(super) fn fields(&self) -> Vec<EventField> {
        let RunTimeEstimate { run_time, source, samples, age } = self.longest;
        let mut fields = vec![
            EventField::Estimate(source),
            EventField::EstimateMs(millis(run_time)),
            EventField::DeclaredMs(millis(self.declared)),
            EventField::Samples(samples.into()),
        ];
        fields.extend(age.map(|age| EventField::SampleAgeMs(millis(age))));
        fields
    }

    /// Whether the job alone says that it cannot be served, by a run time beyond any deadline.
    fn is_beyond_any_deadline(&self) -> bool {
        self.longest.source == EstimateSource::Declared && self.longest.run_time >= MAX_RUN_TIME
    }
}

impl EntryMachine {
    /// Decides whether the tasks of a job would miss its deadline even without failures.
    pub(super) fn evaluate_deadline(&self, request: &JobRequest, now: Moment) -> DeadlineDecision {
        // Not all servers have registered yet, so their capacity is unknown.
        if self.is_warming_up(now) {
            return DeadlineDecision::Reachable;
        }
        let spec = match find_spec(self.ledger.configuration(), request) {
            Ok(spec) => spec,
            Err(error) => return DeadlineDecision::Impossible(error),
        };
        let capacity = self.service_capacity(&request.service, now);
        if capacity.speed == 0.0 {
            let details = LimitDetails::new(LimitName::ServersInService, 1, 0);
            let error = JobError::new(ErrorKind::NoServerInService, details);
            return DeadlineDecision::Impossible(error);
        }
        let Some(estimate) = self.estimate_completion(request, spec, &capacity, now) else {
            return DeadlineDecision::Reachable;
        };
        if estimate.needed <= estimate.deadline {
            return DeadlineDecision::Reachable;
        }
        let probe = self.deadline_probes.decide(&estimate.kind, now.elapsed);
        if estimate.is_beyond_any_deadline() || probe == ProbeDecision::Refuse {
            return DeadlineDecision::Unreachable(estimate);
        }
        DeadlineDecision::Probe(estimate)
    }

    /// Estimates when the last task of `request` would finish; `None` if it has no task.
    ///
    /// The open tasks of the team at all entries run first, unless overload plans decide about the
    /// service. While those run, smaller jobs may overtake this one, which delays it by at most its
    /// queue penalty. For the sum of many tasks the average is the best estimate, whatever each
    /// declares; one task may be far from it.
    fn estimate_completion(
        &self,
        request: &JobRequest,
        spec: &ServiceSpec,
        capacity: &ServiceCapacity,
        now: Moment,
    ) -> Option<CompletionEstimate> {
        let mut work = Duration::ZERO;
        for TaskGroup { task, count } in &request.task_groups {
            let (demand, declared) = spec.demand(task);
            let run_time = self.run_times.expected(&request.service, &task.request_name, declared);
            let task_work = run_time.saturating_mul(demand.slots.max(1));
            work = work.saturating_add(task_work.saturating_mul(saturated(*count)));
        }
        let (kind, declared, longest) = self.longest_task(request, spec, now)?;
        let count = saturated(request.task_count()).max(1);
        let mean =
            if capacity.mean_run_time.is_zero() { work / count } else { capacity.mean_run_time };
        // Open jobs with a lower priority do not run first, so the plan decides after admission.
        let is_planned = self.is_planned(&request.service);
        let open_tasks = if is_planned { 0 } else { self.open_tasks_of(&request.team) };
        let wait = mean.saturating_mul(open_tasks);
        let wait = time_at_speed(wait, capacity.speed).saturating_mul(WAIT_SAFETY_FACTOR);
        let overtaking = wait.min(self.limits.task_queue_penalty.saturating_mul(count));
        let finish = wait.saturating_add(time_at_speed(work, capacity.speed));
        let needed = longest.run_time.max(finish).saturating_add(overtaking);
        let deadline = request.deadline.unwrap_or(spec.default_deadline);
        Some(CompletionEstimate { needed, deadline, kind, declared, longest })
    }

    /// Kind, declared and estimated run time of the task that takes longest.
    fn longest_task(
        &self,
        request: &JobRequest,
        spec: &ServiceSpec,
        now: Moment,
    ) -> Option<(RequestKind, Duration, RunTimeEstimate)> {
        let service = &request.service;
        let estimates = request.task_groups.iter().map(|group| {
            let name = &group.task.request_name;
            let (_, declared) = spec.demand(&group.task);
            let estimate = self.run_times.shortest(service, name, declared, now.elapsed);
            (name, declared, estimate)
        });
        let (name, declared, longest) = estimates.max_by_key(|(.., longest)| longest.run_time)?;
        let kind = RequestKind { service: service.clone(), request: name.clone() };
        Some((kind, declared, longest))
    }

    /// Records that `id` is admitted to test its estimate, whose next measured run counts alone.
    pub(super) fn begin_probe(&mut self, id: SubmissionId, estimate: &CompletionEstimate) {
        let kind = &estimate.kind;
        self.run_times.restart(&kind.service, &kind.request);
        self.deadline_probes.begin(kind.clone(), id);
        let tested = TimelineEvent::new(EventKind::EstimateTested).submission(id);
        let tested = tested.subject(&kind.request);
        let error = estimate.error();
        let tested = tested.field(EventField::Allowed(error.details.allowed));
        let tested = tested.field(EventField::Actual(error.details.actual));
        self.record_event(estimate.fields().into_iter().fold(tested, TimelineEvent::field));
    }

    /// Records that `id` is answered in time; if it tested an estimate, the estimate was wrong.
    pub(super) fn refute_estimate(&mut self, id: SubmissionId, now: Moment) {
        let Some(kind) = self.jobs.get(&id).and_then(|job| job.probed_kind.clone()) else { return };
        self.deadline_probes.end(&kind, id, ProbeResult::Refuted, now.elapsed);
        let refuted = TimelineEvent::new(EventKind::EstimateRefuted).submission(id);
        self.record_event(refuted.subject(&kind.request));
    }

    /// Tasks of `team` accepted and not yet answered, at all entries.
    pub(super) fn open_tasks_of(&self, team: &str) -> u32 {
        let local = self.team_load.get(team).copied().unwrap_or(0);
        let remote = self.peer_loads.values().filter_map(|load| load.teams.get(team));
        remote.fold(local, |sum, open| sum.saturating_add(*open))
    }

    /// Capacity of a sample of the servers of `service`, scaled to all of them, with the mean run
    /// time of the sample at slowdown 1.
    pub(super) fn service_capacity(&self, service: &str, now: Moment) -> ServiceCapacity {
        let sample = self.directory.even_sample(service);
        let mut speed = 0.0;
        let (mut times, mut samples) = (Duration::ZERO, 0);
        for index in sample.indexes() {
            if !self.directory.is_usable(index, self.ledger.configuration()) {
                continue;
            }
            let Some(server) = self.directory.get(index) else { continue };
            let slots = f64::from(server.latest_report().capacity.slots);
            speed += slots / server.slowdown() * sample.stride as f64;
            if let Some(run_time) = server.recent_run_time(now.elapsed) {
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
