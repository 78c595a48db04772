//! Record of one backend server: latest report, state, load, slowdown and quarantine.

use super::moving_average::MovingAverage;
use super::run_times::{MAX_EVIDENCE_AGE, MAX_SLOWDOWN, MIN_SLOWDOWN};
use crate::entry::LoadReport;
use crate::id::{
    DomainName, Incarnation, PeerAddress, ServerName, ServiceName, SubmissionId, TaskName, Version,
    WorkerName,
};
use crate::lifecycle::{LifecycleCharts, ServerEvent, ServerState};
use crate::resources::ResourceAmounts;
use std::collections::VecDeque;
use std::time::Duration;

/// Heartbeat of an agent about its backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerReport {
    /// Name of the backend server, kept when the instance is replaced.
    pub name: ServerName,
    /// Incarnation of the agent, new after each start.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; lower numbers are outdated.
    pub sequence: u64,
    /// Address at which the agent accepts start requests.
    pub address: PeerAddress,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Worker that the server runs on.
    pub worker: WorkerName,
    /// Services that the server offers.
    pub services: Vec<ServiceName>,
    /// Capacity for tasks that run at the same time.
    pub capacity: ResourceAmounts,
    /// Maximum number of slots of running and queued tasks together.
    pub load_limit: u32,
    /// Slots of running and queued tasks, from all entries.
    pub load: u32,
    /// Part of `load` that comes from the entry that receives the report.
    pub own_load: u32,
    /// Whether the server is leaving and takes no new work.
    pub is_leaving: bool,
    /// Clock of the agent when it sent the report.
    pub clock: Duration,
    /// Configuration version of the agent.
    pub version: Version,
    /// Tasks that ran, or may have run, when the server was lost a short time ago; a task is listed
    /// once for each loss.
    pub lost_tasks: Vec<TaskName>,
    /// Submissions of the receiving entry with tasks that are queued or running at the agent; the
    /// oldest of them if there are very many.
    pub held_submissions: Vec<SubmissionId>,
}

/// When a server is quarantined, and for how long.
#[derive(Debug, Clone)]
pub struct QuarantinePolicy {
    /// Average share of failed tasks, from 0 to 1, above which a server is quarantined.
    pub failure_share: f64,
    /// Number of results before `failure_share` applies.
    pub min_results: u32,
    /// Number of consecutive failures that quarantine a server regardless of earlier results.
    pub failures_in_row: u32,
    /// Length of the first quarantine; it doubles with each failed probe.
    pub first_quarantine: Duration,
    /// Maximum length of a quarantine.
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

/// Maximum number of replaced incarnations remembered for one server.
const MAX_RETIRED: usize = 4;

/// State of one backend server at an entry.
#[derive(Debug)]
pub struct ServerRecord {
    report: ServerReport,
    last_heartbeat: Duration,
    load_at: Duration,
    state: ServerState,
    own_load: u32,
    retired: VecDeque<Incarnation>,
    failure_share: MovingAverage,
    results: u32,
    failures_in_row: u32,
    slowdown: MovingAverage,
    mean_run_time: MovingAverage,
    /// When the latest task was answered.
    answered_at: Duration,
    quarantine_time: Duration,
    quarantined_until: Duration,
}

impl ServerRecord {
    /// Record of a server whose first report arrived at `now`.
    pub fn new(report: ServerReport, now: Duration) -> Self {
        let mut server = Self {
            report,
            last_heartbeat: now,
            load_at: now,
            state: LifecycleCharts::shared().server.initial(),
            own_load: 0,
            retired: VecDeque::new(),
            failure_share: MovingAverage::new(0.0),
            results: 0,
            failures_in_row: 0,
            slowdown: MovingAverage::new(1.0),
            mean_run_time: MovingAverage::unmeasured(),
            answered_at: Duration::ZERO,
            quarantine_time: Duration::ZERO,
            quarantined_until: Duration::ZERO,
        };
        server.update_state();
        server
    }

    /// The same record with the replaced incarnations of the server.
    pub fn with_retired(self, retired: VecDeque<Incarnation>) -> Self {
        Self { retired, ..self }
    }

    /// Replaced incarnations of the server and its current one, oldest first.
    pub fn retired_with_current(&self) -> VecDeque<Incarnation> {
        let mut retired = self.retired.clone();
        retired.push_back(self.report.incarnation);
        while retired.len() > MAX_RETIRED {
            retired.pop_front();
        }
        retired
    }

    /// Whether a later incarnation replaced `incarnation`.
    pub fn has_retired(&self, incarnation: Incarnation) -> bool {
        self.retired.contains(&incarnation)
    }

    /// Stores a later report of the same incarnation, received at `now`.
    pub fn refresh(&mut self, report: ServerReport, now: Duration) {
        self.report = report;
        self.last_heartbeat = now;
        self.load_at = now;
        self.update_state();
    }

