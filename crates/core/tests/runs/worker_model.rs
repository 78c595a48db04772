//! Model of a worker that runs tasks under a lease, for schedules in which calls arrive late.

use parsleyspool_core::id::TaskName;
use parsleyspool_core::run::{
    EndNumber, EndedRow, FenceToken, PollAnswer, PollCall, RunEnd, RunKey, RunListing, RunNumber,
    RunningRow, ServerIncarnation, StartAnswer, StartCall, StartRefusal, StopAnswer, StopCall,
};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Longest time that a worker holds a lease, whatever end a call names.
const LONGEST_HOLD: Duration = Duration::from_secs(1);

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

/// One incarnation of a server with its worker.
#[derive(Debug)]
pub struct WorkerModel {
    pub incarnation: ServerIncarnation,
    pub clock: ModelClock,
    fence: FenceToken,
    lease_until: Duration,
    running: BTreeSet<RunKey>,
    ended: Vec<EndedRow>,
    latest_numbers: HashMap<TaskName, RunNumber>,
    last_end: EndNumber,
}

impl WorkerModel {
    pub fn new(incarnation: ServerIncarnation, clock: ModelClock) -> Self {
        Self {
            incarnation,
            clock,
            fence: 0,
            lease_until: Duration::ZERO,
            running: BTreeSet::new(),
            ended: Vec::new(),
            latest_numbers: HashMap::new(),
            last_end: 0,
        }
    }

    pub fn running(&self) -> Vec<RunKey> {
        self.running.iter().cloned().collect()
    }

    /// Whether a run of the task is in progress.
    pub fn is_running(&self, task_name: &TaskName) -> bool {
        self.running.iter().any(|key| key.task_name == *task_name)
    }

    fn extend_lease(&mut self, until: Duration, clock: Duration) {
        self.lease_until = self.lease_until.max(until.min(clock + LONGEST_HOLD));
    }

    pub fn start(&mut self, call: &StartCall, now: Duration) -> StartAnswer {
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

    pub fn stop(&mut self, call: &StopCall) -> StopAnswer {
        if call.incarnation.server != self.incarnation.server {
            return StopAnswer::OtherIncarnation;
        }
        if call.fence < self.fence {
            return StopAnswer::Fenced;
        }
        self.fence = call.fence;
        self.use_number(&call.key);
        self.end(&call.key, RunEnd::Interrupted);
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
        let running = self.running.iter().map(|key| RunningRow { key: key.clone(), percent: 50 });
        PollAnswer::Listing(RunListing {
            clock,
            started_at: Some(self.incarnation.started_at),
            running: running.collect(),
            ended: self.ended.clone(),
            is_truncated: false,
            unreadable: Vec::new(),
        })
    }

    /// Ends a run, if it is running.
    pub fn end(&mut self, key: &RunKey, end: RunEnd) {
        if self.running.remove(key) {
            self.last_end += 1;
            self.ended.push(EndedRow { number: self.last_end, key: key.clone(), end });
        }
    }

    /// Ends all runs if their lease has expired.
    pub fn expire(&mut self, now: Duration) {
        if self.lease_until < self.clock.read(now) {
            for key in self.running() {
                self.end(&key, RunEnd::Interrupted);
            }
        }
    }
}
