//! Entries, agents and workers that grant leases, over simulated time, with callers that submit a job
//! again once its entry is lost.
//!
//! A seed determines the jobs, the delays and the faults. What must hold is seen at the workers: no two
//! runs of one task are in progress at the same time, whatever the processes believe.

mod agent_node;
mod callers;
mod entry_node;
mod event;
mod faults;
mod run_record;
mod worker_calls;
#[path = "../runs/worker_model.rs"]
mod worker_model;

pub use faults::FleetFault;
pub use run_record::RunOverlap;

use agent_node::AgentNode;
use callers::CallerJob;
use entry_node::EntryNode;
use event::{FleetEvent, ScheduledEvent};
use faults::{LateCommands, Link};
use parsleyspool_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use run_record::RunRecord;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Time in which the agents become known, before the first job.
const LEAD: Duration = Duration::from_secs(3);
/// Time in which jobs are submitted and faults injected.
const ACTIVE_TIME: Duration = Duration::from_secs(8);
/// Time after it in which the last jobs end.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Interval at which the workers end runs.
const PULSE: Duration = Duration::from_millis(5);
/// Time that a message takes from one process to another, in milliseconds.
const MESSAGE_DELAY_MS: std::ops::Range<u64> = 1..4;
const WALL_CLOCK_AT_ZERO: Duration = Duration::from_secs(1_000_000);

/// How agents bound the leases of their runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseBound {
    /// By the time at which the first run must be over.
    RunDeadline,
    /// Not at all; a planted fault.
    Missing,
}

/// Heartbeats that an entry admits from all agents, in a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatRate {
    /// As many as these few agents send.
    Ample,
    /// So few that each agent sends one every two seconds, as in a fleet of 300 agents.
    Scarce,
}

impl HeartbeatRate {
    fn per_second(self) -> u32 {
        match self {
            Self::Ample => 150,
            Self::Scarce => 2,
        }
    }
}

/// Simulated processes and workers.
pub struct Fleet {
    lease_bound: LeaseBound,
    heartbeat_rate: HeartbeatRate,
    random: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    event_count: u64,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    links: [[Link; AGENTS]; ENTRIES],
    late_commands: Option<LateCommands>,
    jobs: Vec<CallerJob>,
    next_incarnation: u64,
    runs: RunRecord,
    /// Faults in the order in which they were injected.
    faults: Vec<(Duration, FleetFault)>,
}

impl Fleet {
    /// Plays the schedule of a seed.
    pub fn play(seed: u64, lease_bound: LeaseBound, heartbeat_rate: HeartbeatRate) -> Self {
        let mut fleet = Self {
            lease_bound,
            heartbeat_rate,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            events: BinaryHeap::new(),
            event_count: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            links: [[Link::default(); AGENTS]; ENTRIES],
            late_commands: None,
            jobs: Vec::new(),
            next_incarnation: 0,
            runs: RunRecord::default(),
            faults: Vec::new(),
        };
        fleet.start_processes();
        fleet.plan_jobs();
        fleet.plan_faults();
        fleet.run_until(fleet.now + LEAD + ACTIVE_TIME + SETTLING_TIME);
        fleet
    }

    /// Runs of one task that were in progress at the same time.
    pub fn overlaps(&self) -> &[RunOverlap] {
        self.runs.overlaps()
    }

    /// Number of runs that began.
    pub fn run_count(&self) -> usize {
        self.runs.count()
    }

    /// Faults with the times at which they were injected.
    pub fn faults(&self) -> &[(Duration, FleetFault)] {
        &self.faults
    }

    fn start_processes(&mut self) {
        for index in 0..ENTRIES {
            let node = self.new_entry(index);
            self.entries.push(node);
        }
        for index in 0..AGENTS {
            let node = self.new_agent(index);
            self.agents.push(node);
        }
        for index in 0..ENTRIES {
            self.begin_entry(index);
        }
        for index in 0..AGENTS {
            self.begin_agent(index);
            self.announce_server(index);
        }
    }

