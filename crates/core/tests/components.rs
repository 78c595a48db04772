//! Tests of single components: configuration, claims, freshness, audit log, queue, members, clocks.

use parsleyspool_core::audit_log::{
    AuditLogRecord, AuditedRecord, GapDetector, RefusalBuffer, RefusalRecord, SequenceEnd,
};
use parsleyspool_core::claim::{ClaimLedger, ClaimOutcome, ClaimStep};
use parsleyspool_core::config::{
    ApplyOutcome, ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, DomainAvailability,
    SnapshotSchedule,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{EntryEvent, EntryIdentity, EntryLimits, EntryMachine};
use parsleyspool_core::error::{ErrorKind, JobError};
use parsleyspool_core::freshness::{FreshnessLease, FreshnessStatus, PeerReport};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::lifecycle::ServerState;
use parsleyspool_core::member::{MemberLedger, MemberRecord, MemberStatus};
use parsleyspool_core::queue::TeamQueue;
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::retry::RetryBudget;
use parsleyspool_core::time::{HybridClock, HybridTimestamp, Moment};
use std::collections::BTreeSet;
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn availability_change(id: u128, base: u64, availability: DomainAvailability) -> ConfigRecord {
    let change = ConfigChange::SetDomainAvailability { domain: "d".into(), availability };
    ConfigRecord::Change(ChangeRecord { id, operator: "o".to_owned(), base, change })
}

#[test]
fn of_two_concurrent_changes_the_first_is_accepted_and_the_second_rejected() {
    let mut ledger = ConfigLedger::new();

    let first = ledger.apply(0, availability_change(1, 0, DomainAvailability::OutOfService));
    let second = ledger.apply(1, availability_change(2, 0, DomainAvailability::InService));

    assert_eq!(first, ApplyOutcome::Accepted { version: 1 });
    assert_eq!(second, ApplyOutcome::Rejected { current: 1 });
    assert!(!ledger.configuration().is_in_service("d"));
}

#[test]
fn a_change_appended_twice_keeps_its_first_outcome() {
    let mut ledger = ConfigLedger::new();

    ledger.apply(0, availability_change(1, 0, DomainAvailability::OutOfService));
    ledger.apply(1, availability_change(1, 0, DomainAvailability::OutOfService));

    assert_eq!(ledger.outcome(1), Some(&ApplyOutcome::Accepted { version: 1 }));
}

#[test]
fn a_stale_snapshot_does_not_undo_a_concurrent_change() {
    let mut writer = ConfigLedger::new();
    writer.apply(0, availability_change(1, 0, DomainAvailability::InService));
    let snapshot = writer.snapshot().expect("the ledger is complete");

    let mut reader = ConfigLedger::new();
    reader.skip_to(1);
    reader.apply(1, availability_change(2, 1, DomainAvailability::OutOfService));
    assert!(!reader.is_complete());
    reader.apply(2, ConfigRecord::Snapshot(snapshot));

    assert!(reader.is_complete());
    assert!(!reader.configuration().is_in_service("d"));
    assert_eq!(reader.configuration().version, 3);
}

#[test]
fn an_older_snapshot_from_a_peer_is_ignored() {
    let old = ConfigLedger::new().snapshot().expect("the ledger is complete");
    let mut ledger = ConfigLedger::new();
    ledger.apply(0, availability_change(1, 0, DomainAvailability::OutOfService));

    let outcome = ledger.install_snapshot(old);

    assert_eq!(outcome, ApplyOutcome::Unchanged);
    assert!(!ledger.configuration().is_in_service("d"));
}

#[test]
fn a_snapshot_is_due_once_before_records_expire() {
    let mut schedule = SnapshotSchedule::new(10, seconds(400), seconds(2));

    assert!(!schedule.is_due(None, 1, seconds(0)));
    assert!(!schedule.is_due(None, 1, seconds(100)), "within the delay of this process");
    assert!(schedule.is_due(None, 1, seconds(102)));
    assert!(!schedule.is_due(None, 1, seconds(103)), "an append is in flight");
    assert!(!schedule.is_due(Some(1), 2, seconds(104)));
    assert!(schedule.is_due(Some(1), 2, seconds(206)) || schedule.is_due(Some(1), 2, seconds(210)));
}

#[test]
fn the_first_claim_in_the_log_holds_until_it_is_released() {
    let mut ledger = ClaimLedger::new(seconds(600));
    let claim = |submission| ClaimStep::Claim { key: 9, submission };

    let first = ledger.apply(0, &[claim(1), claim(2)], seconds(0));
    ledger.apply(1, &[ClaimStep::Release { key: 9, submission: 1 }], seconds(1));
    let third = ledger.apply(2, &[claim(3)], seconds(2));

    let lost = ClaimOutcome::Lost { submission: 2, holder: 1 };
    assert_eq!(first, [ClaimOutcome::Won { submission: 1 }, lost]);
    assert_eq!(third, [ClaimOutcome::Won { submission: 3 }]);
}

fn peer_report(entry: &str, version: u64, is_voter: bool) -> PeerReport {
    PeerReport { entry: entry.into(), version, is_voter, confirmed_age: None }
}

#[test]
fn freshness_requires_the_log_or_a_majority_without_a_newer_version() {
    let electorate: BTreeSet<_> = ["a".into(), "b".into(), "c".into()].into();
    let lease = || {
        let mut lease = FreshnessLease::new("a".into(), seconds(3));
        lease.confirm(seconds(10));
        lease
    };
    let cases = [
        ("alone", None, FreshnessStatus::Lapsed),
        ("agreed", Some(peer_report("b", 5, true)), FreshnessStatus::Agreed { until: seconds(22) }),
        ("behind", Some(peer_report("b", 6, true)), FreshnessStatus::Lapsed),
        ("no voter", Some(peer_report("b", 5, false)), FreshnessStatus::Lapsed),
    ];

    for (name, report, expected) in cases {
        let mut lease = lease();
        if let Some(report) = report {
            lease.record_report(report, seconds(19));
        }
        assert_eq!(lease.evaluate(5, &electorate, seconds(20)), expected, "{name}");
    }
}

#[test]
fn a_confirmation_by_another_entry_applies_to_its_version_only() {
    let mut lease = FreshnessLease::new("a".into(), seconds(3));
    let confirmed_age = Some(seconds(1));
    lease.record_report(PeerReport { confirmed_age, ..peer_report("b", 5, true) }, seconds(20));

    let electorate = BTreeSet::new();
    assert_eq!(
        lease.evaluate(5, &electorate, seconds(20)),
        FreshnessStatus::Confirmed { until: seconds(22) }
    );
    assert_eq!(lease.evaluate(4, &electorate, seconds(20)), FreshnessStatus::Lapsed);
}

fn refusal() -> RefusalRecord {
    RefusalRecord {
        sequence: 0,
        wall: Duration::ZERO,
        submission: 1,
        job: "j".into(),
        team: "t".into(),
        service: "s".into(),
        tasks: 1,
        error: JobError::plain(ErrorKind::Overloaded),
        version: 1,
    }
}

#[test]
fn refusals_are_appended_in_batches_and_a_dropped_one_is_detected_as_a_gap() {
    let mut buffer = RefusalBuffer::new(3, 2);
    for _ in 0..4 {
        buffer.add(refusal());
    }
    let mut detector = GapDetector::new();
    let mut audit = |record: &AuditLogRecord| {
        let record = match record {
            AuditLogRecord::Opened => AuditedRecord::Opened,
            AuditLogRecord::Batch(batch) => {
                AuditedRecord::Numbers(batch.records.iter().map(|record| record.sequence).collect())
            }
            AuditLogRecord::Closed { next } => AuditedRecord::Closed(*next),
        };
        detector.record(&"e".into(), 1, &record);
    };

    buffer.close();
    buffer.retry();
    let mut appends = 0;
    while let Some(record) = buffer.start_append() {
        audit(&record);
        buffer.confirm();
        appends += 1;
        if buffer.is_closed() {
            break;
        }
    }

    assert_eq!(appends, 3, "two batches and the closing record");
    let report = detector.reports().remove(0);
    assert_eq!(report.gaps, vec![std::ops::Range { start: 0, end: 1 }]);
    assert_eq!(report.end, SequenceEnd::Closed);
}

#[test]
fn teams_share_slots_in_proportion_to_their_weights() {
    let mut queue = TeamQueue::new();
    for index in 0..30 {
        queue.push(&"heavy".into(), &"h".into(), TaskId::new(1, index), Duration::ZERO);
        queue.push(&"light".into(), &"l".into(), TaskId::new(2, index), Duration::ZERO);
    }
    let services = ["heavy".into(), "light".into()];

    let popped = (0..20).filter_map(|_| {
        let (task, team) = queue.pop(&services)?;
        queue.charge(&team, if *team == *"h" { 3 } else { 1 });
        Some(task)
    });
    let heavy = popped.filter(|task| task.submission == 1).count();

    assert_eq!(heavy, 15);
}

#[test]
fn heartbeat_intervals_and_the_silence_limit_grow_with_the_number_of_agents() {
    let identity = EntryIdentity { name: "e".into(), incarnation: 1, domain: "d".into(), rank: 0 };
    let mut machine = EntryMachine::new(identity, EntryLimits::default(), 1);
    let at = |elapsed| Moment::new(seconds(elapsed), seconds(1_000));
    for server in 0..100 {
        machine.handle(EntryEvent::Heartbeat(server_report(server)), at(10));
    }

    let directive = machine.directive(&server_report(0), at(10));
    machine.handle(EntryEvent::Tick, at(39));
    let silent_early = count_silent(&machine);
    machine.handle(EntryEvent::Tick, at(41));

    assert_eq!(directive.heartbeat_interval, seconds(10), "100 servers, 10 heartbeats a second");
    assert_eq!(silent_early, 0);
    assert_eq!(count_silent(&machine), 100);
}

fn count_silent(machine: &EntryMachine) -> usize {
    let servers = machine.directory().iter();
    servers.filter(|(_, server)| server.state() == ServerState::Silent).count()
}

fn server_report(server: u32) -> ServerReport {
    ServerReport {
        name: format!("s-{server}").into(),
        incarnation: 1,
        sequence: 1,
        address: "a".into(),
        domain: "d".into(),
        worker: "w".into(),
        services: vec!["s".into()],
        capacity: ResourceAmounts::from_slots(1),
        load_limit: 1,
        load: 0,
        own_load: 0,
        is_leaving: false,
        clock: Duration::ZERO,
        version: 0,
        lost_tasks: Vec::new(),
        held_submissions: Vec::new(),
    }
}

#[test]
fn the_load_of_a_peer_that_stops_reporting_is_forgotten() {
    let identity = EntryIdentity { name: "e".into(), incarnation: 1, domain: "d".into(), rank: 0 };
    let mut machine = EntryMachine::new(identity, EntryLimits::default(), 1);
    let at = |elapsed| Moment::new(seconds(elapsed), seconds(1_000));
    let team_load = [("t".into(), 500)].into();
    let peer = EntryEvent::PeerReported {
        report: peer_report("f", 0, true),
        team_load,
        requested_at: seconds(10),
    };
    machine.handle(peer, at(10));

    machine.handle(EntryEvent::Tick, at(12));
    let known_peers = machine.gauges().peers;
    machine.handle(EntryEvent::Tick, at(13));

    assert_eq!(known_peers, 1);
    assert_eq!(machine.gauges().peers, 0);
}

#[test]
fn retries_stay_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::new(0.1, 5);

    let granted = (0..1000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert!((100..=106).contains(&granted.count()));
}

#[test]
fn a_late_record_of_a_replaced_entry_is_ignored() {
    let mut ledger = MemberLedger::new();
    let present = |incarnation, address: &str| MemberRecord {
        entry: "e".into(),
        incarnation,
        status: MemberStatus::Present(address.into()),
    };

    ledger.apply(0, present(1, "old"));
    ledger.apply(1, present(2, "new"));
    let is_changed = ledger.apply(2, present(1, "old"));

    assert!(!is_changed);
    assert_eq!(&*ledger.addresses()["e"], "new");
}

#[test]
fn the_timestamp_of_a_response_follows_that_of_its_request() {
    let (mut ahead, mut behind) = (HybridClock::default(), HybridClock::default());
    let at = |wall| Moment::new(Duration::ZERO, Duration::from_millis(wall));

    let request = ahead.tick(at(5_000));
    behind.observe(request, at(1_000));
    let response = behind.tick(at(1_000));

    assert!(response > request);
}

#[test]
fn a_clock_that_is_far_ahead_does_not_advance_other_clocks() {
    let mut clock = HybridClock::default();
    let now = Moment::new(Duration::ZERO, seconds(100));

    clock.observe(HybridTimestamp { wall_us: 10_000_000_000, counter: 0 }, now);

    assert_eq!(clock.tick(now), HybridTimestamp { wall_us: 100_000_000, counter: 0 });
}

/// Callers on the users' platform submit a job again 1.3 s after they lost its entry, and the runs
/// of the first submission must have ended by then.
#[test]
fn the_runs_of_a_lost_entry_end_before_callers_submit_again_at_160_agents() {
    let identity = EntryIdentity { name: "e".into(), incarnation: 1, domain: "d".into(), rank: 0 };
    let limits = EntryLimits {
        run_lease: Duration::from_millis(900),
        heartbeat: Duration::from_millis(300),
        heartbeats_per_second: 150,
        ..EntryLimits::default()
    };
    let mut machine = EntryMachine::new(identity, limits, 1);
    let now = Moment::new(seconds(10), seconds(1_000));
    for server in 0..160 {
        machine.handle(EntryEvent::Heartbeat(server_report(server)), now);
    }

    let run_lease = machine.directive(&server_report(0), now).run_lease;

    assert!(run_lease < Some(Duration::from_millis(1_300)), "{run_lease:?}");
}
