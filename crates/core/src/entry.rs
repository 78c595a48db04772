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

mod admit;
mod control;
mod dispatch;
mod outcome;

use crate::account::{AccountStep, RefusalBook, RefusalRecord};
use crate::claim::{ClaimKey, ClaimLedger, ClaimStep};
use crate::config::{ConfigLedger, ConfigRecord, ConfigSnapshot, SnapshotSchedule};
use crate::directory::{DirectoryLimits, RunTimes, ServerDirectory, ServerReport};
use crate::error::{ErrorKind, JobError, RefusalFigures};
use crate::freshness::{FreshnessLease, FreshnessVerdict, PeerReport};
use crate::id::{
    DomainName, EntryName, Incarnation, JobName, Offset, PeerAddress, RequestName, ServiceName,
    SubmissionId, TaskId, TeamName, Version,
};
use crate::job::{HeldJob, JobAnswer, JobRequest};
use crate::lifecycle::DomainState;
use crate::placement::{PlacementKind, PlacementPolicy};
use crate::queue::TeamQueue;
use crate::retry::RetryBudget;
use crate::time::Moment;
use crate::timeline::{EventKind, TimelineEvent};
use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Limits of an entry; all come from its settings.
#[derive(Debug, Clone)]
pub struct EntryLimits {
    /// Most tasks in one job.
    pub tasks_per_job: usize,
    /// Most tasks held, queued and sent together.
    pub tasks_held: usize,
    /// Longest deadline that a caller may ask for.
    pub longest_deadline: Duration,
    /// Slots beyond those of a server that may be filled ahead.
    pub ahead: u32,
    /// Starts of one task, all but the last proven not to have started.
    pub attempts: u32,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Retries saved up at most.
    pub retry_reserve: u32,
    /// Time without an answer, beyond the expected one, after which a task's outcome is asked for.
    pub ask_after: Duration,
    /// Age of evidence after which nothing is started on it.
    pub lease: Duration,
    /// Time to wait for a claim.
    pub claim_timeout: Duration,
    /// Age of a request key after which it is refused; shorter than the log's retention.
    pub claim_window: Duration,
    /// How long the answer of a claimed job is kept for a resubmission.
    pub answer_kept: Duration,
    /// Answers of claimed jobs kept at most.
    pub answers_kept: usize,
    /// Refusals held for the log at most.
    pub refusals_held: usize,
    /// Refusals in one append at most.
    pub refusal_batch: usize,
    /// Time over which a returning failure domain is filled.
    pub ramp: Duration,
    /// Retention of the log.
    pub retention: Duration,
    /// Records after which the configuration is republished.
    pub snapshot_records: u64,
    /// Heartbeat interval given to agents.
    pub heartbeat: Duration,
    /// Placement policy.
    pub placement: PlacementKind,
    /// Limits of the server directory.
    pub directory: DirectoryLimits,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            tasks_per_job: 790,
            tasks_held: 50_000,
            longest_deadline: Duration::from_secs(120),
            ahead: 1,
            attempts: 4,
            retry_ratio: 0.2,
            retry_reserve: 100,
            ask_after: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            claim_timeout: Duration::from_secs(1),
            claim_window: Duration::from_secs(600),
            answer_kept: Duration::from_secs(60),
            answers_kept: 4096,
            refusals_held: 20_000,
            refusal_batch: 500,
            ramp: Duration::from_secs(5),
            retention: Duration::from_secs(3600),
            snapshot_records: 500,
            heartbeat: Duration::from_secs(1),
            placement: PlacementKind::EarliestFinish,
            directory: DirectoryLimits::default(),
        }
    }
}

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

/// Start as sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Task; the agent starts it at most once.
    pub task: TaskId,
    /// Number of this start among the starts of the task, from 1.
    pub attempt: u32,
    /// Incarnation of the agent that is meant.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Kind of request.
    pub request: RequestName,
    /// Slots that it takes.
    pub slots: u32,
    /// Body for the backend server.
    pub payload: Bytes,
    /// Configuration version that allowed the start.
    pub version: Version,
    /// Clock of the agent up to which that version is vouched for; a start that arrives later is
    /// refused.
    pub permit_until: Duration,
    /// Clock of the agent after which the start is useless.
    pub start_before: Duration,
}

/// Why an agent did not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotStartedReason {
    /// The queue of the agent is full.
    Full,
    /// The failure domain is out of service.
    DomainOut,
    /// The backend server or its agent is leaving.
    Leaving,
    /// The permit ran out.
    PermitLapsed,
    /// The start came too late to be of use.
    TooLate,
    /// The agent never received the start, and now never will start it.
    NeverReceived,
    /// The agent is another incarnation, and the start reached only this one.
    OtherIncarnation,
    /// The backend server took no connection.
    NoConnection,
    /// The entry cancelled it in time.
    Cancelled,
}

