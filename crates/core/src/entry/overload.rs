//! Overload control: plans which waiting jobs of a service are kept, delayed or refused.
//!
//! A service is planned if [`OverloadPolicy::Priority`] is set, it declares at least two priorities,
//! and every request has a latency objective. A plan is made when an arriving job cannot start at once,
//! and on the tick. It never delays or refuses a job while a server has free capacity for it, nor one
//! whose run time is only declared.

mod backlog;

use super::admission::millis;
use super::dispatch::Contention;
use super::gauges::PRIORITY_COUNTS;
use super::{EntryMachine, JobFailure};
use crate::config::ServiceSpec;
use crate::error::{ErrorKind, LimitDetails, LimitName};
use crate::id::{ServiceName, SubmissionId};
use crate::job::ActiveJob;
use crate::overload::{
    OverloadPlan, OverloadPolicy, OverloadState, OverloadTransition, PlannedRefusal, SlotSeconds,
    Supply, Verdict, WaitingJob, WorkHistory,
};
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use backlog::{Backlog, MAX_PLANNED_JOBS};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Shortest time between two plans of a service; it bounds their cost.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Factor by which a measured room may differ from the estimated one. A few long tasks that end
/// together distort the rate of a small entry.
const ROOM_ERROR: f64 = 2.0;
/// Time since the latest plan of a service after which its history is dropped.
const HISTORY_RETENTION: Duration = Duration::from_secs(30);

/// Declared priorities of the planned services, and the state of those with a recent plan.
#[derive(Debug, Default)]
pub(super) struct OverloadControl {
    /// Priorities that each planned service declares, in ascending order.
    priorities: HashMap<ServiceName, Vec<u8>>,
    services: HashMap<ServiceName, ServiceOverload>,
}

/// Overload control of one service.
#[derive(Debug)]
struct ServiceOverload {
    state: OverloadState,
    history: WorkHistory,
    planned_at: Duration,
    /// Job that waits although it should be refused, to notice when capacity is free again.
    probe: Option<SubmissionId>,
    /// Rate at which tasks could be started at the latest plan, in slot-seconds per second.
    room: f64,
    /// Work of the waiting jobs at the latest plan.
    backlog: SlotSeconds,
}

/// Number of jobs that a plan delayed and refused.
#[derive(Debug, Clone, Copy, Default)]
struct YieldCounts {
    delayed: u64,
    refused: u64,
}

/// Priorities of a service that declares at least two and an objective for every request, in ascending
/// order.
fn planned_priorities(spec: &ServiceSpec) -> Option<Vec<u8>> {
    let has_objectives = spec.requests.values().all(|rule| rule.objective.is_some());
    let priorities: BTreeSet<u8> =
        spec.requests.values().filter_map(|rule| rule.priority).collect();
    (has_objectives && priorities.len() > 1).then(|| priorities.into_iter().collect())
}

impl EntryMachine {
    /// Determines the planned services after a change of the configuration.
    pub(super) fn update_planned_services(&mut self, now: Moment) {
        if self.limits.overload != OverloadPolicy::Priority {
            return;
        }
        let services = self.ledger.configuration().services.iter();
        let planned =
            services.filter_map(|(name, spec)| Some((name.clone(), planned_priorities(spec)?)));
        let planned: HashMap<ServiceName, Vec<u8>> = planned.collect();
        self.overload.services.retain(|name, _| planned.contains_key(name));
        self.overload.priorities = planned;
        let is_left = |job: &&ActiveJob| job.is_delayed() && !self.is_planned(&job.service);
        let left: Vec<SubmissionId> =
            self.jobs.values().filter(is_left).map(|job| job.id).collect();
        for id in left {
            self.set_delayed(id, false, now);
        }
    }

    /// Whether plans decide about the waiting jobs of `service`.
    pub(super) fn is_planned(&self, service: &str) -> bool {
        self.overload.priorities.contains_key(service)
    }

    /// Rank of the priority of a job among those of its service, 0 for the highest; `None` if the
    /// service is not planned. The highest one of its requests decides.
    pub(super) fn priority_rank(&self, job: &ActiveJob) -> Option<u8> {
        let priorities = self.overload.priorities.get(&job.service)?;
        let spec = self.ledger.configuration().services.get(&job.service)?;
        let rules =
            job.tasks.iter().filter_map(|task| spec.requests.get(&task.request.request_name));
        let highest = rules.filter_map(|rule| rule.priority).min();
        let is_highest = |priority: &u8| Some(*priority) == highest;
        let rank = priorities.iter().position(is_highest).unwrap_or(priorities.len() - 1);
        u8::try_from(rank).ok()
    }

