//! Harness that feeds events to one entry and records its actions in a transcript.
//!
//! The harness simulates the log. Servers exist only as heartbeats; the test supplies every reply
//! of their agents.

mod transcript;

use bytes::Bytes;
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, DomainAvailability, LatencyObjective,
    RequestRule, ServiceSpec, TeamQuota,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryEvent, EntryIdentity, EntryLimits, EntryMachine, ExchangeFailure, InterruptCause,
    NotStartedReason, StartId, StreamRead, TaskReply,
};
use parsleyspool_core::id::{TaskName, submission_id};
use parsleyspool_core::job::{JobRequest, TaskGroup, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::Moment;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

const INCARNATION: u64 = 1;
/// Reading of the wall clock when the clock of the entry reads zero.
const WALL_CLOCK_AT_ZERO: Duration = Duration::from_secs(1_000_000);

struct SimulatedServer {
    name: String,
    incarnation: u64,
    sequence: u64,
    lost_tasks: Vec<TaskName>,
}

pub struct EntryHarness {
    now: Duration,
    machine: EntryMachine,
    servers: Vec<SimulatedServer>,
    config_stream: Vec<ConfigRecord>,
    operator_ledger: ConfigLedger,
    claim_stream: Vec<Vec<ClaimStep>>,
    /// Appends of claims that the log has not answered, each with whether it will be confirmed.
    claim_appends: Vec<bool>,
    is_losing_claims: bool,
    /// Latest start of each task, by waiter id and task index.
    starts: BTreeMap<(u64, u32), StartId>,
    /// Submission id of each job, by waiter id.
    submissions: BTreeMap<u64, u128>,
    submission_count: u64,
    transcript: String,
}

/// Limits of an entry that grants its tasks run leases and serves jobs while its configuration is
/// unconfirmed.
fn run_lease_limits() -> EntryLimits {
    EntryLimits {
        serves_unconfirmed: true,
        run_lease: Duration::from_millis(900),
        run_lapse: Duration::from_millis(900),
        heartbeat: Duration::from_millis(300),
        ..EntryLimits::default()
    }
}

/// Objective under which a task with a run time of 100 ms should be answered within 150 ms, and its
/// answer is of no use after 300 ms.
fn objective() -> LatencyObjective {
    LatencyObjective {
        stretch_percent: 100,
        allowance: Duration::from_millis(50),
        expiry_percent: 200,
    }
}

impl EntryHarness {
    /// Entry that has received a heartbeat of every server. Each server has four slots and its own
    /// failure domain.
    pub fn with_servers(names: &[&str]) -> Self {
        let mut harness = Self::without_heartbeats(names, EntryLimits::default());
        harness.send_heartbeats();
        harness.transcript.clear();
        harness
    }

    /// Entry with run leases that is in its warm-up and has received no heartbeat.
    pub fn warming_up(names: &[&str]) -> Self {
        Self::without_heartbeats(
            names,
            EntryLimits { warm_up: Duration::from_secs(60), ..run_lease_limits() },
        )
    }

    /// Like [`Self::with_servers`], but with [`run_lease_limits`].
    pub fn with_run_leases(names: &[&str]) -> Self {
        let mut harness = Self::without_heartbeats(names, run_lease_limits());
        harness.send_heartbeats();
        harness.transcript.clear();
        harness
    }

    fn without_heartbeats(names: &[&str], limits: EntryLimits) -> Self {
        let identity = EntryIdentity {
            name: "e".into(),
            incarnation: INCARNATION,
            domain: "d-a".into(),
            rank: 0,
        };
        let servers = names.iter().map(|name| SimulatedServer {
            name: (*name).to_owned(),
            incarnation: 100,
            sequence: 0,
            lost_tasks: Vec::new(),
        });
        let mut harness = Self {
            now: Duration::from_secs(10),
            machine: EntryMachine::new(identity, limits, 1),
            servers: servers.collect(),
            config_stream: Vec::new(),
            operator_ledger: ConfigLedger::new(),
            claim_stream: Vec::new(),
            claim_appends: Vec::new(),
            is_losing_claims: false,
            starts: BTreeMap::new(),
            submissions: BTreeMap::new(),
            submission_count: 0,
            transcript: String::new(),
        };
        harness.configure();
        harness.read_config();
        harness.read_claims();
        harness.transcript.clear();
        harness
    }

    /// Configures a service whose requests differ from "look" in one property each: "redeem" is not
    /// idempotent, "wide" needs more slots than a server has, "urgent" has a latency objective, and
    /// "again" allows three attempts.
    fn configure(&mut self) {
        let rule = |idempotent, slots| RequestRule {
            idempotent,
            run_time: Duration::from_millis(100),
            slots,
            ..RequestRule::default()
        };
        let requests = BTreeMap::from([
            ("look".into(), rule(true, 1)),
            ("redeem".into(), rule(false, 1)),
            ("wide".into(), rule(true, 9)),
            ("urgent".into(), RequestRule { objective: Some(objective()), ..rule(true, 1) }),
            ("again".into(), RequestRule { max_failures: 3, ..rule(true, 1) }),
        ]);
        let spec =
            ServiceSpec { team: "t".into(), default_deadline: Duration::from_secs(10), requests };
        self.append_change(ConfigChange::PutService { name: "s".into(), spec });
        let quota = TeamQuota { tasks_in_flight: 12, weight: 1 };
        self.append_change(ConfigChange::SetQuota { team: "t".into(), quota });
    }

    fn append_change(&mut self, change: ConfigChange) {
        let base = self.operator_ledger.configuration().subject_version(&change.subject());
        let offset = self.config_stream.len() as u64;
        let id = u128::from(offset);
        let record = ChangeRecord { id, operator: "o".to_owned(), base, change };
        self.operator_ledger.apply(offset, ConfigRecord::Change(record.clone()));
        self.config_stream.push(ConfigRecord::Change(record));
    }

    fn send(&mut self, title: &str, event: EntryEvent) {
        let at = self.now.as_millis();
        let _ = writeln!(self.transcript, "{at} > {title}");
        let now = Moment::new(self.now, WALL_CLOCK_AT_ZERO + self.now);
        for action in self.machine.handle(event, now) {
            self.record(&action);
        }
    }

    /// Waiter id of the job with this submission id; 0 if there is none.
    fn waiter_of(&self, submission: u128) -> u64 {
        let found = self.submissions.iter().find(|(_, id)| **id == submission);
        found.map_or(0, |(waiter_id, _)| *waiter_id)
    }

    pub fn submit(&mut self, waiter_id: u64, request: &str, tasks: u32) {
        self.submission_count += 1;
        self.submissions.insert(waiter_id, submission_id(INCARNATION, self.submission_count));
        let task = |index| TaskRequest {
            demand: None,
            request_name: request.into(),
            payload: Bytes::from(format!("p{index}")),
        };
        let job = JobRequest {
            name: "j".into(),
            team: "t".into(),
            service: "s".into(),
            deadline: None,
            created_at: Some(WALL_CLOCK_AT_ZERO),
            task_groups: (0..tasks).map(task).map(TaskGroup::from).collect(),
        };
        let title = format!("submit waiter={waiter_id} request={request} tasks={tasks}");
        self.send(&title, EntryEvent::Submit { waiter_id, request: job });
    }

    /// Latest start of the task at `index` of the job submitted with `waiter_id`.
    pub fn start_of(&self, waiter_id: u64, index: u32) -> StartId {
        self.starts[&(waiter_id, index)]
    }

    pub fn reply(&mut self, start: StartId, reply: TaskReply) {
        let outcome = match &reply {
            TaskReply::Done { .. } => "done",
            TaskReply::Failed { .. } => "failed",
            TaskReply::Interrupted(cause) => cause.name(),
            TaskReply::NotStarted(reason) => reason.name(),
            TaskReply::Pending => "pending",
            TaskReply::Lost => "lost",
        };
        let title = format!("reply task={} attempt={} {outcome}", start.task.index, start.attempt);
        self.send(&title, EntryEvent::Reply { start, reply, load: None });
    }

    pub fn answer_task(&mut self, waiter_id: u64, index: u32) {
        let answer = Bytes::from(format!("answer {index}"));
        let run_time = Duration::from_millis(80);
        self.reply(self.start_of(waiter_id, index), TaskReply::Done { answer, run_time });
    }

    /// Answers the latest start of every task.
    pub fn answer_all(&mut self) {
        let starts: Vec<(u64, u32)> = self.starts.keys().copied().collect();
        for (waiter_id, index) in starts {
            self.answer_task(waiter_id, index);
        }
    }

    pub fn fail_task(&mut self, waiter_id: u64, index: u32) {
        let run_time = Duration::from_millis(1);
        self.reply(self.start_of(waiter_id, index), TaskReply::Failed { run_time });
    }

    pub fn refuse_task(&mut self, waiter_id: u64, index: u32, reason: NotStartedReason) {
        self.reply(self.start_of(waiter_id, index), TaskReply::NotStarted(reason));
    }

    /// Reports that the server of the task was lost while the task ran.
    pub fn lose_server_of(&mut self, waiter_id: u64, index: u32) {
        let reply = TaskReply::Interrupted(InterruptCause::ServerLost);
        self.reply(self.start_of(waiter_id, index), reply);
    }

    /// Sends a heartbeat of the server `name` that lists `task` as running when the server was
    /// lost.
    pub fn report_lost_task(&mut self, name: &str, task: &str) {
        let index = self.servers.iter().position(|server| server.name == name);
        let index = index.expect("the server exists");
        self.servers[index].lost_tasks.push(task.into());
        self.send_heartbeat(index);
    }

    pub fn break_exchange(&mut self, start: StartId, failure: ExchangeFailure) {
        let title = format!("no reply task={} {failure:?}", start.task.index);
        self.send(&title, EntryEvent::NoReply { start, failure });
    }

    pub fn advance_ms(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.send("tick", EntryEvent::Tick);
        self.send(
            "refusals appended confirmed=true",
            EntryEvent::RefusalsAppended { is_confirmed: true },
        );
    }

    pub fn read_config(&mut self) {
        let from = self.machine.ledger().next_offset();
        let records = (from..).zip(self.config_stream[from as usize..].iter().cloned()).collect();
        let read = StreamRead { records, earliest: 0, is_end: true, requested_at: self.now };
        self.send("read config", EntryEvent::ConfigRead(read));
    }

    /// Advances the time by 10 ms, answers the open appends of claims, and reads the claim stream.
    pub fn read_claims(&mut self) {
        self.now += Duration::from_millis(10);
        for is_confirmed in std::mem::take(&mut self.claim_appends) {
            let title = format!("claims appended confirmed={is_confirmed}");
            self.send(&title, EntryEvent::ClaimsAppended { is_confirmed });
        }
        let from = self.machine.next_claim_offset();
        let records = (from..).zip(self.claim_stream[from as usize..].iter().cloned()).collect();
        let read = StreamRead { records, earliest: 0, is_end: true, requested_at: self.now };
        self.send("read claims", EntryEvent::ClaimsRead(read));
    }

    /// Sets whether further appends of claims are lost before they reach the log, so that it does
    /// not confirm them.
    pub fn set_losing_claims(&mut self, is_losing_claims: bool) {
        self.is_losing_claims = is_losing_claims;
    }

    /// Sends the heartbeats of all servers except the first one that has a task of this entry.
    /// Sends none if `start` is not a first attempt.
    pub fn send_heartbeats_skipping_busy_server(&mut self, start: StartId) {
        let busy = self.machine.directory().iter().find(|(_, server)| server.own_load() > 0);
        let busy = busy.map(|(_, server)| server.name().to_string());
        for index in 0..self.servers.len() {
            if start.attempt == 1 && Some(&self.servers[index].name) != busy.as_ref() {
                self.send_heartbeat(index);
            }
        }
    }

    pub fn send_heartbeats(&mut self) {
        for index in 0..self.servers.len() {
            self.send_heartbeat(index);
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.sequence += 1;
        let report = ServerReport {
            name: server.name.as_str().into(),
            incarnation: server.incarnation,
            sequence: server.sequence,
            address: server.name.as_str().into(),
            domain: format!("d-{}", server.name).into(),
            worker: "w".into(),
            services: vec!["s".into()],
            capacity: ResourceAmounts::from_slots(4),
            load_limit: 8,
            load: 0,
            own_load: 0,
            is_leaving: false,
            clock: self.now,
            version: 0,
            lost_tasks: server.lost_tasks.clone(),
            held_submissions: Vec::new(),
        };
        let title = format!("heartbeat of {}", server.name);
        self.send(&title, EntryEvent::Heartbeat(report));
    }

    /// Sends a heartbeat of a new incarnation of the server.
    pub fn replace_server(&mut self, name: &str) {
        let index = self.servers.iter().position(|server| server.name == name);
        let index = index.expect("the server exists");
        self.servers[index].incarnation += 1;
        self.send_heartbeat(index);
    }

    pub fn set_domain_in_service(&mut self, domain: &str, is_in_service: bool) {
        let availability = if is_in_service {
            DomainAvailability::InService
        } else {
            DomainAvailability::OutOfService
        };
        self.append_change(ConfigChange::SetDomainAvailability {
            domain: domain.into(),
            availability,
        });
        self.read_config();
    }

    pub fn cancel(&mut self, waiter_id: u64) {
        self.send(&format!("cancel waiter={waiter_id}"), EntryEvent::Cancel { waiter_id });
    }

    /// Number of tasks queued at the entry.
    pub fn queued(&self) -> usize {
        self.machine.gauges().queued
    }

    pub fn drain(&mut self) {
        self.send("drain", EntryEvent::Drain);
    }

    pub fn close_audit_log(&mut self) {
        self.send("close audit log", EntryEvent::CloseAuditLog);
    }

    /// Events received, each followed by the resulting actions, one per line.
    pub fn transcript(&self) -> &str {
        &self.transcript
    }
}
