//! Stand-in for a worker of the platform, which announces itself to its agent and restarts under
//! the same id.

use crate::http_server::{HttpRequest, HttpResponse, HttpServer, HttpService};
use crate::run_record::RunRecord;
use crate::worker_incarnation::WorkerIncarnation;
use crate::worker_state::CAPACITY_CPU;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Service of all workers.
pub const SERVICE: &str = "tokens";
/// Header with the id of the worker that a call is meant for.
const TARGET_HEADER: &str = "x-target-instance";
/// Memory of a worker, in MiB.
const CAPACITY_MEMORY_MB: u32 = 131_072;
/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);
/// Time from a failed announcement to the next attempt.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(300);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for runs whose time is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Longest time after which a call without a response is executed.
const MAX_LATE_MS: u64 = 2000;
/// Lowest rate of a worker's clock.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Age of a worker, and delays and losses of its messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerFaults {
    /// Time for which the first incarnation has been up when its agent starts.
    pub first_age: Duration,
    /// Longest time from the first call that an incarnation accepts to its first announcement.
    pub max_announce_delay: Duration,
    /// Calls of a thousand that get no response and are executed late.
    pub late_per_mille: u32,
    /// Longest delay of a response.
    pub max_answer_delay: Duration,
}

/// Where a worker is, and who it is in all of its incarnations.
#[derive(Debug, Clone)]
pub struct WorkerIdentity {
    pub id: String,
    pub machine: String,
    pub domain: String,
    pub address: SocketAddr,
    /// Address of its agent for announcements.
    pub control: SocketAddr,
}

/// Worker, up or down.
#[derive(Debug)]
pub struct WorkerStandIn {
    identity: WorkerIdentity,
    faults: WorkerFaults,
    record: Arc<RunRecord>,
    random: Mutex<ChaCha8Rng>,
    /// `None` while the worker is down.
    current: Mutex<Option<Arc<WorkerIncarnation>>>,
}

impl WorkerStandIn {
    fn random(&self) -> MutexGuard<'_, ChaCha8Rng> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn current(&self) -> MutexGuard<'_, Option<Arc<WorkerIncarnation>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_incarnation(&self, age: Duration) -> Arc<WorkerIncarnation> {
        let clock_rate = self.random().random_range(MIN_CLOCK_RATE..=1.0);
        let WorkerIdentity { id, machine, .. } = &self.identity;
        let record = self.record.clone();
        let incarnation = WorkerIncarnation::start(id, machine, age, clock_rate, record);
        *self.current() = Some(incarnation.clone());
        incarnation
    }

    fn crash(&self) {
        if let Some(incarnation) = self.current().take() {
            incarnation.crash();
        }
    }

    fn draws_late(&self) -> bool {
        self.random().random_range(0..1000) < self.faults.late_per_mille
    }

    fn draw_delay(&self, longest: Duration) -> Duration {
        longest.mul_f64(self.random().random_range(0.0..=1.0))
    }

    /// Executes a call later, at the incarnation that is up by then.
    async fn execute_late(self: Arc<Self>, request: HttpRequest) {
        let delay = Duration::from_millis(self.random().random_range(0..=MAX_LATE_MS));
        tokio::time::sleep(delay).await;
        let incarnation = self.current().clone();
        if let Some(incarnation) = incarnation {
            incarnation.execute(&request).await;
        }
    }

    fn announcement(&self, incarnation: &WorkerIncarnation, sequence: u64) -> Value {
        let identity = &self.identity;
        json!({
            "service": SERVICE,
            "address": identity.address.to_string(),
            "zone": identity.domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": CAPACITY_CPU, "memMb": CAPACITY_MEMORY_MB, "gpus": 0},
            "labels": ["a", "r1"],
            "clockMs": incarnation.clock().as_millis() as u64,
            "seqNo": sequence,
            "born": incarnation.started_at_ms,
            "machine": identity.machine,
        })
    }

    /// Announces an incarnation to the agent; never returns.
    async fn announce(self: Arc<Self>, incarnation: Arc<WorkerIncarnation>) {
        let client = reqwest::Client::builder().no_proxy().timeout(ANNOUNCE_TIMEOUT).build();
        let client = client.expect("a client");
        let url = format!("http://{}/v1/instances/{}", self.identity.control, self.identity.id);
        tokio::time::sleep(self.draw_delay(self.faults.max_announce_delay)).await;
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = self.announcement(&incarnation, sequence);
            let response = client.put(&url).json(&body).send().await;
            let is_accepted = response.is_ok_and(|response| response.status().is_success());
            let delay = if is_accepted { ANNOUNCE_INTERVAL } else { ANNOUNCE_RETRY_DELAY };
            tokio::time::sleep(delay).await;
        }
    }
}

impl HttpService for WorkerStandIn {
    async fn answer(self: Arc<Self>, request: HttpRequest) -> Option<HttpResponse> {
        let incarnation = self.current().clone()?;
        if request.headers.get(TARGET_HEADER).is_some_and(|target| *target != self.identity.id) {
            return Some(HttpResponse::empty(421));
        }
        if self.draws_late() {
            tokio::spawn(self.execute_late(request));
            return None;
        }
        let response = incarnation.execute(&request).await;
        tokio::time::sleep(self.draw_delay(self.faults.max_answer_delay)).await;
        response
    }
}

/// Worker with the tasks of its current incarnation.
#[derive(Debug)]
pub struct LiveWorker {
    worker: Arc<WorkerStandIn>,
    server: HttpServer,
    announcing: JoinHandle<()>,
}

impl LiveWorker {
    pub async fn start(
        identity: WorkerIdentity,
        faults: WorkerFaults,
        record: Arc<RunRecord>,
        seed: u64,
    ) -> Self {
        let worker = Arc::new(WorkerStandIn {
            identity,
            faults,
            record,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            current: Mutex::new(None),
        });
        let (server, announcing) = start_serving(&worker, faults.first_age).await;
        Self { worker, server, announcing }
    }

    /// Crashes and starts again under the same id after `down`.
    pub async fn restart(&mut self, down: Duration) {
        self.worker.crash();
        self.announcing.abort();
        self.server.close().await;
        tokio::time::sleep(down).await;
        (self.server, self.announcing) = start_serving(&self.worker, Duration::ZERO).await;
    }
}

/// Starts an incarnation of the age `age`, its listener and its announcements.
async fn start_serving(worker: &Arc<WorkerStandIn>, age: Duration) -> (HttpServer, JoinHandle<()>) {
    let listener = TcpListener::bind(worker.identity.address).await.expect("the address is free");
    let incarnation = worker.start_incarnation(age);
    tokio::spawn(end_runs_in_time(incarnation.clone()));
    let announcing = tokio::spawn(worker.clone().announce(incarnation));
    (HttpServer::open(listener, worker.clone()), announcing)
}

/// Ends the runs of an incarnation whose time is over, until it crashes.
async fn end_runs_in_time(incarnation: Arc<WorkerIncarnation>) {
    while incarnation.end_due_runs() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
