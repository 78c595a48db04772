//! One backend server as an entry knows it.

use super::run_times::{MAX_SLOWDOWN, MIN_SLOWDOWN, MovingAverage};
use crate::entry::LoadReport;
use crate::id::{
    DomainName, Incarnation, PeerAddress, ServerName, ServiceName, Version, WorkerName,
};
use crate::lifecycle::{LifecycleCharts, ServerEvent, ServerState};
use crate::resources::ResourceAmounts;
use std::collections::VecDeque;
use std::time::Duration;

/// What an agent reports of its backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerReport {
    /// Name of the backend server.
    pub name: ServerName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// Where the agent takes starts.
    pub address: PeerAddress,
    /// Failure domain.
    pub domain: DomainName,
    /// Worker that it runs on.
    pub worker: WorkerName,
    /// Services that it offers.
    pub services: Vec<ServiceName>,
    /// Room for tasks that run at once.
    pub capacity: ResourceAmounts,
    /// Slots that may run and queue there together.
    pub load_limit: u32,
    /// Slots running and queued there, from all entries.
    pub load: u32,
    /// Of these, slots of the entry that is told.
    pub own_load: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Clock of the agent when it sent the report.
    pub clock: Duration,
    /// Configuration version that the agent knows.
    pub version: Version,
}

/// When a server is distrusted and trusted again.
#[derive(Debug, Clone)]
pub struct QuarantinePolicy {
    /// Share of failures above which a server is set aside.
    pub failure_share: f64,
    /// Results before which nothing is judged.
    pub min_results: u32,
    /// Failures one after the other from which a server is set aside, whatever went before.
    pub failures_in_row: u32,
    /// First time aside; it doubles with each failed probe.
    pub first_quarantine: Duration,
    /// Longest time aside.
    pub max_quarantine: Duration,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        Self {
            failure_share: 0.5,
            min_results: 5,
            failures_in_row: u32::MAX,
            first_quarantine: Duration::from_secs(2),
            max_quarantine: Duration::from_secs(60),
        }
    }
}

/// Incarnations remembered as gone.
const RETIRED_KEPT: usize = 4;

/// One backend server.
#[derive(Debug)]
pub struct ServerRecord {
    report: ServerReport,
    last_heartbeat: Duration,
    state: ServerState,
    own_load: u32,
    retired: VecDeque<Incarnation>,
    failure_share: MovingAverage,
    results: u32,
    failures_in_row: u32,
    slowdown: MovingAverage,
    mean_run_time: MovingAverage,
    quarantine_time: Duration,
    quarantined_until: Duration,
}

impl ServerRecord {
    /// Server first heard of at `now`.
    pub fn new(report: ServerReport, now: Duration) -> Self {
        let mut server = Self {
            report,
            last_heartbeat: now,
            state: LifecycleCharts::shared().server.initial(),
            own_load: 0,
            retired: VecDeque::new(),
            failure_share: MovingAverage::new(0.0),
            results: 0,
            failures_in_row: 0,
            slowdown: MovingAverage::new(1.0),
            mean_run_time: MovingAverage::new(0.0),
            quarantine_time: Duration::ZERO,
            quarantined_until: Duration::ZERO,
        };
        server.update_state();
        server
    }

    /// The same server, with the incarnations that it had before.
    pub fn with_retired(self, retired: VecDeque<Incarnation>) -> Self {
        Self { retired, ..self }
    }

    /// Incarnations gone once this one is replaced.
    pub fn retire(&self) -> VecDeque<Incarnation> {
        let mut retired = self.retired.clone();
        retired.push_back(self.report.incarnation);
        while retired.len() > RETIRED_KEPT {
            retired.pop_front();
        }
        retired
    }

    /// Whether `incarnation` was replaced by the present one.
    pub fn has_retired(&self, incarnation: Incarnation) -> bool {
        self.retired.contains(&incarnation)
    }

    /// Takes a later report of the same incarnation.
    pub fn refresh(&mut self, report: ServerReport, now: Duration) {
        self.report = report;
        self.last_heartbeat = now;
        self.update_state();
    }

    /// Takes the load that came with an answer.
    pub fn update_load(&mut self, load: LoadReport) {
        self.report.load = load.load;
        self.report.own_load = load.own;
    }

