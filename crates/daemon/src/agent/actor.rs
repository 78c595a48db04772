//! Actor that owns the state machine of an agent and executes its actions.

use super::AgentShared;
use super::leased_runs::{HandleRunEvent, LeasedRuns};
use crate::interfaces::TaskRunner;
use crate::stall_detector::StallDetector;
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

/// Time between two ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

type ReplySender = oneshot::Sender<TaskReplyMessage>;

/// Actor that owns the state machine of an agent.
#[derive(Debug, xtra::Actor)]
pub struct AgentActor {
    pub(super) machine: AgentMachine,
    pub(super) shared: Arc<AgentShared>,
    /// `None` if the agent sends tasks directly to the backend server.
    pub(super) leased_runs: Option<LeasedRuns>,
    /// Reply channels of the requests that wait for the outcome of a task.
    waiters: HashMap<TaskId, Vec<ReplySender>>,
    /// Number of the latest heartbeat report, counted over all entries.
    sequence: u64,
    stall_detector: StallDetector,
}

impl AgentActor {
    pub(crate) fn new(machine: AgentMachine, shared: Arc<AgentShared>) -> Self {
        let leased_runs = match &shared.interfaces.runner {
            TaskRunner::Direct { .. } => None,
            TaskRunner::Leased { executor, limits } => Some(LeasedRuns {
                ledger: RunLedger::new(limits.clone()),
                executor: executor.clone(),
                announcement: None,
            }),
        };
        let stall_detector = StallDetector::new(shared.interfaces.clock.now().elapsed);
        Self { machine, shared, leased_runs, waiters: HashMap::new(), sequence: 0, stall_detector }
    }

    /// Passes an event to the state machine and executes the resulting actions.
    ///
    /// `sender` is the reply channel of the request that caused the event; `None` for other events.
    pub(super) fn handle_event(
        &mut self,
        event: AgentEvent,
        mut sender: Option<ReplySender>,
        address: &WeakAddress<Self>,
    ) {
        let now = self.shared.interfaces.clock.now();
        self.stall_detector.record_event(now.elapsed);
        for action in self.machine.handle(event, now) {
            match action {
                AgentAction::Run(request) => self.run_task(request, address),
                AgentAction::Stop { task } => self.stop_task(task, address),
                AgentAction::CheckDomain(known) => self.check_domain(known, address),
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

    fn run_task(&mut self, request: StartRequest, address: &WeakAddress<Self>) {
        let TaskRunner::Direct { backend, .. } = &self.shared.interfaces.runner else {
            self.handle_run_event(RunEvent::Run(request), address);
            return;
        };
        let (backend, address) = (backend.clone(), address.clone());
        tokio::spawn(async move {
            let task = request.task;
            let result = backend.run(request).await;
            let _ = address.send(HandleEvent(AgentEvent::Finished { task, result })).await;
        });
    }

    fn stop_task(&mut self, task: TaskId, address: &WeakAddress<Self>) {
        let TaskRunner::Direct { worker, .. } = &self.shared.interfaces.runner else {
            self.handle_run_event(RunEvent::Stop(task), address);
            return;
        };
        let worker = worker.clone();
        tokio::spawn(async move { worker.stop(task).await });
    }

    /// Services, failure domain and worker of the server; `None` while no server is known.
    pub(super) fn server_description(&self) -> Option<(Vec<ServiceName>, DomainName, WorkerName)> {
        let Some(runs) = &self.leased_runs else {
            let settings = &self.shared.settings;
            let services = settings.backend.as_ref()?.services.iter();
            let services = services.map(|name| name.as_str().into()).collect();
            return Some((
                services,
                settings.domain.as_str().into(),
                settings.worker.as_str().into(),
            ));
        };
        let announcement =
            runs.announcement.as_ref().filter(|_| !self.machine.is_server_absent())?;
        Some((
            announcement.services.clone(),
            announcement.domain.clone(),
            announcement.worker.clone(),
        ))
    }

    /// Replies to everyone who waits for the outcome of `task`.
    fn reply(&mut self, task: TaskId, reply: &TaskReply, load: LoadReport) {
        for waiter in self.waiters.remove(&task).unwrap_or_default() {
            let _ = waiter.send(TaskReplyMessage::new(reply.clone(), load));
        }
    }
}

/// Event for the state machine of the agent.
#[derive(Debug)]
pub(crate) struct HandleEvent(pub AgentEvent);

impl Handler<HandleEvent> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: HandleEvent, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.handle_event(message.0, None, &address);
    }
}

/// Start request, with the channel for its reply.
#[derive(Debug)]
pub(crate) struct StartTask {
    pub entry: EntryName,
    pub request: StartRequest,
    pub sender: ReplySender,
}

impl Handler<StartTask> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: StartTask, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let entry = message.entry.clone();
        let had_tasks = self.machine.renewal_due(&entry).is_some();
        let event = AgentEvent::Start { entry: message.entry, request: message.request };
        self.handle_event(event, Some(message.sender), &address);
        if !had_tasks && self.machine.renewal_due(&entry).is_some() {
            self.shared.renewal_wakeups.get(&entry).notify_one();
        }
    }
}

