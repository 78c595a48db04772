//! Decisions of an entry.
//!
//! [`EntryMachine`] takes an [`EntryEvent`] and the present time and returns what to do next as a
//! list of [`EntryAction`]. It admits jobs, places their tasks, gathers the answers, and keeps the
//! promises that concern a single entry:
//!
//! * a task is sent again only after a proof that it did not start;
//! * a job is answered once, whole or with one error;
//! * nothing is sent without evidence that the configuration is in force;
//! * a non-idempotent request is sent only under a claim read back from the log.

mod action;
mod admit;
mod control;
mod dispatch;
mod ending;
mod estimate;
mod event;
mod exchange;
mod key;
mod late;
mod limits;
mod outcome;
mod pace;
mod patience;

pub use action::EntryAction;
pub use event::{BrokenReach, EntryEvent, StreamRead};
pub use exchange::{
    AgentDirective, LoadReport, NotStartedReason, SentStart, StartOrder, TaskReply,
};
pub use limits::EntryLimits;

use crate::account::{RefusalBook, RefusalRecord};
use crate::claim::{ClaimKey, ClaimLedger, ClaimStep};
use crate::config::{ConfigLedger, SnapshotSchedule};
use crate::directory::{RunTimes, ServerDirectory};
use crate::error::JobError;
use crate::freshness::{FreshnessLease, FreshnessVerdict, PeerReport};
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
use crate::timeline::{EventFigure, EventKind, TimelineEvent};
use late::LateJobs;
use pace::AppendPace;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Who this entry is.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Name, kept over replacements.
    pub name: EntryName,
    /// Random number of this start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainName,
    /// Position among the entries of the settings, to keep them out of step.
    pub rank: u32,
}

/// Whether an entry takes jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryPhase {
    Serving,
    /// Refuses jobs and finishes those that it has.
    Draining,
    /// No caller can reach it any more.
    Closing,
}

/// Failure domain as this entry fills it.
#[derive(Debug, Clone, Copy)]
struct DomainLife {
    state: DomainState,
    since: Duration,
}

/// Open tasks at another entry.
#[derive(Debug)]
struct PeerLoad {
    asked: Duration,
    teams: BTreeMap<TeamName, u32>,
}

/// Answer of a claimed job, kept for its resubmission.
#[derive(Debug)]
struct KeptAnswer {
    submission: SubmissionId,
    digest: u64,
    answer: JobAnswer,
    until: Duration,
}

/// Figures for metrics and status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryGauges {
    /// Jobs not yet answered.
    pub jobs: usize,
    /// Tasks queued here.
    pub queued: usize,
    /// Tasks held, queued and sent.
    pub held: usize,
    /// Servers known and not forgotten.
    pub servers: usize,
    /// Refusals that the log has not confirmed.
    pub refusals_waiting: usize,
    /// Refusals dropped because too many waited.
    pub refusals_dropped: u64,
    /// Claims remembered.
    pub claims: usize,
    /// Other entries heard from within the lease.
    pub peers: usize,
}

/// Decisions of one entry.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    limits: EntryLimits,
    ledger: ConfigLedger,
    schedule: SnapshotSchedule,
    claims: ClaimLedger,
    claim_pace: AppendPace,
    account_pace: AppendPace,
    claim_outbox: Vec<ClaimStep>,
    claims_in_flight: Vec<ClaimStep>,
    claims_read: Option<Duration>,
    freshness: FreshnessLease,
    verdict: FreshnessVerdict,
    directory: ServerDirectory,
    run_times: RunTimes,
    policy: Box<dyn PlacementPolicy>,
    random: ChaCha8Rng,
    queue: TeamQueue,
    retries: RetryBudget,
    book: RefusalBook,
    jobs: HashMap<SubmissionId, ActiveJob>,
    tickets: HashMap<u64, SubmissionId>,
    dues: BTreeSet<(Duration, SubmissionId)>,
    claim_dues: BTreeSet<(Duration, SubmissionId)>,
    /// Times after which the bands of jobs are looked at again.
    band_dues: BTreeSet<(Duration, SubmissionId)>,
    late: LateJobs,
    asks: BTreeSet<(Duration, TaskId)>,
    kept: HashMap<ClaimKey, KeptAnswer>,
    team_open: HashMap<TeamName, u32>,
    peer_load: BTreeMap<EntryName, PeerLoad>,
    domains: BTreeMap<DomainName, DomainLife>,
    held_tasks: usize,
    next_submission: u64,
    accepted: Version,
    phase: EntryPhase,
    actions: Vec<EntryAction>,
}

