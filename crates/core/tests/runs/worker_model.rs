//! Model of a worker that runs tasks under a lease, for schedules in which calls arrive late.

use parsleyspool_core::id::TaskName;
use parsleyspool_core::run::{
    EndNumber, EndedRow, FenceToken, PollAnswer, PollCall, RunEnd, RunEvent, RunKey, RunListing,
    RunNumber, RunningRow, ServerIncarnation, StartAnswer, StartCall, StartRefusal, StopAnswer,
    StopCall,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Longest time that a worker holds a lease, whatever end a call names.
const LONGEST_HOLD: Duration = Duration::from_secs(1);
/// Progress of runs that make none, in percent.
const STALLED_PERCENT: u8 = 50;
/// Time in which a run makes a percent of progress, in milliseconds.
const PROGRESS_STEP_MS: u128 = 50;

/// Steady clock of a worker.
#[derive(Debug, Clone, Copy)]
pub struct ModelClock {
    /// Time at which the clock read `first_reading`.
    pub origin: Duration,
    pub first_reading: Duration,
    /// Rate, in percent of the true one.
    pub rate_percent: u32,
}

impl ModelClock {
    pub fn read(&self, now: Duration) -> Duration {
        self.first_reading + now.saturating_sub(self.origin) * self.rate_percent / 100
    }
}

/// Call of an agent to its worker.
#[derive(Debug, Clone)]
pub enum WorkerCall {
    Start(StartCall),
    Stop(StopCall),
    Poll(PollCall),
}

impl WorkerCall {
    /// Event of an agent that gets no answer.
    pub fn unanswered(&self) -> RunEvent {
        match self {
            Self::Start(call) => RunEvent::StartReturned {
                key: call.key.clone(),
                fence: call.fence,
                answer: StartAnswer::Unanswered,
            },
            Self::Stop(call) => RunEvent::StopReturned {
                key: call.key.clone(),
                fence: call.fence,
                answer: StopAnswer::Unanswered,
            },
            Self::Poll(call) => {
                RunEvent::PollReturned { number: call.number, answer: PollAnswer::Unanswered }
            }
        }
    }
}

/// How runs at a worker proceed and end.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunBehavior {
    /// Time that it takes to end a run that is stopped, or whose lease has expired.
    pub end_time: Duration,
    /// Whether runs make progress.
    pub is_progressing: bool,
}

/// One incarnation of a server with its worker.
#[derive(Debug)]
pub struct WorkerModel {
    pub incarnation: ServerIncarnation,
    pub clock: ModelClock,
    fence: FenceToken,
    lease_until: Duration,
    behavior: RunBehavior,
    running: BTreeSet<RunKey>,
    /// Runs that are being ended, each with the time at which it is over.
    ending: BTreeMap<RunKey, Duration>,
    ended: Vec<EndedRow>,
    latest_numbers: HashMap<TaskName, RunNumber>,
    last_end: EndNumber,
}

impl WorkerModel {
    pub fn new(incarnation: ServerIncarnation, clock: ModelClock, behavior: RunBehavior) -> Self {
        Self {
            incarnation,
            clock,
            fence: 0,
            lease_until: Duration::ZERO,
            behavior,
            running: BTreeSet::new(),
            ending: BTreeMap::new(),
            ended: Vec::new(),
            latest_numbers: HashMap::new(),
            last_end: 0,
        }
    }

    /// Progress of all runs at `now`, in percent.
    fn percent(&self, now: Duration) -> u8 {
        let step = now.as_millis() / PROGRESS_STEP_MS % 100;
        if self.behavior.is_progressing { step as u8 } else { STALLED_PERCENT }
    }

    pub fn running(&self) -> Vec<RunKey> {
        self.running.iter().cloned().collect()
    }

