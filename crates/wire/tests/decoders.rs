//! Decoders of everything that reaches a process: any bytes are refused in words or taken.

use parsleyspool_core::audit_log::{AuditLogRecord, RefusalBatch, RefusalRecord};
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigRecord, ConfigSnapshot, Configuration, DomainAvailability,
};
use parsleyspool_core::error::{ErrorKind, JobError};
use parsleyspool_core::id::TaskId;
use parsleyspool_core::job::JobRequest;
use parsleyspool_core::member::{MemberRecord, MemberStatus};
use parsleyspool_wire::caller::{MAX_NAME_BYTES, SubmitBody};
use parsleyspool_wire::codec::{CodecError, decode, encode};
use parsleyspool_wire::operator::TimelineBody;
use parsleyspool_wire::peer::{
    CancelMessage, DirectiveMessage, Envelope, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
    StartMessage, StatusQueryMessage, TaskIdWire, TaskReplyMessage,
};
use parsleyspool_wire::platform::ReadReply;
use parsleyspool_wire::record::{
    AuditLogRecordWire, decode_audit_log, decode_claims, decode_config, decode_member,
    encode_audit_log, encode_claims, encode_config, encode_member,
};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const LIMIT: usize = 1 << 16;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

/// Feeds `bytes` to every decoder; none may panic.
fn feed_all(bytes: &[u8]) {
    let _ = decode_config(bytes);
    let _ = decode_claims(bytes);
    let _ = decode_audit_log(bytes);
    let _ = decode_member(bytes);
    let _ = decode::<Envelope<StartMessage>>(bytes, LIMIT);
    let _ = decode::<Envelope<StatusQueryMessage>>(bytes, LIMIT);
    let _ = decode::<Envelope<CancelMessage>>(bytes, LIMIT);
    let _ = decode::<Envelope<HeartbeatMessage>>(bytes, LIMIT);
    let _ = decode::<Envelope<DirectiveMessage>>(bytes, LIMIT);
    let _ = decode::<Envelope<TaskReplyMessage>>(bytes, LIMIT);
    let _ = decode::<Envelope<PeerStateQuery>>(bytes, LIMIT);
    let _ = decode::<Envelope<PeerStateMessage>>(bytes, LIMIT);
    let _ = decode::<ReadReply>(bytes, LIMIT);
    let _ = serde_json::from_slice::<SubmitBody>(bytes).map(JobRequest::try_from);
    let _ = serde_json::from_slice::<TimelineBody>(bytes);
}

/// Records of every kind as they are written.
fn written() -> Vec<Vec<u8>> {
    let change = ConfigChange::SetDomainAvailability {
        domain: "d".into(),
        availability: DomainAvailability::InService,
    };
    let change = ChangeRecord { id: u128::MAX, operator: "o".to_owned(), base: 7, change };
    let snapshot = ConfigSnapshot { configuration: Configuration::default() };
    let claims = [ClaimStep::Claim { key: 1, submission: u128::MAX }];
    let member = MemberRecord {
        entry: "e".into(),
        incarnation: 3,
        status: MemberStatus::Present("a".into()),
    };
    let batch = RefusalBatch { records: vec![refusal()] };
    let account = AuditLogRecordWire::new("e", u64::MAX, &AuditLogRecord::Batch(batch));
    let cancel = CancelMessage { tasks: vec![TaskIdWire::from(TaskId::new(u128::MAX, 9))] };
    let stamp = parsleyspool_core::time::HybridTimestamp { wall_us: 5, counter: 6 };
    vec![
        encode_config(&ConfigRecord::Change(change)).expect("it can be written"),
        encode_config(&ConfigRecord::Snapshot(snapshot)).expect("it can be written"),
        encode_claims(&claims).expect("it can be written"),
        encode_member(&member).expect("it can be written"),
        encode_audit_log(&account).expect("it can be written"),
        encode(&Envelope::new(stamp, cancel)).expect("it can be written"),
    ]
}

fn refusal() -> RefusalRecord {
    RefusalRecord {
        sequence: 1,
        wall: Duration::from_secs(1),
        submission: u128::MAX,
        job: "j".into(),
        team: "t".into(),
        service: "s".into(),
        tasks: 2,
        error: JobError::plain(ErrorKind::CannotRun),
        version: 3,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_taken_or_refused(bytes in vec(any::<u8>(), 0..300)) {
        feed_all(&bytes);
    }

    #[test]
    fn damaged_records_are_taken_or_refused(which in 0usize..6, at in any::<usize>(), to: u8) {
        let mut bytes = written().swap_remove(which);
        let at = at % bytes.len();
        bytes[at] = to;
        feed_all(&bytes);
        bytes.truncate(at);
        feed_all(&bytes);
    }

    #[test]
    fn claims_come_back_as_they_were(key: u128, submission: u128, is_release: bool) {
        let step = match is_release {
            true => ClaimStep::Release { key, submission },
            false => ClaimStep::Claim { key, submission },
        };
        let bytes = encode_claims(&[step]).expect("it can be written");
        assert_eq!(decode_claims(&bytes), Ok(vec![step]));
    }
}

#[test]
fn an_unreadable_configuration_record_is_one_for_every_reader() {
    for mut bytes in written().into_iter().skip(2) {
        assert_eq!(decode_config(&bytes), ConfigRecord::Unreadable);
        bytes.clear();
        assert_eq!(decode_config(&bytes), ConfigRecord::Unreadable);
    }
}

#[test]
fn a_change_comes_back_as_it_was() {
    let change = ConfigChange::LeaveServer { server: "s".into() };
    let record = ChangeRecord { id: 5, operator: "o".to_owned(), base: 2, change };
    let record = ConfigRecord::Change(record);

    let bytes = encode_config(&record).expect("it can be written");

    assert_eq!(decode_config(&bytes), record);
}

#[test]
fn a_message_over_the_limit_is_refused_by_its_size() {
    let refused = decode::<Envelope<CancelMessage>>(&vec![0; LIMIT + 1], LIMIT).map(|_| ());

    assert_eq!(refused, Err(CodecError::TooLarge { limit: LIMIT, size: LIMIT + 1 }));
}

#[test]
fn a_name_over_the_limit_is_refused() {
    let name = "x".repeat(MAX_NAME_BYTES + 1);
    let text = format!(r#"{{"job":"{name}","team":"t","service":"s","tasks":[]}}"#);
    let body: SubmitBody = serde_json::from_str(&text).expect("it is a submission");

    let refused = JobRequest::try_from(body).map(|_| ());

    assert_eq!(refused.expect_err("too long").size, MAX_NAME_BYTES + 1);
}