    /// Waiting jobs of the planned services, by the rank of their priority; the last count includes
    /// all lower ones. At most [`MAX_PLANNED_JOBS`] of each service are counted.
    pub(super) fn waiting_by_priority(&self) -> [usize; PRIORITY_COUNTS] {
        let mut counts = [0; PRIORITY_COUNTS];
        for service in self.overload.priorities.keys() {
            for id in self.queue.waiting_jobs(service, MAX_PLANNED_JOBS) {
                let rank = self.jobs.get(&id).and_then(|job| job.priority).unwrap_or(u8::MAX);
                counts[usize::from(rank).min(PRIORITY_COUNTS - 1)] += 1;
            }
        }
        counts
    }

    /// Room of all planned services at their latest plan, in slot-milliseconds per second; 0 for a
    /// service without waiting jobs.
    pub(super) fn planned_room(&self) -> u64 {
        let services = self.overload.services.iter();
        let waiting = services.filter(|(name, _)| self.queue.service_len(name) > 0);
        waiting.map(|(_, service)| (service.room * 1e3) as u64).sum()
    }

    /// Plans every service with waiting jobs, and ends overload that has passed.
    pub(super) fn plan_all(&mut self, now: Moment) {
        if self.overload.priorities.is_empty() {
            return;
        }
        let names: Vec<ServiceName> = self.overload.priorities.keys().cloned().collect();
        for name in names {
            self.plan_service(&name, now);
            self.restart_idle_rates(&name, now);
            self.update_state(&name, YieldCounts::default(), now);
        }
        self.overload.services.retain(|_, service| {
            service.state.is_overloaded() || now.elapsed < service.planned_at + HISTORY_RETENTION
        });
    }

    /// Measures the rates of `service` anew once nothing waits.
    fn restart_idle_rates(&mut self, service: &str, now: Moment) {
        if self.queue.service_len(service) > 0 {
            return;
        }
        if let Some(control) = self.overload.services.get_mut(service) {
            control.history.restart_rates(now.elapsed);
        }
    }

    /// Decides about the waiting jobs of `service`, unless that was done just before.
    pub(super) fn plan_service(&mut self, service: &ServiceName, now: Moment) {
        if !self.is_planned(service) || self.queue.service_len(service) == 0 {
            return;
        }
        let is_recent = |latest: &ServiceOverload| now.elapsed < latest.planned_at + PLAN_INTERVAL;
        let may_start = self.is_start_permitted(now) && !self.is_holding_starts(now);
        if self.is_warming_up(now)
            || !may_start
            || self.overload.services.get(service).is_some_and(is_recent)
        {
            return;
        }
        self.dispatch_to_free_servers(service, now);
        let backlog = self.backlog(service, now);
        if backlog.jobs.is_empty() {
            return;
        }
        let capacity = self.service_capacity(service, now).speed * self.share_of_room(service);
        let entry = self.overload.services.entry(service.clone());
        let control = entry.or_insert_with(|| ServiceOverload {
            state: OverloadState::default(),
            history: WorkHistory::new(now.elapsed),
            planned_at: now.elapsed,
            probe: None,
            room: 0.0,
            backlog: 0.0,
        });
        control.planned_at = now.elapsed;
        control.history.advance(now.elapsed);
        // The estimate is too high when servers cannot fill all their slots with tasks of different
        // sizes, and assumes that this entry gets its share, so a measured rate takes precedence.
        let measured = control.history.rate().unwrap_or(capacity);
        control.room = measured.clamp(capacity / ROOM_ERROR, capacity * ROOM_ERROR);
        if control.room <= 0.0 {
            return;
        }
        let supply = Supply { room: control.room, history: &control.history };
        let plan = OverloadPlan::compute(&backlog.jobs, supply, now.elapsed);
        control.backlog = plan.backlog;
        let counts = self.apply_plan(service, &backlog, &plan, now);
        self.update_state(service, counts, now);
    }

    /// Dispatches queued tasks while a server has free capacity for one of them. A placement looks at
    /// a sample of the servers only, and may miss the free one.
    fn dispatch_to_free_servers(&mut self, service: &ServiceName, now: Moment) {
        let Some(demand) = self.next_demand(service) else { return };
        for index in self.directory.offering(service).to_vec() {
            if self.has_free_capacity(index, demand, Contention::Alone, now) {
                self.dispatch_to_server(index, Contention::Alone, now);
            }
        }
    }

