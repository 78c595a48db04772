//! Actor that owns the state machine of an entry and executes its actions.

use super::EntryShared;
use crate::stall_detector::StallDetector;
use bytes::Bytes;
use parsleyspool_core::config::{ConfigRecord, ConfigSnapshot};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryMachine, ExchangeFailure, StartId, StartRequest, TaskReply,
};
use parsleyspool_core::id::{PeerAddress, SubmissionId, TaskId, Version};
use parsleyspool_core::job::JobAnswer;
use parsleyspool_core::route::RouteTable;
use parsleyspool_wire::peer::{
    CancelMessage, DirectiveMessage, PeerStateMessage, PeerStateQuery, StartMessage,
    StatusQueryMessage, TaskReplyMessage,
};
use parsleyspool_wire::record::{
    AUDIT_STREAM, AuditLogRecordWire, CLAIM_STREAM, CONFIG_STREAM, encode_audit_log, encode_claims,
    encode_config,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::WeakAddress;
use xtra::prelude::*;

/// Answer to a job, with the details that callers and logs need.
#[derive(Debug)]
pub struct CallerAnswer {
    /// ID that the entry gave to this submission.
    pub submission: SubmissionId,
    /// Results of the tasks, or the error.
    pub answer: JobAnswer,
    /// Configuration version that was active when the answer was decided.
    pub version: Version,
}

/// Components that the actor is built from.
#[derive(Debug)]
pub(crate) struct ActorComponents {
    pub machine: EntryMachine,
    pub shared: Arc<EntryShared>,
}

/// Actor that owns the state machine of an entry.
#[derive(Debug, xtra::Actor)]
pub struct EntryActor {
    pub(super) machine: EntryMachine,
    pub(super) shared: Arc<EntryShared>,
    /// Answer channels of the waiting callers, by waiter ID.
    waiters: HashMap<u64, oneshot::Sender<CallerAnswer>>,
    stall_detector: StallDetector,
    pub(super) known_peers: BTreeMap<String, KnownPeer>,
}

/// Another entry, as described by its latest message.
#[derive(Debug)]
pub(super) struct KnownPeer {
    pub(super) address: String,
    pub(super) version: Version,
    pub(super) last_seen: Duration,
}

impl EntryActor {
    pub(crate) fn new(components: ActorComponents) -> Self {
        Self {
            machine: components.machine,
            stall_detector: StallDetector::new(components.shared.interfaces.clock.now().elapsed),
            shared: components.shared,
            waiters: HashMap::new(),
            known_peers: BTreeMap::new(),
        }
    }

    /// Passes an event to the state machine and executes the resulting actions, after those of a
    /// resumption if the process stood still.
    fn handle_event(&mut self, event: EntryEvent, address: &WeakAddress<Self>) {
        let now = self.shared.interfaces.clock.now();
        if self.stall_detector.record_event(now.elapsed).is_some() {
            let actions = self.machine.handle(EntryEvent::Resumed, now);
            self.execute_actions(actions, address);
        }
        let actions = self.machine.handle(event, now);
        self.execute_actions(actions, address);
        self.publish_routes();
    }

    /// Executes actions in order, but sends all cancellations for one agent in one message.
    fn execute_actions(&mut self, actions: Vec<EntryAction>, address: &WeakAddress<Self>) {
        let mut cancels: HashMap<PeerAddress, Vec<TaskId>> = HashMap::new();
        for action in actions {
            match action {
                EntryAction::CancelTask { address, task, .. } => {
                    cancels.entry(address).or_default().push(task);
                }
                other => self.execute_action(other, address),
            }
        }
        for (agent, tasks) in cancels {
            self.send_cancel(agent, tasks);
        }
    }

    /// Publishes the routes if the active configuration changed.
    fn publish_routes(&self) {
        let configuration = self.machine.ledger().configuration();
        if self.shared.routes.borrow().version() != configuration.version {
            self.shared.routes.send_replace(Arc::new(RouteTable::new(configuration)));
        }
    }

    fn execute_action(&mut self, action: EntryAction, address: &WeakAddress<Self>) {
        match action {
            EntryAction::Answer { waiter_id, submission, answer, version } => {
                self.send_answer(waiter_id, CallerAnswer { submission, answer, version });
            }
            EntryAction::Start { address: to, request } => self.send_start(to, request, address),
            EntryAction::QueryStatus { address: agent, start, sent_at } => {
                let message = StatusQueryMessage::new(&self.shared.settings.name, start, sent_at);
                self.send_status_query(agent, start, message, address);
            }
            EntryAction::CancelTask { .. } => {}
            EntryAction::AppendClaims(steps) => match encode_claims(&steps) {
                Ok(bytes) => self.send_append(CLAIM_STREAM, bytes, address, |is_confirmed| {
                    EntryEvent::ClaimsAppended { is_confirmed }
                }),
                Err(error) => tracing::error!(event = "record_unwritable", %error),
            },
            EntryAction::AppendRefusals(record) => {
                let identity = self.machine.identity();
                let record = AuditLogRecordWire::new(&identity.name, identity.incarnation, &record);
                match encode_audit_log(&record) {
                    Ok(bytes) => self.send_append(AUDIT_STREAM, bytes, address, |is_confirmed| {
                        EntryEvent::RefusalsAppended { is_confirmed }
                    }),
                    Err(error) => tracing::error!(event = "record_unwritable", %error),
                }
            }
            EntryAction::AppendSnapshot(snapshot) => self.republish_config(snapshot),
            EntryAction::RecordEvent(event) => self.shared.recorder.record(event),
        }
    }

    fn send_answer(&mut self, waiter_id: u64, answer: CallerAnswer) {
        if let Some(waiter) = self.waiters.remove(&waiter_id) {
            let _ = waiter.send(answer);
        }
    }

    fn send_start(&self, agent: PeerAddress, request: StartRequest, address: &WeakAddress<Self>) {
        let start = request.start_id();
        let message = StartMessage::new(&self.shared.settings.name, request);
        let timeout = self.shared.settings.limits.longest_deadline;
        let (shared, address) = (self.shared.clone(), address.clone());
        tokio::spawn(async move {
            let result = shared.interfaces.agents.start(agent, message, timeout).await;
            let event = match result {
                Ok(reply) => reply_event(start, reply),
                Err(failure) => EntryEvent::NoReply { start, failure },
            };
            let _ = address.send(HandleEvent(event)).await;
        });
    }

    fn send_status_query(
        &self,
        agent: PeerAddress,
        start: StartId,
        message: StatusQueryMessage,
        address: &WeakAddress<Self>,
    ) {
        let (shared, address) = (self.shared.clone(), address.clone());
        tokio::spawn(async move {
            let result = shared.interfaces.agents.query_status(agent, message).await;
            let event = match result {
                Ok(reply) => reply_event(start, reply),
                // The next status query is already scheduled, so other failures are ignored.
                // A refused connection shows that the agent is gone.
                Err(failure @ ExchangeFailure::PeerGone) => EntryEvent::NoReply { start, failure },
                Err(_) => return,
            };
            let _ = address.send(HandleEvent(event)).await;
        });
    }

    fn send_cancel(&self, agent: PeerAddress, tasks: Vec<TaskId>) {
        let shared = self.shared.clone();
        let message = CancelMessage { tasks: tasks.into_iter().map(Into::into).collect() };
        tokio::spawn(async move { shared.interfaces.agents.cancel(agent, message).await });
    }

    fn send_append(
        &self,
        stream: &'static str,
        bytes: Vec<u8>,
        address: &WeakAddress<Self>,
        event: impl FnOnce(bool) -> EntryEvent + Send + 'static,
    ) {
        let (shared, address) = (self.shared.clone(), address.clone());
        tokio::spawn(async move {
            let result = shared.interfaces.log.append(stream, Bytes::from(bytes)).await;
            if let Err(report) = &result {
                tracing::warn!(event = "append_unconfirmed", stream, error = %report);
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
            }
            let _ = address.send(HandleEvent(event(result.is_ok()))).await;
        });
    }

    fn republish_config(&self, snapshot: ConfigSnapshot) {
        let shared = self.shared.clone();
        let bytes = match encode_config(&ConfigRecord::Snapshot(snapshot)) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(event = "record_unwritable", %error);
                return;
            }
        };
        tokio::spawn(async move {
            match shared.interfaces.log.append(CONFIG_STREAM, Bytes::from(bytes)).await {
                Ok(offset) => tracing::info!(event = "config_republished", offset),
                Err(report) => tracing::warn!(event = "append_unconfirmed", error = %report),
            }
        });
    }
}

