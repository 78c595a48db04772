//! Entries of the fleet.

use super::event::{FleetEvent, Life, Sender};
use super::{AGENTS, Fleet, HeartbeatRate};
use parsleyspool_core::config::{ConfigSnapshot, Configuration, RequestRule, ServiceSpec};
use parsleyspool_core::directory::{DirectoryLimits, QuarantinePolicy, ServerReport};
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryIdentity, EntryLimits, EntryMachine, ExchangeFailure, StartId,
    TaskReply,
};
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
/// Time for which a process must have stood still to notice it.
const MAX_EVENT_GAP: Duration = Duration::from_secs(1);
/// Time in which an entry that is killed does not answer a connection.
const REFUSAL_DELAY: Duration = Duration::from_millis(1);

pub struct EntryNode {
    pub machine: EntryMachine,
    pub life: Life,
    pub is_up: bool,
    pub frozen_until: Duration,
    /// Events received while the process stands still.
    inbox: Vec<EntryEvent>,
    last_event_at: Duration,
}

/// Limits of the deploy file, with this rate of heartbeats.
fn entry_limits(heartbeat_rate: HeartbeatRate) -> EntryLimits {
    let quarantine = QuarantinePolicy { failures_in_row: 4, ..QuarantinePolicy::default() };
    EntryLimits {
        max_attempts: 100,
        retry_ratio: 1.0,
        status_query_after: Duration::from_millis(150),
        lease: Duration::from_secs(3),
        serves_unconfirmed: true,
        run_lease: Duration::from_millis(900),
        run_lapse: Duration::from_millis(1_250),
        heartbeat: Duration::from_millis(300),
        heartbeats_per_second: heartbeat_rate.per_second(),
        directory: DirectoryLimits {
            silent_after: Duration::from_millis(900),
            quarantine,
            ..DirectoryLimits::default()
        },
        ..EntryLimits::default()
    }
}

fn configuration() -> ConfigSnapshot {
    let rule = RequestRule { idempotent: true, max_failures: 3, ..RequestRule::default() };
    let requests = BTreeMap::from([("look".into(), rule)]);
    let default_deadline = Duration::from_secs(8);
    let spec = ServiceSpec { team: "t".into(), default_deadline, requests };
    let services = BTreeMap::from([("s".into(), spec)]);
    ConfigSnapshot { configuration: Configuration { version: 1, services, ..Default::default() } }
}

fn agent_index(address: &str) -> usize {
    address.parse().expect("the address of an agent is its index")
}

impl Fleet {
    pub(super) fn new_entry(&mut self, index: usize) -> EntryNode {
        let incarnation = self.allocate_incarnation();
        let name = format!("e-{index}").into();
        let identity = EntryIdentity { name, incarnation, domain: "d".into(), rank: 0 };
        EntryNode {
            machine: EntryMachine::new(identity, entry_limits(self.heartbeat_rate), incarnation),
            life: incarnation,
            is_up: false,
            frozen_until: Duration::ZERO,
            inbox: Vec::new(),
            last_event_at: self.now,
        }
    }

    pub(super) fn begin_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        node.is_up = true;
        node.last_event_at = self.now;
        let life = node.life;
        let snapshot = Some(configuration());
        self.handle_entry(entry, EntryEvent::ConfigFetched { snapshot, requested_at: self.now });
        self.schedule(TICK, FleetEvent::EntryTick { entry, life });
    }

    pub(super) fn kill_entry(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry(entry);
        self.break_connections(entry);
    }

    pub(super) fn tick_entry(&mut self, entry: usize, life: Life) {
        if self.entries[entry].life != life {
            return;
        }
        self.handle_entry(entry, EntryEvent::Tick);
        self.schedule(TICK, FleetEvent::EntryTick { entry, life });
    }

    /// Delivers an event now, or once the process goes on if it stands still.
    pub(super) fn deliver_to_entry(&mut self, entry: usize, event: EntryEvent) {
        if self.now < self.entries[entry].frozen_until {
            self.entries[entry].inbox.push(event);
        } else {
            self.handle_entry(entry, event);
        }
    }

    /// Handles an event, after those that arrived while the process stood still.
    fn handle_entry(&mut self, entry: usize, event: EntryEvent) {
        let node = &mut self.entries[entry];
        if !node.is_up {
            return;
        }
        let has_stood_still = self.now > node.last_event_at + MAX_EVENT_GAP;
        let inbox = std::mem::take(&mut node.inbox);
        let resumed = has_stood_still.then_some(EntryEvent::Resumed);
        for event in resumed.into_iter().chain(inbox).chain([event]) {
            self.entries[entry].last_event_at = self.now;
            let now = self.moment();
            for action in self.entries[entry].machine.handle(event, now) {
                self.execute_entry_action(entry, action);
            }
        }
    }

    fn execute_entry_action(&mut self, entry: usize, action: EntryAction) {
        let sender = Sender { entry, life: self.entries[entry].life };
        match action {
            EntryAction::Answer { waiter_id, answer, .. } => {
                self.receive_job_answer(waiter_id, &answer);
            }
            EntryAction::Start { address, request, .. } => {
                let agent = agent_index(&address);
                let request = Box::new(request);
                let start = FleetEvent::StartArrives { agent, sender, request };
                self.send_pooled(entry, agent, start);
            }
            EntryAction::QueryStatus { address, start, sent_at } => {
                let agent = agent_index(&address);
                let query = FleetEvent::QueryArrives { agent, sender, start, sent_at };
                self.send(entry, agent, query);
            }
            EntryAction::CancelTask { address, task, incarnation } => {
                let agent = agent_index(&address);
                let cancel = FleetEvent::CancelArrives { agent, incarnation, task };
                self.send_pooled(entry, agent, cancel);
            }
            _ => {}
        }
    }

    /// Sends a message over an existing connection, which may be silent.
    fn send_pooled(&mut self, entry: usize, agent: usize, message: FleetEvent) {
        if !self.links[entry][agent].is_silent(self.now) {
            self.send(entry, agent, message);
        }
    }

    /// Handles a heartbeat and answers it.
    pub(super) fn answer_heartbeat(&mut self, entry: usize, agent: usize, report: &ServerReport) {
        if !self.entries[entry].is_up {
            return;
        }
        let (sent_at, life) = (report.clock, report.incarnation);
        self.handle_entry(entry, EntryEvent::Heartbeat(report.clone()));
        let directive = self.entries[entry].machine.directive(report, self.moment());
        let directive = Box::new(directive);
        let directive = FleetEvent::DirectiveArrives { agent, life, entry, directive, sent_at };
        self.send(entry, agent, directive);
    }

    pub(super) fn deliver_reply(
        &mut self,
        entry: usize,
        life: Life,
        start: StartId,
        reply: TaskReply,
    ) {
        if self.entries[entry].life == life {
            self.handle_entry(entry, EntryEvent::Reply { start, reply, load: None });
        }
    }

    pub(super) fn deliver_no_reply(&mut self, entry: usize, life: Life, start: StartId) {
        if self.entries[entry].life == life {
            let failure = ExchangeFailure::MaybeSent;
            self.handle_entry(entry, EntryEvent::NoReply { start, failure });
        }
    }

    /// The exchange about `start` breaks, as the agent is down.
    pub(super) fn break_exchange(&mut self, sender: Sender, start: StartId) {
        let Sender { entry, life } = sender;
        self.schedule(REFUSAL_DELAY, FleetEvent::StartUnanswered { entry, life, start });
    }

    /// Indexes of all agents.
    pub(super) fn agent_indexes() -> std::ops::Range<usize> {
        0..AGENTS
    }
}
