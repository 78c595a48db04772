//! Events of the fleet, in the order of their times.

use super::callers::JobIndex;
use super::faults::FleetFault;
use super::worker_model::WorkerCall;
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{AgentDirective, StartId, StartRequest, TaskReply};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::run::{PollNumber, RunEvent, RunKey};
use std::cmp::Ordering;
use std::time::Duration;

/// Number of starts of a process; messages for an earlier life are dropped.
pub type Life = u64;

/// Entry that expects a reply, and its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    pub entry: usize,
    pub life: Life,
}

#[derive(Debug)]
pub enum FleetEvent {
    EntryStarts {
        entry: usize,
    },
    EntryTick {
        entry: usize,
        life: Life,
    },
    HeartbeatArrives {
        entry: usize,
        agent: usize,
        report: Box<ServerReport>,
    },
    StartReplied {
        entry: usize,
        life: Life,
        start: StartId,
        reply: TaskReply,
    },
    StartUnanswered {
        entry: usize,
        life: Life,
        start: StartId,
    },
    AgentStarts {
        agent: usize,
    },
    AgentTick {
        agent: usize,
        life: Life,
    },
    Heartbeat {
        agent: usize,
        life: Life,
        entry: usize,
    },
    DirectiveArrives {
        agent: usize,
        life: Life,
        entry: usize,
        directive: Box<AgentDirective>,
        sent_at: Duration,
    },
    StartArrives {
        agent: usize,
        sender: Sender,
        request: Box<StartRequest>,
    },
    QueryArrives {
        agent: usize,
        sender: Sender,
        start: StartId,
        sent_at: Duration,
    },
    CancelArrives {
        agent: usize,
        incarnation: u64,
        task: TaskId,
    },
    AnswerArrives {
        agent: usize,
        life: Life,
        answer: RunEvent,
    },
    ServerAnnounces {
        agent: usize,
    },
    CallArrives {
        agent: usize,
        life: Life,
        call: WorkerCall,
    },
    LateCall {
        agent: usize,
        call: WorkerCall,
    },
    PollDue {
        agent: usize,
        life: Life,
        number: PollNumber,
    },
    RunFinishes {
        agent: usize,
        key: RunKey,
    },
    Submitted {
        job: JobIndex,
    },
    CallerLeaves {
        job: JobIndex,
        submission: usize,
    },
    Fault(FleetFault),
}

/// Process that handles an event.
#[derive(Debug, Clone, Copy)]
pub enum EventProcess {
    Entry(usize),
    Agent(usize),
}

impl FleetEvent {
    /// Process that handles the event; `None` if it is one of callers, workers or faults.
    pub fn process(&self) -> Option<EventProcess> {
        match self {
            Self::EntryTick { entry, .. }
            | Self::HeartbeatArrives { entry, .. }
            | Self::StartReplied { entry, .. }
            | Self::StartUnanswered { entry, .. } => Some(EventProcess::Entry(*entry)),
            Self::AgentTick { agent, .. }
            | Self::Heartbeat { agent, .. }
            | Self::DirectiveArrives { agent, .. }
            | Self::StartArrives { agent, .. }
            | Self::QueryArrives { agent, .. }
            | Self::CancelArrives { agent, .. }
            | Self::AnswerArrives { agent, .. }
            | Self::ServerAnnounces { agent } => Some(EventProcess::Agent(*agent)),
            Self::EntryStarts { .. }
            | Self::AgentStarts { .. }
            | Self::CallArrives { .. }
            | Self::LateCall { .. }
            | Self::PollDue { .. }
            | Self::RunFinishes { .. }
            | Self::Submitted { .. }
            | Self::CallerLeaves { .. }
            | Self::Fault(_) => None,
        }
    }
}

/// Event with its time; events of the same time keep the order in which they were scheduled.
#[derive(Debug)]
pub struct ScheduledEvent {
    pub at: Duration,
    pub order: u64,
    pub event: FleetEvent,
}

impl ScheduledEvent {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.order)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}