/// Queries when the next heartbeat to the entry of this name is due, so that it renews the run lease
/// of its tasks; `None` if there are none.
#[derive(Debug)]
pub(crate) struct QueryRenewalDue(pub String);

impl Handler<QueryRenewalDue> for AgentActor {
    type Return = Option<Duration>;

    async fn handle(
        &mut self,
        message: QueryRenewalDue,
        _ctx: &mut Context<Self>,
    ) -> Option<Duration> {
        self.machine.renewal_due(&message.0)
    }
}

/// Status query, with the channel for its reply.
#[derive(Debug)]
pub(crate) struct QueryTaskStatus {
    pub query: StatusQueryMessage,
    pub sender: ReplySender,
}

impl Handler<QueryTaskStatus> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: QueryTaskStatus, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let query = message.query;
        let sent_at = Duration::from_micros(query.sent_at_us);
        let start = query.start_id();
        let event = AgentEvent::Query { entry: query.entry.into(), start, sent_at };
        self.handle_event(event, Some(message.sender), &address);
    }
}

/// Queries the load of the agent, as reported to the entry of this name.
#[derive(Debug)]
pub(crate) struct QueryLoad(pub EntryName);

impl Handler<QueryLoad> for AgentActor {
    type Return = LoadReport;

    async fn handle(&mut self, message: QueryLoad, _ctx: &mut Context<Self>) -> LoadReport {
        self.machine.load_for(&message.0)
    }
}

/// Builds the next heartbeat report for the entry of this name; `None` while no server is known.
#[derive(Debug)]
pub(crate) struct BuildReport(pub String);

impl Handler<BuildReport> for AgentActor {
    type Return = Option<ServerReport>;

    async fn handle(
        &mut self,
        message: BuildReport,
        _ctx: &mut Context<Self>,
    ) -> Option<ServerReport> {
        let (services, domain, worker) = self.server_description()?;
        self.sequence += 1;
        let settings = &self.shared.settings;
        let load = self.machine.load_for(&message.0);
        Some(ServerReport {
            name: settings.name.as_str().into(),
            incarnation: self.machine.incarnation(),
            sequence: self.sequence,
            address: settings.advertise.unwrap_or(self.shared.listener_address).to_string().into(),
            domain,
            worker,
            services,
            capacity: self.machine.capacity(),
            load_limit: self.machine.admission_slots(),
            load: load.load,
            own_load: load.own_load,
            is_leaving: self.machine.is_leaving(),
            clock: self.shared.interfaces.clock.now().elapsed,
            version: self.machine.version(),
            lost_tasks: self.machine.lost_tasks(),
            held_submissions: self.machine.held_submissions(&message.0),
        })
    }
}

/// Directive of an entry, received as its answer to the heartbeat sent at `sent_at`.
#[derive(Debug)]
pub(crate) struct HandleDirective {
    pub directive: AgentDirective,
    pub sent_at: Duration,
}

impl Handler<HandleDirective> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: HandleDirective, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let HandleDirective { directive, sent_at } = message;
        self.handle_event(AgentEvent::Directive { directive, sent_at }, None, &address);
    }
}

/// Queries the status page of the agent.
#[derive(Debug)]
pub(crate) struct QueryStatusPage;

impl Handler<QueryStatusPage> for AgentActor {
    type Return = StatusBody;

    async fn handle(&mut self, _message: QueryStatusPage, _ctx: &mut Context<Self>) -> StatusBody {
        StatusBody {
            name: self.shared.settings.name.clone(),
            role: "agent".to_owned(),
            state: self.shared.state_name.get().to_owned(),
            version: self.machine.version(),
            freshness: String::new(),
            jobs: 0,
            queued: self.machine.task_count(),
            processes: Vec::new(),
        }
    }
}

/// Queries the number of running and queued tasks.
#[derive(Debug)]
pub(crate) struct QueryTaskCount;

impl Handler<QueryTaskCount> for AgentActor {
    type Return = usize;

    async fn handle(&mut self, _message: QueryTaskCount, _ctx: &mut Context<Self>) -> usize {
        self.machine.task_count()
    }
}

/// Sends ticks to the actor until it stops.
pub(crate) async fn tick(address: Address<AgentActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let ticked = address.send(HandleEvent(AgentEvent::Tick)).await;
        if ticked.is_err() || address.send(HandleRunEvent(RunEvent::Tick)).await.is_err() {
            return;
        }
    }
}
