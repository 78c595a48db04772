//! World around the decision parts: processes, messages under way, the log and the operators.

use crate::fault::PlantedFault;
use crate::step::Step;
use bytes::Bytes;
use parsleyspool_core::agent::{AgentAction, AgentEvent, AgentLimits, AgentMachine, RunResult};
use parsleyspool_core::checker::{CheckGrace, ObservedEvent, Promise, PromiseBreach, check};
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, ConfigSubject, DomainOrder,
    RequestRule, ServiceSpec, TeamQuota,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    BrokenReach, EntryAction, EntryEvent, EntryIdentity, EntryLimits, EntryMachine, SentStart,
    StartOrder, StreamRead, TaskReply,
};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::job::{JobAnswer, JobRequest, TaskRequest};
use parsleyspool_core::time::{HybridClock, Moment};
use parsleyspool_core::timeline::{EventFigure, EventKind, TimelineEvent};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::fmt::Write as _;
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
    running: Vec<StartOrder>,
    inbox: Vec<(usize, AgentEvent)>,
}

/// Message under way.
#[derive(Clone)]
enum Message {
    Start {
        entry: usize,
        to: usize,
        order: StartOrder,
    },
    Ask {
        entry: usize,
        to: usize,
        start: SentStart,
        sent_at: Duration,
    },
    Reply {
        entry: usize,
        born: Duration,
        start: SentStart,
        reply: TaskReply,
    },
    Directive {
        to: usize,
        incarnation: u64,
        directive: parsleyspool_core::entry::AgentDirective,
        sent: Duration,
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

/// Figures of one or more worlds.
#[derive(Debug, Default, Clone, Copy)]
pub struct WorldFigures {
    submissions: usize,
    starts: usize,
    complete: usize,
    refused: usize,
    failed: usize,
    crashes: usize,
    lost: usize,
    doubled: usize,
}

impl WorldFigures {
    pub fn add(&mut self, other: &Self) {
        self.submissions += other.submissions;
        self.starts += other.starts;
        self.complete += other.complete;
        self.refused += other.refused;
        self.failed += other.failed;
        self.crashes += other.crashes;
        self.lost += other.lost;
        self.doubled += other.doubled;
    }
}

impl fmt::Display for WorldFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions={} starts={} complete={} refused={} failed={} crashes={} lost={} doubled={}",
            self.submissions,
            self.starts,
            self.complete,
            self.refused,
            self.failed,
            self.crashes,
            self.lost,
            self.doubled
        )
    }
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
    waiting: HashMap<TaskId, Vec<(usize, Duration, SentStart)>>,
    answers: HashMap<u64, usize>,
    tickets_of: HashMap<u64, u32>,
    events: Vec<ObservedEvent>,
    wrong_answers: Vec<(Promise, String)>,
    states: HashSet<u64>,
    figures: WorldFigures,
}

