//! Dispatch: places queued tasks on backend servers, sends starts and retries tasks.

use super::crash_limit::JobFate;
use super::{EntryAction, EntryMachine, NotStartedReason, StartRequest};
use crate::error::{ErrorKind, LimitDetails, LimitName};
use crate::freshness::VersionConfirmation;
use crate::id::{ServiceName, SubmissionId, TaskId};
use crate::job::{LoadBelief, PriorityClass};
use crate::lifecycle::{DomainState, JobState, TaskEvent, TaskState};
use crate::placement::PlacementCandidate;
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use std::time::Duration;

/// Result of an attempt to place a queued task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementOutcome {
    /// A start is sent.
    Sent,
    /// No server has free capacity for the task, or no task is queued.
    Waiting,
    /// The task was not placed, but the next one may be: it is no longer queued, or its job was
    /// reclassified.
    Skipped,
}

/// Whether other entries are expected to send tasks to the same servers at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Contention {
    /// The cause is known to this entry alone: a new job, or the end of one of its tasks.
    Alone,
    /// Queued tasks are dispatched on a load report that all entries receive at the same time.
    Shared,
}

/// What a retry takes from the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryCost {
    Free,
    One,
}

/// Factor on the expected finish time after which the status of a task is queried.
const STATUS_QUERY_FACTOR: u32 = 3;

