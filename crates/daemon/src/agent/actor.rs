//! Actor that owns the decisions of an agent.

use super::AgentShared;
use super::runs::{DriveRuns, RunDesk};
use crate::interfaces::TaskRunner;
use parsleyspool_core::agent::{AgentAction, AgentEvent, AgentMachine};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{AgentDirective, LoadReport, StartRequest, TaskReply};
use parsleyspool_core::id::{DomainName, EntryName, ServiceName, TaskId, WorkerName};
use parsleyspool_core::run::{RunEvent, RunLedger};
use parsleyspool_wire::operator::StatusBody;
use parsleyspool_wire::peer::{StatusQueryMessage, TaskReplyMessage};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::WeakAddress;
use xtra::prelude::*;

/// Time between two ticks of the decision part.
const TICK: Duration = Duration::from_millis(100);

type ReplySender = oneshot::Sender<TaskReplyMessage>;

/// Actor of an agent.
#[derive(Debug, xtra::Actor)]
pub struct AgentActor {
    pub(super) machine: AgentMachine,
    pub(super) shared: Arc<AgentShared>,
    pub(super) runs: Option<RunDesk>,
    waiters: HashMap<TaskId, Vec<ReplySender>>,
    sequence: u64,
}

impl AgentActor {
    pub(crate) fn new(machine: AgentMachine, shared: Arc<AgentShared>) -> Self {
        let runs = match &shared.edges.runner {
            TaskRunner::Direct { .. } => None,
            TaskRunner::Leased { executor, limits } => Some(RunDesk {
                ledger: RunLedger::new(limits.clone()),
                host: executor.clone(),
                announced: None,
            }),
        };
        Self { machine, shared, runs, waiters: HashMap::new(), sequence: 0 }
    }

    pub(super) fn decide(
        &mut self,
        event: AgentEvent,
        mut sender: Option<ReplySender>,
        address: &WeakAddress<Self>,
    ) {
        let now = self.shared.edges.clock.now();
        for action in self.machine.handle(event, now) {
            match action {
                AgentAction::Run(order) => self.run(order, address),
                AgentAction::Stop { task } => self.stop(task, address),
                AgentAction::ReplyToSender { reply, load } => {
                    if let Some(sender) = sender.take() {
                        let _ = sender.send(TaskReplyMessage::new(reply, load));
                    }
                }
                AgentAction::ReplyToWaiters { task, reply, load } => self.reply(task, &reply, load),
                AgentAction::AddWaiter { task } => {
                    let waiters = self.waiters.entry(task).or_default();
                    waiters.retain(|waiter| !waiter.is_closed());
                    waiters.extend(sender.take());
                }
                AgentAction::RecordEvent(event) => self.shared.recorder.record(event),
            }
        }
    }

    fn run(&mut self, order: StartRequest, address: &WeakAddress<Self>) {
        let TaskRunner::Direct { backend, .. } = &self.shared.edges.runner else {
            self.drive_runs(RunEvent::Run(order), address);
            return;
        };
        let (backend, address) = (backend.clone(), address.clone());
        tokio::spawn(async move {
            let task = order.task;
            let result = backend.run(order).await;
            let _ = address.send(DecideAgent(AgentEvent::Finished { task, result })).await;
        });
    }

    fn stop(&mut self, task: TaskId, address: &WeakAddress<Self>) {
        let TaskRunner::Direct { worker, .. } = &self.shared.edges.runner else {
            self.drive_runs(RunEvent::Stop(task), address);
            return;
        };
        let worker = worker.clone();
        tokio::spawn(async move { worker.stop(task).await });
    }

    /// Services, failure domain and worker of the server; `None` while it is not known.
    fn described(&self) -> Option<(Vec<ServiceName>, DomainName, WorkerName)> {
        let Some(desk) = &self.runs else {
            let settings = &self.shared.settings;
            let services = settings.backend.as_ref()?.services.iter();
            let services = services.map(|name| name.as_str().into()).collect();
            return Some((
                services,
                settings.domain.as_str().into(),
                settings.worker.as_str().into(),
            ));
        };
        let announced = desk.announced.as_ref().filter(|_| !self.machine.is_server_absent())?;
        Some((announced.services.clone(), announced.domain.clone(), announced.worker.clone()))
    }

