//! Harness that feeds events to a run ledger and records its actions in a transcript.

use bytes::Bytes;
use parsleyspool_core::entry::StartRequest;
use parsleyspool_core::id::{TaskId, submission_id};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::run::{
    EndedRow, FenceToken, PollAnswer, RunAction, RunEnd, RunEvent, RunKey, RunLedger, RunLimits,
    RunListing, RunningRow, ServerIncarnation, StartAnswer, StopAnswer,
};
use parsleyspool_core::time::Moment;
use std::fmt::Write as _;
use std::time::Duration;

/// Reading of the worker's clock when the agent's clock reads zero.
const WORKER_CLOCK_AT_ZERO: Duration = Duration::from_secs(500);

pub struct RunHarness {
    now: Duration,
    /// Part of `now` for which the machine was suspended.
    suspended: Duration,
    /// Time by which the first run must be over.
    pub run_deadline: Option<Duration>,
    /// End of the lease that the latest poll asked for, on the worker's clock.
    pub latest_renewal: Option<Duration>,
    ledger: RunLedger,
    open_polls: Vec<u64>,
    /// Runs and tokens of the starts and stops without an answer so far, oldest first.
    open_starts: Vec<(RunKey, FenceToken)>,
    open_stops: Vec<(RunKey, FenceToken)>,
    transcript: String,
}

/// Run `number` of the task at `index` of job `j`.
pub fn run_key(index: u32, number: u64) -> RunKey {
    RunKey { task_name: format!("j.{index}").into(), number }
}

/// Incarnation of `server` that started `started_at` seconds after the Unix epoch.
pub fn incarnation(server: &str, started_at: u64) -> ServerIncarnation {
    ServerIncarnation { server: server.into(), started_at: Duration::from_secs(started_at) }
}

fn task(index: u32) -> TaskId {
    TaskId::new(submission_id(1, 1), index)
}

/// Start of the task at `index` of job `j`.
pub fn start_request(index: u32) -> StartRequest {
    StartRequest {
        task: task(index),
        attempt: 1,
        incarnation: 1,
        service: "s".into(),
        job: "j".into(),
        request_name: "look".into(),
        demand: ResourceAmounts::from_slots(1),
        may_stop: true,
        queue_penalty: Duration::ZERO,
        payload: Bytes::new(),
        version: 1,
        permit_until: Duration::from_secs(60),
        confirmation: None,
        run_lease_until: None,
        start_before: Duration::from_secs(60),
    }
}

/// Removes the oldest open call about `key`; returns the token that it carried.
fn take_token(open_calls: &mut Vec<(RunKey, FenceToken)>, key: &RunKey) -> FenceToken {
    let index = open_calls.iter().position(|(open_key, _)| open_key == key);
    open_calls.remove(index.expect("the call was sent")).1
}

impl RunHarness {
    /// Harness whose ledger has received no event.
    pub fn new() -> Self {
        Self {
            now: Duration::from_secs(10),
            suspended: Duration::ZERO,
            run_deadline: None,
            latest_renewal: None,
            ledger: RunLedger::new(RunLimits::default()),
            open_polls: Vec::new(),
            open_starts: Vec::new(),
            open_stops: Vec::new(),
            transcript: String::new(),
        }
    }

    /// Harness whose server is ready, with an empty transcript.
    pub fn ready() -> Self {
        let mut harness = Self::new();
        harness.announce(incarnation("s", 1));
        harness.answer_listing(&[], &[]);
        harness.answer_listing(&[], &[]);
        harness.transcript.clear();
        harness
    }

    fn send(&mut self, title: &str, event: RunEvent) {
        let _ = writeln!(self.transcript, "{} > {title}", self.now.as_millis());
        let steady = self.now - self.suspended;
        let now = Moment { elapsed: self.now, steady, wall: self.now };
        for action in self.ledger.handle(event, self.run_deadline, now) {
            self.record(action);
        }
    }

    fn record(&mut self, action: RunAction) {
        let line = match action {
            RunAction::Start(call) => {
                self.open_starts.push((call.key.clone(), call.fence));
                format!(
                    "start {} run={} lease_until_ms={} fence={}",
                    call.key.task_name,
                    call.key.number,
                    call.lease_until.as_millis(),
                    call.fence
                )
            }
            RunAction::Stop(call) => {
                self.open_stops.push((call.key.clone(), call.fence));
                format!("stop {} run={} fence={}", call.key.task_name, call.key.number, call.fence)
            }
            RunAction::Poll(call) => {
                self.open_polls.push(call.number);
                self.latest_renewal = call.lease_until;
                format!(
                    "poll fence={:?} renews={} last_seen={} wait_ms={}",
                    call.fence,
                    call.lease_until.is_some(),
                    call.last_seen,
                    call.wait.as_millis()
                )
            }
            RunAction::Finished { task, result, record } => {
                format!("finished {} {result:?} evidence={}", task.index, record.evidence.name())
            }
            RunAction::ServerReady(incarnation) => format!("ready {}", incarnation.server),
            RunAction::RenewalWithheld => "renewal withheld".to_owned(),
            RunAction::Unresponsive => "unresponsive".to_owned(),
            RunAction::Responsive => "responsive".to_owned(),
            RunAction::IncarnationEnded { incarnation, reason } => {
                format!("ended {} reason={}", incarnation.server, reason.name())
            }
        };
        let _ = writeln!(self.transcript, "  {line}");
    }

