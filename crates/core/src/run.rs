//! Runs at a worker that gives leases.
//!
//! Such a worker lets a task run for as long as its agent renews one lease for everything that runs
//! there, lists the ends of runs until they are taken note of, and may carry out an order long after
//! the exchange about it broke. [`RunLedger`] turns that into one certain outcome for each task:
//!
//! * a start without an answer is stopped, and its task is given back only once the worker has
//!   confirmed the stop, so the start cannot be carried out later;
//! * what runs in a life of the server before the agent knew it is stopped, and a fence above every
//!   earlier one is set, before the server is offered to entries;
//! * a run whose worker does not answer ends with its lease, on the slowest clock allowed;
//! * a server that starts again ends everything of its earlier life.

mod event;
mod poll;
mod protocol;
mod session;
mod worker_clock;

pub use event::{RunAction, RunEvent, RunLimits};
pub use protocol::{
    EndNumber, EndedRow, FenceToken, PollAnswer, PollCall, PollNumber, RunEnd, RunKey, RunListing,
    RunNumber, RunningRow, ServerIncarnation, StartAnswer, StartCall, StartRefusal, StopAnswer,
    StopCall, TaskName, worker_task_name,
};

use crate::agent::RunResult;
use crate::entry::{NotStartedReason, StartOrder};
use crate::id::TaskId;
use crate::time::Moment;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use worker_clock::WorkerClock;

/// How far the agent is with the present life of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifePhase {
    /// The worker's clock and fence are not known yet.
    Greeting,
    /// What ran before is being stopped.
    Clearing,
    /// Only what was started here runs.
    Settled,
    /// The server has taken its leave; its lease is not renewed.
    Parting,
}

/// Present life of the server.
#[derive(Debug)]
struct PresentLife {
    incarnation: ServerIncarnation,
    phase: LifePhase,
    fence: Option<FenceToken>,
    clock: WorkerClock,
    last_seen: EndNumber,
    /// Highest end that the worker was told of.
    told: EndNumber,
    /// Looks under way.
    holds: BTreeSet<PollNumber>,
    /// Runs that nobody here started, being stopped.
    strays: BTreeSet<RunKey>,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunPhase {
    /// The start is under way.
    Starting,
    /// The worker has it.
    Running,
    /// A stop is under way.
    Stopping,
    /// The stop was confirmed; a later look shows whether it still runs.
    Stopped,
}

/// Run that is not known to have ended.
#[derive(Debug)]
struct HeldRun {
    key: RunKey,
    payload: Bytes,
    phase: RunPhase,
    is_unwanted: bool,
    /// Whether the worker said that it started it.
    has_started: bool,
    /// Latest look sent before the worker confirmed that it has the run, or that it will not start
    /// it any more; only a later one shows whether it runs.
    settled_after: Option<PollNumber>,
    /// Whether a start may still be carried out.
    is_start_open: bool,
    /// Share of its work that was done when it last moved on, in percent.
    percent: u8,
    /// When it was first seen at that share.
    moved_at: Option<Duration>,
}

/// Runs of one server.
#[derive(Debug)]
pub struct RunLedger {
    limits: RunLimits,
    present: Option<PresentLife>,
    /// Life that is over; its late announcements are ignored.
    former: Option<ServerIncarnation>,
    /// Life that announced itself while another one was present.
    next: Option<ServerIncarnation>,
    runs: HashMap<TaskId, HeldRun>,
    tasks: HashMap<RunKey, TaskId>,
    numbers: HashMap<TaskName, (RunNumber, Duration)>,
    next_hold: PollNumber,
    /// Latest answer of the server, or the latest time at which none was owed.
    answered_at: Duration,
    is_silent: bool,
    actions: Vec<RunAction>,
}

impl RunLedger {
    /// Ledger of a server that has not announced itself yet.
    pub fn new(limits: RunLimits) -> Self {
        Self {
            limits,
            present: None,
            former: None,
            next: None,
            runs: HashMap::new(),
            tasks: HashMap::new(),
            numbers: HashMap::new(),
            next_hold: 0,
            answered_at: Duration::ZERO,
            is_silent: false,
            actions: Vec::new(),
        }
    }

