//! Decisions of the agent beside a backend server.
//!
//! [`AgentMachine`] is the last to judge a start before the backend server gets it. It starts each
//! task at most once, whatever is sent twice, late or to the wrong incarnation; it starts nothing
//! without a permit that is still valid on its own clock; and it answers a question about a task
//! that it never received by promising never to start it, which is the proof that lets an entry
//! send the task elsewhere.
//!
//! Both rest on what the agent remembers. An outcome is remembered for [`AgentLimits::outcome_kept`]
//! after it was reached, which is longer than any permit, so a start that arrives late enough to be
//! forgotten arrives without a valid permit. A question states when the start was sent; where that
//! is longer ago than outcomes are kept, the agent cannot tell a start never received from one
//! forgotten, and says that the outcome is lost.

mod answer;
mod event;
mod memory;
mod room;
mod server;

pub use event::{AgentAction, AgentEvent, AgentLimits, RunResult, ServerOffer};

use crate::entry::{AgentDirective, LoadReport, NotStartedReason, StartOrder, TaskReply};
use crate::id::{EntryName, Incarnation, TaskId, Version, incarnation_of};
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventFigure, EventKind, RunWord, TimelineEvent, micros};
use memory::OutcomeMemory;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

#[derive(Debug)]
struct HeldStart {
    entry: EntryName,
    order: StartOrder,
    /// Order among the tasks that wait.
    rank: Duration,
    started: Option<Duration>,
    is_stopping: bool,
}

/// Incarnation of the entry that a task is from.
fn entry_of(task: TaskId) -> Incarnation {
    incarnation_of(task.submission)
}

/// What an agent knows of the configuration.
#[derive(Debug, Clone, Copy)]
struct KnownOrder {
    version: Version,
    is_in_service: bool,
    is_leaving: bool,
    until: Duration,
}

/// Decisions of one agent.
#[derive(Debug)]
pub struct AgentMachine {
    incarnation: Incarnation,
    limits: AgentLimits,
    known: KnownOrder,
    held: HashMap<TaskId, HeldStart>,
    queue: BTreeSet<(Duration, TaskId)>,
    running: ResourceAmounts,
    /// Slots of runs that go on although nobody waits for them any more.
    stuck: u32,
    queued: u32,
    /// Clock up to which the tasks of each incarnation of an entry may run on.
    leases: HashMap<Incarnation, Duration>,
    is_server_leaving: bool,
    is_withdrawn: bool,
    is_server_silent: bool,
    by_entry: HashMap<EntryName, u32>,
    memory: OutcomeMemory,
    is_draining: bool,
    actions: Vec<AgentAction>,
}

impl AgentMachine {
    /// Agent that knows nothing yet.
    pub fn new(incarnation: Incarnation, limits: AgentLimits) -> Self {
        Self {
            incarnation,
            known: KnownOrder {
                version: 0,
                is_in_service: true,
                is_leaving: false,
                until: Duration::ZERO,
            },
            held: HashMap::new(),
            queue: BTreeSet::new(),
            running: ResourceAmounts::default(),
            stuck: 0,
            queued: 0,
            leases: HashMap::new(),
            is_server_leaving: false,
            is_withdrawn: limits.whole == ResourceAmounts::default(),
            is_server_silent: false,
            by_entry: HashMap::new(),
            memory: OutcomeMemory::new(&limits),
            is_draining: false,
            actions: Vec::new(),
            limits,
        }
    }

