//! State machine of an entry.
//!
//! [`EntryMachine`] takes an [`EntryEvent`] and the current time and returns the [`EntryAction`]s
//! for the daemon to execute. It admits jobs, places their tasks, collects the answers, and
//! enforces the invariants of a single entry:
//!
//! * a task is sent again only once it is known that it did not start, or that its run has ended
//!   and may be repeated;
//! * a job gets exactly one answer, either complete or a single error;
//! * a task is sent only while the configuration is confirmed to be in force, unless
//!   [`EntryLimits::serves_unconfirmed`] is set;
//! * a non-idempotent request is sent only after its claim was read back from the log.
//!
//! One submodule handles each step of a job: `admission` and `idempotency` decide whether it is
//! accepted, `estimate` whether it can meet its deadline, `deadline_probe` which job tests that,
//! `priority`, `load_shedding` and `overload` what happens while it waits, `dispatch` places and
//! retries its tasks, `outcome` handles the replies of agents, `crash_limit` gives up tasks that crash
//! their servers, and `completion` answers the job; `refusal_event` records why a job or a task was
//! turned away. `resume` holds back starts after the process stood still. `heartbeat` handles the
//! reports of agents, `control_plane` configuration, claims and other entries, and `gauges` counts for
//! metrics and readiness.

mod action;
mod admission;
mod append_limiter;
mod completion;
mod control_plane;
mod crash_limit;
mod deadline_probe;
mod dispatch;
mod estimate;
mod event;
mod gauges;
mod heartbeat;
mod idempotency;
mod limits;
mod load_shedding;
mod messages;
mod outcome;
mod overload;
mod priority;
mod refusal_event;
mod resume;

pub use action::EntryAction;
pub use deadline_probe::RequestKind;
pub use event::{EntryEvent, ExchangeFailure, StreamRead};
pub use gauges::{EntryGauges, PRIORITY_COUNTS};
pub use limits::EntryLimits;
pub use messages::{
    AgentDirective, InterruptCause, LoadReport, NotStartedReason, StartId, StartRequest, TaskReply,
};

use crate::audit_log::{RefusalBuffer, RefusalRecord};
use crate::claim::{ClaimKey, ClaimLedger, ClaimStep};
use crate::config::{ConfigFetch, ConfigLedger, FetchDecision, SnapshotSchedule, VersionGap};
use crate::directory::{LossHistory, RunTimes, ServerDirectory};
use crate::error::{ErrorKind, JobError, LimitDetails};
use crate::freshness::{FreshnessLease, FreshnessStatus, PeerReport};
use crate::id::{
    DomainName, EntryName, Incarnation, JobName, Offset, ServiceName, SubmissionId, TaskId,
    TeamName, Version,
};
use crate::job::{ActiveJob, JobAnswer};
use crate::lifecycle::DomainState;
use crate::placement::PlacementPolicy;
use crate::queue::TeamQueue;
use crate::retry::RetryBudget;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use append_limiter::AppendLimiter;
use deadline_probe::DeadlineProbes;
use load_shedding::LoadShedder;
use overload::OverloadControl;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Identity of an entry.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Name of the entry, kept when the instance is replaced.
    pub name: EntryName,
    /// Random number drawn at each start of the process.
    pub incarnation: Incarnation,
    /// Failure domain that the entry runs in.
    pub domain: DomainName,
    /// Index among the configured entries; staggers the republication of the configuration, so that
    /// entries do not republish it at the same time.
    pub rank: u32,
}

/// Whether an entry accepts jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryPhase {
    Serving,
    /// Refuses new jobs and finishes the accepted ones.
    Draining,
    /// The listeners are closed, so no further job can arrive.
    Closing,
}

/// State of a failure domain and the time at which it was entered.
#[derive(Debug, Clone, Copy)]
struct DomainStatus {
    state: DomainState,
    since: Duration,
}

/// Open tasks of each team at another entry.
#[derive(Debug)]
struct PeerLoad {
    requested_at: Duration,
    teams: BTreeMap<TeamName, u32>,
}

/// Answer of a claimed job, cached for resubmissions.
#[derive(Debug)]
struct CachedAnswer {
    submission: SubmissionId,
    digest: u64,
    answer: JobAnswer,
    expires_at: Duration,
}

