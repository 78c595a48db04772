//! Way into an entry for listeners, its own and those of an embedder.

use super::EntryShared;
use super::actor::{CallerAnswer, CallerDisconnected, CallerEvent, EntryActor, HandleEvent};
use super::queries::{QueryReadiness, QueryWaitingJobs};
use parsleyspool_core::config::ConfigSnapshot;
use parsleyspool_core::entry::EntryEvent;
use parsleyspool_core::id::{RequestName, ServiceName, format_id};
use parsleyspool_core::job::JobRequest;
use parsleyspool_core::route::RouteTable;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::Address;

/// Next ticket of this process.
static NEXT_TICKET: AtomicU64 = AtomicU64::new(1);

/// Whether an entry can be sent work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryReadiness {
    /// Whether it holds a configuration.
    pub is_configured: bool,
    /// Backend servers that take work.
    pub ready_servers: usize,
    /// Jobs not yet answered.
    pub open_jobs: usize,
}

/// Why no answer came from the entry itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// It had stopped; nothing was run.
    NotRun,
    /// It stopped meanwhile; the outcome is unknown.
    OutcomeUnknown,
}

/// Way into an entry.
#[derive(Debug, Clone)]
pub struct EntryHandle {
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
}

impl EntryHandle {
    pub(crate) fn new(address: Address<EntryActor>, shared: Arc<EntryShared>) -> Self {
        Self { address, shared }
    }

    /// Submits a job and waits for its answer; a caller that drops the future no longer waits.
    ///
    /// # Errors
    /// Fails where the entry has stopped.
    pub async fn submit(&self, request: JobRequest) -> Result<CallerAnswer, SubmitError> {
        let (job, deadline) = (request.job.clone(), request.deadline);
        let arrived = self.elapsed();
        let answer = self.submit_event(|ticket| EntryEvent::Submit { ticket, request }).await;
        let took = self.elapsed().saturating_sub(arrived);
        match &answer {
            Ok(answer) if self.shared.recorder.try_acquire_line() => {
                log_answer(&job, deadline, answer, took);
            }
            _ => {}
        }
        answer
    }

    /// Hands in the event that `event` makes of a ticket, and waits for its answer.
    pub(crate) async fn submit_event(
        &self,
        event: impl FnOnce(u64) -> EntryEvent,
    ) -> Result<CallerAnswer, SubmitError> {
        let ticket = NEXT_TICKET.fetch_add(1, Ordering::Relaxed);
        let event = event(ticket);
        let (waiter, answer) = oneshot::channel();
        let mut guard = DisconnectGuard { ticket, address: Some(self.address.clone()) };
        if self.address.send(CallerEvent { ticket, event, waiter }).await.is_err() {
            guard.disarm();
            return Err(SubmitError::NotRun);
        }
        let answer = answer.await;
        guard.disarm();
        answer.map_err(|_| SubmitError::OutcomeUnknown)
    }

    /// Takes the whole configuration as read from where it lasts; none where it is unchanged.
    pub async fn update_config(&self, snapshot: Option<ConfigSnapshot>, sent: Duration) {
        // An entry that has stopped has no use for it.
        let _ = self.address.send(HandleEvent(EntryEvent::ConfigSeen { snapshot, sent })).await;
    }

    /// Routes of the configuration in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.shared.routes.borrow().clone()
    }

    /// Jobs of a kind of request for which no task has started.
    pub async fn waiting_jobs(&self, service: ServiceName, request: RequestName) -> usize {
        self.address.send(QueryWaitingJobs { service, request }).await.unwrap_or(0)
    }

    /// Whether the entry can be sent work; `None` once it has stopped.
    pub async fn readiness(&self) -> Option<EntryReadiness> {
        self.address.send(QueryReadiness).await.ok()
    }

    /// Time on the clock of the entry.
    pub fn elapsed(&self) -> Duration {
        self.shared.interfaces.clock.now().elapsed
    }

    /// Metrics as text.
    pub fn render_metrics(&self) -> String {
        self.shared.metrics.render()
    }

    /// Counts an answer and the time that it took.
    pub fn count_answer(&self, kind: &str, took: Duration) {
        self.shared.metrics.count_answer(kind, None);
        self.shared.metrics.observe_job(took);
    }
}

fn log_answer(job: &str, deadline: Option<Duration>, answer: &CallerAnswer, took: Duration) {
    tracing::info!(
        event = "answered",
        job,
        submission = format_id(answer.submission),
        answer = answer.answer.kind_name(),
        version = answer.version,
        deadline_ms = deadline.map(|deadline| deadline.as_millis()),
        took_ms = took.as_millis()
    );
}

/// Tells the actor when the caller's connection ends before its answer.
struct DisconnectGuard {
    ticket: u64,
    address: Option<Address<EntryActor>>,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.address = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let Some(address) = self.address.take() else { return };
        let ticket = self.ticket;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                // An entry that has stopped holds no job.
                let _ = address.send(CallerDisconnected(ticket)).await;
            });
        }
    }
}