/// Time without a message after which another entry is left out of the list sent to agents.
const PEER_EXPIRY: Duration = Duration::from_secs(5);
/// Delay before an unconfirmed append is reported to the state machine, which may repeat it.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);

fn reply_event(start: StartId, reply: TaskReplyMessage) -> EntryEvent {
    let load = Some(reply.load_report());
    EntryEvent::Reply { start, reply: TaskReply::from(reply.reply), load }
}

/// Event for the state machine of the entry.
#[derive(Debug)]
pub(crate) struct HandleEvent(pub EntryEvent);

impl Handler<HandleEvent> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: HandleEvent, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.handle_event(message.0, &address);
    }
}

/// Event of a caller, with the channel for its answer.
#[derive(Debug)]
pub(crate) struct CallerEvent {
    pub waiter_id: u64,
    pub event: EntryEvent,
    pub waiter: oneshot::Sender<CallerAnswer>,
}

impl Handler<CallerEvent> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: CallerEvent, ctx: &mut Context<Self>) {
        // The message that reports the disconnection may have come first.
        if message.waiter.is_closed() {
            if self.shared.recorder.try_acquire_line() {
                tracing::info!(event = "caller_left_before_admission", waiter = message.waiter_id);
            }
            return;
        }
        self.waiters.insert(message.waiter_id, message.waiter);
        let address = ctx.mailbox().address();
        self.handle_event(message.event, &address);
    }
}

