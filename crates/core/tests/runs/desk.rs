//! Desk at which the ledger of one worker's runs is played.

use bytes::Bytes;
use parsleyspool_core::entry::StartOrder;
use parsleyspool_core::id::{TaskId, submission_id};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::run::{
    EndedRow, HoldAnswer, RunAction, RunEnd, RunEvent, RunKey, RunLedger, RunLimits, RunListing,
    RunningRow, ServerLife, StartAnswer, StopAnswer,
};
use parsleyspool_core::time::Moment;
use std::fmt::Write as _;
use std::time::Duration;

/// Clock of the worker when the session begins.
const WORKER_START: Duration = Duration::from_secs(500);

pub struct RunDesk {
    now: Duration,
    ledger: RunLedger,
    looks: Vec<u64>,
    story: String,
}

/// Run `number` of the task at `index` of job `j`.
pub fn key(index: u32, number: u64) -> RunKey {
    RunKey { name: format!("j.{index}").into(), number }
}

/// Life `born` seconds after the epoch of the server `server`.
pub fn life(server: &str, born: u64) -> ServerLife {
    ServerLife { server: server.into(), born: Duration::from_secs(born) }
}

fn task(index: u32) -> TaskId {
    TaskId::new(submission_id(1, 1), index)
}

impl RunDesk {
    /// Ledger that has heard nothing.
    pub fn new() -> Self {
        Self {
            now: Duration::from_secs(10),
            ledger: RunLedger::new(RunLimits::default()),
            looks: Vec::new(),
            story: String::new(),
        }
    }

    /// Ledger whose server is offered to entries, its story not yet begun.
    pub fn settled() -> Self {
        let mut desk = Self::new();
        desk.announce(life("s", 1));
        desk.list(&[], &[]);
        desk.list(&[], &[]);
        desk.story.clear();
        desk
    }

    fn tell(&mut self, title: &str, event: RunEvent) {
        let _ = writeln!(self.story, "{} > {title}", self.now.as_millis());
        let now = Moment::new(self.now, self.now);
        for action in self.ledger.handle(event, now) {
            self.note(action);
        }
    }

    fn note(&mut self, action: RunAction) {
        let line = match action {
            RunAction::Start(call) => format!(
                "start {} run={} lease_until_ms={} fence={}",
                call.key.name,
                call.key.number,
                call.lease_until.as_millis(),
                call.fence
            ),
            RunAction::Stop(call) => {
                format!("stop {} run={} fence={}", call.key.name, call.key.number, call.fence)
            }
            RunAction::Hold(call) => {
                self.looks.push(call.number);
                format!(
                    "look fence={:?} renews={} last_seen={} wait_ms={}",
                    call.fence,
                    call.lease_until.is_some(),
                    call.last_seen,
                    call.wait.as_millis()
                )
            }
            RunAction::Finished { task, result } => format!("finished {} {result:?}", task.index),
            RunAction::Settled(life) => format!("settled {}", life.server),
            RunAction::Silent => "silent".to_owned(),
            RunAction::Heard => "heard".to_owned(),
            RunAction::LifeOver(life) => format!("life over {}", life.server),
        };
        let _ = writeln!(self.story, "  {line}");
    }

    pub fn announce(&mut self, life: ServerLife) {
        let title = format!("announced {} born={}", life.server, life.born.as_secs());
        self.tell(&title, RunEvent::Announced { life, clock: None });
    }

    pub fn leave(&mut self, life: ServerLife) {
        self.tell("left", RunEvent::Left(life));
    }

    pub fn run(&mut self, index: u32) {
        let order = StartOrder {
            task: task(index),
            attempt: 1,
            incarnation: 1,
            service: "s".into(),
            job: "j".into(),
            request: "look".into(),
            room: ResourceAmounts::from_slots(1),
            may_stop: true,
            surcharge: Duration::ZERO,
            payload: Bytes::new(),
            version: 1,
            permit_until: Duration::from_secs(60),
            start_before: Duration::from_secs(60),
        };
        self.tell(&format!("run {index}"), RunEvent::Run(order));
    }

    pub fn stop(&mut self, index: u32) {
        self.tell(&format!("stop {index}"), RunEvent::Stop(task(index)));
    }

    pub fn answer_start(&mut self, key: RunKey, answer: StartAnswer) {
        let title = format!("start of {} run={}: {answer:?}", key.name, key.number);
        self.tell(&title, RunEvent::Started { key, answer });
    }

    pub fn answer_stop(&mut self, key: RunKey, answer: StopAnswer) {
        let title = format!("stop of {} run={}: {answer:?}", key.name, key.number);
        self.tell(&title, RunEvent::Stopped { key, answer });
    }

    /// Answers the oldest look under way.
    pub fn answer_look(&mut self, answer: HoldAnswer) {
        let number = self.looks.remove(0);
        self.tell(&format!("look: {answer:?}"), RunEvent::Held { number, answer });
    }

    /// Lists what runs and what has ended, in answer to the oldest look under way.
    pub fn list(&mut self, running: &[RunKey], ended: &[(u64, RunKey, RunEnd)]) {
        self.list_of(None, running, ended);
    }

    /// Lists as the life born `born` seconds after the epoch.
    pub fn list_of(
        &mut self,
        born: Option<u64>,
        running: &[RunKey],
        ended: &[(u64, RunKey, RunEnd)],
    ) {
        let number = self.looks.remove(0);
        let word = |key: &RunKey| format!("{}/{}", key.name, key.number);
        let names: Vec<String> = running.iter().map(word).collect();
        let ends: Vec<String> =
            ended.iter().map(|(_, key, end)| format!("{}:{end:?}", word(key))).collect();
        let title = format!("listed running=[{}] ended=[{}]", names.join(" "), ends.join(" "));
        let running = running.iter().map(|key| RunningRow { key: key.clone(), percent: 50 });
        let ended = ended.iter().map(|(number, key, end)| EndedRow {
            number: *number,
            key: key.clone(),
            end: *end,
        });
        let listing = RunListing {
            clock: WORKER_START + self.now,
            born: born.map(Duration::from_secs),
            running: running.collect(),
            ended: ended.collect(),
        };
        let answer = HoldAnswer::Listing(listing);
        self.tell(&title, RunEvent::Held { number, answer });
    }

    pub fn pass_ms(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.tell("tick", RunEvent::Tick);
    }

    pub fn story(&self) -> &str {
        &self.story
    }
}
