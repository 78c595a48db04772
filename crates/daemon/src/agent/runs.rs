//! The runs of an agent whose worker gives leases, and the announcements of its server.

use super::actor::AgentActor;
use crate::interfaces::RunExecutor;
use parsleyspool_core::agent::{AgentEvent, ServerAvailability};
use parsleyspool_core::id::{DomainName, ServerName, ServiceName, WorkerName};
use parsleyspool_core::run::{
    PollAnswer, PollCall, RunAction, RunEvent, RunLedger, ServerIncarnation, StartAnswer,
    StartCall, StopAnswer, StopCall,
};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

/// What a backend server says of itself.
#[derive(Debug, Clone)]
pub struct ServerAnnouncement {
    /// Life of the server.
    pub incarnation: ServerIncarnation,
    /// Number of the announcement within that life, rising.
    pub sequence: u64,
    /// Clock of the worker, where it says so.
    pub clock: Option<Duration>,
    /// Services that it offers.
    pub services: Vec<ServiceName>,
    /// Failure domain.
    pub domain: DomainName,
    /// Worker.
    pub worker: WorkerName,
    /// What it has.
    pub availability: ServerAvailability,
}

/// Least time before a call without an answer is followed by the next.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);

/// Runs of the server beside this agent.
#[derive(Debug)]
pub(super) struct RunDesk {
    pub(super) ledger: RunLedger,
    pub(super) host: Arc<dyn RunExecutor>,
    /// Latest announcement.
    pub(super) announced: Option<ServerAnnouncement>,
}

impl AgentActor {
    /// Hands an event to the ledger and carries out what it decides.
    pub(super) fn drive_runs(&mut self, event: RunEvent, address: &WeakAddress<Self>) {
        let now = self.shared.edges.clock.now();
        let Some(desk) = &mut self.runs else { return };
        let actions = desk.ledger.handle(event, now);
        for action in actions {
            self.carry_out_run(action, address);
        }
    }

    fn carry_out_run(&mut self, action: RunAction, address: &WeakAddress<Self>) {
        let Some(desk) = &self.runs else { return };
        let host = desk.host.clone();
        match action {
            RunAction::Start(call) => send_start(host, call, address.clone()),
            RunAction::Stop(call) => send_stop(host, call, address.clone()),
            RunAction::Poll(call) => send_hold(host, call, address.clone()),
            RunAction::Finished { task, result } => {
                self.decide(AgentEvent::Finished { task, result }, None, address);
            }
            RunAction::ServerReady(incarnation) => {
                tracing::info!(event = "server_settled", server = %incarnation.server);
                self.offer(&incarnation, address);
            }
            RunAction::IncarnationEnded(incarnation) => self.withdraw(&incarnation, address),
            RunAction::Unresponsive => self.note_server(AgentEvent::ServerUnresponsive, address),
            RunAction::Responsive => self.note_server(AgentEvent::ServerResponsive, address),
        }
    }

    /// Takes note that the server fell silent or answers again, and tells the entries at once.
    fn note_server(&mut self, event: AgentEvent, address: &WeakAddress<Self>) {
        if matches!(event, AgentEvent::ServerUnresponsive) {
            tracing::warn!(event = "dependency_lost", dependency = "server");
        } else {
            tracing::info!(event = "dependency_regained", dependency = "server");
        }
        self.decide(event, None, address);
        self.shared.beat.notify_waiters();
    }

    /// Offers the server to entries, once nothing of an earlier time runs there.
    fn offer(&mut self, incarnation: &ServerIncarnation, address: &WeakAddress<Self>) {
        let Some(desk) = &self.runs else { return };
        let announced =
            desk.announced.as_ref().filter(|announced| announced.incarnation == *incarnation);
        let Some(availability) = announced.map(|announced| announced.availability) else { return };
        if !desk.ledger.is_ready(incarnation) {
            return;
        }
        let before =
            (self.machine.capacity(), self.machine.is_leaving(), self.machine.is_server_absent());
        self.decide(AgentEvent::ServerAvailable(availability), None, address);
        let after =
            (self.machine.capacity(), self.machine.is_leaving(), self.machine.is_server_absent());
        if before != after {
            self.shared.beat.notify_waiters();
        }
    }