impl EntryMachine {
    /// Entry that knows nothing yet; `seed` fixes its random choices.
    pub fn new(identity: EntryIdentity, limits: EntryLimits, seed: u64) -> Self {
        let delay = limits.retention / 200 * identity.rank;
        let schedule = SnapshotSchedule::new(limits.snapshot_records, limits.retention, delay);
        Self {
            ledger: ConfigLedger::new(),
            schedule,
            claims: ClaimLedger::new(limits.claim_window + limits.longest_deadline),
            claim_pace: AppendPace::new(limits.claim_appends),
            account_pace: AppendPace::new(limits.account_appends),
            claim_outbox: Vec::new(),
            claims_in_flight: Vec::new(),
            claims_read: None,
            freshness: FreshnessLease::new(identity.name.clone(), limits.lease),
            verdict: FreshnessVerdict::Lapsed,
            directory: ServerDirectory::new(limits.directory.clone()),
            run_times: RunTimes::new(),
            policy: limits.placement.policy(),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: TeamQueue::new(),
            retries: RetryBudget::new(limits.retry_ratio, limits.retry_reserve),
            book: RefusalBook::new(limits.refusals_held, limits.refusal_batch),
            jobs: HashMap::new(),
            tickets: HashMap::new(),
            dues: BTreeSet::new(),
            claim_dues: BTreeSet::new(),
            band_dues: BTreeSet::new(),
            late: LateJobs::default(),
            asks: BTreeSet::new(),
            kept: HashMap::new(),
            team_open: HashMap::new(),
            peer_load: BTreeMap::new(),
            domains: BTreeMap::new(),
            held_tasks: 0,
            next_submission: 0,
            accepted: 0,
            phase: EntryPhase::Serving,
            actions: Vec::new(),
            identity,
            limits,
        }
    }

    /// Decides what to do next.
    pub fn handle(&mut self, event: EntryEvent, now: Moment) -> Vec<EntryAction> {
        match event {
            EntryEvent::Submit { ticket, request } => self.submit(ticket, request, now),
            EntryEvent::Malformed { ticket, kind, figures } => {
                self.refuse_malformed(ticket, JobError::new(kind, figures), now);
            }
            EntryEvent::Cancel { ticket } => self.cancel(ticket, now),
            EntryEvent::Report(report) => self.take_report(report, now),
            EntryEvent::Reply { start, reply, load } => self.take_reply(start, reply, load, now),
            EntryEvent::Broken { start, reach } => self.take_break(start, reach, now),
            EntryEvent::ConfigRead(read) => self.take_config(read, now),
            EntryEvent::ConfigSeen { snapshot, sent } => {
                self.take_whole_config(snapshot, sent, now);
            }
            EntryEvent::ClaimRead(read) => self.take_claims(read, now),
            EntryEvent::ClaimsAppended { is_confirmed } => self.end_claim_append(is_confirmed),
            EntryEvent::AccountsAppended { is_confirmed } => self.end_account_append(is_confirmed),
            EntryEvent::Peer { report, team_load, asked } => {
                self.take_peer(report, team_load, asked, now);
            }
            EntryEvent::PeerSnapshot(snapshot) => self.take_peer_snapshot(snapshot, now),
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Drain => self.drain(),
            EntryEvent::CloseAccounts => self.phase = EntryPhase::Closing,
        }
        self.append_claims(now);
        std::mem::take(&mut self.actions)
    }