    /// Demand of the next task in the queue of `service`.
    fn next_demand(&self, service: &str) -> Option<ResourceAmounts> {
        let id = self.queue.next_task(service)?;
        Some(self.jobs.get(&id.submission)?.tasks.get(id.index as usize)?.demand)
    }

    /// Share of the capacity of `service` that this entry can expect: its share of the open tasks of
    /// all entries.
    fn share_of_room(&self, service: &str) -> f64 {
        let services = &self.ledger.configuration().services;
        let Some(team) = services.get(service).map(|spec| &spec.team) else { return 0.0 };
        let own = self.team_load.get(team).copied().unwrap_or(0);
        f64::from(own) / f64::from(self.open_tasks_of(team).max(1))
    }

    fn apply_plan(
        &mut self,
        service: &ServiceName,
        backlog: &Backlog,
        plan: &OverloadPlan,
        now: Moment,
    ) -> YieldCounts {
        let mut counts = YieldCounts::default();
        for ((&id, job), verdict) in backlog.ids.iter().zip(&backlog.jobs).zip(&plan.verdicts) {
            match verdict {
                Verdict::Keep => self.set_delayed(id, false, now),
                Verdict::Refuse(refusal) if !self.is_probe(service, id) => {
                    counts.refused += 1;
                    self.refuse_by_plan(id, service, job, refusal, now);
                }
                Verdict::Delay | Verdict::Refuse(_) => {
                    counts.delayed += 1;
                    self.set_delayed(id, true, now);
                }
            }
        }
        counts
    }

    /// Whether `id` is the probe of `service`, or becomes it because there is none.
    fn is_probe(&mut self, service: &str, id: SubmissionId) -> bool {
        let Some(control) = self.overload.services.get_mut(service) else { return false };
        let is_waiting = |probe: SubmissionId| {
            self.jobs.get(&probe).is_some_and(|job| job.is_delayed() && job.has_not_started())
        };
        if !control.probe.is_some_and(is_waiting) {
            control.probe = Some(id);
        }
        control.probe == Some(id)
    }

    /// Moves the queued tasks of a job behind those of all jobs in time, or back.
    fn set_delayed(&mut self, id: SubmissionId, is_delayed: bool, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.is_delayed() == is_delayed {
            return;
        }
        job.set_delayed(is_delayed);
        let class = job.priority_class_at(now.elapsed);
        self.set_priority_class(id, class);
    }

    fn refuse_by_plan(
        &mut self,
        id: SubmissionId,
        service: &str,
        job: &WaitingJob,
        refusal: &PlannedRefusal,
        now: Moment,
    ) {
        if let Some(control) = self.overload.services.get_mut(service) {
            control.history.record_refusal(job.priority, job.work);
        }
        let (allowed, expected) = (millis(refusal.allowed), millis(refusal.expected));
        let details = LimitDetails::new(LimitName::RoomMs, allowed, expected);
        let retry_after = Some(refusal.retry_after);
        self.end_job(id, JobFailure { kind: ErrorKind::Overloaded, details, retry_after }, now);
    }

    /// Updates the state of `service` and records an event if it changes.
    fn update_state(&mut self, service: &ServiceName, counts: YieldCounts, now: Moment) {
        let Some(control) = self.overload.services.get_mut(service) else { return };
        let has_yielded = counts.delayed + counts.refused > 0;
        let Some(transition) = control.state.update(has_yielded, now.elapsed) else { return };
        let kind = match transition {
            OverloadTransition::Entered => EventKind::OverloadEntered,
            OverloadTransition::Left => EventKind::OverloadLeft,
        };
        let waiting = self.queue.waiting_jobs(service, MAX_PLANNED_JOBS).len() as u64;
        let backlog = if waiting == 0 { 0.0 } else { control.backlog };
        let event = TimelineEvent::new(kind)
            .subject(service)
            .field(EventField::BacklogMs((backlog * 1e3) as u64))
            .field(EventField::Room((control.room * 1e3) as u64))
            .field(EventField::Waiting(waiting))
            .field(EventField::Delayed(counts.delayed))
            .field(EventField::Refused(counts.refused));
        let age = self.oldest_load_report(service, now);
        let event = age
            .into_iter()
            .fold(event, |event, age| event.field(EventField::ReportAgeMs(millis(age))));
        self.record_event(event);
    }
}
