//! Runs of an agent whose worker runs tasks under leases, and the announcements of its server.
//!
//! The [`RunLedger`] decides which calls to send to the worker, and the actor executes them. The
//! server is advertised to entries only after it has announced itself and the ledger is ready.

use super::actor::AgentActor;
use crate::interfaces::RunExecutor;
use parsleyspool_core::agent::{AgentEvent, RunResult, ServerAvailability};
use parsleyspool_core::id::{DomainName, ServerName, ServiceName, TaskId, WorkerName, format_id};
use parsleyspool_core::run::{
    EndEvidence, EndRecord, IncarnationEnd, PollAnswer, PollCall, RunAction, RunEvent, RunLedger,
    ServerIncarnation, StartCall, StopAnswer, StopCall,
};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xtra::WeakAddress;
use xtra::prelude::*;

/// Announcement of a backend server that describes itself.
#[derive(Debug, Clone)]
pub struct ServerAnnouncement {
    /// Incarnation of the server that made the announcement.
    pub incarnation: ServerIncarnation,
    /// Number that increases with each announcement of the incarnation; an announcement whose
    /// number is not above the latest one is ignored.
    pub sequence: u64,
    /// Reading of the worker's clock; `None` if the announcement has none.
    pub clock: Option<Duration>,
    /// Services that the server offers.
    pub services: Vec<ServiceName>,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Worker that the server runs on.
    pub worker: WorkerName,
    /// Capacity of the server, and whether it is leaving.
    pub availability: ServerAvailability,
}

/// Shortest time after the start of a call at which its missing answer is reported to the ledger.
const MIN_UNANSWERED_CALL_TIME: Duration = Duration::from_millis(50);

/// Runs at the worker of an agent, and the server that they belong to.
#[derive(Debug)]
pub(super) struct LeasedRuns {
    pub(super) ledger: RunLedger,
    pub(super) executor: Arc<dyn RunExecutor>,
    /// Latest announcement; `None` until the server announces itself, and after its incarnation
    /// ended.
    pub(super) announcement: Option<ServerAnnouncement>,
}

impl AgentActor {
    /// Passes an event to the run ledger and executes the resulting actions.
    pub(super) fn handle_run_event(&mut self, event: RunEvent, address: &WeakAddress<Self>) {
        let now = self.shared.interfaces.clock.now();
        let run_deadline = self.machine.run_deadline();
        let Some(runs) = &mut self.leased_runs else { return };
        let actions = runs.ledger.handle(event, run_deadline, now);
        for action in actions {
            self.execute_run_action(action, address);
        }
    }

    fn execute_run_action(&mut self, action: RunAction, address: &WeakAddress<Self>) {
        let Some(runs) = &self.leased_runs else { return };
        let executor = runs.executor.clone();
        match action {
            RunAction::Start(call) => send_start(executor, call, address.clone()),
            RunAction::Stop(call) => send_stop(executor, call, address.clone()),
            RunAction::Poll(call) => send_poll(executor, call, address.clone()),
            RunAction::Finished { task, result, record } => {
                self.log_run_end(task, &result, &record);
                self.handle_event(AgentEvent::Finished { task, result }, None, address);
            }
            RunAction::ServerReady(incarnation) => {
                tracing::info!(
                    event = "server_settled",
                    server = %incarnation.server,
                    started_at_ms = incarnation.started_at.as_millis()
                );
                self.advertise_if_ready(&incarnation, address);
            }
            RunAction::IncarnationEnded { incarnation, reason } => {
                self.withdraw_server(&incarnation, reason, address);
            }
            RunAction::RenewalWithheld => self.log_withheld_renewal(),
            RunAction::Unresponsive => self.report_state(AgentEvent::ServerUnresponsive, address),
            RunAction::Responsive => self.report_state(AgentEvent::ServerResponsive, address),
        }
    }

    /// Records that the server stopped answering or answers again, and reports it to the entries
    /// immediately.
    fn report_state(&mut self, event: AgentEvent, address: &WeakAddress<Self>) {
        if matches!(event, AgentEvent::ServerUnresponsive) {
            tracing::warn!(event = "dependency_lost", dependency = "server");
        } else {
            tracing::info!(event = "dependency_regained", dependency = "server");
        }
        self.handle_event(event, None, address);
        self.shared.heartbeat_wakeup.notify_waiters();
    }

    /// Advertises the server to entries if it has announced itself and only runs started by this
    /// agent are running.
    fn advertise_if_ready(&mut self, incarnation: &ServerIncarnation, address: &WeakAddress<Self>) {
        let Some(runs) = &self.leased_runs else { return };
        let latest = runs.announcement.as_ref().filter(|latest| latest.incarnation == *incarnation);
        let Some(availability) = latest.map(|latest| latest.availability) else { return };
        if !runs.ledger.is_ready(incarnation) {
            return;
        }
        let before =
            (self.machine.capacity(), self.machine.is_leaving(), self.machine.is_server_absent());
        self.handle_event(AgentEvent::ServerAvailable(availability), None, address);
        let after =
            (self.machine.capacity(), self.machine.is_leaving(), self.machine.is_server_absent());
        if before != after {
            self.shared.heartbeat_wakeup.notify_waiters();
        }
    }