    /// Who this entry is.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Configuration fold.
    pub fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Offset of the claim stream to read next.
    pub fn next_claim_offset(&self) -> Offset {
        self.claims.next_offset()
    }

    /// Servers known.
    pub fn directory(&self) -> &ServerDirectory {
        &self.directory
    }

    /// Latest judgement of the evidence for the configuration.
    pub fn verdict(&self) -> FreshnessVerdict {
        self.verdict
    }

    /// Own report for other entries.
    pub fn peer_report(&self, now: Moment) -> PeerReport {
        self.freshness.report(self.ledger.configuration().version, now.elapsed)
    }

    /// Tasks that each team has open here.
    pub fn team_load(&self) -> &HashMap<TeamName, u32> {
        &self.team_open
    }

    /// Whether a majority of the voting entries holds `version`, so that it is accepted.
    pub fn is_accepted(&self, version: Version) -> bool {
        let configuration = self.ledger.configuration();
        self.freshness.is_held_by_majority(
            version,
            configuration.version,
            &configuration.electorate,
        )
    }

    /// Whether the closing record of the accounts stands in the log.
    pub fn is_account_closed(&self) -> bool {
        self.book.is_closed()
    }

    /// Servers that may be sent a task.
    pub fn ready_servers(&self) -> usize {
        let configuration = self.ledger.configuration();
        let servers = self.directory.iter();
        servers.filter(|(index, _)| self.directory.is_eligible(*index, configuration)).count()
    }

    /// Jobs of a kind of request of which no task was sent.
    pub fn waiting_jobs(&self, service: &str, request: &str) -> usize {
        let is_waiting = |job: &&ActiveJob| {
            let is_meant =
                job.tasks.first().is_some_and(|task| *task.request.request_name == *request);
            *job.service == *service && is_meant && job.has_not_started()
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Figures for metrics and status.
    pub fn gauges(&self) -> EntryGauges {
        EntryGauges {
            jobs: self.jobs.len(),
            queued: self.queue.len(),
            held: self.held_tasks,
            servers: self.directory.len(),
            refusals_waiting: self.book.len(),
            refusals_dropped: self.book.dropped(),
            claims: self.claims.len(),
            peers: self.peer_load.len(),
        }
    }

    fn note(&mut self, event: TimelineEvent) {
        self.actions.push(EntryAction::Note(event));
    }

    fn note_kind(&mut self, kind: EventKind, submission: SubmissionId) {
        self.note(TimelineEvent::new(kind).submission(submission));
    }

    fn version(&self) -> Version {
        self.ledger.configuration().version
    }

    /// Whether a start may leave now.
    fn is_fresh(&self, now: Moment) -> bool {
        self.ledger.is_whole() && self.permit_until(now).is_some()
    }

    /// Time up to which a start may be permitted; `None` where none may leave.
    fn permit_until(&self, now: Moment) -> Option<Duration> {
        let evidence = self.verdict.until().filter(|&until| until > now.elapsed);
        let is_held = self.limits.serves_unconfirmed && self.version() > 0;
        evidence.or_else(|| is_held.then_some(now.elapsed + self.limits.lease))
    }

    /// Whether the entry has started so lately that servers may not have announced themselves yet.
    fn is_warming(&self, now: Moment) -> bool {
        now.elapsed < self.limits.warm_up
    }

    fn account(&mut self, subject: AccountSubject, error: JobError, now: Moment) {
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
        if self.book.add(record) {
            let dropped = EventFigure::Dropped(self.book.dropped());
            self.note(TimelineEvent::new(EventKind::AccountsDropped).figure(dropped));
        }
    }
}

/// What an account names.
#[derive(Debug)]
struct AccountSubject {
    submission: SubmissionId,
    job: JobName,
    team: TeamName,
    service: ServiceName,
    tasks: u32,
}