    fn update_state(&mut self) {
        let event = if self.report.is_leaving { ServerEvent::Leave } else { ServerEvent::Serve };
        self.advance(event);
    }

    /// Follows the chart; `false` where the present state does not take `event`.
    pub fn advance(&mut self, event: ServerEvent) -> bool {
        match LifecycleCharts::shared().server.next(self.state, event) {
            Ok(state) => {
                self.state = state;
                true
            }
            Err(_) => false,
        }
    }

    /// Name of the server.
    pub fn name(&self) -> &ServerName {
        &self.report.name
    }

    /// Incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.report.incarnation
    }

    /// Number of the latest report.
    pub fn sequence(&self) -> u64 {
        self.report.sequence
    }

    /// Latest report.
    pub fn latest_report(&self) -> &ServerReport {
        &self.report
    }

    /// Failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.report.domain
    }

    /// Services offered.
    pub fn services(&self) -> &[ServiceName] {
        &self.report.services
    }

    /// Time of the latest heartbeat.
    pub fn last_heartbeat(&self) -> Duration {
        self.last_heartbeat
    }

    /// State as the chart has it.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Slots of own tasks there.
    pub fn own_load(&self) -> u32 {
        self.own_load
    }

    /// Load by the latest report and the own tasks sent since.
    pub fn load(&self) -> u32 {
        let others = self.report.load.saturating_sub(self.report.own_load);
        others + self.own_load
    }

    /// Ratio of the run times here to the run times of all servers.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.value().clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
    }

    /// Mean run time of the tasks here, zero before the first.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run_time.value().max(0.0))
    }

    /// Time on the clock of the agent that is surely not later than `at` on the own clock.
    pub fn agent_time(&self, at: Duration) -> Duration {
        let ahead = at.saturating_sub(self.last_heartbeat);
        let behind = self.last_heartbeat.saturating_sub(at);
        (self.report.clock + ahead).saturating_sub(behind)
    }

    /// End of a permit up to `until`, on the clock of the agent; never after the lease that the
    /// answer to its latest heartbeat gave, since then its runs are taken for ended.
    pub fn permit_until(&self, until: Duration, run_lease: Option<Duration>) -> Duration {
        let permit = self.agent_time(until);
        run_lease.map_or(permit, |lease| permit.min(self.report.clock + lease))
    }

    /// Counts the slots of an own task sent.
    pub fn reserve(&mut self, slots: u32) {
        self.own_load += slots;
    }

    /// Counts the slots of an own task that ended or did not start.
    pub fn release(&mut self, slots: u32) {
        self.own_load = self.own_load.saturating_sub(slots);
    }

    /// Learns from a task that ran to its answer.
    pub fn record_success(&mut self, slowdown_sample: f64, run_time: Duration) {
        self.slowdown.record(slowdown_sample.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN));
        if self.mean_run_time.value() == 0.0 {
            self.mean_run_time = MovingAverage::new(run_time.as_secs_f64());
        }
        self.mean_run_time.record(run_time.as_secs_f64());
        self.results = self.results.saturating_add(1);
        self.failure_share.record(0.0);
        self.failures_in_row = 0;
        if self.advance(ServerEvent::Release) {
            self.failure_share = MovingAverage::new(0.0);
            self.results = 0;
            self.quarantine_time = Duration::ZERO;
        }
    }

    /// Learns from a task that the server failed; returns whether the server is now set aside.
    pub fn record_failure(&mut self, policy: &QuarantinePolicy, now: Duration) -> bool {
        self.results = self.results.saturating_add(1);
        self.failure_share.record(1.0);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        let is_probe = self.state == ServerState::Probing;
        let is_failing =
            self.results >= policy.min_results && self.failure_share.value() > policy.failure_share;
        let is_failing = is_failing || self.failures_in_row >= policy.failures_in_row;
        if !(is_probe || is_failing) || !self.advance(ServerEvent::Quarantine) {
            return false;
        }
        self.quarantine_time =
            (self.quarantine_time * 2).clamp(policy.first_quarantine, policy.max_quarantine);
        self.quarantined_until = now + self.quarantine_time;
        true
    }

    /// Lets a probe in once the time aside is over.
    pub fn end_quarantine(&mut self, now: Duration) {
        if self.state == ServerState::Quarantined && now >= self.quarantined_until {
            self.advance(ServerEvent::Probe);
        }
    }
}
