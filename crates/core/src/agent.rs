//! State machine of an agent, which runs next to one backend server.
//!
//! [`AgentMachine`] makes the last check of a start before the task reaches the backend server. It
//! starts each task at most once, even if starts are duplicated, delayed or sent to the wrong
//! incarnation. It starts nothing without a permit that is still valid on its own clock. If an
//! entry queries a task that the agent never received, the agent guarantees never to start it, and
//! the entry may then send the task elsewhere.
//!
//! At-most-once starts and the replies to queries both rely on stored outcomes. An outcome is
//! stored for [`AgentLimits::outcome_retention`], which is longer than any permit, so a start that
//! arrives after its outcome was removed no longer has a valid permit. A query states when the
//! start was sent. If that is longer ago than the retention time, the agent cannot distinguish a
//! start that it never received from one whose outcome was removed, and replies that the outcome is
//! lost.
//!
//! `start_check` decides whether a start is accepted, `confirmation` whether the configuration that
//! allowed it is recent enough, `task_queue` when it runs, `lease` how long it
//! may run, and `cancel_and_query` what an entry learns of it. `entry_contact` decides how the agent
//! reaches its entries, and `entry_search` when it looks for others.

mod cancel_and_query;
mod capacity;
mod confirmation;
mod directive;
mod entry_contact;
mod entry_search;
mod event;
mod lease;
mod loss_log;
mod outcome_store;
mod start_check;
mod task_queue;

pub use confirmation::{
    CHECK_FAILURE_VALIDITY, CHECK_HOLD, CHECK_RETRY_DELAY, ConfirmationLimits, DomainReading,
};
pub use entry_contact::{ConnectPatience, EntryContact};
pub use entry_search::{
    EntrySilence, MEMBERS_PACE, SETTINGS_PACE, SearchPace, SearchSchedule, SearchStep,
};
pub use event::{AgentAction, AgentEvent, AgentLimits, RunResult, ServerAvailability};

use crate::entry::{InterruptCause, LoadReport, NotStartedReason, StartRequest, TaskReply};
use crate::id::{
    EntryName, Incarnation, SubmissionId, TaskId, TaskName, Version, incarnation_of, task_name,
};
use crate::resources::ResourceAmounts;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, RunOutcome, TimelineEvent, micros};
use confirmation::DomainCheck;
use directive::LatestDirective;
use loss_log::LossLog;
use outcome_store::OutcomeStore;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Task that this agent accepted and that is queued or running here.
#[derive(Debug)]
struct AcceptedTask {
    entry: EntryName,
    request: StartRequest,
    /// Sort key among the queued tasks; the lowest is started first.
    queue_position: Duration,
    /// `None` while the task is queued.
    started_at: Option<Duration>,
    /// When the run was asked to stop.
    stop_requested_at: Option<Duration>,
}

/// Maximum number of submissions that a heartbeat lists; later heartbeats list the others once these
/// have ended.
const MAX_HELD_SUBMISSIONS: usize = 256;

/// Incarnation of the entry that sent the task.
fn entry_incarnation(task: TaskId) -> Incarnation {
    incarnation_of(task.submission)
}

/// State machine that makes the decisions of one agent.
#[derive(Debug)]
pub struct AgentMachine {
    incarnation: Incarnation,
    limits: AgentLimits,
    directive: LatestDirective,
    domain_check: DomainCheck,
    /// Whether every start is refused for want of a confirmation.
    is_unconfirmed: bool,
    tasks: HashMap<TaskId, AcceptedTask>,
    queue: BTreeSet<(Duration, TaskId)>,
    used_capacity: ResourceAmounts,
    /// Slots of runs that continue although nobody waits for them any longer.
    stuck_slots: u32,
    queued_slots: u32,
    /// End of each run lease on the agent's clock, by the incarnation of the entry that granted it.
    entry_leases: HashMap<Incarnation, Duration>,
    /// Time before the end of a run lease at which it is to be renewed.
    renewal_lead: Duration,
    is_server_leaving: bool,
    is_server_absent: bool,
    is_server_unresponsive: bool,
    slots_by_entry: HashMap<EntryName, u32>,
    outcomes: OutcomeStore,
    losses: LossLog,
    is_draining: bool,
    actions: Vec<AgentAction>,
}