    fn allocate_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn moment(&self) -> Moment {
        Moment::new(self.now, WALL_CLOCK_AT_ZERO + self.now)
    }

    fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.event_count += 1;
        let order = self.event_count;
        self.events.push(Reverse(ScheduledEvent { at: self.now + delay, order, event }));
    }

    /// Sends a message between an entry and an agent, unless their link is cut.
    fn send(&mut self, entry: usize, agent: usize, message: FleetEvent) {
        let link = self.links[entry][agent];
        if !link.is_cut(self.now) {
            let delay = Duration::from_millis(self.random.random_range(MESSAGE_DELAY_MS));
            let further = link.longest_delay(self.now).mul_f64(self.random.random_range(0.0..1.0));
            self.schedule(delay + further, message);
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            let pulse_end = self.now + PULSE;
            while let Some(Reverse(next)) = self.events.peek()
                && next.at <= pulse_end
            {
                let Some(Reverse(next)) = self.events.pop() else { break };
                self.now = self.now.max(next.at);
                self.execute(next.event);
            }
            self.now = pulse_end;
            self.expire_leases();
        }
    }

    fn execute(&mut self, event: FleetEvent) {
        if let Some(resumes_at) = self.frozen_until(&event) {
            self.schedule(resumes_at - self.now, event);
            return;
        }
        match event {
            FleetEvent::EntryTick { entry, life } => self.tick_entry(entry, life),
            FleetEvent::Heartbeat { agent, life, entry } => {
                self.send_heartbeat(agent, life, entry);
            }
            FleetEvent::HeartbeatArrives { entry, agent, report } => {
                self.answer_heartbeat(entry, agent, &report);
            }
            FleetEvent::StartReplied { entry, life, start, reply } => {
                self.deliver_reply(entry, life, start, reply);
            }
            FleetEvent::StartUnanswered { entry, life, start } => {
                self.deliver_no_reply(entry, life, start);
            }
            FleetEvent::CallerLeaves { job, submission } => self.leave(job, submission),
            FleetEvent::Submitted { job } => self.submit(job),
            FleetEvent::AgentTick { agent, life } => self.tick_agent(agent, life),
            FleetEvent::DirectiveArrives { agent, life, entry, directive, sent_at } => {
                self.apply_directive(agent, life, entry, *directive, sent_at);
            }
            FleetEvent::StartArrives { agent, sender, request } => {
                self.receive_start(agent, sender, *request);
            }
            FleetEvent::QueryArrives { agent, sender, start, sent_at } => {
                self.receive_query(agent, sender, start, sent_at);
            }
            FleetEvent::CancelArrives { agent, incarnation, task } => {
                self.receive_cancel(agent, incarnation, task);
            }
            FleetEvent::ServerAnnounces { agent } => self.announce_server(agent),
            FleetEvent::CallArrives { agent, life, call } => self.receive_call(agent, life, call),
            FleetEvent::LateCall { agent, call } => self.execute_late_call(agent, &call),
            FleetEvent::PollDue { agent, life, number } => self.answer_poll(agent, life, number),
            FleetEvent::AnswerArrives { agent, life, answer } => {
                self.receive_answer(agent, life, answer);
            }
            FleetEvent::RunFinishes { agent, key } => self.finish_run(agent, &key),
            FleetEvent::Fault(fault) => self.inject(fault),
            FleetEvent::EntryStarts { entry } => self.begin_entry(entry),
            FleetEvent::AgentStarts { agent } => self.begin_agent(agent),
        }
    }

    /// When the process that handles `event` resumes, if it stands still.
    fn frozen_until(&self, event: &FleetEvent) -> Option<Duration> {
        let resumes_at = match event.process()? {
            event::EventProcess::Entry(index) => self.entries[index].frozen_until,
            event::EventProcess::Agent(index) => self.agents[index].frozen_until,
        };
        (self.now < resumes_at).then_some(resumes_at)
    }
}
