//! Desk at which a session is played: one entry, its servers in name only, and the log.

mod story;

use bytes::Bytes;
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, DomainAvailability, LatencyObjective,
    RequestRule, ServiceSpec, TeamQuota,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryEvent, EntryIdentity, EntryLimits, EntryMachine, ExchangeFailure, NotStartedReason,
    StartId, StreamRead, TaskReply,
};
use parsleyspool_core::id::submission_id;
use parsleyspool_core::job::{JobRequest, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::Moment;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

const INCARNATION: u64 = 1;
const WALL_START: Duration = Duration::from_secs(1_000_000);

struct ServerName {
    name: String,
    incarnation: u64,
    sequence: u64,
}

pub struct SessionDesk {
    now: Duration,
    machine: EntryMachine,
    servers: Vec<ServerName>,
    config: Vec<ConfigRecord>,
    operators: ConfigLedger,
    claims: Vec<Vec<ClaimStep>>,
    appends: Vec<bool>,
    loses_claims: bool,
    starts: BTreeMap<(u64, u32), StartId>,
    submissions: BTreeMap<u64, u128>,
    submitted: u64,
    story: String,
}

/// Limits of an entry whose agents have workers that give leases.
fn leased_limits() -> EntryLimits {
    EntryLimits {
        serves_unconfirmed: true,
        run_lease: Duration::from_millis(900),
        run_lapse: Duration::from_millis(900),
        heartbeat: Duration::from_millis(300),
        ..EntryLimits::default()
    }
}

/// Answers are wanted within 150 ms and of no use after 300 ms, for tasks of 100 ms.
fn objective() -> LatencyObjective {
    LatencyObjective {
        stretch_percent: 100,
        allowance: Duration::from_millis(50),
        expiry_percent: 200,
    }
}

impl SessionDesk {
    /// Entry with a service of three kinds of request and servers of four slots, each in a failure
    /// domain of its own.
    pub fn with_servers(names: &[&str]) -> Self {
        let mut desk = Self::unheard(names, EntryLimits::default());
        desk.greet_all();
        desk.story.clear();
        desk
    }

    /// Entry that started lately and has heard of no server yet.
    pub fn warming(names: &[&str]) -> Self {
        Self::unheard(names, EntryLimits { warm_up: Duration::from_secs(60), ..leased_limits() })
    }

    /// Entry whose agents have workers that give leases.
    pub fn leased(names: &[&str]) -> Self {
        let mut desk = Self::unheard(names, leased_limits());
        desk.greet_all();
        desk.story.clear();
        desk
    }

    fn unheard(names: &[&str], limits: EntryLimits) -> Self {
        let identity = EntryIdentity {
            name: "e".into(),
            incarnation: INCARNATION,
            domain: "d-a".into(),
            rank: 0,
        };
        let servers = names.iter().map(|name| ServerName {
            name: (*name).to_owned(),
            incarnation: 100,
            sequence: 0,
        });
        let mut desk = Self {
            now: Duration::from_secs(10),
            machine: EntryMachine::new(identity, limits, 1),
            servers: servers.collect(),
            config: Vec::new(),
            operators: ConfigLedger::new(),
            claims: Vec::new(),
            appends: Vec::new(),
            loses_claims: false,
            starts: BTreeMap::new(),
            submissions: BTreeMap::new(),
            submitted: 0,
            story: String::new(),
        };
        desk.configure();
        desk.read_log();
        desk.read_claims();
        desk.story.clear();
        desk
    }

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
        self.operate(ConfigChange::PutService { name: "s".into(), spec });
        let quota = TeamQuota { tasks_in_flight: 12, weight: 1 };
        self.operate(ConfigChange::SetQuota { team: "t".into(), quota });
    }

    fn operate(&mut self, change: ConfigChange) {
        let base = self.operators.configuration().subject_version(&change.subject());
        let offset = self.config.len() as u64;
        let id = u128::from(offset);
        let record = ChangeRecord { id, operator: "o".to_owned(), base, change };
        self.operators.apply(offset, ConfigRecord::Change(record.clone()));
        self.config.push(ConfigRecord::Change(record));
    }

    fn tell(&mut self, title: &str, event: EntryEvent) {
        let at = self.now.as_millis();
        let _ = writeln!(self.story, "{at} > {title}");
        let now = Moment::new(self.now, WALL_START + self.now);
        for action in self.machine.handle(event, now) {
            self.note(&action);
        }
    }

    fn ticket_of(&self, submission: u128) -> u64 {
        let found = self.submissions.iter().find(|(_, id)| **id == submission);
        found.map_or(0, |(ticket, _)| *ticket)
    }

    pub fn submit(&mut self, waiter_id: u64, request: &str, tasks: u32) {
        self.submitted += 1;
        self.submissions.insert(waiter_id, submission_id(INCARNATION, self.submitted));
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
            created_at: Some(WALL_START),
            tasks: (0..tasks).map(task).collect(),
        };
        let title = format!("submit ticket={waiter_id} request={request} tasks={tasks}");
        self.tell(&title, EntryEvent::Submit { waiter_id, request: job });
    }

    /// Latest start of the task at `index` of the job of `ticket`.
    pub fn start_of(&self, ticket: u64, index: u32) -> StartId {
        self.starts[&(ticket, index)]
    }

    pub fn reply(&mut self, start: StartId, reply: TaskReply) {
        let word = match &reply {
            TaskReply::Done { .. } => "done",
            TaskReply::Failed { .. } => "failed",
            TaskReply::Interrupted => "interrupted",
            TaskReply::NotStarted(reason) => reason.name(),
            TaskReply::Pending => "pending",
            TaskReply::Lost => "lost",
        };
        let title = format!("reply task={} attempt={} {word}", start.task.index, start.attempt);
        self.tell(&title, EntryEvent::Reply { start, reply, load: None });
    }

    pub fn answer_task(&mut self, ticket: u64, index: u32) {
        let answer = Bytes::from(format!("answer {index}"));
        let run_time = Duration::from_millis(80);
        self.reply(self.start_of(ticket, index), TaskReply::Done { answer, run_time });
    }

    pub fn answer_all(&mut self) {
        let starts: Vec<(u64, u32)> = self.starts.keys().copied().collect();
        for (ticket, index) in starts {
            self.answer_task(ticket, index);
        }
    }

    pub fn fail_task(&mut self, ticket: u64, index: u32) {
        let run_time = Duration::from_millis(1);
        self.reply(self.start_of(ticket, index), TaskReply::Failed { run_time });
    }

    pub fn refuse_task(&mut self, ticket: u64, index: u32, reason: NotStartedReason) {
        self.reply(self.start_of(ticket, index), TaskReply::NotStarted(reason));
    }

    pub fn break_exchange(&mut self, start: StartId, failure: ExchangeFailure) {
        let title = format!("broken task={} {failure:?}", start.task.index);
        self.tell(&title, EntryEvent::NoReply { start, failure });
    }

    pub fn pass_ms(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.tell("tick", EntryEvent::Tick);
        self.tell("accounts confirmed", EntryEvent::RefusalsAppended { is_confirmed: true });
    }

    pub fn read_log(&mut self) {
        let from = self.machine.ledger().next_offset();
        let records = (from..).zip(self.config[from as usize..].iter().cloned()).collect();
        let read = StreamRead { records, earliest: 0, is_end: true, requested_at: self.now };
        self.tell("read config", EntryEvent::ConfigRead(read));
    }

    /// Ten milliseconds later the log has answered the appends, and its claims are read.
    pub fn read_claims(&mut self) {
        self.now += Duration::from_millis(10);
        for is_confirmed in std::mem::take(&mut self.appends) {
            let title = format!("claims appended confirmed={is_confirmed}");
            self.tell(&title, EntryEvent::ClaimsAppended { is_confirmed });
        }
        let from = self.machine.next_claim_offset();
        let records = (from..).zip(self.claims[from as usize..].iter().cloned()).collect();
        let read = StreamRead { records, earliest: 0, is_end: true, requested_at: self.now };
        self.tell("read claims", EntryEvent::ClaimsRead(read));
    }

    /// Whether appends of claims are lost on their way from now on.
    pub fn set_loses_claims(&mut self, loses_claims: bool) {
        self.loses_claims = loses_claims;
    }

    /// Heartbeats of all servers but the one that `start` went to.
    pub fn greet_others(&mut self, start: StartId) {
        let silent = self.machine.directory().iter().find(|(_, server)| server.own_load() > 0);
        let silent = silent.map(|(_, server)| server.name().to_string());
        for index in 0..self.servers.len() {
            if start.attempt == 1 && Some(&self.servers[index].name) != silent.as_ref() {
                self.greet(index);
            }
        }
    }

    pub fn greet_all(&mut self) {
        for index in 0..self.servers.len() {
            self.greet(index);
        }
    }

    fn greet(&mut self, index: usize) {
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
        };
        let title = format!("heartbeat of {}", server.name);
        self.tell(&title, EntryEvent::Heartbeat(report));
    }

    pub fn replace_server(&mut self, name: &str) {
        let index = self.servers.iter().position(|server| server.name == name);
        let index = index.expect("a server of that name");
        self.servers[index].incarnation += 1;
        self.greet(index);
    }

    pub fn order_domain(&mut self, domain: &str, is_in_service: bool) {
        let availability = if is_in_service {
            DomainAvailability::InService
        } else {
            DomainAvailability::OutOfService
        };
        self.operate(ConfigChange::SetDomainAvailability { domain: domain.into(), availability });
        self.read_log();
    }

    pub fn cancel(&mut self, waiter_id: u64) {
        self.tell(&format!("cancel ticket={waiter_id}"), EntryEvent::Cancel { waiter_id });
    }

    /// Tasks that wait at the entry.
    pub fn queued(&self) -> usize {
        self.machine.gauges().queued
    }

    pub fn drain(&mut self) {
        self.tell("drain", EntryEvent::Drain);
    }

    pub fn close_accounts(&mut self) {
        self.tell("close accounts", EntryEvent::CloseAuditLog);
    }

    /// What came and what was decided, one line each.
    pub fn story(&self) -> &str {
        &self.story
    }
}