    fn reply(&mut self, task: TaskId, reply: &TaskReply, load: LoadReport) {
        for waiter in self.waiters.remove(&task).unwrap_or_default() {
            let _ = waiter.send(TaskReplyMessage::new(reply.clone(), load));
        }
    }
}

/// Event for the decision part.
#[derive(Debug)]
pub(crate) struct DecideAgent(pub AgentEvent);

impl Handler<DecideAgent> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: DecideAgent, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.decide(message.0, None, &address);
    }
}

/// Start with the place for its reply.
#[derive(Debug)]
pub(crate) struct StartTask {
    pub entry: EntryName,
    pub order: StartRequest,
    pub sender: ReplySender,
}

impl Handler<StartTask> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: StartTask, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let event = AgentEvent::Start { entry: message.entry, order: message.order };
        self.decide(event, Some(message.sender), &address);
    }
}

/// Question with the place for its reply.
#[derive(Debug)]
pub(crate) struct AskTask {
    pub ask: StatusQueryMessage,
    pub sender: ReplySender,
}

impl Handler<AskTask> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: AskTask, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let ask = message.ask;
        let sent_at = Duration::from_micros(ask.sent_at_us);
        let start = ask.start_id();
        let event = AgentEvent::Query { entry: ask.entry.into(), start, sent_at };
        self.decide(event, Some(message.sender), &address);
    }
}

/// Asks for a heartbeat to the entry named.
#[derive(Debug)]
pub(crate) struct MakeReport(pub String);

impl Handler<MakeReport> for AgentActor {
    type Return = Option<ServerReport>;

    async fn handle(
        &mut self,
        message: MakeReport,
        _ctx: &mut Context<Self>,
    ) -> Option<ServerReport> {
        let (services, domain, worker) = self.described()?;
        self.sequence += 1;
        let settings = &self.shared.settings;
        let load = self.machine.load_for(&message.0);
        Some(ServerReport {
            name: settings.name.as_str().into(),
            incarnation: self.machine.incarnation(),
            sequence: self.sequence,
            address: settings.advertise.unwrap_or(self.shared.address).to_string().into(),
            domain,
            worker,
            services,
            capacity: self.machine.capacity(),
            load_limit: self.machine.admission_slots(),
            load: load.load,
            own_load: load.own,
            is_leaving: self.machine.is_leaving(),
            clock: self.shared.edges.clock.now().elapsed,
            version: self.machine.version(),
        })
    }
}

/// Answer of an entry to a heartbeat.
#[derive(Debug)]
pub(crate) struct TakeDirective {
    pub directive: AgentDirective,
    pub sent: Duration,
}

impl Handler<TakeDirective> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: TakeDirective, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let TakeDirective { directive, sent } = message;
        self.decide(AgentEvent::Directive { directive, sent }, None, &address);
    }
}

/// Asks for the status.
#[derive(Debug)]
pub(crate) struct QueryAgent;

impl Handler<QueryAgent> for AgentActor {
    type Return = StatusBody;

    async fn handle(&mut self, _message: QueryAgent, _ctx: &mut Context<Self>) -> StatusBody {
        StatusBody {
            name: self.shared.settings.name.clone(),
            role: "agent".to_owned(),
            state: self.shared.word.get().to_owned(),
            version: self.machine.version(),
            freshness: String::new(),
            jobs: 0,
            queued: self.machine.held_tasks(),
            processes: Vec::new(),
        }
    }
}

/// Asks how many tasks are held.
#[derive(Debug)]
pub(crate) struct QueryHeld;

impl Handler<QueryHeld> for AgentActor {
    type Return = usize;

    async fn handle(&mut self, _message: QueryHeld, _ctx: &mut Context<Self>) -> usize {
        self.machine.held_tasks()
    }
}

/// Ticks for as long as the actor lives.
pub(crate) async fn tick(address: Address<AgentActor>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let ticked = address.send(DecideAgent(AgentEvent::Tick)).await;
        if ticked.is_err() || address.send(DriveRuns(RunEvent::Tick)).await.is_err() {
            return;
        }
    }
}
