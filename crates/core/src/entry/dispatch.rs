//! Dispatch: which task goes where, and when.

use super::{EntryAction, EntryMachine, NotStartedReason, StartOrder};
use crate::error::{ErrorKind, RefusalFigures};
use crate::id::{ServiceName, SubmissionId, TaskId};
use crate::job::PriorityClass;
use crate::lifecycle::{DomainState, JobState, TaskEvent, TaskState};
use crate::placement::PlacementCandidate;
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventFigure, EventKind, TimelineEvent};
use std::time::Duration;

/// What became of an attempt to place a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlaceOutcome {
    /// A start leaves.
    Sent,
    /// No server has room now.
    Wait,
    /// The task no longer waits.
    Gone,
}

/// Expected run times that pass before an outcome is asked for.
const ASK_FACTOR: u32 = 3;

impl EntryMachine {
    /// Queues every task of an admitted job and places what can be placed.
    pub(super) fn enqueue(&mut self, id: SubmissionId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (service, team, rank) = (job.service.clone(), job.team.clone(), job.queue_position());
        for index in 0..job.task_count() {
            self.retries.deposit();
            self.queue.push(&service, &team, TaskId::new(id, index), rank);
        }
        self.pump_service(&service, now);
    }

    /// Places the waiting tasks of one service until no server has room.
    pub(super) fn pump_service(&mut self, service: &str, now: Moment) {
        if !self.is_fresh(now) {
            return;
        }
        let service: ServiceName = service.into();
        let services = [service];
        while self.place_next(&services, now) != PlaceOutcome::Wait {}
    }

    /// Places the next waiting task of `services`; `Wait` where there is none or none can go.
    fn place_next(&mut self, services: &[ServiceName], now: Moment) -> PlaceOutcome {
        let Some((task, team)) = self.queue.pop(services) else { return PlaceOutcome::Wait };
        if self.settle_band(task.submission, now) {
            self.put_back(task);
            return PlaceOutcome::Gone;
        }
        let outcome = self.place(task, now);
        match outcome {
            PlaceOutcome::Wait => self.put_back(task),
            PlaceOutcome::Sent => {
                let quota = self.ledger.configuration().quotas.get(&team);
                self.queue.charge(&team, quota.map_or(1, |quota| quota.weight));
            }
            PlaceOutcome::Gone => {}
        }
        outcome
    }

    /// Fills the server at `index` with waiting tasks of the services that it offers.
    pub(super) fn pump_server(&mut self, index: usize, now: Moment) {
        if self.queue.is_empty() || !self.is_fresh(now) {
            return;
        }
        let Some(server) = self.directory.get(index) else { return };
        let services = server.services().to_vec();
        while self.has_room(index, ResourceAmounts::from_slots(1), now) {
            if self.place_next(&services, now) == PlaceOutcome::Wait {
                return;
            }
        }
    }

    /// Places waiting tasks of every service.
    pub(super) fn pump_all(&mut self, now: Moment) {
        let indexes: Vec<usize> = self.directory.iter().map(|(index, _)| index).collect();
        for index in indexes {
            self.pump_server(index, now);
        }
    }

    pub(super) fn put_back(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(&task.submission) else { return };
        let (service, team, rank) = (job.service.clone(), job.team.clone(), job.queue_position());
        self.queue.push(&service, &team, task, rank);
    }

    fn place(&mut self, id: TaskId, now: Moment) -> PlaceOutcome {
        let Some(job) = self.jobs.get(&id.submission) else { return PlaceOutcome::Gone };
        let Some(task) = job.tasks.get(id.index as usize) else { return PlaceOutcome::Gone };
        if task.state() != TaskState::Queued || job.state() != JobState::Open {
            return PlaceOutcome::Gone;
        }
        let (service, band) = (job.service.clone(), job.priority_class());
        let request = task.request.request_name.clone();
        let (room, declared, failed_on) = (task.demand, task.declared_run_time, task.failed_on);
        let mut candidates = self.candidates(&service, &request, room, declared, now);
        if candidates.len() > 1 {
            candidates.retain(|candidate| Some(candidate.index) != failed_on);
        }
        let Some(position) = self.policy.choose(&candidates, &mut self.random) else {
            return PlaceOutcome::Wait;
        };
        if band != PriorityClass::OnTime {
            self.late.note_started(&service);
        }
        self.send(id, candidates[position], now);
        // A late job has begun with this and goes ahead of others now.
        self.settle_band(id.submission, now);
        PlaceOutcome::Sent
    }

    fn candidates(
        &mut self,
        service: &str,
        request: &str,
        room: ResourceAmounts,
        declared: Duration,
        now: Moment,
    ) -> Vec<PlacementCandidate> {
        let base = self.run_times.expected(service, request, declared);
        let sample = self.directory.sample(service, &mut self.random);
        let ready = sample.into_iter().filter(|&index| self.has_room(index, room, now));
        let ready = ready.filter_map(|index| {
            let server = self.directory.get(index)?;
            let run_time = base.mul_f64(server.slowdown());
            let mean = server.mean_run_time();
            Some(PlacementCandidate {
                index,
                slots: server.latest_report().capacity.slots,
                demand: room.slots,
                load: server.load(),
                own_load: server.own_load(),
                run_time,
                mean_run_time: if mean.is_zero() { run_time } else { mean },
                is_same_domain: *server.domain() == self.identity.domain,
            })
        });
        ready.collect()
    }