/// State machine of one entry; it does no I/O and reads no clock.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    limits: EntryLimits,
    ledger: ConfigLedger,
    config_fetch: ConfigFetch,
    snapshot_schedule: SnapshotSchedule,
    claims: ClaimLedger,
    claim_limiter: AppendLimiter,
    refusal_limiter: AppendLimiter,
    /// Claim steps to append next.
    claim_outbox: Vec<ClaimStep>,
    /// Claim steps of the append that is in flight; empty if there is none.
    claims_in_flight: Vec<ClaimStep>,
    /// When the latest read that reached the end of the claim stream was started.
    claims_read_at: Option<Duration>,
    freshness: FreshnessLease,
    freshness_status: FreshnessStatus,
    directory: ServerDirectory,
    losses: LossHistory,
    run_times: RunTimes,
    /// When the latest run lease granted to an incarnation of an agent ends, by the index of its server
    /// and the incarnation.
    run_leases: HashMap<(usize, Incarnation), Duration>,
    policy: Box<dyn PlacementPolicy>,
    random: ChaCha8Rng,
    queue: TeamQueue,
    retry_budget: RetryBudget,
    refusal_buffer: RefusalBuffer,
    jobs: HashMap<SubmissionId, ActiveJob>,
    waiters: HashMap<u64, SubmissionId>,
    deadlines: BTreeSet<(Duration, SubmissionId)>,
    claim_deadlines: BTreeSet<(Duration, SubmissionId)>,
    /// Times after which waiting jobs are reclassified.
    reclassify_times: BTreeSet<(Duration, SubmissionId)>,
    load_shedder: LoadShedder,
    overload: OverloadControl,
    deadline_probes: DeadlineProbes,
    /// Times of the next status query about each sent task.
    status_queries: BTreeSet<(Duration, TaskId)>,
    cached_answers: HashMap<ClaimKey, CachedAnswer>,
    /// Open tasks of each team at this entry.
    team_load: HashMap<TeamName, u32>,
    peer_loads: BTreeMap<EntryName, PeerLoad>,
    /// Failure domains whose availability operators have set.
    domains: BTreeMap<DomainName, DomainStatus>,
    /// Open tasks of all teams at this entry.
    open_tasks: usize,
    next_submission: u64,
    /// Latest version whose acceptance is recorded in the timeline.
    accepted_version: Version,
    /// No task starts before this time.
    starts_held_until: Duration,
    phase: EntryPhase,
    actions: Vec<EntryAction>,
}

impl EntryMachine {
    /// Creates an entry without configuration or servers; `seed` makes its random choices
    /// reproducible.
    pub fn new(identity: EntryIdentity, limits: EntryLimits, seed: u64) -> Self {
        let delay = limits.retention / 200 * identity.rank;
        let snapshot_schedule =
            SnapshotSchedule::new(limits.snapshot_records, limits.retention, delay);
        Self {
            ledger: ConfigLedger::new(),
            config_fetch: ConfigFetch::default(),
            snapshot_schedule,
            claims: ClaimLedger::new(limits.claim_window + limits.longest_deadline),
            claim_limiter: AppendLimiter::new(limits.claim_appends),
            refusal_limiter: AppendLimiter::new(limits.refusal_appends),
            claim_outbox: Vec::new(),
            claims_in_flight: Vec::new(),
            claims_read_at: None,
            freshness: FreshnessLease::new(identity.name.clone(), limits.lease),
            freshness_status: FreshnessStatus::Lapsed,
            directory: ServerDirectory::new(limits.directory.clone()),
            losses: LossHistory::default(),
            run_times: RunTimes::new(),
            run_leases: HashMap::new(),
            policy: limits.placement.policy(limits.cross_domain_percent),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: TeamQueue::new(),
            retry_budget: RetryBudget::new(limits.retry_ratio, limits.retry_reserve),
            refusal_buffer: RefusalBuffer::new(limits.max_buffered_refusals, limits.refusal_batch),
            jobs: HashMap::new(),
            waiters: HashMap::new(),
            deadlines: BTreeSet::new(),
            claim_deadlines: BTreeSet::new(),
            reclassify_times: BTreeSet::new(),
            load_shedder: LoadShedder::default(),
            overload: OverloadControl::default(),
            deadline_probes: DeadlineProbes::default(),
            status_queries: BTreeSet::new(),
            cached_answers: HashMap::new(),
            team_load: HashMap::new(),
            peer_loads: BTreeMap::new(),
            domains: BTreeMap::new(),
            open_tasks: 0,
            next_submission: 0,
            accepted_version: 0,
            starts_held_until: Duration::ZERO,
            phase: EntryPhase::Serving,
            actions: Vec::new(),
            identity,
            limits,
        }
    }

    /// Processes one event and returns the actions to execute, in order.
    pub fn handle(&mut self, event: EntryEvent, now: Moment) -> Vec<EntryAction> {
        match event {
            EntryEvent::Submit { waiter_id, request } => self.submit(waiter_id, request, now),
            EntryEvent::Malformed { waiter_id, kind, details } => {
                self.refuse_malformed(waiter_id, JobError::new(kind, details), now);
            }
            EntryEvent::Cancel { waiter_id } => self.handle_cancel(waiter_id, now),
            EntryEvent::Heartbeat(report) => self.handle_heartbeat(report, now),
            EntryEvent::Reply { start, reply, load } => self.handle_reply(start, reply, load, now),
            EntryEvent::NoReply { start, failure } => self.handle_no_reply(start, failure, now),
            EntryEvent::ConfigRead(read) => self.handle_config_read(read, now),
            EntryEvent::ConfigFetched { snapshot, requested_at } => {
                self.handle_config_fetched(snapshot, requested_at, now);
            }
            EntryEvent::ClaimsRead(read) => self.handle_claims_read(read, now),
            EntryEvent::ClaimsAppended { is_confirmed } => self.end_claim_append(is_confirmed),
            EntryEvent::RefusalsAppended { is_confirmed } => self.end_refusal_append(is_confirmed),
            EntryEvent::PeerReported { report, team_load, requested_at } => {
                self.handle_peer_report(report, team_load, requested_at, now);
            }
            EntryEvent::PeerSnapshot(snapshot) => self.handle_peer_snapshot(snapshot, now),
            EntryEvent::Tick => self.handle_tick(now),
            EntryEvent::Resumed => self.handle_resumption(now),
            EntryEvent::Drain => self.begin_drain(),
            EntryEvent::CloseAuditLog => self.phase = EntryPhase::Closing,
        }
        self.append_claims(now);
        std::mem::take(&mut self.actions)
    }

