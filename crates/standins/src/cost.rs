//! Measures how the processing time and memory of the state machines, and the sizes of messages,
//! grow with the size of the system.
//!
//! Each cost is measured at four or more sizes. [`LinearFit`] gives the slope, the intercept and
//! the largest residual, from which docs/CAPACITY.md derives the cost at the target size.

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
use parsleyspool_core::freshness::VersionConfirmation;
use parsleyspool_core::id::TaskId;
use parsleyspool_core::job::{JobRequest, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::{HybridTimestamp, Moment};
use parsleyspool_wire::codec::encode;
use parsleyspool_wire::peer::{DirectiveMessage, Envelope, HeartbeatMessage, StartMessage};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Straight line fitted to measured points.
#[derive(Debug, Clone, Copy)]
pub struct LinearFit {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value extrapolated to size 0.
    pub intercept: f64,
    /// Largest absolute difference between a point and the line.
    pub residual: f64,
}

impl LinearFit {
    /// Least-squares fit to `points`, given as pairs of size and value.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        Self { slope, intercept, residual: points.iter().map(residual).fold(0.0, f64::max) }
    }
}

const SERVICE_PREFIX: &str = "s";
const SLOTS_PER_SERVER: u32 = 8;
/// Wall clock at the elapsed time 0, since the Unix epoch.
const START_WALL_CLOCK: Duration = Duration::from_secs(1_000_000);

fn moment(elapsed: Duration) -> Moment {
    Moment::new(elapsed, START_WALL_CLOCK + elapsed)
}

/// Entry with registered servers and configured teams, each of which has one service.
struct PopulatedEntry {
    machine: EntryMachine,
    now: Duration,
    teams: usize,
    sequence: u64,
}

fn service_name(team: usize) -> String {
    format!("{SERVICE_PREFIX}-{team}")
}

fn change_record(offset: u64, change: ConfigChange) -> (u64, ConfigRecord) {
    let id = u128::from(offset);
    let record = ChangeRecord { id, operator: String::new(), base: 0, change };
    (offset, ConfigRecord::Change(record))
}

impl PopulatedEntry {
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
        entry.apply_config();
        for server in 0..servers {
            entry.receive_heartbeat(server);
        }
        entry
    }

    fn apply_config(&mut self) {
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
            let put = ConfigChange::PutService { name: service_name(team).into(), spec };
            records.push(change_record(records.len() as u64, put));
            let quota = TeamQuota { tasks_in_flight: 1_000_000, weight: 1 };
            let set = ConfigChange::SetQuota { team: name, quota };
            records.push(change_record(records.len() as u64, set));
        }
        let read = StreamRead { records, earliest: 0, is_end: true, requested_at: self.now };
        self.handle_event(EntryEvent::ConfigRead(read));
    }

    fn handle_event(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        self.now += Duration::from_nanos(100);
        self.machine.handle(event, moment(self.now))
    }

    /// Report of `server`, with the next sequence number.
    fn next_report(&mut self, server: usize) -> ServerReport {
        self.sequence += 1;
        ServerReport {
            name: format!("server-{server}").into(),
            incarnation: 7,
            sequence: self.sequence,
            address: format!("10.0.{}.{}:7400", server / 250, server % 250).into(),
            domain: format!("d-{}", server % 26).into(),
            worker: format!("w-{server}").into(),
            services: (0..self.teams).map(|team| service_name(team).into()).collect(),
            capacity: ResourceAmounts::from_slots(SLOTS_PER_SERVER),
            load_limit: SLOTS_PER_SERVER * 5,
            load: 0,
            own_load: 0,
            is_leaving: false,
            clock: self.now,
            version: 1,
            lost_tasks: Vec::new(),
            held_submissions: Vec::new(),
        }
    }

    fn receive_heartbeat(&mut self, server: usize) {
        let report = self.next_report(server);
        self.handle_event(EntryEvent::Heartbeat(report));
    }

    /// Runs one job of `tasks` tasks from its submission to its answer.
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
            service: service_name(team).into(),
            deadline: None,
            created_at: None,
            task_groups: (0..tasks).map(|_| task().into()).collect(),
        };
        let mut pending = self.handle_event(EntryEvent::Submit { waiter_id, request });
        while let Some(action) = pending.pop() {
            let EntryAction::Start { request, .. } = action else { continue };
            let run_time = Duration::from_millis(1);
            let reply = TaskReply::Done { answer: Bytes::from_static(b"answer"), run_time };
            let start = request.start_id();
            pending.extend(self.handle_event(EntryEvent::Reply { start, reply, load: None }));
        }
    }
}

