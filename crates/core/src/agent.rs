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

use crate::entry::{AgentDirective, LoadReport, NotStartedReason, StartOrder, TaskReply};
use crate::id::{EntryName, Incarnation, TaskId, Version};
use crate::time::Moment;
use crate::timeline::{EventKind, TimelineEvent};
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Limits of an agent; all come from its settings.
#[derive(Debug, Clone)]
pub struct AgentLimits {
    /// Slots of the backend server.
    pub slots: u32,
    /// Slots of tasks that may wait here.
    pub queue: u32,
    /// How long the outcome of a task is kept for a question; longer than any permit.
    pub outcome_kept: Duration,
    /// Outcomes kept at most; no start is taken beyond.
    pub outcomes_kept: usize,
    /// Bytes of answers kept at most; the oldest are dropped first.
    pub answer_bytes: usize,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            slots: 8,
            queue: 8,
            outcome_kept: Duration::from_secs(10),
            outcomes_kept: 100_000,
            answer_bytes: 16 << 20,
        }
    }
}

/// How a run at the backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// It answered.
    Answered(Bytes),
    /// It failed the task, or the exchange broke after the task may have reached it.
    Failed,
    /// It took no connection, so the task did not start.
    NoConnection,
}

/// What reaches an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// An entry sends a start.
    Start {
        /// Name of the entry.
        entry: EntryName,
        /// The start.
        order: StartOrder,
    },
    /// An entry asks what became of a start.
    Ask {
        /// Name of the entry.
        entry: EntryName,
        /// Task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// Incarnation that the start addressed.
        incarnation: Incarnation,
        /// Own clock, surely not later than the sending of the start.
        sent_at: Duration,
    },
    /// An entry no longer wants a task.
    Cancel {
        /// Task.
        task: TaskId,
    },
    /// A run ended.
    Finished {
        /// Task.
        task: TaskId,
        /// How it ended.
        result: RunResult,
    },
    /// An entry answered a heartbeat that was sent at `sent`.
    Directive {
        /// Instruction.
        directive: AgentDirective,
        /// When the heartbeat was sent, on the own clock.
        sent: Duration,
    },
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Drain,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a task to the backend server.
    Run(StartOrder),
    /// Reply to the sender of the present event, and to nobody else.
    Respond {
        /// What to say.
        reply: TaskReply,
        /// Load to send along.
        load: LoadReport,
    },
    /// Reply to everyone who waits for this task.
    Reply {
        /// Task.
        task: TaskId,
        /// What to say.
        reply: TaskReply,
        /// Load to send along.
        load: LoadReport,
    },
    /// Let whoever asked wait for the outcome.
    Wait {
        /// Task.
        task: TaskId,
    },
    /// Keep an event for the time line.
    Note(TimelineEvent),
}

#[derive(Debug)]
struct HeldStart {
    entry: EntryName,
    order: StartOrder,
    started: Option<Duration>,
}

#[derive(Debug)]
struct KeptOutcome {
    attempt: u32,
    reply: TaskReply,
    until: Duration,
}

impl KeptOutcome {
    fn bytes(&self) -> usize {
        match &self.reply {
            TaskReply::Done { answer, .. } => answer.len(),
            _ => 0,
        }
    }
}

/// Start that a question is about.
#[derive(Debug, Clone, Copy)]
struct AskedStart {
    task: TaskId,
    attempt: u32,
    incarnation: Incarnation,
    sent_at: Duration,
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
    queue: VecDeque<TaskId>,
    running: u32,
    queued: u32,
    by_entry: HashMap<EntryName, u32>,
    outcomes: HashMap<TaskId, KeptOutcome>,
    outcome_order: BTreeSet<(Duration, TaskId)>,
    answer_order: VecDeque<TaskId>,
    answer_bytes: usize,
    is_draining: bool,
    actions: Vec<AgentAction>,
}

impl AgentMachine {
    /// Agent that knows nothing yet.
    pub fn new(incarnation: Incarnation, limits: AgentLimits) -> Self {
        Self {
            incarnation,
            limits,
            known: KnownOrder {
                version: 0,
                is_in_service: true,
                is_leaving: false,
                until: Duration::ZERO,
            },
            held: HashMap::new(),
            queue: VecDeque::new(),
            running: 0,
            queued: 0,
            by_entry: HashMap::new(),
            outcomes: HashMap::new(),
            outcome_order: BTreeSet::new(),
            answer_order: VecDeque::new(),
            answer_bytes: 0,
            is_draining: false,
            actions: Vec::new(),
        }
    }