    pub fn announce(&mut self, incarnation: ServerIncarnation) {
        let title = format!(
            "announced {} started_at={}",
            incarnation.server,
            incarnation.started_at.as_secs()
        );
        self.send(&title, RunEvent::Announced { incarnation, clock: None });
    }

    pub fn deregister(&mut self, incarnation: ServerIncarnation) {
        self.send("deregistered", RunEvent::Deregistered(incarnation));
    }

    pub fn run(&mut self, index: u32) {
        self.send(&format!("run {index}"), RunEvent::Run(start_request(index)));
    }

    pub fn stop(&mut self, index: u32) {
        self.send(&format!("stop {index}"), RunEvent::Stop(task(index)));
    }

    /// Answers the oldest open start of the run.
    pub fn answer_start(&mut self, key: RunKey, answer: StartAnswer) {
        let title = format!("start of {} run={}: {answer:?}", key.task_name, key.number);
        let fence = take_token(&mut self.open_starts, &key);
        self.send(&title, RunEvent::StartReturned { key, fence, answer });
    }

    /// Answers the oldest open stop of the run.
    pub fn answer_stop(&mut self, key: RunKey, answer: StopAnswer) {
        let title = format!("stop of {} run={}: {answer:?}", key.task_name, key.number);
        let fence = take_token(&mut self.open_stops, &key);
        self.send(&title, RunEvent::StopReturned { key, fence, answer });
    }

    /// Answers the oldest open poll.
    pub fn answer_poll(&mut self, answer: PollAnswer) {
        let number = self.open_polls.remove(0);
        self.send(&format!("poll: {answer:?}"), RunEvent::PollReturned { number, answer });
    }

    /// Leaves all open polls but the latest without an answer.
    pub fn discard_polls_before_latest(&mut self) {
        let latest = self.open_polls.len().saturating_sub(1);
        self.open_polls.drain(..latest);
    }

    /// Answers the oldest open poll with lists of running and ended runs.
    pub fn answer_listing(&mut self, running: &[RunKey], ended: &[(u64, RunKey, RunEnd)]) {
        self.answer_listing_as(None, running, ended);
    }

    /// Like [`Self::answer_listing`], but as the incarnation that started `started_at` seconds
    /// after the epoch.
    pub fn answer_listing_as(
        &mut self,
        started_at: Option<u64>,
        running: &[RunKey],
        ended: &[(u64, RunKey, RunEnd)],
    ) {
        let number = self.open_polls.remove(0);
        let run_label = |key: &RunKey| format!("{}/{}", key.task_name, key.number);
        let names: Vec<String> = running.iter().map(run_label).collect();
        let ends: Vec<String> =
            ended.iter().map(|(_, key, end)| format!("{}:{end:?}", run_label(key))).collect();
        let title = format!("listed running=[{}] ended=[{}]", names.join(" "), ends.join(" "));
        let running = running.iter().map(|key| RunningRow { key: key.clone(), percent: 50 });
        let ended = ended.iter().map(|(number, key, end)| EndedRow {
            number: *number,
            key: key.clone(),
            end: *end,
        });
        let listing = RunListing {
            clock: self.worker_clock(),
            started_at: started_at.map(Duration::from_secs),
            running: running.collect(),
            ended: ended.collect(),
            is_truncated: false,
            unreadable: Vec::new(),
        };
        let answer = PollAnswer::Listing(listing);
        self.send(&title, RunEvent::PollReturned { number, answer });
    }

    pub fn advance_ms(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.send("tick", RunEvent::Tick);
    }

    /// Suspends the machine, and resumes it with a tick.
    pub fn suspend_ms(&mut self, millis: u64) {
        self.suspended += Duration::from_millis(millis);
        self.advance_ms(millis);
    }

    /// Sets the time by which the first run must be over.
    pub fn end_runs_within_ms(&mut self, millis: u64) {
        self.run_deadline = Some(self.now + Duration::from_millis(millis));
    }

    /// Reading of the worker's clock.
    pub fn worker_clock(&self) -> Duration {
        WORKER_CLOCK_AT_ZERO + self.now
    }

    pub fn transcript(&self) -> &str {
        &self.transcript
    }
}
