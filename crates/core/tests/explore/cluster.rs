//! Simulated cluster: processes, messages in flight, the log and the operators.
//!
//! Processes run the state machines of the library. The cluster executes their actions and advances
//! the time. Entries and agents are identified by their index.

mod callers;
mod control_plane;
mod network;
mod processes;
mod report;

pub use report::ClusterCounters;

use crate::fault::PlantedFault;
use crate::step::Step;
use bytes::Bytes;
use parsleyspool_core::agent::{AgentAction, AgentEvent, AgentLimits, AgentMachine, RunResult};
use parsleyspool_core::checker::{ObservedEvent, TimelineInvariant};
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, ConfigSubject, DomainAvailability,
    LatencyObjective, RequestRule, ServiceSpec, TeamQuota,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryIdentity, EntryLimits, EntryMachine, ExchangeFailure, StartId,
    StartRequest, StreamRead, TaskReply,
};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::job::{JobAnswer, JobRequest, TaskGroup, TaskRequest};
use parsleyspool_core::overload::OverloadPolicy;
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
/// Reading of the wall clock when the time of the simulation is zero.
const WALL_CLOCK_AT_ZERO: Duration = Duration::from_secs(1_000_000);

struct EntryProcess {
    name: Arc<str>,
    machine: EntryMachine,
    clock: HybridClock,
    /// Start of this incarnation and zero point of its clock.
    epoch: Duration,
    is_paused: bool,
    is_cut_off_from_log: bool,
    /// Number of reads of the log, by which [`PlantedFault::LedgerReset`] selects reads.
    read_count: usize,
    /// Events received during a pause.
    inbox: Vec<EntryEvent>,
}

struct AgentProcess {
    name: Arc<str>,
    domain: Arc<str>,
    machine: AgentMachine,
    clock: HybridClock,
    /// Start of this incarnation and zero point of its clock.
    epoch: Duration,
    is_paused: bool,
    /// Number of the latest heartbeat.
    sequence: u64,
    /// Start requests of the running tasks.
    running: Vec<StartRequest>,
    /// Events received during a pause, each with the entry that sent it.
    inbox: Vec<(usize, AgentEvent)>,
}

/// Message in flight. `entry` is the index of an entry and `to` that of an agent. `epoch`
/// identifies the incarnation of the entry that expects the reply or confirmation; a later
/// incarnation does not receive it.
#[derive(Clone)]
enum Message {
    Start {
        entry: usize,
        to: usize,
        request: StartRequest,
    },
    StatusQuery {
        entry: usize,
        to: usize,
        start: StartId,
        sent_at: Duration,
    },
    Reply {
        entry: usize,
        epoch: Duration,
        start: StartId,
        reply: TaskReply,
    },
    Directive {
        to: usize,
        incarnation: u64,
        directive: parsleyspool_core::entry::AgentDirective,
        sent_at: Duration,
    },
    /// Append to the claim stream.
    Claims {
        entry: usize,
        epoch: Duration,
        steps: Vec<ClaimStep>,
    },
    /// Append to the audit log.
    Refusal {
        entry: usize,
        epoch: Duration,
    },
}

pub struct SimulatedCluster {
    fault: PlantedFault,
    overload: OverloadPolicy,
    now: Duration,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    messages: Vec<Message>,
    /// Records of the configuration stream.
    config: Vec<ConfigRecord>,
    earliest_config_offset: u64,
    /// Records of the claim stream.
    claims: Vec<Vec<ClaimStep>>,
    is_log_down: bool,
    /// Configuration that operators see and base their changes on.
    operator_ledger: ConfigLedger,
    next_incarnation: u64,
    next_change_id: u128,
    next_waiter_id: u64,
    /// Jobs without an answer, each as its entry and waiter id.
    open_waiters: Vec<(usize, u64)>,
    /// Exchanges that wait at an agent for the outcome of a task, each as the entry, its epoch and
    /// the start.
    reply_waiters: HashMap<TaskId, Vec<(usize, Duration, StartId)>>,
    /// Number of answers to each job, by waiter id.
    answer_counts: HashMap<u64, usize>,
    /// Number of tasks of each job, by waiter id.
    task_counts: HashMap<u64, u32>,
    events: Vec<ObservedEvent>,
    /// Violations found in the answers, which the checker of the timelines does not see.
    answer_violations: Vec<(TimelineInvariant, String)>,
    /// Hashes of the states after each step.
    visited_states: HashSet<u64>,
    counters: ClusterCounters,
}