    /// Decides what to do next.
    pub fn handle(&mut self, event: AgentEvent, now: Moment) -> Vec<AgentAction> {
        match event {
            AgentEvent::Start { entry, order } => self.start(entry, order, now),
            AgentEvent::Ask { entry, task, attempt, incarnation, sent_at } => {
                let asked = AskedStart { task, attempt, incarnation, sent_at };
                self.ask(&entry, asked, now);
            }
            AgentEvent::Cancel { task } => self.cancel(task, now),
            AgentEvent::Finished { task, result } => self.finish(task, result, now),
            AgentEvent::Directive { directive, sent } => self.direct(&directive, sent, now),
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
            load: self.running + self.queued,
            own: self.by_entry.get(entry).copied().unwrap_or(0),
        }
    }

    /// Whether the backend server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.known.is_leaving
    }

    /// Whether a planned stop has nothing left to finish.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.held.is_empty()
    }

    /// Tasks running and queued.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn start(&mut self, entry: EntryName, order: StartOrder, now: Moment) {
        let task = order.task;
        if order.incarnation != self.incarnation {
            self.refuse(task, &entry, NotStartedReason::OtherIncarnation);
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
            self.refuse(task, &entry, reason);
            return;
        }
        self.hold(entry, order, now);
    }

    /// Outcome that answers this start, where the task has one.
    ///
    /// A start that was given back may be sent here again under a higher attempt.
    fn settled(&self, order: &StartOrder) -> Option<TaskReply> {
        let kept = self.outcomes.get(&order.task)?;
        let is_given_back = matches!(kept.reply, TaskReply::NotStarted(_));
        let is_later = order.attempt > kept.attempt;
        (!(is_given_back && is_later)).then(|| kept.reply.clone())
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
        let room = self.limits.slots + self.limits.queue;
        let is_full = self.running + self.queued + order.slots > room
            || order.slots > self.limits.slots
            || self.outcomes.len() >= self.limits.outcomes_kept;
        is_full.then_some(NotStartedReason::Full)
    }

    fn hold(&mut self, entry: EntryName, order: StartOrder, now: Moment) {
        let task = order.task;
        self.forget(task);
        self.queued += order.slots;
        *self.by_entry.entry(entry.clone()).or_insert(0) += order.slots;
        self.held.insert(task, HeldStart { entry, order, started: None });
        self.queue.push_back(task);
        self.actions.push(AgentAction::Wait { task });
        self.run_next(now);
        if self.held.get(&task).is_some_and(|held| held.started.is_none()) {
            self.note(EventKind::AgentQueued, task, String::new());
        }
    }

    /// Why a start must not run now; checked on arrival and again right before the run.
    fn objection(&self, order: &StartOrder, now: Moment) -> Option<NotStartedReason> {
        if self.is_draining {
            return Some(NotStartedReason::Leaving);
        }
        if now.elapsed >= order.start_before {
            return Some(NotStartedReason::TooLate);
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

    fn refuse(&mut self, task: TaskId, entry: &str, reason: NotStartedReason) {
        self.note(EventKind::AgentRefused, task, format!("why={}", reason.name()));
        let (reply, load) = (TaskReply::NotStarted(reason), self.load_for(entry));
        self.actions.push(AgentAction::Respond { reply, load });
    }

    /// Starts what waits while slots are free.
    fn run_next(&mut self, now: Moment) {
        while let Some(&task) = self.queue.front() {
            let Some(held) = self.held.get_mut(&task) else {
                self.queue.pop_front();
                continue;
            };
            if self.running + held.order.slots > self.limits.slots {
                return;
            }
            self.queue.pop_front();
            let order = held.order.clone();
            if let Some(reason) = self.objection(&order, now) {
                self.give_back(task, reason, now);
                continue;
            }
            if let Some(held) = self.held.get_mut(&task) {
                held.started = Some(now.elapsed);
            }
            self.queued -= order.slots;
            self.running += order.slots;
            let detail = format!("version={}", self.known.version.max(order.version));
            self.note(EventKind::AgentStarted, task, detail);
            self.actions.push(AgentAction::Run(order));
        }
    }

    /// Gives a queued task back to its entry.
    fn give_back(&mut self, task: TaskId, reason: NotStartedReason, now: Moment) {
        let Some(held) = self.held.remove(&task) else { return };
        self.queued -= held.order.slots;
        self.leave(&held);
        self.note(EventKind::AgentRefused, task, format!("why={}", reason.name()));
        self.settle(&held, TaskReply::NotStarted(reason), now);
    }

    fn leave(&mut self, held: &HeldStart) {
        if let Some(own) = self.by_entry.get_mut(&held.entry) {
            *own = own.saturating_sub(held.order.slots);
            if *own == 0 {
                self.by_entry.remove(&held.entry);
            }
        }
    }

    fn finish(&mut self, task: TaskId, result: RunResult, now: Moment) {
        let Some(held) = self.held.remove(&task) else { return };
        self.running -= held.order.slots;
        self.leave(&held);
        let run_time = now.elapsed.saturating_sub(held.started.unwrap_or(now.elapsed));
        let (reply, word) = match result {
            RunResult::Answered(answer) => (TaskReply::Done { answer, run_time }, "answered"),
            RunResult::Failed => (TaskReply::Failed { run_time }, "failed"),
            RunResult::NoConnection => {
                (TaskReply::NotStarted(NotStartedReason::NoConnection), "no_connection")
            }
        };
        let detail = format!("result={word} run_time_us={}", run_time.as_micros());
        self.note(EventKind::AgentFinished, task, detail);
        self.settle(&held, reply, now);
        self.run_next(now);
    }

    /// Replies and keeps the outcome for a question that may still come.
    fn settle(&mut self, held: &HeldStart, reply: TaskReply, now: Moment) {
        let task = held.order.task;
        self.keep(task, held.order.attempt, reply.clone(), now);
        let load = self.load_for(&held.entry);
        self.actions.push(AgentAction::Reply { task, reply, load });
    }

    fn keep(&mut self, task: TaskId, attempt: u32, reply: TaskReply, now: Moment) {
        let until = now.elapsed + self.limits.outcome_kept;
        let kept = KeptOutcome { attempt, reply, until };
        if kept.bytes() > 0 {
            self.answer_bytes += kept.bytes();
            self.answer_order.push_back(task);
        }
        self.outcome_order.insert((until, task));
        self.outcomes.insert(task, kept);
        while self.answer_bytes > self.limits.answer_bytes && self.drop_oldest_answer() {}
    }

    /// Drops the oldest answer; that the task ran stays known.
    fn drop_oldest_answer(&mut self) -> bool {
        let Some(task) = self.answer_order.pop_front() else { return false };
        if let Some(kept) = self.outcomes.get_mut(&task) {
            self.answer_bytes -= kept.bytes();
            kept.reply = TaskReply::Lost;
        }
        true
    }

    fn forget(&mut self, task: TaskId) {
        let Some(kept) = self.outcomes.remove(&task) else { return };
        self.answer_bytes -= kept.bytes();
        self.outcome_order.remove(&(kept.until, task));
    }

    fn ask(&mut self, entry: &str, asked: AskedStart, now: Moment) {
        let task = asked.task;
        if asked.incarnation == self.incarnation && self.held.contains_key(&task) {
            self.actions.push(AgentAction::Wait { task });
            return;
        }
        let reply = self.recall(asked, now);
        let load = self.load_for(entry);
        self.actions.push(AgentAction::Respond { reply, load });
    }

    /// What became of a start that is not held.
    fn recall(&mut self, asked: AskedStart, now: Moment) -> TaskReply {
        if asked.incarnation != self.incarnation {
            return TaskReply::Lost;
        }
        match self.outcomes.get(&asked.task) {
            Some(kept) if !matches!(kept.reply, TaskReply::NotStarted(_)) => kept.reply.clone(),
            Some(kept) if kept.attempt >= asked.attempt => kept.reply.clone(),
            _ if now.elapsed >= asked.sent_at + self.limits.outcome_kept => TaskReply::Lost,
            _ => self.forbid(asked, now),
        }
    }

    /// Promises never to start what was not received.
    fn forbid(&mut self, asked: AskedStart, now: Moment) -> TaskReply {
        let reason = NotStartedReason::NeverReceived;
        self.note(EventKind::AgentRefused, asked.task, format!("why={}", reason.name()));
        self.forget(asked.task);
        self.keep(asked.task, asked.attempt, TaskReply::NotStarted(reason), now);
        TaskReply::NotStarted(reason)
    }

    fn cancel(&mut self, task: TaskId, now: Moment) {
        let is_queued = |held: &HeldStart| held.started.is_none();
        if self.held.get(&task).is_some_and(is_queued) {
            self.give_back(task, NotStartedReason::Cancelled, now);
            self.run_next(now);
        }
    }

    fn direct(&mut self, directive: &AgentDirective, sent: Duration, now: Moment) {
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
        let queued: Vec<TaskId> = self.queue.iter().copied().collect();
        for task in queued {
            let Some(held) = self.held.get(&task) else { continue };
            if let Some(reason) = self.objection(&held.order.clone(), now) {
                self.give_back(task, reason, now);
            }
        }
        self.queue.retain(|task| self.held.contains_key(task));
        self.run_next(now);
    }

    fn tick(&mut self, now: Moment) {
        while let Some(&(until, task)) = self.outcome_order.first() {
            if until > now.elapsed {
                break;
            }
            self.forget(task);
        }
        self.answer_order.retain(|task| self.outcomes.contains_key(task));
        self.recheck(now);
    }

    fn drain(&mut self, now: Moment) {
        self.is_draining = true;
        self.actions.push(AgentAction::Note(TimelineEvent::new(EventKind::ProcessDraining)));
        self.recheck(now);
    }

    fn note(&mut self, kind: EventKind, task: TaskId, detail: String) {
        let event = TimelineEvent::new(kind).submission(task.submission).task(task.index);
        self.actions.push(AgentAction::Note(event.detail(detail)));
    }
}