    /// Decides what to do next.
    pub fn handle(&mut self, event: AgentEvent, now: Moment) -> Vec<AgentAction> {
        match event {
            AgentEvent::Start { entry, order } => self.start(entry, order, now),
            AgentEvent::Ask { entry, start, sent_at } => self.ask(&entry, start, sent_at, now),
            AgentEvent::Cancel { task } => self.cancel(task, now),
            AgentEvent::Finished { task, result } => self.finish(task, result, now),
            AgentEvent::Directive { directive, sent } => self.direct(&directive, sent, now),
            AgentEvent::Offer(offer) => self.take_offer(offer, now),
            AgentEvent::ServerSilent => self.note_silence(true, now),
            AgentEvent::ServerHeard => self.note_silence(false, now),
            AgentEvent::Withdrawn => self.withdraw(now),
            AgentEvent::Tick => self.tick(now),
            AgentEvent::Drain => self.drain(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Incarnation of this start.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Configuration version known.
    pub fn version(&self) -> Version {
        self.known.version
    }

    /// Load to report to `entry`.
    pub fn load_for(&self, entry: &str) -> LoadReport {
        LoadReport {
            load: self.running.slots + self.queued,
            own: self.by_entry.get(entry).copied().unwrap_or(0),
        }
    }

    /// Room for tasks that run at once.
    pub fn whole(&self) -> ResourceAmounts {
        self.limits.whole
    }

    /// Whether the agent knows a backend server that can be told of.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }

    /// Whether the backend server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.known.is_leaving || self.is_server_leaving || self.is_server_silent
    }

    /// Tasks running and queued.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn start(&mut self, entry: EntryName, order: StartOrder, now: Moment) {
        let task = order.task;
        if order.incarnation != self.incarnation {
            self.disown(task, &entry);
            return;
        }
        if self.held.contains_key(&task) {
            self.actions.push(AgentAction::Wait { task });
            return;
        }
        if let Some(reply) = self.settled(&order) {
            let load = self.load_for(&entry);
            self.actions.push(AgentAction::Respond { reply, load });
            return;
        }
        if let Some(reason) = self.arrival_objection(&order, now) {
            self.refuse(&order, &entry, reason, now);
            return;
        }
        self.hold(entry, order, now);
    }

    /// Outcome that answers this start, where the task has one.
    ///
    /// A start that ended without an answer may be sent here again under a higher attempt, which an
    /// entry gives only once it knows of that end.
    fn settled(&self, order: &StartOrder) -> Option<TaskReply> {
        let kept = self.memory.get(order.task)?;
        let is_answered = matches!(kept.reply, TaskReply::Done { .. });
        (is_answered || order.attempt <= kept.attempt).then(|| kept.reply.clone())
    }

    /// Why a start that arrives now is not taken.
    fn arrival_objection(&self, order: &StartOrder, now: Moment) -> Option<NotStartedReason> {
        if let Some(reason) = self.objection(order, now) {
            return Some(reason);
        }
        let latest = now.elapsed + self.limits.outcome_kept;
        if now.elapsed >= order.permit_until || order.permit_until > latest {
            return Some(NotStartedReason::PermitLapsed);
        }
        if self.is_unleased(order.task, now) {
            return Some(NotStartedReason::PermitLapsed);
        }
        let is_full = self.running.slots + self.queued + order.room.slots > self.room()
            || !order.room.fits(&self.limits.whole, &ResourceAmounts::default())
            || self.memory.is_full();
        is_full.then_some(NotStartedReason::Full)
    }

    fn hold(&mut self, entry: EntryName, order: StartOrder, now: Moment) {
        let task = order.task;
        self.memory.forget(task);
        self.queued += order.room.slots;
        *self.by_entry.entry(entry.clone()).or_insert(0) += order.room.slots;
        let rank = now.elapsed + order.surcharge;
        self.held.insert(task, HeldStart { entry, order, rank, started: None, is_stopping: false });
        self.queue.insert((rank, task));
        self.actions.push(AgentAction::Wait { task });
        self.run_next(now);
        if self.held.get(&task).is_some_and(|held| held.started.is_none()) {
            self.note(EventKind::AgentQueued, task, &[]);
        }
    }

    /// Why a start must not run now; checked on arrival and again right before the run.
    fn objection(&self, order: &StartOrder, now: Moment) -> Option<NotStartedReason> {
        if self.is_draining || self.is_server_leaving || self.is_withdrawn {
            return Some(NotStartedReason::Leaving);
        }
        if self.is_server_silent {
            return Some(NotStartedReason::NoConnection);
        }
        if now.elapsed >= order.start_before {
            return Some(NotStartedReason::TooLate);
        }
        if self.is_blocked() {
            return Some(NotStartedReason::Full);
        }
        let is_known_newer = self.known.version >= order.version;
        if is_known_newer && self.known.is_leaving {
            return Some(NotStartedReason::Leaving);
        }
        if is_known_newer && !self.known.is_in_service {
            return Some(NotStartedReason::DomainOut);
        }
        let is_permitted =
            now.elapsed < order.permit_until || (is_known_newer && now.elapsed < self.known.until);
        (!is_permitted).then_some(NotStartedReason::PermitLapsed)
    }

    /// Refuses a start, and every later copy of it.
    fn refuse(&mut self, order: &StartOrder, entry: &str, reason: NotStartedReason, now: Moment) {
        let task = order.task;
        self.note(EventKind::AgentRefused, task, &[EventFigure::Why(reason)]);
        let reply = TaskReply::NotStarted(reason);
        if !self.memory.is_full() {
            self.memory.keep(task, order.attempt, reply.clone(), now.elapsed);
        }
        let load = self.load_for(entry);
        self.actions.push(AgentAction::Respond { reply, load });
    }

    /// Starts what waits while slots are free.
    fn run_next(&mut self, now: Moment) {
        while let Some(&(rank, task)) = self.queue.first() {
            let Some(held) = self.held.get(&task).filter(|held| held.rank == rank) else {
                self.queue.pop_first();
                continue;
            };
            if !held.order.room.fits(&self.limits.whole, &self.running) {
                return;
            }
            self.queue.pop_first();
            let order = held.order.clone();
            if let Some(reason) = self.objection(&order, now) {
                self.give_back(task, reason, now);
                continue;
            }
            if let Some(held) = self.held.get_mut(&task) {
                held.started = Some(now.elapsed);
            }
            self.queued -= order.room.slots;
            self.running += order.room;
            let version = EventFigure::Version(self.known.version.max(order.version));
            self.note(EventKind::AgentStarted, task, &[version]);
            self.actions.push(AgentAction::Run(order));
        }
    }

    /// Gives a queued task back to its entry.
    fn give_back(&mut self, task: TaskId, reason: NotStartedReason, now: Moment) {
        let Some(held) = self.held.remove(&task) else { return };
        self.queued -= held.order.room.slots;
        self.leave(&held);
        self.note(EventKind::AgentRefused, task, &[EventFigure::Why(reason)]);
        self.settle(&held, TaskReply::NotStarted(reason), now);
    }

    fn leave(&mut self, held: &HeldStart) {
        if let Some(own) = self.by_entry.get_mut(&held.entry) {
            *own = own.saturating_sub(held.order.room.slots);
            if *own == 0 {
                self.by_entry.remove(&held.entry);
            }
        }
    }

    fn finish(&mut self, task: TaskId, result: RunResult, now: Moment) {
        let Some(held) = self.held.remove(&task) else { return };
        self.running -= held.order.room;
        self.leave(&held);
        let run_time = now.elapsed.saturating_sub(held.started.unwrap_or(now.elapsed));
        let (reply, word) = match result {
            RunResult::Answered(answer) => {
                (TaskReply::Done { answer, run_time }, RunWord::Answered)
            }
            RunResult::Failed => (TaskReply::Failed { run_time }, RunWord::Failed),
            RunResult::NoConnection => {
                (TaskReply::NotStarted(NotStartedReason::NoConnection), RunWord::NoConnection)
            }
            RunResult::Refused(reason) => (TaskReply::NotStarted(reason), RunWord::Refused),
            RunResult::Interrupted => (TaskReply::Interrupted, RunWord::Interrupted),
        };
        let figures = [EventFigure::Result(word), EventFigure::RunTimeUs(micros(run_time))];
        self.note(EventKind::AgentFinished, task, &figures);
        self.settle(&held, reply, now);
        self.run_next(now);
    }

    /// Replies and keeps the outcome for a question that may still come.
    fn settle(&mut self, held: &HeldStart, reply: TaskReply, now: Moment) {
        let task = held.order.task;
        self.memory.keep(task, held.order.attempt, reply.clone(), now.elapsed);
        let load = self.load_for(&held.entry);
        self.actions.push(AgentAction::Reply { task, reply, load });
    }

    fn direct(&mut self, directive: &AgentDirective, sent: Duration, now: Moment) {
        if let Some(lease) = directive.run_lease {
            // What an entry had here while its lease was over is taken for ended by the entry.
            self.end_unleased(now);
            let until = self.leases.entry(directive.entry).or_default();
            *until = (*until).max(sent + lease);
        }
        if directive.version < self.known.version {
            return;
        }
        let until = sent + directive.valid_for;
        let is_same = directive.version == self.known.version;
        self.known = KnownOrder {
            version: directive.version,
            is_in_service: directive.is_in_service,
            is_leaving: directive.is_leaving,
            until: if is_same { self.known.until.max(until) } else { until },
        };
        self.recheck(now);
    }

    /// Gives back every queued task that may no longer start.
    fn recheck(&mut self, now: Moment) {
        let queued: Vec<TaskId> = self.queue.iter().map(|(_, task)| *task).collect();
        for task in queued {
            let Some(held) = self.held.get(&task) else { continue };
            if let Some(reason) = self.objection(&held.order.clone(), now) {
                self.give_back(task, reason, now);
            }
        }
        self.queue.retain(|(_, task)| self.held.contains_key(task));
        self.run_next(now);
    }

    fn tick(&mut self, now: Moment) {
        self.memory.expire(now.elapsed);
        self.end_unleased(now);
        self.count_stuck(now);
        self.recheck(now);
    }

    fn drain(&mut self, now: Moment) {
        self.is_draining = true;
        self.actions.push(AgentAction::Note(TimelineEvent::new(EventKind::ProcessDraining)));
        self.recheck(now);
    }

    fn note(&mut self, kind: EventKind, task: TaskId, figures: &[EventFigure]) {
        let event = TimelineEvent::new(kind).submission(task.submission).task(task.index);
        let event = TimelineEvent { figures: figures.to_vec(), ..event };
        self.actions.push(AgentAction::Note(event));
    }
}
