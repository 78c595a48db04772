//! Cost of the decision parts and messages against the size of the system.
//!
//! Each row is measured at four sizes at least; [`LinearFit`] gives slope, intercept and the
//! largest residual, from which docs/CAPACITY.md works out the target.

use bytes::Bytes;
use parsleyspool_core::agent::{AgentEvent, AgentLimits, AgentMachine, RunResult};
use parsleyspool_core::claim::{ClaimLedger, ClaimStep};
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, RequestRule, ServiceSpec, TeamQuota,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryIdentity, EntryLimits, EntryMachine, StartRequest, StreamRead,
    TaskReply,
};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::job::{JobRequest, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::{HybridTimestamp, Moment};
use parsleyspool_wire::codec::encode;
use parsleyspool_wire::peer::{DirectiveMessage, Envelope, HeartbeatMessage, StartMessage};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Straight line through measured points.
#[derive(Debug, Clone, Copy)]
pub struct LinearFit {
    /// Change for each unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl LinearFit {
    /// Line of least squares through `points`.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let off = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        Self { slope, intercept, residual: points.iter().map(off).fold(0.0, f64::max) }
    }
}

const SERVICE: &str = "s";
const SLOTS: u32 = 8;
const WALL: Duration = Duration::from_secs(1_000_000);

fn moment(elapsed: Duration) -> Moment {
    Moment::new(elapsed, WALL + elapsed)
}

/// Entry that knows `servers` servers and `teams` teams, each with a service of its own.
struct LoadedEntry {
    machine: EntryMachine,
    now: Duration,
    teams: usize,
    sequence: u64,
}

fn service(team: usize) -> String {
    format!("{SERVICE}-{team}")
}

fn change(offset: u64, change: ConfigChange) -> (u64, ConfigRecord) {
    let id = u128::from(offset);
    let record = ChangeRecord { id, operator: String::new(), base: 0, change };
    (offset, ConfigRecord::Change(record))
}

impl LoadedEntry {
    fn new(servers: usize, teams: usize) -> Self {
        let identity =
            EntryIdentity { name: "e".into(), incarnation: 1, domain: "d-0".into(), rank: 0 };
        let limits = EntryLimits {
            max_open_tasks: 1_000_000,
            lease: Duration::from_secs(1_000_000),
            ..EntryLimits::default()
        };
        let machine = EntryMachine::new(identity, limits, 1);
        let mut entry = Self { machine, now: Duration::from_secs(10), teams, sequence: 0 };
        entry.configure();
        for server in 0..servers {
            entry.greet(server);
        }
        entry
    }

    fn configure(&mut self) {
        let rule = RequestRule {
            idempotent: true,
            run_time: Duration::from_millis(1),
            ..RequestRule::default()
        };
        let mut records = Vec::new();
        for team in 0..self.teams {
            let name: std::sync::Arc<str> = format!("t-{team}").into();
            let spec = ServiceSpec {
                team: name.clone(),
                default_deadline: Duration::from_secs(10),
                requests: BTreeMap::from([("r".into(), rule.clone())]),
            };
            let put = ConfigChange::PutService { name: service(team).into(), spec };
            records.push(change(records.len() as u64, put));
            let quota = TeamQuota { tasks_in_flight: 1_000_000, weight: 1 };
            let set = ConfigChange::SetQuota { team: name, quota };
            records.push(change(records.len() as u64, set));
        }
        let read = StreamRead { records, earliest: 0, is_end: true, requested_at: self.now };
        self.tell(EntryEvent::ConfigRead(read));
    }

    fn tell(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        self.now += Duration::from_nanos(100);
        self.machine.handle(event, moment(self.now))
    }

    fn report(&mut self, server: usize) -> ServerReport {
        self.sequence += 1;
        ServerReport {
            name: format!("server-{server}").into(),
            incarnation: 7,
            sequence: self.sequence,
            address: format!("10.0.{}.{}:7400", server / 250, server % 250).into(),
            domain: format!("d-{}", server % 26).into(),
            worker: format!("w-{server}").into(),
            services: (0..self.teams).map(|team| service(team).into()).collect(),
            capacity: ResourceAmounts::from_slots(SLOTS),
            load_limit: SLOTS * 5,
            load: 0,
            own_load: 0,
            is_leaving: false,
            clock: self.now,
            version: 1,
        }
    }

    fn greet(&mut self, server: usize) {
        let report = self.report(server);
        self.tell(EntryEvent::Heartbeat(report));
    }

    /// One job of `tasks` tasks from submission to answer.
    fn run_job(&mut self, waiter_id: u64, tasks: usize) {
        let team = waiter_id as usize % self.teams;
        let task = || TaskRequest {
            request_name: "r".into(),
            payload: Bytes::from_static(b"payload"),
            demand: None,
        };
        let request = JobRequest {
            name: "j".into(),
            team: format!("t-{team}").into(),
            service: service(team).into(),
            deadline: None,
            created_at: None,
            tasks: (0..tasks).map(|_| task()).collect(),
        };
        let mut open = self.tell(EntryEvent::Submit { waiter_id, request });
        while let Some(action) = open.pop() {
            let EntryAction::Start { request, .. } = action else { continue };
            let run_time = Duration::from_millis(1);
            let reply = TaskReply::Done { answer: Bytes::from_static(b"answer"), run_time };
            let start = request.start_id();
            open.extend(self.tell(EntryEvent::Reply { start, reply, load: None }));
        }
    }
}