impl AgentMachine {
    /// Creates an agent that has received no event.
    pub fn new(incarnation: Incarnation, limits: AgentLimits) -> Self {
        Self {
            incarnation,
            directive: LatestDirective::initial(),
            domain_check: DomainCheck::default(),
            is_unconfirmed: false,
            tasks: HashMap::new(),
            queue: BTreeSet::new(),
            used_capacity: ResourceAmounts::default(),
            stuck_slots: 0,
            queued_slots: 0,
            entry_leases: HashMap::new(),
            renewal_lead: Duration::ZERO,
            is_server_leaving: false,
            is_server_absent: limits.capacity == ResourceAmounts::default(),
            is_server_unresponsive: false,
            slots_by_entry: HashMap::new(),
            outcomes: OutcomeStore::new(&limits),
            losses: LossLog::default(),
            is_draining: false,
            actions: Vec::new(),
            limits,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, event: AgentEvent, now: Moment) -> Vec<AgentAction> {
        match event {
            AgentEvent::Start { entry, request } => self.start(entry, request, now),
            AgentEvent::Query { entry, start, sent_at } => self.query(&entry, start, sent_at, now),
            AgentEvent::Cancel { task } => self.cancel(task, now),
            AgentEvent::Finished { task, result } => self.finish(task, result, now),
            AgentEvent::Directive { directive, sent_at } => self.apply(&directive, sent_at, now),
            AgentEvent::DomainChecked { reading, sent_at } => {
                self.finish_check(reading, sent_at, now);
            }
            AgentEvent::ServerAvailable(availability) => self.set_availability(availability, now),
            AgentEvent::ServerUnresponsive => self.set_unresponsive(true, now),
            AgentEvent::ServerResponsive => self.set_unresponsive(false, now),
            AgentEvent::ServerLost => self.set_server_absent(now),
            AgentEvent::Tick => self.tick(now),
            AgentEvent::Drain => self.begin_drain(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Number that identifies this start of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Latest known version of the configuration; 0 before the first directive.
    pub fn version(&self) -> Version {
        self.directive.version
    }

    /// Load to report to `entry`, in slots: of all tasks, and of the tasks from `entry`.
    pub fn load_for(&self, entry: &str) -> LoadReport {
        LoadReport {
            load: self.load_slots(),
            own_load: self.slots_by_entry.get(entry).copied().unwrap_or(0),
        }
    }

    /// Slots of running and queued tasks.
    fn load_slots(&self) -> u32 {
        self.used_capacity.slots.saturating_add(self.queued_slots)
    }

    /// Capacity of the backend server for tasks that run at the same time.
    pub fn capacity(&self) -> ResourceAmounts {
        self.limits.capacity
    }

    /// Whether there is no backend server to advertise to entries.
    pub fn is_server_absent(&self) -> bool {
        self.is_server_absent
    }

    /// Whether the backend server takes no new tasks: it or the agent is leaving, it is
    /// unresponsive, or the agent starts nothing for a reason that entries do not know.
    pub fn is_leaving(&self) -> bool {
        self.is_draining
            || self.directive.is_leaving
            || self.is_server_leaving
            || self.is_server_unresponsive
            || self.is_unconfirmed
            || self.is_out_by_log()
    }

    /// Number of running and queued tasks.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Submissions of `entry` with queued or running tasks, oldest first.
    pub fn held_submissions(&self, entry: &str) -> Vec<SubmissionId> {
        let held = self.tasks.iter().filter(|(_, accepted)| &*accepted.entry == entry);
        let submissions: BTreeSet<SubmissionId> = held.map(|(task, _)| task.submission).collect();
        submissions.into_iter().take(MAX_HELD_SUBMISSIONS).collect()
    }

    /// When the next heartbeat to `entry` is due, so that it renews the run lease of its tasks; `None`
    /// if there are none.
    pub fn renewal_due(&self, entry: &str) -> Option<Duration> {
        let held = self.tasks.iter().filter(|(_, accepted)| &*accepted.entry == entry);
        let leases =
            held.map(|(task, _)| self.entry_leases.get(&entry_incarnation(*task)).copied());
        let first = leases.flatten().min().filter(|_| self.limits.is_leased)?;
        Some(first.saturating_sub(self.renewal_lead))
    }

    /// Time by which the first of the runs must be over, whatever else fails, on this agent's clock;
    /// `None` if there is no such run.
    ///
    /// A run must be over [`AgentLimits::stop_grace`] after the end of its run lease, or after it was
    /// asked to stop.
    pub fn run_deadline(&self) -> Option<Duration> {
        let deadlines = self.tasks.iter().filter_map(|(task, accepted)| {
            let must_end = accepted.started_at.is_some() && accepted.request.may_stop;
            let lease_end = self.entry_leases.get(&entry_incarnation(*task)).copied();
            let stop_requested_at = accepted.stop_requested_at.unwrap_or(Duration::MAX);
            must_end.then(|| lease_end.unwrap_or_default().min(stop_requested_at))
        });
        let first = deadlines.min().filter(|_| self.limits.is_leased);
        first.map(|end| end + self.limits.stop_grace)
    }

    /// Tasks that ran, or may have run, when the server was lost; one name for each recent loss.
    pub fn lost_tasks(&self) -> Vec<TaskName> {
        self.losses.tasks()
    }

    fn start(&mut self, entry: EntryName, request: StartRequest, now: Moment) {
        let task = request.task;
        if request.incarnation != self.incarnation {
            self.reply_other_incarnation(task, &entry);
            return;
        }
        if let Some(until) = request.run_lease_until {
            self.extend_entry_lease(entry_incarnation(task), until, now);
        }
        self.record_confirmation(&request, now);
        if self.tasks.contains_key(&task) {
            self.actions.push(AgentAction::AddWaiter { task });
            return;
        }
        if let Some(reply) = self.stored_reply(&request) {
            let load = self.load_for(&entry);
            self.actions.push(AgentAction::ReplyToSender { reply, load });
            return;
        }
        if let Some(reason) = self.arrival_refusal_reason(&request, now) {
            self.refuse(&request, &entry, reason, now);
            return;
        }
        self.enqueue(entry, request, now);
    }

    fn release_entry_slots(&mut self, accepted: &AcceptedTask) {
        if let Some(slots) = self.slots_by_entry.get_mut(&accepted.entry) {
            *slots = slots.saturating_sub(accepted.request.demand.slots);
            if *slots == 0 {
                self.slots_by_entry.remove(&accepted.entry);
            }
        }
    }

    fn finish(&mut self, task: TaskId, result: RunResult, now: Moment) {
        let Some(accepted) = self.tasks.remove(&task) else { return };
        self.used_capacity -= accepted.request.demand;
        self.release_entry_slots(&accepted);
        let run_time = now.elapsed.saturating_sub(accepted.started_at.unwrap_or(now.elapsed));
        let (reply, outcome) = match result {
            RunResult::Answered(answer) => {
                (TaskReply::Done { answer, run_time }, RunOutcome::Answered)
            }
            RunResult::Failed => (TaskReply::Failed { run_time }, RunOutcome::Failed),
            RunResult::NoConnection => {
                (TaskReply::NotStarted(NotStartedReason::NoConnection), RunOutcome::NoConnection)
            }
            RunResult::Refused(reason) => (TaskReply::NotStarted(reason), RunOutcome::Refused),
            RunResult::Interrupted(cause) => {
                (TaskReply::Interrupted(cause), RunOutcome::Interrupted)
            }
        };
        let mut fields = vec![EventField::Result(outcome), EventField::RunTimeUs(micros(run_time))];
        if let TaskReply::Interrupted(cause) = reply {
            self.record_loss(&accepted.request, cause, now);
            fields.push(EventField::Cause(cause));
        }
        self.record_event(EventKind::AgentFinished, task, &fields);
        self.complete(&accepted, reply, now);
        self.dispatch_queued(now);
    }

    fn record_loss(&mut self, request: &StartRequest, cause: InterruptCause, now: Moment) {
        if cause == InterruptCause::ServerLost {
            self.losses.record(task_name(&request.job, request.task.index), now.elapsed);
        }
    }

    /// Replies to all waiters and stores the outcome for later queries.
    fn complete(&mut self, accepted: &AcceptedTask, reply: TaskReply, now: Moment) {
        let task = accepted.request.task;
        self.outcomes.store(task, accepted.request.attempt, reply.clone(), now.elapsed);
        let load = self.load_for(&accepted.entry);
        self.actions.push(AgentAction::ReplyToWaiters { task, reply, load });
    }

    fn tick(&mut self, now: Moment) {
        self.outcomes.expire(now.elapsed);
        self.losses.expire(now.elapsed);
        self.stop_unleased_tasks(now);
        self.update_stuck_slots(now);
        self.update_unconfirmed(now);
        self.recheck_domain(now);
        self.recheck_queue(now);
    }

    fn begin_drain(&mut self, now: Moment) {
        self.is_draining = true;
        self.actions.push(AgentAction::RecordEvent(TimelineEvent::new(EventKind::ProcessDraining)));
        self.recheck_queue(now);
    }

    fn record_event(&mut self, kind: EventKind, task: TaskId, fields: &[EventField]) {
        let event = TimelineEvent::new(kind).submission(task.submission).task(task.index);
        let event = TimelineEvent { fields: fields.to_vec(), ..event };
        self.actions.push(AgentAction::RecordEvent(event));
    }
}