/// Load of a backend server, sent along with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Slots running and queued, from all entries.
    pub load: u32,
    /// Of these, slots of the entry that is told.
    pub own: u32,
}

/// What an agent says of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskReply {
    /// It ran; this is the answer.
    Done {
        /// Body from the backend server.
        answer: Bytes,
        /// Time between start and answer at the backend server.
        run_time: Duration,
    },
    /// It ran, or may have, and the backend server failed it.
    Failed {
        /// Time between start and failure.
        run_time: Duration,
    },
    /// It did not start and never will under this start.
    NotStarted(NotStartedReason),
    /// It is queued or runs.
    Pending,
    /// The agent that had it is gone.
    Lost,
}

/// Instruction to an agent, given with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentDirective {
    /// Configuration version.
    pub version: Version,
    /// Whether the failure domain takes work.
    pub is_in_service: bool,
    /// Whether operators told the server to leave.
    pub is_leaving: bool,
    /// How long the version is vouched for, from the sending of the heartbeat.
    pub valid_for: Duration,
    /// Time until the next heartbeat.
    pub next_in: Duration,
}

/// What reaches an entry.
#[derive(Debug)]
pub enum EntryEvent {
    /// A caller submits a job.
    Submit {
        /// Where the answer goes.
        ticket: u64,
        /// The job.
        request: JobRequest,
    },
    /// A caller sent something that is no job.
    Malformed {
        /// Where the answer goes.
        ticket: u64,
        /// Why it is none.
        kind: ErrorKind,
        /// Limit that it broke.
        figures: RefusalFigures,
    },
    /// A caller no longer waits.
    Cancel {
        /// Where the answer would have gone.
        ticket: u64,
    },
    /// An agent sent a heartbeat.
    Report(ServerReport),
    /// An agent replied to a start or a question.
    Reply {
        /// Task.
        task: TaskId,
        /// Incarnation that the start addressed.
        incarnation: Incarnation,
        /// What the agent says.
        reply: TaskReply,
        /// Load at the agent, where it said.
        load: Option<LoadReport>,
    },
    /// The exchange about a task broke.
    Broken {
        /// Task.
        task: TaskId,
        /// Incarnation that the start addressed.
        incarnation: Incarnation,
        /// Whether anything may have reached the agent.
        reach: BrokenReach,
    },
    /// A read of the configuration stream returned.
    ConfigRead(StreamRead<ConfigRecord>),
    /// A read of the claim stream returned.
    ClaimRead(StreamRead<Vec<ClaimStep>>),
    /// An append of claims ended.
    ClaimsAppended {
        /// Whether the log confirmed it.
        is_confirmed: bool,
    },
    /// An append of accounts ended.
    AccountsAppended {
        /// Whether the log confirmed it.
        is_confirmed: bool,
    },
    /// Another entry reported.
    Peer {
        /// Its configuration.
        report: PeerReport,
        /// Tasks that each team has open there.
        team_load: BTreeMap<TeamName, u32>,
        /// When it was asked.
        asked: Duration,
    },
    /// Another entry sent its configuration.
    PeerSnapshot(ConfigSnapshot),
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Drain,
}

/// How far an exchange came before it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenReach {
    /// No byte was sent: there was no connection.
    NothingSent,
    /// The message may have arrived.
    MaybeSent,
    /// The agent's address refused a connection, after an earlier one had been accepted.
    PeerGone,
}

/// Result of one read of a stream.
#[derive(Debug)]
pub struct StreamRead<R> {
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, R)>,
    /// Oldest offset that the log still holds.
    pub earliest: Offset,
    /// Whether the read reached the end of the stream.
    pub is_end: bool,
    /// When the read was sent, on the own clock.
    pub sent: Duration,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Answer a caller.
    Answer {
        /// Where the answer goes.
        ticket: u64,
        /// Submission, for the caller's records.
        submission: SubmissionId,
        /// The answer.
        answer: JobAnswer,
        /// Configuration version in force.
        version: Version,
    },
    /// Send a start.
    Start {
        /// Address of the agent.
        address: PeerAddress,
        /// The start.
        order: StartOrder,
    },
    /// Ask over a new connection what became of a task.
    Ask {
        /// Address of the agent.
        address: PeerAddress,
        /// Task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// Incarnation that has it.
        incarnation: Incarnation,
        /// Clock of the agent that is surely not later than the sending of the start.
        sent_at: Duration,
    },
    /// Tell an agent to drop a task if it has not started.
    CancelTask {
        /// Address of the agent.
        address: PeerAddress,
        /// Task.
        task: TaskId,
        /// Incarnation that has it.
        incarnation: Incarnation,
    },
    /// Append to the claim stream.
    AppendClaims(Vec<ClaimStep>),
    /// Append to the account stream.
    AppendAccounts(AccountStep),
    /// Republish the configuration.
    AppendSnapshot(ConfigSnapshot),
    /// Keep an event for the time line.
    Note(TimelineEvent),
}