/// Time of one repetition of `work`, the median of several rounds.
fn timed(repetitions: u32, mut work: impl FnMut(u32)) -> Duration {
    const ROUNDS: u32 = 5;
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|round| {
            let started = Instant::now();
            for repetition in 0..repetitions {
                work(round * repetitions + repetition);
            }
            started.elapsed() / repetitions
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Time of one task at an entry that knows `servers` servers and `teams` teams.
pub fn entry_task(servers: usize, teams: usize) -> Duration {
    let mut entry = LoadedEntry::new(servers, teams);
    timed(20_000, |ticket| entry.run_job(ticket.into(), 1))
}

/// Time of one task in jobs of `tasks` tasks at an entry that knows 100 servers.
pub fn entry_job_task(tasks: usize) -> Duration {
    let mut entry = LoadedEntry::new(100, 1);
    let repetitions = u32::try_from(20_000 / tasks).unwrap_or(1).max(4);
    let time = timed(repetitions, |ticket| entry.run_job(ticket.into(), tasks));
    time / u32::try_from(tasks).unwrap_or(1)
}

/// Time of one heartbeat at an entry that knows `servers` servers.
pub fn entry_heartbeat(servers: usize) -> Duration {
    let mut entry = LoadedEntry::new(servers, 1);
    timed(20_000, |number| entry.greet(number as usize % servers))
}

/// Time of one tick at an idle entry that knows `servers` servers.
pub fn entry_tick(servers: usize) -> Duration {
    let mut entry = LoadedEntry::new(servers, 1);
    timed(200, |_| {
        entry.tell(EntryEvent::Tick);
    })
}

/// Time of one start and its end at an agent.
pub fn agent_task(repetitions: u32) -> Duration {
    let limits = AgentLimits { max_outcomes: 10_000_000, ..AgentLimits::default() };
    let mut machine = AgentMachine::new(1, limits);
    let now = Duration::from_secs(10);
    timed(repetitions, |number| {
        let task = TaskId::new(u128::from(number), 0);
        let request = start_request(task, now);
        machine.handle(AgentEvent::Start { entry: "e".into(), request }, moment(now));
        let result = RunResult::Answered(Bytes::from_static(b"answer"));
        machine.handle(AgentEvent::Finished { task, result }, moment(now));
    })
}

fn start_request(task: TaskId, now: Duration) -> StartRequest {
    StartRequest {
        task,
        attempt: 1,
        incarnation: 1,
        service: "service".into(),
        job: "job".into(),
        request_name: "request".into(),
        demand: ResourceAmounts::from_slots(1),
        may_stop: true,
        queue_penalty: Duration::ZERO,
        payload: Bytes::from_static(b"payload"),
        version: 1,
        permit_until: now + Duration::from_secs(3),
        start_before: now + Duration::from_secs(10),
    }
}

/// Bytes that the process has in memory.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Bytes of memory that an entry with `servers` servers takes.
pub fn entry_memory(servers: usize) -> u64 {
    let before = resident_bytes();
    let entry = LoadedEntry::new(servers, 1);
    let after = resident_bytes();
    drop(entry);
    after.saturating_sub(before)
}

/// Bytes of memory that `claims` claims take.
pub fn claim_memory(claims: u64) -> u64 {
    let before = resident_bytes();
    let mut ledger = ClaimLedger::new(Duration::from_secs(600));
    for number in 0..claims {
        let step = ClaimStep::Claim { key: number.into(), submission: number.into() };
        ledger.apply(number, &[step], Duration::ZERO);
    }
    let after = resident_bytes();
    drop(ledger);
    after.saturating_sub(before)
}

/// Time to fold one configuration change among `changes` earlier ones.
pub fn config_change(changes: u64) -> Duration {
    let started = Instant::now();
    let mut ledger = ConfigLedger::new();
    for offset in 0..changes {
        let server = format!("server-{}", offset % 7800).into();
        let (offset, record) = change(offset, ConfigChange::LeaveServer { server });
        ledger.apply(offset, record);
    }
    started.elapsed() / u32::try_from(changes.max(1)).unwrap_or(u32::MAX)
}

/// Sizes of the messages between an entry and an agent, in bytes with their HTTP heads.
#[derive(Debug, Clone, Copy)]
pub struct MessageSizes {
    /// Heartbeat.
    pub heartbeat: usize,
    /// Answer to it.
    pub directive: usize,
    /// Start without its payload.
    pub start: usize,
}

/// Bytes of the head lines that HTTP puts before a message of ours.
const HTTP_HEAD: usize = 160;

/// Sizes with `entries` entries named in each directive.
pub fn message_sizes(entries: usize) -> MessageSizes {
    let mut entry = LoadedEntry::new(1, 1);
    let report = entry.report(7_799);
    let directive = entry.machine.directive("server-7799", "d-1", moment(entry.now));
    let names = (0..entries)
        .map(|index| (format!("entry-{index}"), format!("10.1.0.{index}:7201")))
        .collect();
    let request = start_request(TaskId::new(u128::MAX, 789), entry.now);
    let stamp = HybridTimestamp { wall_us: u64::MAX, counter: 9 };
    let size =
        |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |bytes: Vec<u8>| bytes.len()) + HTTP_HEAD;
    MessageSizes {
        heartbeat: size(encode(&Envelope::new(stamp, HeartbeatMessage::from(&report)))),
        directive: size(encode(&Envelope::new(
            stamp,
            DirectiveMessage::new("entry-1", &directive, names),
        ))),
        start: size(encode(&Envelope::new(stamp, StartMessage::new("entry-1", request)))),
    }
}
