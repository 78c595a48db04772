//! World around the decision parts: processes, messages under way, the log and the operators.

mod control;
mod figures;
mod network;
mod processes;

pub use figures::WorldFigures;

use crate::fault::PlantedFault;
use crate::step::Step;
use bytes::Bytes;
use parsleyspool_core::agent::{AgentAction, AgentEvent, AgentLimits, AgentMachine, RunResult};
use parsleyspool_core::checker::{ObservedEvent, TimelineInvariant};
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, ConfigSubject, DomainAvailability,
    RequestRule, ServiceSpec, TeamQuota,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryIdentity, EntryLimits, EntryMachine, ExchangeFailure, StartId,
    StartRequest, StreamRead, TaskReply,
};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::job::{JobAnswer, JobRequest, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::{HybridClock, Moment};
use parsleyspool_core::timeline::{EventField, EventKind, TimelineEvent};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
const DOMAINS: usize = 2;
const WALL_START: Duration = Duration::from_secs(1_000_000);

struct EntryProcess {
    name: Arc<str>,
    machine: EntryMachine,
    clock: HybridClock,
    born: Duration,
    is_paused: bool,
    is_cut_off: bool,
    reads: usize,
    inbox: Vec<EntryEvent>,
}

struct AgentProcess {
    name: Arc<str>,
    domain: Arc<str>,
    machine: AgentMachine,
    clock: HybridClock,
    born: Duration,
    is_paused: bool,
    sequence: u64,
    running: Vec<StartRequest>,
    inbox: Vec<(usize, AgentEvent)>,
}

/// Message under way.
#[derive(Clone)]
enum Message {
    Start {
        entry: usize,
        to: usize,
        request: StartRequest,
    },
    Ask {
        entry: usize,
        to: usize,
        start: StartId,
        sent_at: Duration,
    },
    Reply {
        entry: usize,
        born: Duration,
        start: StartId,
        reply: TaskReply,
    },
    Directive {
        to: usize,
        incarnation: u64,
        directive: parsleyspool_core::entry::AgentDirective,
        sent_at: Duration,
    },
    Claims {
        entry: usize,
        born: Duration,
        steps: Vec<ClaimStep>,
    },
    Accounts {
        entry: usize,
        born: Duration,
    },
}

pub struct World {
    fault: PlantedFault,
    now: Duration,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    messages: Vec<Message>,
    config: Vec<ConfigRecord>,
    config_earliest: u64,
    claims: Vec<Vec<ClaimStep>>,
    is_log_away: bool,
    operators: ConfigLedger,
    next_incarnation: u64,
    next_change: u128,
    next_ticket: u64,
    open_tickets: Vec<(usize, u64)>,
    waiting: HashMap<TaskId, Vec<(usize, Duration, StartId)>>,
    answers: HashMap<u64, usize>,
    tickets_of: HashMap<u64, u32>,
    events: Vec<ObservedEvent>,
    wrong_answers: Vec<(TimelineInvariant, String)>,
    states: HashSet<u64>,
    figures: WorldFigures,
}

fn limits() -> EntryLimits {
    EntryLimits { max_attempts: 3, heartbeat: Duration::from_millis(500), ..EntryLimits::default() }
}

fn domain_of(agent: usize) -> Arc<str> {
    format!("d{}", agent % DOMAINS).into()
}

impl World {
    pub fn new(fault: PlantedFault) -> Self {
        let mut world = Self {
            fault,
            now: Duration::from_secs(10),
            entries: Vec::new(),
            agents: Vec::new(),
            messages: Vec::new(),
            config: Vec::new(),
            config_earliest: 0,
            claims: Vec::new(),
            is_log_away: false,
            operators: ConfigLedger::new(),
            next_incarnation: 1,
            next_change: 1,
            next_ticket: 1,
            open_tickets: Vec::new(),
            waiting: HashMap::new(),
            answers: HashMap::new(),
            tickets_of: HashMap::new(),
            events: Vec::new(),
            wrong_answers: Vec::new(),
            states: HashSet::new(),
            figures: WorldFigures::default(),
        };
        for index in 0..ENTRIES {
            let entry = world.new_entry(index);
            world.entries.push(entry);
        }
        for index in 0..AGENTS {
            let agent = world.new_agent(index);
            world.agents.push(agent);
        }
        world.configure();
        world
    }

    fn configure(&mut self) {
        let rule = |idempotent| RequestRule {
            idempotent,
            run_time: Duration::from_millis(50),
            ..RequestRule::default()
        };
        let requests =
            BTreeMap::from([("look".into(), rule(true)), ("redeem".into(), rule(false))]);
        let spec =
            ServiceSpec { team: "t".into(), default_deadline: Duration::from_secs(8), requests };
        let names = self.entries.iter().map(|entry| entry.name.clone());
        let entries = names.collect();
        self.operate(ConfigChange::SetElectorate { entries });
        self.operate(ConfigChange::PutService { name: "s".into(), spec });
        let quota = TeamQuota { tasks_in_flight: 12, weight: 1 };
        self.operate(ConfigChange::SetQuota { team: "t".into(), quota });
        for entry in 0..ENTRIES {
            self.read(entry);
        }
        for agent in 0..AGENTS {
            for entry in 0..ENTRIES {
                self.greet(agent, entry);
            }
        }
    }

    fn draw_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn new_entry(&mut self, index: usize) -> EntryProcess {
        let incarnation = self.draw_incarnation();
        let identity = EntryIdentity {
            name: format!("e{index}").into(),
            incarnation,
            domain: domain_of(index),
            rank: u32::try_from(index).expect("few entries"),
        };
        EntryProcess {
            name: identity.name.clone(),
            machine: EntryMachine::new(identity, limits(), incarnation),
            clock: HybridClock::default(),
            born: self.now,
            is_paused: false,
            is_cut_off: false,
            reads: 0,
            inbox: Vec::new(),
        }
    }

    fn new_agent(&mut self, index: usize) -> AgentProcess {
        let incarnation = self.draw_incarnation();
        AgentProcess {
            name: format!("a{index}").into(),
            domain: domain_of(index),
            machine: AgentMachine::new(
                incarnation,
                AgentLimits {
                    capacity: ResourceAmounts::from_slots(2),
                    queue_slots: 2,
                    ..AgentLimits::default()
                },
            ),
            clock: HybridClock::default(),
            born: self.now,
            is_paused: false,
            sequence: 0,
            running: Vec::new(),
            inbox: Vec::new(),
        }
    }

    fn moment(&self, born: Duration) -> Moment {
        Moment::new(self.now - born, WALL_START + self.now)
    }

    pub fn take(&mut self, bytes: (u8, u8, u8)) {
        let step = Step::from_bytes(bytes);
        match step {
            Step::Pass(millis) => self.pass(millis),
            Step::Beat(millis) => self.beat(millis),
            Step::Deliver(which) => self.deliver(which, false),
            Step::Double(which) => self.deliver(which, true),
            Step::Lose(which, is_noticed) => self.lose(which, is_noticed),
            Step::Submit { entry, job } => self.submit(usize::from(entry) % ENTRIES, job),
            Step::Cancel(which) => self.cancel(which),
            Step::Finish(which, is_good) => self.finish(which, is_good),
            Step::RestartAgent(which) => self.restart_agent(usize::from(which) % AGENTS),
            Step::RestartEntry(which) => self.restart_entry(usize::from(which) % ENTRIES),
            Step::TogglePause(which) => self.toggle_pause(usize::from(which)),
            Step::Greet(agent, entry) => {
                self.greet(usize::from(agent) % AGENTS, usize::from(entry) % ENTRIES);
            }
            Step::Operate(which) => self.operate_some(which),
            Step::ToggleLog(which) => self.toggle_log(which),
            Step::Read(which) => self.read(usize::from(which) % ENTRIES),
            Step::Talk(a, b) => self.talk(usize::from(a) % ENTRIES, usize::from(b) % ENTRIES),
            Step::Trim => self.trim(),
            Step::Stop(which) => self.stop(usize::from(which)),
        }
        self.note_state();
    }

    /// Lets everything run on, so that every caller gets its answer.
    pub fn settle(&mut self) {
        self.is_log_away = false;
        for index in 0..ENTRIES {
            self.entries[index].is_cut_off = false;
            if self.entries[index].is_paused {
                self.toggle_pause(index);
            }
        }
        for index in 0..AGENTS {
            if self.agents[index].is_paused {
                self.toggle_pause(ENTRIES + index);
            }
        }
        for _ in 0..60 {
            self.pass(200);
            for index in 0..ENTRIES {
                self.read(index);
            }
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
            for agent in 0..AGENTS {
                while !self.agents[agent].running.is_empty() {
                    self.end_run(agent, 0, true);
                }
                self.greet(agent, 0);
            }
        }
        for (entry, ticket) in std::mem::take(&mut self.open_tickets) {
            if !self.answers.contains_key(&ticket) {
                let text = format!("ticket {ticket} of e{entry} was never answered");
                self.wrong_answers.push((TimelineInvariant::WholeAnswer, text));
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for index in 0..ENTRIES {
            self.tell_entry(index, EntryEvent::Tick);
        }
        for index in 0..AGENTS {
            self.tell_agent(index, 0, AgentEvent::Tick);
        }
    }

    fn beat(&mut self, millis: u64) {
        self.pass(millis);
        for entry in 0..ENTRIES {
            self.read(entry);
            self.talk(entry, (entry + 1) % ENTRIES);
            for agent in 0..AGENTS {
                self.greet(agent, entry);
            }
        }
    }

    fn submit(&mut self, entry: usize, job: u8) {
        let waiter_id = self.next_ticket;
        self.next_ticket += 1;
        let request: Arc<str> = if job.is_multiple_of(3) { "redeem".into() } else { "look".into() };
        let tasks = 1 + u32::from(job / 64);
        self.tickets_of.insert(waiter_id, tasks);
        let task = |index: u32| TaskRequest {
            demand: None,
            request_name: request.clone(),
            payload: Bytes::from(format!("p{index}")),
        };
        let request = JobRequest {
            name: format!("j{}", job % 5).into(),
            team: "t".into(),
            service: "s".into(),
            deadline: Some(Duration::from_millis(2000 + 20 * u64::from(job))),
            created_at: Some(WALL_START),
            tasks: (0..tasks).map(task).collect(),
        };
        self.open_tickets.push((entry, waiter_id));
        self.tell_entry(entry, EntryEvent::Submit { waiter_id, request });
    }

    fn cancel(&mut self, which: u8) {
        if self.open_tickets.is_empty() {
            return;
        }
        let at = usize::from(which) % self.open_tickets.len();
        let (entry, waiter_id) = self.open_tickets.remove(at);
        self.tell_entry(entry, EntryEvent::Cancel { waiter_id });
    }

    fn note_state(&mut self) {
        let mut hasher = DefaultHasher::new();
        for entry in &self.entries {
            let gauges = entry.machine.gauges();
            (gauges.jobs, gauges.queued, gauges.open_tasks, entry.is_paused).hash(&mut hasher);
            format!("{:?}", std::mem::discriminant(&entry.machine.freshness_status()))
                .hash(&mut hasher);
            entry.machine.ledger().configuration().version.hash(&mut hasher);
        }
        for agent in &self.agents {
            (agent.machine.task_count(), agent.running.len(), agent.is_paused).hash(&mut hasher);
            agent.machine.version().hash(&mut hasher);
        }
        (self.messages.len(), self.claims.len(), self.is_log_away).hash(&mut hasher);
        self.states.insert(hasher.finish());
    }
}

fn agent_at(address: &str) -> usize {
    address.parse().expect("agents are addressed by number")
}