    /// Identity given at creation.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Configuration built from the log.
    pub fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Offset from which to read the claim stream next.
    pub fn next_claim_offset(&self) -> Offset {
        self.claims.next_offset()
    }

    /// Directory of backend servers.
    pub fn directory(&self) -> &ServerDirectory {
        &self.directory
    }

    /// Whether the configuration was confirmed at the latest evaluation, and until when.
    pub fn freshness_status(&self) -> FreshnessStatus {
        self.freshness_status
    }

    /// Report about this entry that is sent to other entries.
    pub fn peer_report(&self, now: Moment) -> PeerReport {
        self.freshness.report(self.ledger.configuration().version, now.elapsed)
    }

    /// Decides what to ask of the entry that last reported the version `reported`. The caller
    /// reports the end of a fetch with [`Self::end_config_fetch`].
    pub fn decide_config_fetch(&mut self, reported: Option<Version>, now: Moment) -> FetchDecision {
        let is_incomplete = !self.ledger.is_complete();
        let log_silence = self.freshness.log_silence(now.elapsed);
        let gap = VersionGap { own: self.version(), reported, is_incomplete, log_silence };
        self.config_fetch.decide(gap, now.elapsed)
    }

    /// Records the end of a fetch of the configuration, with or without an answer.
    pub fn end_config_fetch(&mut self) {
        self.config_fetch.end();
    }

    /// Tasks of each team accepted at this entry and not yet answered.
    pub fn team_load(&self) -> &HashMap<TeamName, u32> {
        &self.team_load
    }

    /// Whether a majority of the electorate has applied at least `version`.
    pub fn is_accepted(&self, version: Version) -> bool {
        let configuration = self.ledger.configuration();
        self.freshness.is_held_by_majority(
            version,
            configuration.version,
            &configuration.electorate,
        )
    }

    /// Whether the log has confirmed the closing record of this incarnation in the audit log.
    pub fn is_audit_log_closed(&self) -> bool {
        self.refusal_buffer.is_closed()
    }

    fn record_event(&mut self, event: TimelineEvent) {
        self.actions.push(EntryAction::RecordEvent(event));
    }

    fn record_job_event(&mut self, kind: EventKind, submission: SubmissionId) {
        self.record_event(TimelineEvent::new(kind).submission(submission));
    }

    fn version(&self) -> Version {
        self.ledger.configuration().version
    }

    /// Whether a start may be sent now.
    fn is_start_permitted(&self, now: Moment) -> bool {
        self.ledger.is_complete() && self.permit_until(now).is_some()
    }

    /// Latest end of a permit for a start; `None` if no start may be sent.
    fn permit_until(&self, now: Moment) -> Option<Duration> {
        let confirmed = self.freshness_status.until().filter(|&until| until > now.elapsed);
        let is_unconfirmed_allowed = self.limits.serves_unconfirmed && self.version() > 0;
        confirmed.or_else(|| is_unconfirmed_allowed.then_some(now.elapsed + self.limits.lease))
    }

    /// Whether the entry is in its warm-up, when servers may not have registered yet.
    fn is_warming_up(&self, now: Moment) -> bool {
        now.elapsed < self.limits.warm_up
    }

    fn record_refusal(&mut self, subject: RefusalSubject, error: JobError, now: Moment) {
        let record = RefusalRecord {
            sequence: 0,
            wall: now.wall,
            submission: subject.submission,
            job: subject.job,
            team: subject.team,
            service: subject.service,
            tasks: subject.tasks,
            error,
            version: self.version(),
        };
        if self.refusal_buffer.add(record) {
            let dropped = EventField::Dropped(self.refusal_buffer.dropped());
            self.record_event(TimelineEvent::new(EventKind::RefusalsDropped).field(dropped));
        }
    }
}

/// Why a job ends with an error.
#[derive(Debug)]
struct JobFailure {
    kind: ErrorKind,
    details: LimitDetails,
    /// Time after which the caller may submit the job again; `None` for that of the kind.
    retry_after: Option<Duration>,
}

/// Job that a refusal record is about.
#[derive(Debug)]
struct RefusalSubject {
    submission: SubmissionId,
    job: JobName,
    team: TeamName,
    service: ServiceName,
    tasks: u32,
}