fn entry_limits(overload: OverloadPolicy) -> EntryLimits {
    let heartbeat = Duration::from_millis(500);
    EntryLimits { max_attempts: 3, heartbeat, overload, ..EntryLimits::default() }
}

fn domain_of(index: usize) -> Arc<str> {
    format!("d{}", index % DOMAINS).into()
}

impl SimulatedCluster {
    pub fn new(fault: PlantedFault, overload: OverloadPolicy) -> Self {
        let mut cluster = Self {
            fault,
            overload,
            now: Duration::from_secs(10),
            entries: Vec::new(),
            agents: Vec::new(),
            messages: Vec::new(),
            config: Vec::new(),
            earliest_config_offset: 0,
            claims: Vec::new(),
            is_log_down: false,
            operator_ledger: ConfigLedger::new(),
            next_incarnation: 1,
            next_change_id: 1,
            next_waiter_id: 1,
            open_waiters: Vec::new(),
            reply_waiters: HashMap::new(),
            answer_counts: HashMap::new(),
            task_counts: HashMap::new(),
            events: Vec::new(),
            answer_violations: Vec::new(),
            visited_states: HashSet::new(),
            counters: ClusterCounters::default(),
        };
        for index in 0..ENTRIES {
            let entry = cluster.new_entry(index);
            cluster.entries.push(entry);
        }
        for index in 0..AGENTS {
            let agent = cluster.new_agent(index);
            cluster.agents.push(agent);
        }
        cluster.configure();
        cluster
    }

    fn configure(&mut self) {
        let is_planned = self.overload == OverloadPolicy::Priority;
        let objective = LatencyObjective {
            stretch_percent: 160,
            allowance: Duration::from_millis(60),
            expiry_percent: 300,
        };
        let rule = |idempotent| RequestRule {
            idempotent,
            objective: is_planned.then_some(objective),
            priority: is_planned.then_some(u8::from(!idempotent)),
            run_time: Duration::from_millis(50),
            ..RequestRule::default()
        };
        let requests =
            BTreeMap::from([("look".into(), rule(true)), ("redeem".into(), rule(false))]);
        let spec =
            ServiceSpec { team: "t".into(), default_deadline: Duration::from_secs(8), requests };
        let names = self.entries.iter().map(|entry| entry.name.clone());
        let entries = names.collect();
        self.append_change(ConfigChange::SetElectorate { entries });
        self.append_change(ConfigChange::PutService { name: "s".into(), spec });
        // Plans need more waiting jobs than the small quota admits.
        let tasks_in_flight = if is_planned { 100 } else { 12 };
        let quota = TeamQuota { tasks_in_flight, weight: 1 };
        self.append_change(ConfigChange::SetQuota { team: "t".into(), quota });
        for entry in 0..ENTRIES {
            self.read_log(entry);
        }
        for agent in 0..AGENTS {
            for entry in 0..ENTRIES {
                self.send_heartbeat(agent, entry);
            }
        }
    }

    fn allocate_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn new_entry(&mut self, index: usize) -> EntryProcess {
        let incarnation = self.allocate_incarnation();
        let identity = EntryIdentity {
            name: format!("e{index}").into(),
            incarnation,
            domain: domain_of(index),
            rank: u32::try_from(index).expect("few entries"),
        };
        EntryProcess {
            name: identity.name.clone(),
            machine: EntryMachine::new(identity, entry_limits(self.overload), incarnation),
            clock: HybridClock::default(),
            epoch: self.now,
            is_paused: false,
            is_cut_off_from_log: false,
            read_count: 0,
            inbox: Vec::new(),
        }
    }