fn limits() -> EntryLimits {
    EntryLimits { attempts: 3, heartbeat: Duration::from_millis(500), ..EntryLimits::default() }
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
        let rule =
            |idempotent| RequestRule { idempotent, run_time: Duration::from_millis(50), slots: 1 };
        let requests =
            BTreeMap::from([("look".into(), rule(true)), ("redeem".into(), rule(false))]);
        let spec = ServiceSpec { team: "t".into(), deadline: Duration::from_secs(8), requests };
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
                AgentLimits { slots: 2, queue: 2, ..AgentLimits::default() },
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
                self.wrong_answers.push((Promise::WholeAnswer, text));
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
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let request: Arc<str> = if job.is_multiple_of(3) { "redeem".into() } else { "look".into() };
        let tasks = 1 + u32::from(job / 64);
        self.tickets_of.insert(ticket, tasks);
        let task = |index: u32| TaskRequest {
            request: request.clone(),
            payload: Bytes::from(format!("p{index}")),
        };
        let request = JobRequest {
            job: format!("j{}", job % 5).into(),
            team: "t".into(),
            service: "s".into(),
            deadline: Some(Duration::from_millis(2000 + 20 * u64::from(job))),
            created: Some(WALL_START),
            tasks: (0..tasks).map(task).collect(),
        };
        self.open_tickets.push((entry, ticket));
        self.tell_entry(entry, EntryEvent::Submit { ticket, request });
    }

    fn cancel(&mut self, which: u8) {
        if self.open_tickets.is_empty() {
            return;
        }
        let at = usize::from(which) % self.open_tickets.len();
        let (entry, ticket) = self.open_tickets.remove(at);
        self.tell_entry(entry, EntryEvent::Cancel { ticket });
    }

    fn tell_entry(&mut self, index: usize, event: EntryEvent) {
        if self.entries[index].is_paused {
            // A frozen process misses its ticks and finds everything else on its return.
            if !matches!(event, EntryEvent::Tick) {
                self.entries[index].inbox.push(event);
            }
            return;
        }
        let now = self.moment(self.entries[index].born);
        let actions = self.entries[index].machine.handle(event, now);
        for action in actions {
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, entry: usize, action: EntryAction) {
        let born = self.entries[entry].born;
        match action {
            EntryAction::Answer { ticket, answer, .. } => self.answer(ticket, &answer),
            EntryAction::Start { address, mut order } => {
                let to = agent_at(&address);
                if self.fault == PlantedFault::PermitsNeverEnd {
                    let agent_time = self.now - self.agents[to].born;
                    order.permit_until = agent_time + Duration::from_secs(9);
                }
                self.messages.push(Message::Start { entry, to, order });
            }
            EntryAction::Ask { address, start, sent_at } => {
                let to = agent_at(&address);
                let ask = Message::Ask { entry, to, start, sent_at };
                self.messages.push(ask);
            }
            EntryAction::CancelTask { address, task, .. } => {
                self.tell_agent(agent_at(&address), entry, AgentEvent::Cancel { task });
            }
            EntryAction::AppendClaims(steps) => {
                self.messages.push(Message::Claims { entry, born, steps });
            }
            EntryAction::AppendAccounts(_) => self.messages.push(Message::Accounts { entry, born }),
            EntryAction::AppendSnapshot(snapshot) => {
                if !self.is_cut_off(entry) {
                    self.append_config(ConfigRecord::Snapshot(snapshot));
                }
            }
            EntryAction::Note(event) => self.note_entry(entry, event),
        }
    }

    fn answer(&mut self, ticket: u64, answer: &JobAnswer) {
        *self.answers.entry(ticket).or_insert(0) += 1;
        if self.answers[&ticket] > 1 {
            let text = format!("ticket {ticket} was answered twice");
            self.wrong_answers.push((Promise::WholeAnswer, text));
        }
        self.open_tickets.retain(|(_, other)| *other != ticket);
        match answer {
            JobAnswer::Complete(answers) => {
                self.figures.complete += 1;
                let tasks = self.tickets_of[&ticket];
                let expected = (0..tasks).map(|index| Bytes::from(format!("p{index}")));
                if !answers.iter().cloned().eq(expected) {
                    let text = format!("ticket {ticket} got {answers:?}");
                    self.wrong_answers.push((Promise::OwnAnswer, text));
                }
            }
            JobAnswer::Failed(error) if error.not_run => self.figures.refused += 1,
            JobAnswer::Failed(_) => self.figures.failed += 1,
        }
    }

    fn note_entry(&mut self, entry: usize, event: TimelineEvent) {
        if self.fault == PlantedFault::AnswersDropped && event.kind == EventKind::TaskAnswered {
            return;
        }
        let now = self.moment(self.entries[entry].born);
        let process = &mut self.entries[entry];
        let stamp = process.clock.tick(now);
        let incarnation = process.machine.identity().incarnation;
        let (name, domain) = (process.name.clone(), domain_of(entry));
        let event = TimelineEvent { stamp, ..event };
        self.events.push(ObservedEvent { process: name, incarnation, domain, event });
    }

    fn tell_agent(&mut self, index: usize, from: usize, event: AgentEvent) {
        if self.agents[index].is_paused {
            if !matches!(event, AgentEvent::Tick) {
                self.agents[index].inbox.push((from, event));
            }
            return;
        }
        let asked = match &event {
            AgentEvent::Start { order, .. } => Some(order.sent_start()),
            AgentEvent::Ask { start, .. } => Some(*start),
            _ => None,
        };
        let now = self.moment(self.agents[index].born);
        let actions = self.agents[index].machine.handle(event, now);
        for action in actions {
            self.carry_out_agent(index, from, asked, action);
        }
    }

    fn carry_out_agent(
        &mut self,
        index: usize,
        from: usize,
        asked: Option<SentStart>,
        action: AgentAction,
    ) {
        match action {
            AgentAction::Run(order) => self.agents[index].running.push(order),
            AgentAction::Respond { reply, .. } => {
                let Some(start) = asked else { return };
                self.reply(from, self.entries[from].born, start, reply);
            }
            AgentAction::Reply { task, reply, .. } => {
                for (entry, born, start) in self.waiting.remove(&task).unwrap_or_default() {
                    self.reply(entry, born, start, reply.clone());
                }
            }
            AgentAction::Wait { task } => {
                let Some(start) = asked else { return };
                let born = self.entries[from].born;
                self.waiting.entry(task).or_default().push((from, born, start));
            }
            AgentAction::Note(event) => {
                let now = self.moment(self.agents[index].born);
                let agent = &mut self.agents[index];
                let event = TimelineEvent { stamp: agent.clock.tick(now), ..event };
                self.events.push(ObservedEvent {
                    process: agent.name.clone(),
                    incarnation: agent.machine.incarnation(),
                    domain: agent.domain.clone(),
                    event,
                });
            }
        }
    }

    fn reply(&mut self, entry: usize, born: Duration, mut start: SentStart, reply: TaskReply) {
        if self.fault == PlantedFault::AnswersSwapped && matches!(reply, TaskReply::Done { .. }) {
            start.task.index ^= 1;
        }
        self.messages.push(Message::Reply { entry, born, start, reply });
    }

    fn deliver(&mut self, which: u8, is_kept: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::from(which) % self.messages.len();
        let message = self.messages[at].clone();
        let may_double = matches!(message, Message::Start { .. } | Message::Reply { .. });
        if is_kept && may_double {
            self.figures.doubled += 1;
        } else {
            self.messages.remove(at);
        }
        self.arrive(message);
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Start { entry, to, order } => {
                let name = self.entries[entry].name.clone();
                self.tell_agent(to, entry, AgentEvent::Start { entry: name, order });
            }
            Message::Ask { entry, to, start, sent_at } => {
                let name = self.entries[entry].name.clone();
                let ask = AgentEvent::Ask { entry: name, start, sent_at };
                self.tell_agent(to, entry, ask);
            }
            Message::Reply { entry, born, start, reply } => {
                if self.entries[entry].born == born {
                    let load = None;
                    let event = EntryEvent::Reply { start, reply, load };
                    self.tell_entry(entry, event);
                }
            }
            Message::Directive { to, incarnation, directive, sent } => {
                if self.agents[to].machine.incarnation() == incarnation {
                    self.tell_agent(to, 0, AgentEvent::Directive { directive, sent });
                }
            }
            Message::Claims { entry, born, steps } => {
                let is_away = self.is_cut_off(entry);
                if !is_away {
                    self.claims.push(steps);
                }
                if self.entries[entry].born == born {
                    let event = EntryEvent::ClaimsAppended { is_confirmed: !is_away };
                    self.tell_entry(entry, event);
                }
            }
            Message::Accounts { entry, born } => {
                let is_confirmed = !self.is_cut_off(entry);
                if self.entries[entry].born == born {
                    self.tell_entry(entry, EntryEvent::AccountsAppended { is_confirmed });
                }
            }
        }
    }

    fn lose(&mut self, which: u8, is_noticed: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::from(which) % self.messages.len();
        self.figures.lost += 1;
        match self.messages.remove(at) {
            Message::Start { entry, order, .. } if is_noticed => {
                self.notice_break(entry, order.sent_start());
            }
            Message::Reply { entry, born, start, .. }
                if is_noticed && self.entries[entry].born == born =>
            {
                self.notice_break(entry, start);
            }
            Message::Claims { entry, born, steps } => {
                // The answer is lost after the append took effect.
                if !self.is_cut_off(entry) {
                    self.claims.push(steps);
                }
                if self.entries[entry].born == born {
                    let event = EntryEvent::ClaimsAppended { is_confirmed: false };
                    self.tell_entry(entry, event);
                }
            }
            Message::Accounts { entry, born } if self.entries[entry].born == born => {
                self.tell_entry(entry, EntryEvent::AccountsAppended { is_confirmed: false });
            }
            _ => {}
        }
    }

    fn notice_break(&mut self, entry: usize, start: SentStart) {
        let reach = match self.fault {
            PlantedFault::BreaksCountAsUnsent => BrokenReach::NothingSent,
            _ => BrokenReach::MaybeSent,
        };
        self.tell_entry(entry, EntryEvent::Broken { start, reach });
    }

    fn finish(&mut self, which: u8, is_good: bool) {
        let busy: Vec<usize> =
            (0..AGENTS).filter(|&index| !self.agents[index].running.is_empty()).collect();
        if busy.is_empty() {
            return;
        }
        let agent = busy[usize::from(which) % busy.len()];
        let run = usize::from(which / 16) % self.agents[agent].running.len();
        self.end_run(agent, run, is_good);
    }

    fn end_run(&mut self, agent: usize, run: usize, is_good: bool) {
        let order = self.agents[agent].running.remove(run);
        let result = if is_good { RunResult::Answered(order.payload) } else { RunResult::Failed };
        let event = AgentEvent::Finished { task: order.task, result };
        self.tell_agent(agent, 0, event);
    }

    fn restart_agent(&mut self, index: usize) {
        self.figures.crashes += 1;
        let incarnation = self.agents[index].machine.incarnation();
        let mut agent = self.new_agent(index);
        if self.fault == PlantedFault::AgentForgets {
            let limits = AgentLimits { slots: 2, queue: 2, ..AgentLimits::default() };
            agent.machine = AgentMachine::new(incarnation, limits);
            agent.born = self.agents[index].born;
            agent.sequence = self.agents[index].sequence;
        }
        self.agents[index] = agent;
    }

    fn restart_entry(&mut self, index: usize) {
        self.figures.crashes += 1;
        self.entries[index] = self.new_entry(index);
        self.open_tickets.retain(|(entry, _)| *entry != index);
    }

    fn toggle_pause(&mut self, which: usize) {
        let which = which % (ENTRIES + AGENTS);
        if which < ENTRIES {
            let entry = &mut self.entries[which];
            entry.is_paused = !entry.is_paused;
            if !entry.is_paused {
                for event in std::mem::take(&mut entry.inbox) {
                    self.tell_entry(which, event);
                }
            }
            return;
        }
        let index = which - ENTRIES;
        let agent = &mut self.agents[index];
        agent.is_paused = !agent.is_paused;
        if !agent.is_paused {
            for (from, event) in std::mem::take(&mut agent.inbox) {
                self.tell_agent(index, from, event);
            }
        }
    }

    fn greet(&mut self, agent: usize, entry: usize) {
        if self.agents[agent].is_paused || self.entries[entry].is_paused {
            return;
        }
        let now = self.moment(self.agents[agent].born);
        let name = self.entries[entry].name.clone();
        let process = &mut self.agents[agent];
        process.sequence += 1;
        let load = process.machine.load_for(&name);
        let report = ServerReport {
            name: process.name.clone(),
            incarnation: process.machine.incarnation(),
            sequence: process.sequence,
            address: format!("{agent}").into(),
            domain: process.domain.clone(),
            worker: "w".into(),
            services: vec!["s".into()],
            slots: 2,
            room: process.machine.room(),
            load: load.load,
            own: load.own,
            is_leaving: process.machine.is_leaving(),
            clock: now.elapsed,
            version: process.machine.version(),
        };
        let (name, domain, incarnation) =
            (process.name.clone(), process.domain.clone(), process.machine.incarnation());
        self.tell_entry(entry, EntryEvent::Report(report));
        let entry_now = self.moment(self.entries[entry].born);
        let mut directive = self.entries[entry].machine.directive(&name, &domain, entry_now);
        if self.fault == PlantedFault::PermitsNeverEnd {
            directive.valid_for = Duration::from_secs(100);
            directive.is_in_service = true;
            directive.is_leaving = false;
        }
        let sent = now.elapsed;
        self.messages.push(Message::Directive { to: agent, incarnation, directive, sent });
    }

    fn operate_some(&mut self, which: u8) {
        let domain: Arc<str> = format!("d{}", usize::from(which / 4) % DOMAINS).into();
        let server: Arc<str> = format!("a{}", usize::from(which / 4) % AGENTS).into();
        let change = match which % 4 {
            0 => ConfigChange::OrderDomain { domain, order: DomainOrder::OutOfService },
            1 => ConfigChange::OrderDomain { domain, order: DomainOrder::InService },
            2 => ConfigChange::LeaveServer { server },
            _ => ConfigChange::RejoinServer { server },
        };
        if !self.is_log_away {
            self.operate(change);
        }
    }

    fn operate(&mut self, change: ConfigChange) {
        let subject = change.subject();
        let base = self.operators.configuration().subject_version(&subject);
        // A second operator races with what the first one saw.
        let is_racing = self.next_change.is_multiple_of(7) && subject != ConfigSubject::Electorate;
        let base = if is_racing { base.saturating_sub(1) } else { base };
        let id = self.next_change;
        self.next_change += 1;
        let record = ChangeRecord { id, operator: "o".to_owned(), base, change };
        self.append_config(ConfigRecord::Change(record));
    }

    fn append_config(&mut self, record: ConfigRecord) {
        let offset = self.config.len() as u64;
        self.operators.apply(offset, record.clone());
        self.config.push(record);
    }

    fn toggle_log(&mut self, which: u8) {
        match usize::from(which) % (ENTRIES + 1) {
            0 => self.is_log_away = !self.is_log_away,
            other => {
                let entry = &mut self.entries[other - 1];
                entry.is_cut_off = !entry.is_cut_off;
            }
        }
    }

    fn is_cut_off(&self, entry: usize) -> bool {
        self.is_log_away || self.entries[entry].is_cut_off
    }

    fn read(&mut self, entry: usize) {
        if self.is_cut_off(entry) || self.entries[entry].is_paused {
            return;
        }
        let sent = self.now - self.entries[entry].born;
        self.entries[entry].reads += 1;
        if self.fault == PlantedFault::LedgerReset && self.entries[entry].reads.is_multiple_of(4) {
            let old = self.config.first().cloned().expect("a first record");
            let mut ledger = ConfigLedger::new();
            ledger.apply(0, old);
            let version = ledger.configuration().version;
            let event = TimelineEvent::new(EventKind::ConfigApplied);
            self.note_entry(entry, event.figure(EventFigure::Version(version)));
        }
        let from = self.entries[entry].machine.ledger().next_offset().max(self.config_earliest);
        let records = (from..).zip(self.config[from as usize..].iter().cloned());
        let read = StreamRead {
            records: records.collect(),
            earliest: self.config_earliest,
            is_end: true,
            sent,
        };
        self.tell_entry(entry, EntryEvent::ConfigRead(read));
        let from = self.entries[entry].machine.next_claim_offset();
        let records = (from..).zip(self.claims[from as usize..].iter().cloned());
        let records = records.map(|(offset, steps)| (offset, self.visible_claims(entry, steps)));
        let read = StreamRead { records: records.collect(), earliest: 0, is_end: true, sent };
        self.tell_entry(entry, EntryEvent::ClaimRead(read));
    }

    /// Claims that a read returns; the planted fault hides those of other entries.
    fn visible_claims(&self, entry: usize, steps: Vec<ClaimStep>) -> Vec<ClaimStep> {
        if self.fault != PlantedFault::ClaimsForgotten {
            return steps;
        }
        let own = self.entries[entry].machine.identity().incarnation;
        let is_own = |step: &ClaimStep| match step {
            ClaimStep::Claim { submission, .. } | ClaimStep::Release { submission, .. } => {
                submission >> 64 == u128::from(own)
            }
        };
        steps.into_iter().filter(is_own).collect()
    }

    fn talk(&mut self, asker: usize, other: usize) {
        let is_frozen = self.entries[asker].is_paused || self.entries[other].is_paused;
        if asker == other || is_frozen {
            return;
        }
        let asked = self.now - self.entries[asker].born;
        let now = self.moment(self.entries[other].born);
        let machine = &self.entries[other].machine;
        let report = machine.peer_report(now);
        let team_load = machine.team_load().iter();
        let team_load = team_load.map(|(team, open)| (team.clone(), *open)).collect();
        let held = self.entries[asker].machine.ledger().configuration().version;
        let snapshot = machine.ledger().snapshot().filter(|_| report.version > held);
        if let Some(snapshot) = snapshot {
            self.tell_entry(asker, EntryEvent::PeerSnapshot(snapshot));
        }
        self.tell_entry(asker, EntryEvent::Peer { report, team_load, asked });
    }

    fn trim(&mut self) {
        if let Some(snapshot) = self.operators.snapshot().filter(|_| !self.is_log_away) {
            self.append_config(ConfigRecord::Snapshot(snapshot));
            self.config_earliest = self.config.len() as u64 - 1;
        }
    }

    fn stop(&mut self, which: usize) {
        let index = which % AGENTS;
        if self.agents[index].is_paused {
            return;
        }
        self.tell_agent(index, 0, AgentEvent::Drain);
        let mut unfinished = 0;
        if self.fault == PlantedFault::StopCutsWork {
            unfinished = self.agents[index].running.len() as u64;
        } else {
            while !self.agents[index].running.is_empty() {
                self.end_run(index, 0, true);
            }
        }
        let event = TimelineEvent::new(EventKind::ProcessStopped);
        let event = event.figure(EventFigure::Unfinished(unfinished));
        let asked = None;
        self.carry_out_agent(index, 0, asked, AgentAction::Note(event));
        self.restart_agent(index);
    }

    fn note_state(&mut self) {
        let mut hasher = DefaultHasher::new();
        for entry in &self.entries {
            let gauges = entry.machine.gauges();
            (gauges.jobs, gauges.queued, gauges.held, entry.is_paused).hash(&mut hasher);
            format!("{:?}", std::mem::discriminant(&entry.machine.verdict())).hash(&mut hasher);
            entry.machine.ledger().configuration().version.hash(&mut hasher);
        }
        for agent in &self.agents {
            (agent.machine.held(), agent.running.len(), agent.is_paused).hash(&mut hasher);
            agent.machine.version().hash(&mut hasher);
        }
        (self.messages.len(), self.claims.len(), self.is_log_away).hash(&mut hasher);
        self.states.insert(hasher.finish());
    }

    pub fn states(&self) -> impl Iterator<Item = u64> + '_ {
        self.states.iter().copied()
    }

    pub fn figures(&self) -> WorldFigures {
        let report = check(&self.events, CheckGrace::default());
        WorldFigures { submissions: report.submissions, starts: report.starts, ..self.figures }
    }

    pub fn breaches(&self) -> Vec<PromiseBreach> {
        let mut breaches = check(&self.events, CheckGrace::default()).breaches;
        let wrong = self.wrong_answers.iter().map(|(promise, text)| PromiseBreach {
            promise: *promise,
            process: "world".into(),
            stamp: parsleyspool_core::time::Stamp::default(),
            text: text.clone(),
        });
        breaches.extend(wrong);
        breaches
    }

    /// Events of the run, one a line.
    pub fn story(&self) -> String {
        let mut events: Vec<&ObservedEvent> = self.events.iter().collect();
        events.sort_by_key(|observed| observed.event.stamp);
        let mut story = String::new();
        for observed in events {
            let at = observed.event.stamp.wall_us / 1000 - 1_000_000_000;
            let _ = writeln!(story, "{at} {} {}", observed.process, observed.event);
        }
        story
    }
}

fn agent_at(address: &str) -> usize {
    address.parse().expect("agents are addressed by number")
}