/// The caller with this waiter ID disconnected before its answer.
#[derive(Debug)]
pub(crate) struct CallerDisconnected(pub u64);

impl Handler<CallerDisconnected> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: CallerDisconnected, ctx: &mut Context<Self>) {
        if self.waiters.remove(&message.0).is_some() {
            let address = ctx.mailbox().address();
            self.handle_event(EntryEvent::Cancel { waiter_id: message.0 }, &address);
        }
    }
}

/// Heartbeat of an agent; the reply is the directive for it.
#[derive(Debug)]
pub(crate) struct HandleHeartbeat(pub ServerReport);

impl Handler<HandleHeartbeat> for EntryActor {
    type Return = DirectiveMessage;

    async fn handle(
        &mut self,
        message: HandleHeartbeat,
        ctx: &mut Context<Self>,
    ) -> DirectiveMessage {
        let report = message.0;
        let address = ctx.mailbox().address();
        self.handle_event(EntryEvent::Heartbeat(report.clone()), &address);
        let now = self.shared.interfaces.clock.now();
        let directive = self.machine.directive(&report, now);
        let is_recent = |peer: &KnownPeer| peer.last_seen + PEER_EXPIRY > now.elapsed;
        let mut entries: BTreeMap<String, String> = self
            .known_peers
            .iter()
            .filter(|(_, peer)| is_recent(peer))
            .map(|(name, peer)| (name.clone(), peer.address.clone()))
            .collect();
        entries
            .insert(self.shared.settings.name.clone(), self.shared.advertised_address.to_string());
        DirectiveMessage::new(&self.shared.settings.name, &directive, entries)
    }
}

/// State query of another entry, which is recorded as a known peer; the reply is the state of this
/// entry.
#[derive(Debug)]
pub(crate) struct QueryPeerState(pub PeerStateQuery);

impl Handler<QueryPeerState> for EntryActor {
    type Return = PeerStateMessage;

    async fn handle(
        &mut self,
        message: QueryPeerState,
        _ctx: &mut Context<Self>,
    ) -> PeerStateMessage {
        let now = self.shared.interfaces.clock.now();
        let query = message.0;
        let peer =
            KnownPeer { address: query.address, version: query.version, last_seen: now.elapsed };
        self.known_peers.insert(query.entry, peer);
        let report = self.machine.peer_report(now);
        let load = self.machine.team_load().iter();
        let load = load.map(|(team, open)| (team.to_string(), *open)).collect();
        let mut answer = PeerStateMessage::new(&report, load);
        let ledger = self.machine.ledger();
        if query.wants_state && ledger.is_complete() {
            answer.state = Some(ledger.configuration().into());
        }
        answer
    }
}

/// Answer of another entry to a state query sent at `requested_at`.
#[derive(Debug)]
pub(crate) struct HandlePeerState {
    pub address: String,
    pub answer: PeerStateMessage,
    pub requested_at: Duration,
}

impl Handler<HandlePeerState> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: HandlePeerState, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let answer = message.answer;
        let now = self.shared.interfaces.clock.now();
        let peer =
            KnownPeer { address: message.address, version: answer.version, last_seen: now.elapsed };
        self.known_peers.insert(answer.entry.clone(), peer);
        let report = answer.report();
        if let Some(Ok(configuration)) = answer.state.map(TryInto::try_into) {
            let snapshot = ConfigSnapshot { configuration };
            self.handle_event(EntryEvent::PeerSnapshot(snapshot), &address);
        }
        let team_load = answer.team_load.into_iter().map(|(team, open)| (team.into(), open));
        let team_load = team_load.collect();
        self.handle_event(
            EntryEvent::PeerReported { report, team_load, requested_at: message.requested_at },
            &address,
        );
    }
}

/// Periodic tick, which also updates the gauges.
#[derive(Debug)]
pub(crate) struct TickEntry;

impl Handler<TickEntry> for EntryActor {
    type Return = ();

    async fn handle(&mut self, _message: TickEntry, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.handle_event(EntryEvent::Tick, &address);
        self.shared.metrics.set_gauges(self.machine.gauges());
    }
}