    /// Decides what to do next.
    pub fn handle(&mut self, event: RunEvent, now: Moment) -> Vec<RunAction> {
        match event {
            RunEvent::Announced { incarnation, clock } => self.greet(incarnation, clock, now),
            RunEvent::Deregistered(incarnation) => self.part(&incarnation),
            RunEvent::Run(order) => self.run(order, now),
            RunEvent::Stop(task) => self.stop(task),
            RunEvent::StartReturned { key, answer } => self.take_start(&key, answer, now),
            RunEvent::StopReturned { key, answer } => self.take_stop(&key, answer, now),
            RunEvent::PollReturned { number, answer } => self.take_hold(number, answer, now),
            RunEvent::Tick => self.tick(now),
        }
        self.look_on(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether `life` is the present one.
    pub fn is_current(&self, incarnation: &ServerIncarnation) -> bool {
        self.present.as_ref().is_some_and(|present| present.incarnation == *incarnation)
    }

    /// Whether `life` is the present one and only what was started here runs in it.
    pub fn is_ready(&self, incarnation: &ServerIncarnation) -> bool {
        let present = self.present.as_ref();
        present.is_some_and(|s| s.incarnation == *incarnation && s.phase == LifePhase::Settled)
    }

    /// Tasks of the runs that `is_meant` picks, in a fixed order.
    fn tasks_where(&self, is_meant: impl Fn(&HeldRun) -> bool) -> Vec<TaskId> {
        let meant = self.runs.iter().filter(|(_, run)| is_meant(run));
        let mut meant: Vec<TaskId> = meant.map(|(task, _)| *task).collect();
        meant.sort_unstable();
        meant
    }

    fn finish(&mut self, task: TaskId, result: RunResult) {
        if let Some(run) = self.runs.remove(&task) {
            self.tasks.remove(&run.key);
            self.actions.push(RunAction::Finished { task, result });
        }
    }

    fn run(&mut self, order: StartOrder, now: Moment) {
        let task = order.task;
        let is_settled =
            self.present.as_ref().is_some_and(|present| present.phase == LifePhase::Settled);
        if !is_settled {
            let result = RunResult::Refused(NotStartedReason::Leaving);
            self.actions.push(RunAction::Finished { task, result });
            return;
        }
        let task_name = worker_task_name(&order.job, task.index);
        let latest = self.numbers.get(&task_name).map_or(0, |(number, _)| *number);
        let number = latest.max(RunNumber::from(order.attempt.saturating_sub(1))) + 1;
        let run = HeldRun {
            key: RunKey { task_name, number },
            payload: order.payload,
            phase: RunPhase::Starting,
            is_unwanted: false,
            has_started: false,
            settled_after: None,
            is_start_open: false,
            percent: 0,
            moved_at: None,
        };
        self.runs.insert(task, run);
        self.send_start(task, now);
    }

    fn send_start(&mut self, task: TaskId, now: Moment) {
        let Some(run) = self.runs.get(&task) else { return };
        let Some(present) = &mut self.present else { return };
        let key = run.key.clone();
        self.numbers.insert(key.task_name.clone(), (key.number, now.elapsed));
        self.tasks.insert(key.clone(), task);
        let call = StartCall {
            incarnation: present.incarnation.clone(),
            key,
            payload: run.payload.clone(),
            lease_until: present.clock.lease(self.limits.lease, now.elapsed),
            fence: present.fence.unwrap_or_default(),
        };
        self.actions.push(RunAction::Start(call));
    }

    fn stop(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        run.is_unwanted = true;
        // A start under way is stopped once its answer is known.
        if run.phase == RunPhase::Running {
            run.phase = RunPhase::Stopping;
            let key = run.key.clone();
            self.send_stop(key);
        }
    }

    fn send_stop(&mut self, key: RunKey) {
        let Some(present) = &self.present else { return };
        let fence = present.fence.unwrap_or_default();
        let call = StopCall { incarnation: present.incarnation.clone(), key, fence };
        self.actions.push(RunAction::Stop(call));
    }

    fn take_start(&mut self, key: &RunKey, answer: StartAnswer, now: Moment) {
        if answer != StartAnswer::Unanswered {
            self.hear(now);
        }
        let Some(&task) = self.tasks.get(key) else { return };
        match answer {
            StartAnswer::Started => self.note_started(task),
            StartAnswer::Refused(refusal) => self.take_refusal(task, refusal, now),
            StartAnswer::OtherLife => self.end_life(now),
            StartAnswer::Unanswered => self.doubt_start(task),
        }
    }

    fn note_started(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.phase != RunPhase::Starting {
            return;
        }
        run.phase = RunPhase::Running;
        run.has_started = true;
        run.settled_after = Some(self.next_hold);
        if run.is_unwanted {
            self.stop(task);
        }
    }

    /// Stops a run whose start may yet be carried out.
    fn doubt_start(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.phase != RunPhase::Starting {
            return;
        }
        run.phase = RunPhase::Stopping;
        run.is_start_open = true;
        let key = run.key.clone();
        self.send_stop(key);
    }

    fn take_refusal(&mut self, task: TaskId, refusal: StartRefusal, now: Moment) {
        let refused = RunResult::Refused;
        match refusal {
            StartRefusal::NotNewer => self.renumber(task, now),
            StartRefusal::Fenced => {
                self.finish(task, refused(NotStartedReason::Full));
                self.fence_again(now);
            }
            StartRefusal::NoCapacity | StartRefusal::LeaseExpired => {
                self.finish(task, refused(NotStartedReason::Full));
            }
            StartRefusal::Unhealthy => {
                self.finish(task, refused(NotStartedReason::NoConnection));
            }
            StartRefusal::Malformed => self.finish(task, RunResult::Failed),
        }
    }

    /// Starts the task under a higher number; an earlier agent used the present one.
    fn renumber(&mut self, task: TaskId, now: Moment) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.is_unwanted {
            self.finish(task, RunResult::Refused(NotStartedReason::Cancelled));
            return;
        }
        self.tasks.remove(&run.key);
        run.key.number = run.key.number * 2 + 1;
        self.send_start(task, now);
    }

    fn take_stop(&mut self, key: &RunKey, answer: StopAnswer, now: Moment) {
        if answer != StopAnswer::Unanswered {
            self.hear(now);
        }
        match answer {
            StopAnswer::Confirmed => self.confirm_stop(key, now),
            StopAnswer::Fenced => {
                self.fence_again(now);
                self.stop_again(key);
            }
            StopAnswer::OtherLife => self.end_life(now),
            StopAnswer::Unanswered => self.stop_again(key),
        }
    }

    fn confirm_stop(&mut self, key: &RunKey, now: Moment) {
        if let Some(present) = &mut self.present {
            present.strays.remove(key);
        }
        if let Some(run) = self.tasks.get(key).and_then(|task| self.runs.get_mut(task)) {
            run.phase = RunPhase::Stopped;
            run.settled_after = Some(self.next_hold);
            run.is_start_open = false;
        }
        self.look(Duration::ZERO, now);
    }

    fn stop_again(&mut self, key: &RunKey) {
        let is_stray = self.present.as_ref().is_some_and(|present| present.strays.contains(key));
        if is_stray || self.tasks.contains_key(key) {
            self.send_stop(key.clone());
        }
    }

    fn tick(&mut self, now: Moment) {
        let kept = self.limits.number_retention;
        self.numbers.retain(|_, (_, at)| *at + kept > now.elapsed);
        let is_over =
            self.present.as_ref().is_some_and(|present| present.clock.is_lease_over(now.elapsed));
        if is_over {
            self.end_lapsed();
            self.end_parted(now);
        }
        self.judge_silence(now);
    }
}

/// Fence of an agent that starts when the worker's clock shows `clock`; the clock never goes back
/// within a life, so a later agent gets a higher one.
fn fence_at(clock: Duration) -> FenceToken {
    u64::try_from(clock.as_millis()).unwrap_or(u64::MAX).max(1)
}
