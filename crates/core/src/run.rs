//! Runs at a worker that executes tasks under a lease.
//!
//! The worker keeps tasks running while the agent renews one lease that covers all of them. It
//! lists the end of a run until the agent acknowledges it, and it may carry out a request long
//! after the connection for that request broke. [`RunLedger`] turns this into one definite outcome
//! per task:
//!
//! * A start without an answer is followed by a stop. The task is returned to its entry only after
//!   the worker has confirmed the stop, so the start cannot be carried out later.
//! * Before the server is advertised to entries, runs that began in its incarnation before the
//!   agent knew it are stopped, and a fencing token above all earlier ones is set.
//! * The lease is renewed only as long as every run may continue. A run that must be over by a certain
//!   time, and whose stops are lost, ends with the lease by then, together with all others.
//! * A run whose worker does not answer ends when its lease has certainly expired: after the longest
//!   hold since the last call that may have extended it, on the slowest clock allowed.
//! * A server restart ends all runs of the earlier incarnation. The new one may have received the
//!   latest starts, so its list decides the outcome of each run, once it has accepted the fencing
//!   token of the session.

mod ending;
mod event;
mod fence;
mod poll;
mod protocol;
mod session;
mod start;
mod stop;
mod worker_clock;
mod worker_lease;

pub use ending::{EndEvidence, EndRecord, IncarnationEnd};
pub use event::{RunAction, RunEvent, RunLimits};
pub use protocol::{
    EndNumber, EndedRow, FenceToken, PollAnswer, PollCall, PollNumber, RunEnd, RunKey, RunListing,
    RunNumber, RunningRow, ServerIncarnation, StartAnswer, StartCall, StartRefusal, StopAnswer,
    StopCall,
};

use crate::agent::RunResult;
use crate::entry::InterruptCause;
use crate::id::{TaskId, TaskName};
use crate::time::Moment;
use bytes::Bytes;
use fence::FenceChooser;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use worker_clock::WorkerClock;
use worker_lease::{LeaseRenewal, WorkerLease};

/// Progress of the session with a server incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SessionPhase {
    /// The worker's clock and the fencing token to use are not known yet.
    Connecting,
    /// Runs from before the session are being stopped.
    StoppingOrphans,
    /// Only runs started by this agent are running.
    Ready,
    /// The server has deregistered, and its lease is no longer renewed.
    Closing,
}

/// Session with the current incarnation of the server.
#[derive(Debug)]
struct ServerSession {
    incarnation: ServerIncarnation,
    phase: SessionPhase,
    fence: Option<FenceToken>,
    clock: WorkerClock,
    lease: WorkerLease,
    /// Highest end number received from the worker.
    last_seen: EndNumber,
    /// Highest end number acknowledged to the worker.
    acknowledged: EndNumber,
    /// Fencing tokens of the polls without an answer so far.
    open_polls: BTreeMap<PollNumber, Option<FenceToken>>,
    /// Runs that this agent did not start and is stopping.
    orphans: BTreeSet<RunKey>,
}

/// State of a run as far as the worker has confirmed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunPhase {
    /// The start request has no answer yet.
    Starting,
    /// The worker has the run.
    Running,
    /// The stop request is not confirmed yet.
    Stopping,
    /// The stop is confirmed; a later poll shows whether the run has ended.
    Stopped,
}

/// Run that is not known to have ended.
#[derive(Debug)]
struct TrackedRun {
    key: RunKey,
    payload: Bytes,
    phase: RunPhase,
    is_stop_requested: bool,
    /// Why the run ended if it was in progress when the server restarted; `None` if the server has
    /// not restarted since, or lists the run.
    ended_by_restart: Option<InterruptCause>,
    /// Whether the worker has reported that the run started.
    has_started: bool,
    /// Latest poll sent before the worker confirmed that it has the run, or that it will no longer
    /// start it. Only a later poll shows whether the run is in progress.
    confirmed_after: Option<PollNumber>,
    /// Whether the worker may still carry out a start that it did not answer.
    is_start_uncertain: bool,
    /// Latest reported progress, in percent of its work.
    percent: u8,
    /// When that progress was first reported; `None` until a poll lists the run.
    progressed_at: Option<Duration>,
}