    /// Updates the reported load from a task reply received at `now`.
    pub fn update_load(&mut self, load: LoadReport, now: Duration) {
        self.report.load = load.load;
        self.report.own_load = load.own_load;
        self.load_at = now;
    }

    /// Time of the latest report of the load, in a heartbeat or a task reply.
    pub fn load_at(&self) -> Duration {
        self.load_at
    }

    fn update_state(&mut self) {
        let event = if self.report.is_leaving { ServerEvent::Leave } else { ServerEvent::Serve };
        self.advance(event);
    }

    /// Applies `event`; returns `false` if the chart has no transition for it in the current state.
    pub fn advance(&mut self, event: ServerEvent) -> bool {
        match LifecycleCharts::shared().server.next(self.state, event) {
            Ok(state) => {
                self.state = state;
                true
            }
            Err(_) => false,
        }
    }

    /// Name of the server, kept when the instance is replaced.
    pub fn name(&self) -> &ServerName {
        &self.report.name
    }

    /// Current incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.report.incarnation
    }

    /// Number of the latest report within its incarnation.
    pub fn sequence(&self) -> u64 {
        self.report.sequence
    }

    /// Latest report, with the load updated by later task replies.
    pub fn latest_report(&self) -> &ServerReport {
        &self.report
    }

    /// Failure domain of the server.
    pub fn domain(&self) -> &DomainName {
        &self.report.domain
    }

    /// Services in the latest report.
    pub fn services(&self) -> &[ServiceName] {
        &self.report.services
    }

    /// Time at which the latest heartbeat arrived, on this entry's clock.
    pub fn last_heartbeat(&self) -> Duration {
        self.last_heartbeat
    }

    /// Current state in the server chart.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Slots reserved for tasks of this entry.
    pub fn own_load(&self) -> u32 {
        self.own_load
    }

    /// Estimated load in slots: the load from other entries by the latest report, plus the slots
    /// reserved for tasks of this entry.
    pub fn load(&self) -> u32 {
        let others = self.report.load.saturating_sub(self.report.own_load);
        others.saturating_add(self.own_load)
    }

    /// Load in slots that [`Self::load`] and the other entries are expected to add up to, if
    /// `entry_count` entries send tasks to the server.
    ///
    /// The other entries know the same report, so they have sent tasks since then as well: each is
    /// assumed to have sent half as much as this one.
    pub fn expected_load(&self, entry_count: u32) -> u32 {
        let unreported = self.own_load.saturating_sub(self.report.own_load);
        let others = entry_count.saturating_sub(1);
        self.load().saturating_add(unreported.saturating_mul(others) / 2)
    }

    /// Records that the server had no room for a task, whatever its reported load, until its next
    /// report.
    pub fn mark_full(&mut self) {
        self.report.load = self.report.load.max(self.report.load_limit);
    }

    /// Run time on this server relative to the average of all servers: 1 is average, 2 takes twice
    /// as long.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.value().clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
    }

    /// Average run time of tasks on this server; zero before the first.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run_time.value().max(0.0))
    }

    /// The same, if a task was answered recently enough for it to be evidence at `now`.
    pub fn recent_run_time(&self, now: Duration) -> Option<Duration> {
        let is_recent = now < self.answered_at + MAX_EVIDENCE_AGE;
        (is_recent && !self.mean_run_time.is_unmeasured()).then(|| self.mean_run_time())
    }

    /// Lower bound of the agent's clock when this entry's clock shows `at`.
    pub fn agent_time(&self, at: Duration) -> Duration {
        let ahead = at.saturating_sub(self.last_heartbeat);
        let behind = self.last_heartbeat.saturating_sub(at);
        (self.report.clock + ahead).saturating_sub(behind)
    }

    /// Reserves `slots` for a task sent by this entry.
    pub fn reserve(&mut self, slots: u32) {
        self.own_load = self.own_load.saturating_add(slots);
    }

    /// Releases the slots of a task that ended or did not start.
    pub fn release(&mut self, slots: u32) {
        self.own_load = self.own_load.saturating_sub(slots);
    }

    /// Records a task that was answered at `now`; releases a probed server from quarantine.
    pub fn record_success(&mut self, slowdown_sample: f64, run_time: Duration, now: Duration) {
        self.slowdown.record(slowdown_sample.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN));
        self.mean_run_time.record(run_time.as_secs_f64());
        self.answered_at = now;
        self.results = self.results.saturating_add(1);
        self.failure_share.record(0.0);
        self.failures_in_row = 0;
        if self.advance(ServerEvent::Release) {
            self.failure_share = MovingAverage::new(0.0);
            self.results = 0;
            self.quarantine_time = Duration::ZERO;
        }
    }

    /// Records a task that the server failed; returns whether this quarantines the server.
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

    /// Allows a probe if the quarantine is over at `now`.
    pub fn end_quarantine(&mut self, now: Duration) {
        if self.state == ServerState::Quarantined && now >= self.quarantined_until {
            self.advance(ServerEvent::Probe);
        }
    }
}
