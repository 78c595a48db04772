//! Actor that owns the state machine of an entry.

use super::EntryShared;
use super::known_peers::KnownPeer;
use crate::stall_detector::StallDetector;
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{EntryEvent, EntryMachine};
use parsleyspool_core::id::{SubmissionId, Version};
use parsleyspool_core::job::JobAnswer;
use parsleyspool_core::route::RouteTable;
use parsleyspool_wire::peer::DirectiveMessage;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
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
    pub(super) waiters: HashMap<u64, oneshot::Sender<CallerAnswer>>,
    stall_detector: StallDetector,
    pub(super) known_peers: BTreeMap<String, KnownPeer>,
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
    pub(super) fn handle_event(&mut self, event: EntryEvent, address: &WeakAddress<Self>) {
        let now = self.shared.interfaces.clock.now();
        if self.stall_detector.record_event(now.elapsed).is_some() {
            let actions = self.machine.handle(EntryEvent::Resumed, now);
            self.execute_actions(actions, address);
        }
        let actions = self.machine.handle(event, now);
        self.execute_actions(actions, address);
        self.publish_routes();
    }

    /// Publishes the routes if the active configuration changed.
    fn publish_routes(&self) {
        let configuration = self.machine.ledger().configuration();
        if self.shared.routes.borrow().version() != configuration.version {
            self.shared.routes.send_replace(Arc::new(RouteTable::new(configuration)));
        }
    }
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
        let entries = self.entry_addresses(now);
        DirectiveMessage::new(&self.shared.settings.name, &directive, entries)
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