    fn new_agent(&mut self, index: usize) -> AgentProcess {
        let incarnation = self.allocate_incarnation();
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
            epoch: self.now,
            is_paused: false,
            sequence: 0,
            running: Vec::new(),
            inbox: Vec::new(),
        }
    }

    fn moment(&self, epoch: Duration) -> Moment {
        Moment::new(self.now - epoch, WALL_CLOCK_AT_ZERO + self.now)
    }

    pub fn execute(&mut self, bytes: (u8, u8, u8)) {
        let step = Step::from_bytes(bytes);
        match step {
            Step::AdvanceTime(millis) => self.advance_ms(millis),
            Step::Round(millis) => self.run_round(millis),
            Step::Deliver(choice) => self.deliver(choice, false),
            Step::Duplicate(choice) => self.deliver(choice, true),
            Step::Lose(choice, is_noticed) => self.lose(choice, is_noticed),
            Step::Submit { entry, job } => self.submit(usize::from(entry) % ENTRIES, job),
            Step::Cancel(choice) => self.cancel(choice),
            Step::FinishRun(choice, has_answer) => self.finish_run(choice, has_answer),
            Step::RestartAgent(choice) => self.restart_agent(usize::from(choice) % AGENTS),
            Step::RestartEntry(choice) => self.restart_entry(usize::from(choice) % ENTRIES),
            Step::TogglePause(choice) => self.toggle_pause(usize::from(choice)),
            Step::Heartbeat(agent, entry) => {
                self.send_heartbeat(usize::from(agent) % AGENTS, usize::from(entry) % ENTRIES);
            }
            Step::ChangeConfig(choice) => self.append_random_change(choice),
            Step::ToggleLogOutage(choice) => self.toggle_log_outage(choice),
            Step::ReadLog(choice) => self.read_log(usize::from(choice) % ENTRIES),
            Step::Poll(a, b) => self.poll_peer(usize::from(a) % ENTRIES, usize::from(b) % ENTRIES),
            Step::TrimLog => self.trim_log(),
            Step::StopAgent(choice) => self.stop_agent(usize::from(choice)),
        }
        self.record_state();
    }

    /// Ends all outages and pauses and runs the cluster for 12 s, after which every job must have
    /// an answer.
    pub fn run_to_completion(&mut self) {
        self.is_log_down = false;
        for index in 0..ENTRIES {
            self.entries[index].is_cut_off_from_log = false;
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
            self.advance_ms(200);
            for index in 0..ENTRIES {
                self.read_log(index);
            }
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
            for agent in 0..AGENTS {
                while !self.agents[agent].running.is_empty() {
                    self.end_run(agent, 0, true);
                }
                self.send_heartbeat(agent, 0);
            }
        }
        for (entry, waiter_id) in std::mem::take(&mut self.open_waiters) {
            if !self.answer_counts.contains_key(&waiter_id) {
                let text = format!("waiter {waiter_id} of e{entry} was never answered");
                self.answer_violations.push((TimelineInvariant::WholeAnswer, text));
            }
        }
    }

    fn advance_ms(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for index in 0..ENTRIES {
            self.handle_entry_event(index, EntryEvent::Tick);
        }
        for index in 0..AGENTS {
            self.handle_agent_event(index, 0, AgentEvent::Tick);
        }
    }

    fn run_round(&mut self, millis: u64) {
        self.advance_ms(millis);
        for entry in 0..ENTRIES {
            self.read_log(entry);
            self.poll_peer(entry, (entry + 1) % ENTRIES);
            for agent in 0..AGENTS {
                self.send_heartbeat(agent, entry);
            }
        }
    }

    fn record_state(&mut self) {
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
        (self.messages.len(), self.claims.len(), self.is_log_down).hash(&mut hasher);
        self.visited_states.insert(hasher.finish());
    }
}

fn agent_index(address: &str) -> usize {
    address.parse().expect("agents are addressed by number")
}
