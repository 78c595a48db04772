//! Handle to a running entry, for the caller listener and the listeners of an embedder.

use super::actor::{CallerAnswer, CallerDisconnected, CallerEvent, EntryActor, HandleEvent};
use super::queries::{QueryReadiness, QueryWaitingJobs};
use super::{EntryShared, membership};
use crate::settings::EntrySeed;
use parsleyspool_core::config::ConfigSnapshot;
use parsleyspool_core::entry::EntryEvent;
use parsleyspool_core::id::{RequestName, ServiceName, Version, format_id};
use parsleyspool_core::job::JobRequest;
use parsleyspool_core::route::RouteTable;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::Address;

/// Next waiter ID, which identifies a waiting caller within this process.
static NEXT_WAITER_ID: AtomicU64 = AtomicU64::new(1);

/// Values that tell whether an entry can accept work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryReadiness {
    /// Whether the entry has a configuration.
    pub is_configured: bool,
    /// Number of backend servers to which a task may be sent.
    pub ready_servers: usize,
    /// Number of jobs not yet answered.
    pub open_jobs: usize,
}

/// Why a submission got no answer from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The entry had already stopped; no task was run.
    NotRun,
    /// The entry stopped before it answered; tasks may have run.
    OutcomeUnknown,
}

/// Handle to a running entry; clones share the entry.
#[derive(Debug, Clone)]
pub struct EntryHandle {
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
}

impl EntryHandle {
    pub(crate) fn new(address: Address<EntryActor>, shared: Arc<EntryShared>) -> Self {
        Self { address, shared }
    }

    /// Makes `seeds` the entries of the settings.
    pub fn replace_seeds(&self, seeds: Vec<EntrySeed>) {
        membership::replace_seeds(&self.shared, seeds);
    }

    /// Submits a job and waits for its answer; dropping the future cancels the job.
    ///
    /// # Errors
    /// Fails if the entry has stopped, or stops before it answers.
    pub async fn submit(&self, request: JobRequest) -> Result<CallerAnswer, SubmitError> {
        let (job, deadline) = (request.name.clone(), request.deadline);
        let arrived_at = self.elapsed();
        let answer = self.submit_event(|waiter_id| EntryEvent::Submit { waiter_id, request }).await;
        let response_time = self.elapsed().saturating_sub(arrived_at);
        match &answer {
            Ok(answer) if self.shared.recorder.try_acquire_line() => {
                log_answer(&job, deadline, answer, response_time);
            }
            _ => {}
        }
        answer
    }

    /// Sends the event that `event` builds for a new waiter ID, and waits for the answer.
    pub(crate) async fn submit_event(
        &self,
        event: impl FnOnce(u64) -> EntryEvent,
    ) -> Result<CallerAnswer, SubmitError> {
        let waiter_id = NEXT_WAITER_ID.fetch_add(1, Ordering::Relaxed);
        let event = event(waiter_id);
        // Dropped after the answer channel, so that the actor sees a closed channel once it has been
        // told of the disconnection.
        let mut guard = DisconnectGuard { waiter_id, address: Some(self.address.clone()) };
        let (waiter, answer) = oneshot::channel();
        if self.address.send(CallerEvent { waiter_id, event, waiter }).await.is_err() {
            guard.disarm();
            return Err(SubmitError::NotRun);
        }
        let answer = answer.await;
        guard.disarm();
        answer.map_err(|_| SubmitError::OutcomeUnknown)
    }

    /// Passes on the complete configuration as read from its durable store, or `None` if a read
    /// showed that it is unchanged.
    ///
    /// `requested_at` is the time, by [`Self::elapsed`], at which the read was sent.
    pub async fn update_config(&self, snapshot: Option<ConfigSnapshot>, requested_at: Duration) {
        // A send error means that the entry has stopped and needs no configuration.
        let _ = self
            .address
            .send(HandleEvent(EntryEvent::ConfigFetched { snapshot, requested_at }))
            .await;
    }

    /// Routes of the active configuration.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.shared.routes.borrow().clone()
    }

    /// Logs that no route of the configuration `version` matches a request.
    pub fn log_unknown_route(&self, host: &str, path: &str, version: Version) {
        if self.shared.recorder.try_acquire_line() {
            tracing::info!(event = "route_unknown", host, path, version);
        }
    }

    /// Number of jobs of this service whose first task has the kind `request` and of which no task
    /// has started; 0 if the entry has stopped.
    pub async fn waiting_jobs(&self, service: ServiceName, request: RequestName) -> usize {
        self.address.send(QueryWaitingJobs { service, request }).await.unwrap_or(0)
    }

    /// Values that tell whether the entry can accept work; `None` if it has stopped.
    pub async fn readiness(&self) -> Option<EntryReadiness> {
        self.address.send(QueryReadiness).await.ok()
    }

    /// Time on the entry's monotonic clock.
    pub fn elapsed(&self) -> Duration {
        self.shared.interfaces.clock.now().elapsed
    }

    /// Metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        self.shared.metrics.render()
    }

    /// Counts an answer of `kind` under the team label `unknown` and records its response time.
    pub fn count_answer(&self, kind: &str, response_time: Duration) {
        self.shared.metrics.count_answer(kind, None);
        self.shared.metrics.observe_response_time(response_time);
    }
}

fn log_answer(
    job: &str,
    deadline: Option<Duration>,
    answer: &CallerAnswer,
    response_time: Duration,
) {
    tracing::info!(
        event = "answered",
        job,
        submission = format_id(answer.submission),
        answer = answer.answer.kind_name(),
        version = answer.version,
        deadline_ms = deadline.map(|deadline| deadline.as_millis()),
        took_ms = response_time.as_millis()
    );
}

/// Tells the actor if the future of a caller is dropped before its answer.
struct DisconnectGuard {
    waiter_id: u64,
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
        let waiter_id = self.waiter_id;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                // A send error means that the entry has stopped and holds no jobs.
                let _ = address.send(CallerDisconnected(waiter_id)).await;
            });
        }
    }
}