    /// Executes a call; returns the event with its answer.
    pub fn execute(&mut self, call: &WorkerCall, now: Duration) -> RunEvent {
        match call {
            WorkerCall::Start(start) => {
                let answer = self.start(start, now);
                RunEvent::StartReturned { key: start.key.clone(), fence: start.fence, answer }
            }
            WorkerCall::Stop(stop) => {
                let answer = self.stop(stop, now);
                RunEvent::StopReturned { key: stop.key.clone(), fence: stop.fence, answer }
            }
            WorkerCall::Poll(poll) => {
                RunEvent::PollReturned { number: poll.number, answer: self.poll(poll, now) }
            }
        }
    }

    fn extend_lease(&mut self, until: Duration, clock: Duration) {
        self.lease_until = self.lease_until.max(until.min(clock + LONGEST_HOLD));
    }

    fn start(&mut self, call: &StartCall, now: Duration) -> StartAnswer {
        let clock = self.clock.read(now);
        if call.incarnation.server != self.incarnation.server {
            return StartAnswer::OtherIncarnation;
        }
        if call.fence < self.fence {
            return StartAnswer::Refused(StartRefusal::Fenced);
        }
        self.fence = call.fence;
        self.extend_lease(call.lease_until, clock);
        if self.lease_until < clock {
            return StartAnswer::Refused(StartRefusal::LeaseExpired);
        }
        if !self.use_number(&call.key) {
            return StartAnswer::Refused(StartRefusal::NotNewer);
        }
        self.running.insert(call.key.clone());
        StartAnswer::Started
    }

    /// Records the number of `key` as used; false if it, or a higher one, was used before.
    fn use_number(&mut self, key: &RunKey) -> bool {
        let latest = self.latest_numbers.entry(key.task_name.clone()).or_default();
        let is_newer = key.number > *latest;
        *latest = key.number.max(*latest);
        is_newer
    }

    fn stop(&mut self, call: &StopCall, now: Duration) -> StopAnswer {
        if call.incarnation.server != self.incarnation.server {
            return StopAnswer::OtherIncarnation;
        }
        if call.fence < self.fence {
            return StopAnswer::Fenced;
        }
        self.fence = call.fence;
        self.use_number(&call.key);
        self.begin_end(call.key.clone(), now);
        StopAnswer::Confirmed
    }

    pub fn poll(&mut self, call: &PollCall, now: Duration) -> PollAnswer {
        let clock = self.clock.read(now);
        if call.incarnation.server != self.incarnation.server {
            return PollAnswer::OtherIncarnation;
        }
        if call.fence.is_some_and(|fence| fence < self.fence) {
            return PollAnswer::Fenced { clock };
        }
        self.fence = call.fence.unwrap_or(self.fence);
        if let Some(until) = call.lease_until {
            self.extend_lease(until, clock);
        }
        self.ended.retain(|row| row.number > call.last_seen);
        let percent = self.percent(now);
        let running = self.running.iter().map(|key| RunningRow { key: key.clone(), percent });
        PollAnswer::Listing(RunListing {
            clock,
            started_at: Some(self.incarnation.started_at),
            running: running.collect(),
            ended: self.ended.clone(),
            is_truncated: false,
            unreadable: Vec::new(),
        })
    }

    /// Begins to end a run, if it is running and not being ended yet.
    fn begin_end(&mut self, key: RunKey, now: Duration) {
        if self.running.contains(&key) {
            self.ending.entry(key).or_insert(now + self.behavior.end_time);
        }
        self.finish_ends(now);
    }

    fn finish_ends(&mut self, now: Duration) {
        let due = self.ending.iter().filter(|(_, at)| **at <= now);
        let due: Vec<RunKey> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.end(&key, RunEnd::Interrupted);
        }
    }

    /// Ends a run, if it is running.
    pub fn end(&mut self, key: &RunKey, end: RunEnd) {
        self.ending.remove(key);
        if self.running.remove(key) {
            self.last_end += 1;
            self.ended.push(EndedRow { number: self.last_end, key: key.clone(), end });
        }
    }

    /// Ends all runs if their lease has expired, and finishes the ends that are due.
    pub fn expire(&mut self, now: Duration) {
        if self.lease_until < self.clock.read(now) {
            for key in self.running() {
                self.begin_end(key, now);
            }
        }
        self.finish_ends(now);
    }
}