    /// Whether the server at `index` may be sent a task of `room` more.
    ///
    /// Each entry may fill its share of the slots even where the others have filled the rest, since
    /// the agent's queue puts the tasks of small jobs first.
    fn has_room(&self, index: usize, room: ResourceAmounts, now: Moment) -> bool {
        if !self.directory.is_eligible(index, self.ledger.configuration()) {
            return false;
        }
        let Some(server) = self.directory.get(index) else { return false };
        let whole = server.latest_report().capacity;
        if !room.fits(&whole, &ResourceAmounts::default()) {
            return false;
        }
        let (slots, most) = (room.slots, whole.slots);
        let ramped = self.ramped(server.domain(), most, now);
        let allowed = ramped.saturating_add(self.limits.ahead);
        let share = (ramped / self.entries()).max(ramped.min(1));
        let is_within_share = server.own_load() + slots <= share;
        let load = server.load() + slots;
        load <= server.latest_report().load_limit && (load <= allowed.max(slots) || is_within_share)
    }

    /// Entries that share the servers, this one included.
    pub(super) fn entries(&self) -> u32 {
        u32::try_from(self.peer_load.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Slots of a server that may be filled while its failure domain returns.
    fn ramped(&self, domain: &str, slots: u32, now: Moment) -> u32 {
        let Some(life) = self.domains.get(domain) else { return slots };
        if life.state != DomainState::Returning || self.limits.ramp.is_zero() {
            return slots;
        }
        let since = now.elapsed.saturating_sub(life.since);
        let share = since.as_secs_f64() / self.limits.ramp.as_secs_f64();
        (f64::from(slots) * share.min(1.0)).floor() as u32
    }

    fn send(&mut self, id: TaskId, candidate: PlacementCandidate, now: Moment) {
        let Some(until) = self.permit_until(now) else { return };
        let run_lease = (!self.limits.run_lease.is_zero()).then(|| self.run_lease());
        let version = self.version();
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let Some(server) = self.directory.get_mut(candidate.index) else { return };
        let incarnation = server.incarnation();
        let address = server.latest_report().address.clone();
        let (due, may_stop) = (job.deadline_at, job.claim.is_none());
        let surcharge = job.queue_position().saturating_sub(now.elapsed);
        let (service, name) = (job.service.clone(), job.name.clone());
        let task = &mut job.tasks[id.index as usize];
        if !task.advance(TaskEvent::Send) {
            return;
        }
        task.server = Some((candidate.index, incarnation));
        task.attempts += 1;
        task.expected_run_time = candidate.run_time;
        let wait = candidate.finish_time() * ASK_FACTOR + self.limits.ask_after;
        let ask_at = now.elapsed + wait;
        task.status_query_at = Some(ask_at);
        server.reserve(task.demand.slots);
        task.sent_at = server.agent_time(now.elapsed);
        let order = StartOrder {
            task: id,
            attempt: task.attempts,
            incarnation,
            service,
            job: name,
            request: task.request.request_name.clone(),
            room: task.demand,
            may_stop,
            surcharge,
            payload: task.request.payload.clone(),
            version,
            permit_until: server.permit_until(until, run_lease),
            start_before: server.agent_time(due),
        };
        let sent = TimelineEvent::new(EventKind::TaskSent).submission(id.submission);
        let sent = sent.task(id.index).subject(server.name());
        let attempt = EventFigure::Attempt(task.attempts.into());
        self.asks.insert((ask_at, id));
        self.note(sent.figure(attempt).figure(EventFigure::Version(version)));
        self.actions.push(EntryAction::Start { address, order });
    }

    /// Puts a task that is proven not started back in the queue, or ends its job.
    pub(super) fn return_task(&mut self, id: TaskId, why: NotStartedReason, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        if !task.advance(TaskEvent::NotStarted) {
            return;
        }
        task.failed_on = task.server.map(|(index, _)| index);
        let returned = TimelineEvent::new(EventKind::TaskReturned).submission(id.submission);
        self.note(returned.task(id.index).figure(EventFigure::Why(why)));
        self.requeue(id, now);
    }

    /// Queues a task again that provably does not run, or ends its job.
    pub(super) fn requeue(&mut self, id: TaskId, now: Moment) {
        let attempts_allowed = self.limits.attempts;
        let Some(job) = self.jobs.get_mut(&id.submission) else { return };
        let task = &mut job.tasks[id.index as usize];
        task.server = None;
        task.status_query_at = None;
        let attempts = task.attempts;
        if attempts >= attempts_allowed {
            let figures = RefusalFigures::new("attempts", attempts_allowed.into(), attempts.into());
            self.end_failed(id.submission, ErrorKind::Overloaded, figures, now);
        } else if !self.retries.withdraw() {
            let figures = RefusalFigures::new("retry_budget", 0, 1);
            self.end_failed(id.submission, ErrorKind::Overloaded, figures, now);
        } else {
            self.put_back(id);
        }
    }
}