    fn withdraw(&mut self, incarnation: &ServerIncarnation, address: &WeakAddress<Self>) {
        tracing::warn!(event = "server_life_over", server = %incarnation.server);
        if let Some(desk) = &mut self.runs
            && desk
                .announced
                .as_ref()
                .is_some_and(|announced| announced.incarnation == *incarnation)
        {
            desk.announced = None;
        }
        self.decide(AgentEvent::ServerLost, None, address);
    }
}

/// Spawns a call and hands its answer back as an event; a missing answer is never reported at once,
/// so that a worker that refuses connections is not called in a loop.
fn spawn_call<A: Send + 'static>(
    call: impl Future<Output = A> + Send + 'static,
    is_missing: impl Fn(&A) -> bool + Send + 'static,
    event: impl FnOnce(A) -> RunEvent + Send + 'static,
    address: WeakAddress<AgentActor>,
) {
    tokio::spawn(async move {
        let asked = Instant::now();
        let answer = call.await;
        if is_missing(&answer) {
            tokio::time::sleep_until(asked + UNANSWERED_PAUSE).await;
        }
        // An actor that has stopped has no use for it.
        let _ = address.send(DriveRuns(event(answer))).await;
    });
}

fn send_start(host: Arc<dyn RunExecutor>, call: StartCall, address: WeakAddress<AgentActor>) {
    let key = call.key.clone();
    spawn_call(
        async move { host.start(call).await },
        |answer| *answer == StartAnswer::Unanswered,
        |answer| RunEvent::StartReturned { key, answer },
        address,
    );
}

fn send_stop(host: Arc<dyn RunExecutor>, call: StopCall, address: WeakAddress<AgentActor>) {
    let key = call.key.clone();
    spawn_call(
        async move { host.stop(call).await },
        |answer| *answer == StopAnswer::Unanswered,
        |answer| RunEvent::StopReturned { key, answer },
        address,
    );
}

fn send_hold(host: Arc<dyn RunExecutor>, call: PollCall, address: WeakAddress<AgentActor>) {
    let number = call.number;
    spawn_call(
        async move { host.poll_runs(call).await },
        |answer| *answer == PollAnswer::Unanswered,
        move |answer| RunEvent::PollReturned { number, answer },
        address,
    );
}

/// Event for the ledger of runs.
#[derive(Debug)]
pub(crate) struct DriveRuns(pub RunEvent);

impl Handler<DriveRuns> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: DriveRuns, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.drive_runs(message.0, &address);
    }
}

/// The server announces itself.
#[derive(Debug)]
pub(crate) struct AnnounceServer(pub ServerAnnouncement);

impl Handler<AnnounceServer> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: AnnounceServer, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let announcement = message.0;
        let incarnation = announcement.incarnation.clone();
        let clock = announcement.clock;
        let Some(desk) = &mut self.runs else { return };
        let is_late = desk.announced.as_ref().is_some_and(|known| {
            known.incarnation == incarnation && announcement.sequence <= known.sequence
        });
        if is_late {
            return;
        }
        self.drive_runs(RunEvent::Announced { incarnation: incarnation.clone(), clock }, &address);
        let Some(desk) = &mut self.runs else { return };
        if desk.ledger.is_current(&incarnation) {
            desk.announced = Some(announcement);
            self.offer(&incarnation, &address);
        }
    }
}

/// The server called so left.
#[derive(Debug)]
pub(crate) struct ServerLeft(pub ServerName);

impl Handler<ServerLeft> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: ServerLeft, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let announced = self.runs.as_ref().and_then(|desk| desk.announced.as_ref());
        let incarnation = announced.map(|announced| announced.incarnation.clone());
        if let Some(incarnation) = incarnation.filter(|incarnation| incarnation.server == message.0)
        {
            self.drive_runs(RunEvent::Deregistered(incarnation), &address);
        }
    }
}