impl EntryMachine {
    /// Queues every task of an admitted job and dispatches as many as possible.
    pub(super) fn enqueue_job(&mut self, id: SubmissionId, now: Moment) {
        if self.check_crashing_job(id, now) == JobFate::Failed {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let (service, team, position) =
            (job.service.clone(), job.team.clone(), job.queue_position());
        for index in 0..job.task_count() {
            self.retry_budget.deposit();
            self.queue.push(&service, &team, TaskId::new(id, index), position);
        }
        self.dispatch_service(&service, now);
        self.plan_service(&service, now);
    }

    /// Dispatches the queued tasks of one service until no server has free capacity.
    pub(super) fn dispatch_service(&mut self, service: &str, now: Moment) {
        if !self.is_start_permitted(now) || self.is_holding_starts(now) {
            return;
        }
        let service: ServiceName = service.into();
        let services = [service];
        while self.dispatch_next(&services, Contention::Alone, now) != PlacementOutcome::Waiting {}
    }

    /// Dispatches the next queued task of `services`.
    fn dispatch_next(
        &mut self,
        services: &[ServiceName],
        contention: Contention,
        now: Moment,
    ) -> PlacementOutcome {
        let Some((task, team)) = self.queue.pop(services) else { return PlacementOutcome::Waiting };
        if self.reclassify(task.submission, now) {
            self.enqueue_task(task);
            return PlacementOutcome::Skipped;
        }
        let outcome = self.place_task(task, contention, now);
        match outcome {
            PlacementOutcome::Waiting => self.enqueue_task(task),
            PlacementOutcome::Sent => {
                let quota = self.ledger.configuration().quotas.get(&team);
                self.queue.charge(&team, quota.map_or(1, |quota| quota.weight));
            }
            PlacementOutcome::Skipped => {}
        }
        outcome
    }

    /// Dispatches queued tasks of the services that the server at `index` offers while that server
    /// has free capacity.
    pub(super) fn dispatch_to_server(&mut self, index: usize, contention: Contention, now: Moment) {
        let may_start = self.is_start_permitted(now) && !self.is_holding_starts(now);
        if self.queue.is_empty() || !may_start {
            return;
        }
        let Some(server) = self.directory.get(index) else { return };
        let services = server.services().to_vec();
        let smallest = ResourceAmounts::from_slots(1);
        while self.has_free_capacity(index, smallest, contention, now) {
            if self.dispatch_next(&services, contention, now) == PlacementOutcome::Waiting {
                return;
            }
        }
    }

    /// Dispatches queued tasks to every server.
    pub(super) fn dispatch_all(&mut self, now: Moment) {
        let indexes: Vec<usize> = self.directory.iter().map(|(index, _)| index).collect();
        for index in indexes {
            self.dispatch_to_server(index, Contention::Shared, now);
        }
    }

    pub(super) fn enqueue_task(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(&task.submission) else { return };
        let (service, team, position) =
            (job.service.clone(), job.team.clone(), job.queue_position());
        self.queue.push(&service, &team, task, position);
    }

    fn place_task(&mut self, id: TaskId, contention: Contention, now: Moment) -> PlacementOutcome {
        let Some(job) = self.jobs.get(&id.submission) else { return PlacementOutcome::Skipped };
        let Some(task) = job.tasks.get(id.index as usize) else { return PlacementOutcome::Skipped };
        if task.state() != TaskState::Queued || job.state() != JobState::Open {
            return PlacementOutcome::Skipped;
        }
        if self.check_crashing_task(id, now) == JobFate::Failed {
            return PlacementOutcome::Skipped;
        }
        let Some(job) = self.jobs.get(&id.submission) else { return PlacementOutcome::Skipped };
        let task = &job.tasks[id.index as usize];
        let (service, class) = (job.service.clone(), job.priority_class());
        let request = task.request.request_name.clone();
        let (demand, declared, failed_on) = (task.demand, task.declared_run_time, task.failed_on);
        let sample = self.directory.sample(&service, &mut self.random);
        let ready = sample
            .into_iter()
            .filter(|&index| self.has_free_capacity(index, demand, contention, now))
            .collect();
        let average = self.run_times.expected(&service, &request, declared);
        let mut candidates = self.placement_candidates(ready, demand, average);
        if candidates.len() > 1 {
            candidates.retain(|candidate| Some(candidate.index) != failed_on);
        }
        let Some(chosen) = self.policy.choose(&candidates, &mut self.random) else {
            return PlacementOutcome::Waiting;
        };
        if class != PriorityClass::OnTime {
            self.load_shedder.record_started(&service);
        }
        self.send_start(id, candidates[chosen], now);
        // A late job that has started goes back to the on-time class, so that it is finished before
        // other late jobs start.
        self.reclassify(id.submission, now);
        PlacementOutcome::Sent
    }

    /// Candidates for a task that needs `demand` and runs for `average` on an average server; `ready`
    /// are the indexes of servers with free capacity.
    fn placement_candidates(
        &self,
        ready: Vec<usize>,
        demand: ResourceAmounts,
        average: Duration,
    ) -> Vec<PlacementCandidate> {
        let candidates = ready.into_iter().filter_map(|index| {
            let server = self.directory.get(index)?;
            let run_time = average.mul_f64(server.slowdown());
            let mean_run_time = server.mean_run_time();
            Some(PlacementCandidate {
                index,
                slots: server.latest_report().capacity.slots,
                demand: demand.slots,
                load: server.load(),
                own_load: server.own_load(),
                run_time,
                mean_run_time: if mean_run_time.is_zero() { run_time } else { mean_run_time },
                is_same_domain: *server.domain() == self.identity.domain,
            })
        });
        candidates.collect()
    }

    /// Whether the server at `index` may be sent another task that needs `demand`.
    ///
    /// An entry may fill its share of the slots even if other entries have filled the rest, because
    /// the queue of the agent runs the tasks of small jobs first. Load pattern of
    /// [`Contention::Shared`]: after a restart of everything, all entries have a backlog and hear of
    /// the same few idle servers at the same time.
    pub(super) fn has_free_capacity(
        &self,
        index: usize,
        demand: ResourceAmounts,
        contention: Contention,
        now: Moment,
    ) -> bool {
        if !self.directory.is_eligible(index, self.ledger.configuration()) {
            return false;
        }
        let Some(server) = self.directory.get(index) else { return false };
        let capacity = server.latest_report().capacity;
        if !demand.fits(&capacity, &ResourceAmounts::default()) {
            return false;
        }
        let (slots, total) = (demand.slots, capacity.slots);
        let ramped = self.ramped_slots(server.domain(), total, now);
        let allowed = ramped.saturating_add(self.limits.prefetch_slots);
        let share = (ramped / self.entry_count()).max(ramped.min(1));
        let is_within_share = server.own_load().checked_add(slots).is_some_and(|own| own <= share);
        let load = match contention {
            Contention::Alone => server.load(),
            Contention::Shared => server.expected_load(self.entry_count()),
        };
        let Some(load) = load.checked_add(slots) else { return false };
        load <= server.latest_report().load_limit && (load <= allowed.max(slots) || is_within_share)
    }

    /// Number of entries that share the servers, including this one.
    pub(super) fn entry_count(&self) -> u32 {
        u32::try_from(self.peer_loads.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Slots of a server that may be filled; fewer than all while its failure domain ramps up.
    fn ramped_slots(&self, domain: &str, slots: u32, now: Moment) -> u32 {
        let Some(status) = self.domains.get(domain) else { return slots };
        if status.state != DomainState::Returning || self.limits.ramp.is_zero() {
            return slots;
        }
        let since = now.elapsed.saturating_sub(status.since);
        let share = since.as_secs_f64() / self.limits.ramp.as_secs_f64();
        (f64::from(slots) * share.min(1.0)).floor() as u32
    }

    fn send_start(&mut self, id: TaskId, candidate: PlacementCandidate, now: Moment) {
        let Some(until) = self.permit_until(now) else { return };
        let run_lease = self.run_lease();
        let version = self.version();
        let told_age = self.confirmed_age(now);
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let Some(server) = self.directory.get_mut(candidate.index) else { return };
        let incarnation = server.incarnation();
        let address = server.latest_report().address.clone();
        let (deadline, may_stop) = (job.deadline_at, job.claim.is_none());
        let queue_penalty = job.queue_position().saturating_sub(now.elapsed);
        let (service, name) = (job.service.clone(), job.name.clone());
        let task = &mut job.tasks[id.index as usize];
        if !task.advance(TaskEvent::Send) {
            return;
        }
        task.server = Some((candidate.index, incarnation));
        task.attempts += 1;
        task.expected_run_time = candidate.run_time;
        let age = now.elapsed.saturating_sub(server.load_at());
        task.load_belief = LoadBelief { load: candidate.load, age };
        let delay = candidate.finish_time().saturating_mul(STATUS_QUERY_FACTOR);
        let query_at = (now.elapsed + self.limits.status_query_after).saturating_add(delay);
        task.status_query_at = Some(query_at);
        server.reserve(task.demand.slots);
        task.sent_at = server.agent_time(now.elapsed);
        let run_lease_until = run_lease.map(|lease| task.sent_at + lease);
        let permit = server.agent_time(until);
        let request = StartRequest {
            task: id,
            attempt: task.attempts,
            incarnation,
            service,
            job: name,
            request_name: task.request.request_name.clone(),
            demand: task.demand,
            may_stop,
            queue_penalty,
            payload: task.request.payload.clone(),
            version,
            // The entry takes the runs of the agent for ended once their lease has.
            permit_until: run_lease_until.map_or(permit, |lease_end| permit.min(lease_end)),
            confirmation: Some(VersionConfirmation { told_at: task.sent_at, told_age }),
            run_lease_until,
            start_before: server.agent_time(deadline),
        };
        let sent = TimelineEvent::new(EventKind::TaskSent).submission(id.submission);
        let sent = sent.task(id.index).subject(server.name());
        let attempt = EventField::Attempt(task.attempts.into());
        self.status_queries.insert((query_at, id));
        self.record_run_lease(candidate.index, incarnation, now);
        self.record_event(sent.field(attempt).field(EventField::Version(version)));
        let timeout = deadline.saturating_sub(now.elapsed);
        self.actions.push(EntryAction::Start { address, request, timeout });
    }

    /// Retries a task that is known not to have started, or fails its job.
    pub(super) fn handle_not_started(&mut self, id: TaskId, reason: NotStartedReason, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        if !task.advance(TaskEvent::NotStarted) {
            return;
        }
        task.failed_on = task.server.map(|(index, _)| index);
        let belief = task.load_belief;
        self.record_returned_task(id, reason, belief);
        // A full server has done no work for the task, and the entry sends it nothing more until it
        // reports free capacity. The task waits in the queue like any other.
        let cost = if reason == NotStartedReason::Full { RetryCost::Free } else { RetryCost::One };
        self.retry_task(id, cost, now);
    }

    /// Queues a task again that is known not to be running, or fails its job if the starts of the
    /// task or the retry budget are used up.
    pub(super) fn retry_task(&mut self, id: TaskId, cost: RetryCost, now: Moment) {
        let max_attempts = self.limits.max_attempts;
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        task.server = None;
        task.status_query_at = None;
        let attempts = task.attempts;
        if attempts >= max_attempts {
            let details =
                LimitDetails::new(LimitName::Attempts, max_attempts.into(), attempts.into());
            self.fail_job(id.submission, ErrorKind::Overloaded, details, now);
        } else if cost == RetryCost::One && !self.retry_budget.withdraw() {
            let details = LimitDetails::new(LimitName::RetryBudget, 0, 1);
            self.fail_job(id.submission, ErrorKind::Overloaded, details, now);
        } else {
            self.enqueue_task(id);
        }
    }
}