/// Whether an entry takes jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryPhase {
    Serving,
    Draining,
}

/// Failure domain as this entry fills it.
#[derive(Debug, Clone, Copy)]
struct DomainLife {
    state: DomainState,
    since: Duration,
}

/// Answer of a claimed job, kept for its resubmission.
#[derive(Debug)]
struct KeptAnswer {
    submission: SubmissionId,
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
}

/// Decisions of one entry.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    limits: EntryLimits,
    ledger: ConfigLedger,
    schedule: SnapshotSchedule,
    claims: ClaimLedger,
    claim_outbox: Vec<ClaimStep>,
    claims_in_flight: Vec<ClaimStep>,
    has_read_claims: bool,
    freshness: FreshnessLease,
    verdict: FreshnessVerdict,
    directory: ServerDirectory,
    run_times: RunTimes,
    policy: Box<dyn PlacementPolicy>,
    random: ChaCha8Rng,
    queue: TeamQueue,
    retries: RetryBudget,
    book: RefusalBook,
    jobs: HashMap<SubmissionId, HeldJob>,
    tickets: HashMap<u64, SubmissionId>,
    dues: BTreeSet<(Duration, SubmissionId)>,
    claim_dues: BTreeSet<(Duration, SubmissionId)>,
    asks: BTreeSet<(Duration, TaskId)>,
    kept: HashMap<ClaimKey, KeptAnswer>,
    team_open: HashMap<TeamName, u32>,
    peer_load: BTreeMap<EntryName, BTreeMap<TeamName, u32>>,
    domains: BTreeMap<DomainName, DomainLife>,
    held_tasks: usize,
    next_submission: u64,
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
            claim_outbox: Vec::new(),
            claims_in_flight: Vec::new(),
            has_read_claims: false,
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
            asks: BTreeSet::new(),
            kept: HashMap::new(),
            team_open: HashMap::new(),
            peer_load: BTreeMap::new(),
            domains: BTreeMap::new(),
            held_tasks: 0,
            next_submission: 0,
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
            EntryEvent::Reply { task, incarnation, reply, load } => {
                self.take_reply(task, incarnation, reply, load, now);
            }
            EntryEvent::Broken { task, incarnation, reach } => {
                self.take_break(task, incarnation, reach, now);
            }
            EntryEvent::ConfigRead(read) => self.take_config(read, now),
            EntryEvent::ClaimRead(read) => self.take_claims(read, now),
            EntryEvent::ClaimsAppended { is_confirmed } => self.end_claim_append(is_confirmed),
            EntryEvent::AccountsAppended { is_confirmed } => self.end_account_append(is_confirmed),
            EntryEvent::Peer { report, team_load, asked } => {
                self.take_peer(report, team_load, asked, now);
            }
            EntryEvent::PeerSnapshot(snapshot) => self.take_peer_snapshot(snapshot, now),
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Drain => self.drain(),
        }
        self.append_claims();
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

    /// Whether a planned stop has nothing left to finish.
    pub fn is_drained(&self) -> bool {
        self.phase == EntryPhase::Draining && self.jobs.is_empty()
    }

    /// Whether the closing record of the accounts stands in the log.
    pub fn is_account_closed(&self) -> bool {
        self.book.is_closed()
    }

    /// Figures for metrics and status.
    pub fn gauges(&self) -> EntryGauges {
        EntryGauges {
            jobs: self.jobs.len(),
            queued: self.queue.len(),
            held: self.held_tasks,
            servers: self.directory.iter().count(),
            refusals_waiting: self.book.len(),
            refusals_dropped: self.book.dropped(),
            claims: self.claims.len(),
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
        self.ledger.is_whole() && self.verdict.until().is_some_and(|until| until > now.elapsed)
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
            let dropped = format!("dropped={}", self.book.dropped());
            self.note(TimelineEvent::new(EventKind::AccountsDropped).detail(dropped));
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