/// Time per call of `work`: the median over several rounds of the average within a round.
fn median_time(repetitions: u32, mut work: impl FnMut(u32)) -> Duration {
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

/// Time per one-task job at an entry with `servers` servers and `teams` teams.
pub fn entry_task_time(servers: usize, teams: usize) -> Duration {
    let mut entry = PopulatedEntry::new(servers, teams);
    median_time(20_000, |waiter_id| entry.run_job(waiter_id.into(), 1))
}

/// Time per task in jobs of `tasks` tasks at an entry with 100 servers.
pub fn job_task_time(tasks: usize) -> Duration {
    let mut entry = PopulatedEntry::new(100, 1);
    let repetitions = u32::try_from(20_000 / tasks).unwrap_or(1).max(4);
    let time = median_time(repetitions, |waiter_id| entry.run_job(waiter_id.into(), tasks));
    time / u32::try_from(tasks).unwrap_or(1)
}

/// Time per received heartbeat at an entry with `servers` servers.
pub fn heartbeat_time(servers: usize) -> Duration {
    let mut entry = PopulatedEntry::new(servers, 1);
    median_time(20_000, |number| entry.receive_heartbeat(number as usize % servers))
}

/// Time per tick at an idle entry with `servers` servers.
pub fn entry_tick_time(servers: usize) -> Duration {
    let mut entry = PopulatedEntry::new(servers, 1);
    median_time(200, |_| {
        entry.handle_event(EntryEvent::Tick);
    })
}

/// Time per task at an agent, from the start request to the result, averaged over
/// `repetitions` tasks per round.
pub fn agent_task_time(repetitions: u32) -> Duration {
    let limits = AgentLimits { max_outcomes: 10_000_000, ..AgentLimits::default() };
    let mut machine = AgentMachine::new(1, limits);
    let now = Duration::from_secs(10);
    median_time(repetitions, |number| {
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
        confirmation: Some(VersionConfirmation::at(now)),
        run_lease_until: None,
        start_before: now + Duration::from_secs(10),
    }
}

/// Resident memory of this process in bytes; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Resident memory in bytes that an entry with `servers` servers adds to the process.
pub fn entry_memory_bytes(servers: usize) -> u64 {
    let before = resident_bytes();
    let entry = PopulatedEntry::new(servers, 1);
    let after = resident_bytes();
    drop(entry);
    after.saturating_sub(before)
}

/// Resident memory in bytes that a ledger with `claims` claims adds to the process.
pub fn claim_memory_bytes(claims: u64) -> u64 {
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

/// Time per change to rebuild the configuration from a log of `changes` changes.
pub fn config_change_time(changes: u64) -> Duration {
    let started = Instant::now();
    let mut ledger = ConfigLedger::new();
    for offset in 0..changes {
        let server = format!("server-{}", offset % 7800).into();
        let (offset, record) = change_record(offset, ConfigChange::LeaveServer { server });
        ledger.apply(offset, record);
    }
    started.elapsed() / u32::try_from(changes.max(1)).unwrap_or(u32::MAX)
}

/// Sizes of messages from an entry to an agent, in bytes, including their HTTP headers.
#[derive(Debug, Clone, Copy)]
pub struct MessageSizes {
    /// Directive that answers a heartbeat.
    pub directive: usize,
    /// Start request; its payload is 7 bytes long.
    pub start: usize,
}

/// Estimated bytes of the HTTP request line or status line and headers of one message.
const HEADER_BYTES: usize = 160;

/// Message sizes if each directive lists `entries` entries.
pub fn message_sizes(entries: usize) -> MessageSizes {
    let mut entry = PopulatedEntry::new(1, 1);
    entry.receive_heartbeat(7_799);
    let report = entry.next_report(7_799);
    let directive = entry.machine.directive(&report, moment(entry.now));
    let names = (0..entries)
        .map(|index| (format!("entry-{index}"), format!("10.1.0.{index}:7201")))
        .collect();
    let request = start_request(TaskId::new(u128::MAX, 789), entry.now);
    MessageSizes {
        directive: message_size(DirectiveMessage::new("entry-1", &directive, names)),
        start: message_size(StartMessage::new("entry-1", request)),
    }
}

/// Size of a heartbeat that lists `lost_tasks` tasks, in bytes, including its HTTP headers.
pub fn heartbeat_size(lost_tasks: usize) -> usize {
    let lost_task = |index: usize| format!("{:016x}.0.0.{index}", u64::MAX).into();
    let mut report = PopulatedEntry::new(1, 1).next_report(7_799);
    report.lost_tasks = (0..lost_tasks).map(lost_task).collect();
    message_size(HeartbeatMessage::from(&report))
}

fn message_size(message: impl Serialize) -> usize {
    let stamp = HybridTimestamp { wall_us: u64::MAX, counter: 9 };
    encode(&Envelope::new(stamp, message)).map_or(0, |bytes| bytes.len()) + HEADER_BYTES
}