    /// Logs why a run has ended without a result, or why a start that was sent counts as never
    /// carried out. Other ends are logged by the state machine of the agent.
    fn log_run_end(&self, task: TaskId, result: &RunResult, record: &EndRecord) {
        self.shared.metrics.count_run_end(record.evidence);
        let is_explained = match result {
            RunResult::Interrupted(_) => true,
            RunResult::Refused(_) => record.evidence == EndEvidence::Unlisted,
            RunResult::Answered(_) | RunResult::Failed | RunResult::NoConnection => false,
        };
        if !is_explained || !self.shared.recorder.try_acquire_line() {
            return;
        }
        let incarnation = record.incarnation.as_ref();
        tracing::info!(
            event = "run_ended",
            submission = format_id(task.submission),
            task = task.index,
            run = record.run,
            evidence = record.evidence.name(),
            server = incarnation.map(|incarnation| &*incarnation.server),
            started_at_ms = incarnation.map(|incarnation| incarnation.started_at.as_millis()),
            clock_ms = record.clock.map(|reading| reading.as_millis()),
            lease_end_ms = record.lease_end.map(|end| end.as_millis()),
            reported_at_ms = record.reported_at.as_millis()
        );
    }

    /// Logs that the lease of all runs ends, since one of them must be over and has not been stopped.
    fn log_withheld_renewal(&self) {
        let run_deadline = self.machine.run_deadline();
        tracing::warn!(
            event = "renewal_withheld",
            run_deadline_ms = run_deadline.map(|deadline| deadline.as_millis()),
            now_ms = self.shared.interfaces.clock.now().elapsed.as_millis(),
            tasks = self.machine.task_count()
        );
    }

    /// Stops advertising the server, whose incarnation has ended.
    fn withdraw_server(
        &mut self,
        incarnation: &ServerIncarnation,
        reason: IncarnationEnd,
        address: &WeakAddress<Self>,
    ) {
        tracing::warn!(
            event = "server_life_over",
            server = %incarnation.server,
            started_at_ms = incarnation.started_at.as_millis(),
            reason = reason.name()
        );
        if let Some(runs) = &mut self.leased_runs
            && runs
                .announcement
                .as_ref()
                .is_some_and(|announcement| announcement.incarnation == *incarnation)
        {
            runs.announcement = None;
        }
        self.handle_event(AgentEvent::ServerLost, None, address);
    }
}

/// Executes a call to the worker in a task and reports its answer to the ledger.
///
/// A missing answer is reported no earlier than [`MIN_UNANSWERED_CALL_TIME`] after the start of the
/// call. The ledger sends its next call immediately, so without this delay it would call a worker
/// that refuses connections in a busy loop.
fn spawn_call<A: Send + 'static>(
    call: impl Future<Output = A> + Send + 'static,
    is_missing: impl Fn(&A) -> bool + Send + 'static,
    event: impl FnOnce(A) -> RunEvent + Send + 'static,
    address: WeakAddress<AgentActor>,
) {
    tokio::spawn(async move {
        let called_at = Instant::now();
        let answer = call.await;
        if is_missing(&answer) {
            tokio::time::sleep_until(called_at + MIN_UNANSWERED_CALL_TIME).await;
        }
        // A send error means that the agent has stopped and tracks no runs.
        let _ = address.send(HandleRunEvent(event(answer))).await;
    });
}

fn send_start(executor: Arc<dyn RunExecutor>, call: StartCall, address: WeakAddress<AgentActor>) {
    let (key, fence) = (call.key.clone(), call.fence);
    spawn_call(
        async move { executor.start(call).await },
        |answer| answer.is_missing(),
        move |answer| RunEvent::StartReturned { key, fence, answer },
        address,
    );
}

fn send_stop(executor: Arc<dyn RunExecutor>, call: StopCall, address: WeakAddress<AgentActor>) {
    let (key, fence) = (call.key.clone(), call.fence);
    spawn_call(
        async move { executor.stop(call).await },
        |answer| *answer == StopAnswer::Unanswered,
        move |answer| RunEvent::StopReturned { key, fence, answer },
        address,
    );
}

fn send_poll(executor: Arc<dyn RunExecutor>, call: PollCall, address: WeakAddress<AgentActor>) {
    let number = call.number;
    spawn_call(
        async move { executor.poll_runs(call).await },
        |answer| *answer == PollAnswer::Unanswered,
        move |answer| RunEvent::PollReturned { number, answer },
        address,
    );
}

/// Event for the run ledger.
#[derive(Debug)]
pub(crate) struct HandleRunEvent(pub RunEvent);

impl Handler<HandleRunEvent> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: HandleRunEvent, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.handle_run_event(message.0, &address);
    }
}

/// Announcement of the server; ignored if it is outdated.
#[derive(Debug)]
pub(crate) struct AnnounceServer(pub ServerAnnouncement);

impl Handler<AnnounceServer> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: AnnounceServer, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let new = message.0;
        let incarnation = new.incarnation.clone();
        let clock = new.clock;
        let Some(runs) = &mut self.leased_runs else { return };
        let is_outdated = runs
            .announcement
            .as_ref()
            .is_some_and(|old| old.incarnation == incarnation && new.sequence <= old.sequence);
        if is_outdated {
            return;
        }
        self.handle_run_event(
            RunEvent::Announced { incarnation: incarnation.clone(), clock },
            &address,
        );
        let Some(runs) = &mut self.leased_runs else { return };
        if runs.ledger.is_current(&incarnation) {
            runs.announcement = Some(new);
            self.advertise_if_ready(&incarnation, &address);
        }
    }
}

/// The server of this name deregistered. The message does not name the incarnation and may be that of
/// an earlier one, so it is ignored unless the server has announced that it leaves.
#[derive(Debug)]
pub(crate) struct DeregisterServer(pub ServerName);

impl Handler<DeregisterServer> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: DeregisterServer, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let Some(runs) = &self.leased_runs else { return };
        let leaving = runs.announcement.as_ref().filter(|latest| latest.availability.is_leaving);
        let Some(incarnation) = leaving.map(|latest| latest.incarnation.clone()) else { return };
        if incarnation.server == message.0 {
            self.handle_run_event(RunEvent::Deregistered(incarnation), &address);
        }
    }
}
