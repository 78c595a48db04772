//! Agents of the fleet, each with its run ledger.

use super::event::{FleetEvent, Life, Sender};
use super::worker_calls::OpenPoll;
use super::worker_model::{ModelClock, RunBehavior, WorkerCall, WorkerModel};
use super::{ENTRIES, Fleet, LeaseBound, WALL_CLOCK_AT_ZERO};
use parsleyspool_core::agent::{
    AgentAction, AgentEvent, AgentLimits, AgentMachine, ConfirmationLimits, ServerAvailability,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{AgentDirective, StartId, StartRequest, TaskReply};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::run::{
    RunAction, RunEvent, RunKey, RunLedger, RunLimits, ServerIncarnation,
};
use rand::RngExt;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// Interval at which an agent looks whether a heartbeat is due.
const HEARTBEAT_CHECK: Duration = Duration::from_millis(20);
/// Time between two heartbeats to an entry that has not answered yet.
const FIRST_HEARTBEATS: Duration = Duration::from_millis(300);
/// Time between two announcements of a server.
const ANNOUNCEMENT: Duration = Duration::from_millis(1_500);
const SERVER_SLOTS: u32 = 8;
/// Shortest time between two heartbeats to one entry.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a worker takes to end a run.
const END_TIME: Duration = Duration::from_millis(50);

pub struct AgentNode {
    pub machine: AgentMachine,
    pub ledger: RunLedger,
    pub life: Life,
    pub is_up: bool,
    pub frozen_until: Duration,
    sequence: u64,
    /// When the next heartbeat to each entry is due without tasks of it.
    next_heartbeats: [Duration; ENTRIES],
    /// When the latest heartbeat was sent to each entry.
    latest_heartbeats: [Duration; ENTRIES],
    /// Exchanges that wait for the outcome of a task.
    waiters: HashMap<TaskId, Vec<(Sender, StartId)>>,
    pub worker: WorkerModel,
    /// Runs of the worker that were in progress after the latest event.
    pub running: BTreeSet<RunKey>,
    pub open_polls: Vec<OpenPoll>,
}

impl Fleet {
    fn new_machines(&mut self) -> (AgentMachine, RunLedger, Life) {
        let incarnation = self.allocate_incarnation();
        // The log answers nobody: the entries have their configuration from the start only.
        let confirmation = ConfirmationLimits { can_check: true, ..ConfirmationLimits::default() };
        let limits = AgentLimits {
            capacity: ResourceAmounts::default(),
            is_leased: true,
            confirmation,
            ..AgentLimits::default()
        };
        let runs = RunLimits { open_polls: 2, ..RunLimits::default() };
        (AgentMachine::new(incarnation, limits), RunLedger::new(runs), incarnation)
    }

    pub(super) fn new_agent(&mut self, index: usize) -> AgentNode {
        let (machine, ledger, life) = self.new_machines();
        let started_at = WALL_CLOCK_AT_ZERO + self.now;
        let server = format!("s-{index}").into();
        let rate_percent = self.random.random_range(98..101);
        let clock = ModelClock { origin: self.now, first_reading: Duration::ZERO, rate_percent };
        let behavior = RunBehavior { end_time: END_TIME, is_progressing: true };
        let worker = WorkerModel::new(ServerIncarnation { server, started_at }, clock, behavior);
        AgentNode {
            machine,
            ledger,
            life,
            is_up: false,
            frozen_until: Duration::ZERO,
            sequence: 0,
            next_heartbeats: [Duration::ZERO; ENTRIES],
            latest_heartbeats: [Duration::ZERO; ENTRIES],
            waiters: HashMap::new(),
            worker,
            running: BTreeSet::new(),
            open_polls: Vec::new(),
        }
    }

    pub(super) fn begin_agent(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        node.is_up = true;
        let life = node.life;
        self.schedule(TICK, FleetEvent::AgentTick { agent, life });
        for entry in 0..ENTRIES {
            self.schedule(Duration::ZERO, FleetEvent::Heartbeat { agent, life, entry });
        }
    }

    /// Ends an agent; its server stays up.
    pub(super) fn kill_agent(&mut self, agent: usize) {
        let (machine, ledger, life) = self.new_machines();
        let node = &mut self.agents[agent];
        node.machine = machine;
        node.ledger = ledger;
        node.life = life;
        node.is_up = false;
        node.frozen_until = Duration::ZERO;
        node.open_polls.clear();
        let waiters = std::mem::take(&mut node.waiters);
        for (sender, start) in waiters.into_values().flatten() {
            self.break_exchange(sender, start);
        }
    }

    pub(super) fn tick_agent(&mut self, agent: usize, life: Life) {
        if self.agents[agent].life != life {
            return;
        }
        self.handle_agent(agent, AgentEvent::Tick, None);
        self.handle_run_event(agent, RunEvent::Tick);
        self.schedule(TICK, FleetEvent::AgentTick { agent, life });
    }

    pub(super) fn announce_server(&mut self, agent: usize) {
        self.schedule(ANNOUNCEMENT, FleetEvent::ServerAnnounces { agent });
        let worker = &self.agents[agent].worker;
        let incarnation = worker.incarnation.clone();
        let clock = Some(worker.clock.read(self.now));
        self.handle_run_event(agent, RunEvent::Announced { incarnation, clock });
    }

    pub(super) fn send_heartbeat(&mut self, agent: usize, life: Life, entry: usize) {
        if self.agents[agent].life != life {
            return;
        }
        self.schedule(HEARTBEAT_CHECK, FleetEvent::Heartbeat { agent, life, entry });
        let node = &mut self.agents[agent];
        let earliest = node.latest_heartbeats[entry] + MIN_HEARTBEAT_INTERVAL;
        let renewal_due = node.machine.renewal_due(&format!("e-{entry}"));
        let due = renewal_due.unwrap_or(Duration::MAX).min(node.next_heartbeats[entry]);
        if node.machine.is_server_absent() || self.now < due.max(earliest) {
            return;
        }
        node.latest_heartbeats[entry] = self.now;
        node.next_heartbeats[entry] = self.now + FIRST_HEARTBEATS;
        let report = Box::new(self.build_report(agent, entry));
        self.send(entry, agent, FleetEvent::HeartbeatArrives { entry, agent, report });
    }

    fn build_report(&mut self, agent: usize, entry: usize) -> ServerReport {
        let now = self.now;
        let node = &mut self.agents[agent];
        node.sequence += 1;
        let entry = format!("e-{entry}");
        let load = node.machine.load_for(&entry);
        ServerReport {
            name: format!("a-{agent}").into(),
            incarnation: node.machine.incarnation(),
            sequence: node.sequence,
            address: agent.to_string().into(),
            domain: "d".into(),
            worker: "w".into(),
            services: vec!["s".into()],
            capacity: node.machine.capacity(),
            load_limit: node.machine.admission_slots(),
            load: load.load,
            own_load: load.own_load,
            is_leaving: node.machine.is_leaving(),
            clock: now,
            version: node.machine.version(),
            lost_tasks: node.machine.lost_tasks(),
            held_submissions: node.machine.held_submissions(&entry),
        }
    }

    pub(super) fn apply_directive(
        &mut self,
        agent: usize,
        life: Life,
        entry: usize,
        directive: AgentDirective,
        sent_at: Duration,
    ) {
        if self.agents[agent].life == life {
            self.agents[agent].next_heartbeats[entry] = self.now + directive.heartbeat_interval;
            self.handle_agent(agent, AgentEvent::Directive { directive, sent_at }, None);
        }
    }

    pub(super) fn receive_start(&mut self, agent: usize, sender: Sender, request: StartRequest) {
        let start = request.start_id();
        if !self.agents[agent].is_up {
            self.break_exchange(sender, start);
            return;
        }
        let entry = format!("e-{}", sender.entry).into();
        self.handle_agent(agent, AgentEvent::Start { entry, request }, Some((sender, start)));
    }

    pub(super) fn receive_query(
        &mut self,
        agent: usize,
        sender: Sender,
        start: StartId,
        sent_at: Duration,
    ) {
        if !self.agents[agent].is_up {
            self.break_exchange(sender, start);
            return;
        }
        let entry = format!("e-{}", sender.entry).into();
        let query = AgentEvent::Query { entry, start, sent_at };
        self.handle_agent(agent, query, Some((sender, start)));
    }

    pub(super) fn receive_cancel(&mut self, agent: usize, incarnation: u64, task: TaskId) {
        if self.agents[agent].is_up && self.agents[agent].life == incarnation {
            self.handle_agent(agent, AgentEvent::Cancel { task }, None);
        }
    }

    pub(super) fn receive_answer(&mut self, agent: usize, life: Life, answer: RunEvent) {
        if self.agents[agent].life == life {
            self.handle_run_event(agent, answer);
        }
    }

    fn handle_agent(
        &mut self,
        agent: usize,
        event: AgentEvent,
        exchange: Option<(Sender, StartId)>,
    ) {
        let now = self.moment();
        for action in self.agents[agent].machine.handle(event, now) {
            self.execute_agent_action(agent, exchange, action);
        }
    }

    fn execute_agent_action(
        &mut self,
        agent: usize,
        exchange: Option<(Sender, StartId)>,
        action: AgentAction,
    ) {
        match action {
            AgentAction::CheckDomain(_) => {
                let sent_at = self.moment().elapsed;
                let unanswered = AgentEvent::DomainChecked { reading: None, sent_at };
                self.handle_agent(agent, unanswered, None);
            }
            AgentAction::Run(request) => self.handle_run_event(agent, RunEvent::Run(request)),
            AgentAction::Stop { task } => self.handle_run_event(agent, RunEvent::Stop(task)),
            AgentAction::ReplyToSender { reply, .. } => {
                if let Some((sender, start)) = exchange {
                    self.reply(agent, sender, start, reply);
                }
            }
            AgentAction::ReplyToWaiters { task, reply, .. } => {
                let waiters = self.agents[agent].waiters.remove(&task).unwrap_or_default();
                for (sender, start) in waiters {
                    self.reply(agent, sender, start, reply.clone());
                }
            }
            AgentAction::AddWaiter { task } => {
                self.agents[agent].waiters.entry(task).or_default().extend(exchange);
            }
            AgentAction::RecordEvent(_) => {}
        }
    }

    fn reply(&mut self, agent: usize, sender: Sender, start: StartId, reply: TaskReply) {
        let Sender { entry, life } = sender;
        self.send(entry, agent, FleetEvent::StartReplied { entry, life, start, reply });
    }

    pub(super) fn handle_run_event(&mut self, agent: usize, event: RunEvent) {
        if !self.agents[agent].is_up {
            return;
        }
        let now = self.moment();
        let node = &mut self.agents[agent];
        let run_deadline = match self.lease_bound {
            LeaseBound::RunDeadline => node.machine.run_deadline(),
            LeaseBound::Missing => None,
        };
        for action in node.ledger.handle(event, run_deadline, now) {
            self.execute_run_action(agent, action);
        }
    }

    fn execute_run_action(&mut self, agent: usize, action: RunAction) {
        match action {
            RunAction::Start(call) => self.call_worker(agent, WorkerCall::Start(call)),
            RunAction::Stop(call) => self.call_worker(agent, WorkerCall::Stop(call)),
            RunAction::Poll(call) => self.call_worker(agent, WorkerCall::Poll(call)),
            RunAction::Finished { task, result, .. } => {
                self.handle_agent(agent, AgentEvent::Finished { task, result }, None);
            }
            RunAction::ServerReady(_) => {
                let capacity = ResourceAmounts::from_slots(SERVER_SLOTS);
                let availability = ServerAvailability { capacity, is_leaving: false };
                self.handle_agent(agent, AgentEvent::ServerAvailable(availability), None);
            }
            RunAction::Unresponsive => {
                self.handle_agent(agent, AgentEvent::ServerUnresponsive, None);
            }
            RunAction::Responsive => self.handle_agent(agent, AgentEvent::ServerResponsive, None),
            RunAction::IncarnationEnded { .. } => {
                self.handle_agent(agent, AgentEvent::ServerLost, None);
            }
            RunAction::RenewalWithheld => {}
        }
    }
}