/// Tracks the runs at one server and decides which requests to send to its worker.
#[derive(Debug)]
pub struct RunLedger {
    limits: RunLimits,
    session: Option<ServerSession>,
    /// Latest incarnation that ended; its late announcements are ignored.
    ended_incarnation: Option<ServerIncarnation>,
    /// Incarnation of another server that announced itself during the session.
    next_incarnation: Option<ServerIncarnation>,
    runs: HashMap<TaskId, TrackedRun>,
    tasks_by_run: HashMap<RunKey, TaskId>,
    /// Runs to stop once the fencing token is known.
    deferred_stops: BTreeSet<RunKey>,
    /// Latest run number used for each task, and when it was used.
    latest_numbers: HashMap<TaskName, (RunNumber, Duration)>,
    /// Time by which the first of the runs must be over, as of the current event.
    run_deadline: Option<Duration>,
    is_renewal_withheld: bool,
    last_poll: PollNumber,
    fence_chooser: FenceChooser,
    /// When the server last answered, or when no answer was last expected.
    last_answer_at: Duration,
    is_unresponsive: bool,
    actions: Vec<RunAction>,
}

impl RunLedger {
    /// Ledger for a server that has not announced itself yet.
    pub fn new(limits: RunLimits) -> Self {
        Self {
            limits,
            session: None,
            ended_incarnation: None,
            next_incarnation: None,
            runs: HashMap::new(),
            tasks_by_run: HashMap::new(),
            deferred_stops: BTreeSet::new(),
            latest_numbers: HashMap::new(),
            run_deadline: None,
            is_renewal_withheld: false,
            last_poll: 0,
            fence_chooser: FenceChooser::new(),
            last_answer_at: Duration::ZERO,
            is_unresponsive: false,
            actions: Vec::new(),
        }
    }

    /// Processes an event and returns the actions to carry out.
    ///
    /// `run_deadline` is the time by which the first of the runs must be over, whatever else fails, on
    /// the agent's clock; `None` if there is no such run.
    pub fn handle(
        &mut self,
        event: RunEvent,
        run_deadline: Option<Duration>,
        now: Moment,
    ) -> Vec<RunAction> {
        self.run_deadline = run_deadline;
        match event {
            RunEvent::Announced { incarnation, clock } => self.on_announce(incarnation, clock, now),
            RunEvent::Deregistered(incarnation) => self.on_deregister(&incarnation),
            RunEvent::Run(request) => self.start_run(request, now),
            RunEvent::Stop(task) => self.stop_run(task),
            RunEvent::StartReturned { key, fence, answer } => {
                self.on_start_answer(&key, fence, answer, now);
            }
            RunEvent::StopReturned { key, fence, answer } => {
                self.on_stop_answer(&key, fence, answer, now);
            }
            RunEvent::PollReturned { number, answer } => self.on_poll_answer(number, answer, now),
            RunEvent::Tick => self.on_tick(now),
        }
        self.send_deferred_stops();
        self.refill_polls(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether the session is with `incarnation`.
    pub fn is_current(&self, incarnation: &ServerIncarnation) -> bool {
        self.session.as_ref().is_some_and(|session| session.incarnation == *incarnation)
    }

    /// Whether the session is with `incarnation` and only runs started by this agent are running.
    pub fn is_ready(&self, incarnation: &ServerIncarnation) -> bool {
        let session = self.session.as_ref();
        session.is_some_and(|s| s.incarnation == *incarnation && s.phase == SessionPhase::Ready)
    }

    /// Tasks of the runs for which `is_match` holds, in a deterministic order.
    fn tasks_matching(&self, is_match: impl Fn(&TrackedRun) -> bool) -> Vec<TaskId> {
        let matching = self.runs.iter().filter(|(_, run)| is_match(run));
        let mut matching: Vec<TaskId> = matching.map(|(task, _)| *task).collect();
        matching.sort_unstable();
        matching
    }

    fn finish_run(&mut self, task: TaskId, result: RunResult, evidence: EndEvidence, now: Moment) {
        if let Some(run) = self.runs.remove(&task) {
            self.tasks_by_run.remove(&run.key);
            self.report_end(task, result, evidence, Some(run.key.number), now);
        }
    }

    fn report_end(
        &mut self,
        task: TaskId,
        result: RunResult,
        evidence: EndEvidence,
        run: Option<RunNumber>,
        now: Moment,
    ) {
        let session = self.session.as_ref();
        let record = EndRecord {
            evidence,
            run,
            incarnation: session.map(|session| session.incarnation.clone()),
            clock: session.and_then(|session| session.clock.estimate(now.steady)),
            lease_end: session.and_then(|session| session.lease.latest()),
            reported_at: now.steady,
        };
        self.actions.push(RunAction::Finished { task, result, record });
    }

    fn on_tick(&mut self, now: Moment) {
        let retention = self.limits.number_retention;
        self.latest_numbers.retain(|_, (_, at)| *at + retention > now.elapsed);
        let session = self.session.as_ref();
        if session.is_some_and(|session| session.lease.is_expired(now.steady)) {
            self.finish_expired_runs(now);
            self.end_closing_session(now);
        }
        self.check_responsiveness(now);
    }
}
