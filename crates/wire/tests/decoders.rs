//! Tests of the decoders of received data: any bytes are decoded or rejected with an error, and no
//! decoder panics.

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
use parsleyspool_wire::log_service::ReadReply;
use parsleyspool_wire::operator::TimelineBody;
use parsleyspool_wire::peer::{
    CancelMessage, DirectiveMessage, Envelope, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
    StartMessage, StatusQueryMessage, TaskIdWire, TaskReplyMessage,
};
use parsleyspool_wire::record::{
    AuditLogRecordWire, decode_audit_log, decode_claims, decode_config, decode_member,
    encode_audit_log, encode_claims, encode_config, encode_member,
};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const MAX_BYTES: usize = 1 << 20;

fn fixed_seed_config() -> Config {
    Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

/// Passes `bytes` to every decoder; none may panic.
fn decode_all(bytes: &[u8]) {
    let _ = decode_config(bytes);
    let _ = decode_claims(bytes);
    let _ = decode_audit_log(bytes);
    let _ = decode_member(bytes);
    let _ = decode::<Envelope<StartMessage>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<StatusQueryMessage>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<CancelMessage>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<HeartbeatMessage>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<DirectiveMessage>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<TaskReplyMessage>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<PeerStateQuery>>(bytes, MAX_BYTES);
    let _ = decode::<Envelope<PeerStateMessage>>(bytes, MAX_BYTES);
    let _ = decode::<ReadReply>(bytes, MAX_BYTES);
    let _ = serde_json::from_slice::<SubmitBody>(bytes).map(JobRequest::try_from);
    let _ = serde_json::from_slice::<TimelineBody>(bytes);
}

/// Encoded valid records of every stream and one message; the configuration records come first.
fn encoded_samples() -> Vec<Vec<u8>> {
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
    let audit_record = AuditLogRecordWire::new("e", u64::MAX, &AuditLogRecord::Batch(batch));
    let cancel = CancelMessage { tasks: vec![TaskIdWire::from(TaskId::new(u128::MAX, 9))] };
    let stamp = parsleyspool_core::time::HybridTimestamp { wall_us: 5, counter: 6 };
    vec![
        encode_config(&ConfigRecord::Change(change)).expect("it can be encoded"),
        encode_config(&ConfigRecord::Snapshot(snapshot)).expect("it can be encoded"),
        encode_claims(&claims).expect("it can be encoded"),
        encode_member(&member).expect("it can be encoded"),
        encode_audit_log(&audit_record).expect("it can be encoded"),
        encode(&Envelope::new(stamp, cancel)).expect("it can be encoded"),
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
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn damaged_records_are_decoded_or_rejected(
        sample in 0usize..6,
        offset in any::<usize>(),
        byte: u8,
    ) {
        let mut bytes = encoded_samples().swap_remove(sample);
        let index = offset % bytes.len();
        bytes[index] = byte;
        decode_all(&bytes);
        bytes.truncate(index);
        decode_all(&bytes);
    }

    #[test]
    fn encoded_claims_are_decoded_unchanged(key: u128, submission: u128, is_release: bool) {
        let step = match is_release {
            true => ClaimStep::Release { key, submission },
            false => ClaimStep::Claim { key, submission },
        };
        let bytes = encode_claims(&[step]).expect("it can be encoded");
        assert_eq!(decode_claims(&bytes), Ok(vec![step]));
    }
}

/// Failure: a record of another writer is nested so deeply that its decoder overflows the stack.
#[test]
fn deeply_nested_records_are_rejected() {
    const DEPTH: usize = 200_000;
    let (array, map, key) = (0x91, 0x81, 0xa1);
    let nested_maps: Vec<u8> = [map, key, b'x'].repeat(DEPTH);
    // Each record as a map with one more field, whose value is nested.
    let with_nested_field = encoded_samples().into_iter().map(|mut bytes| {
        bytes[0] += 1;
        bytes.extend([key, b'x']);
        bytes.extend(vec![array; DEPTH]);
        bytes
    });

    decode_all(&vec![array; DEPTH]);
    decode_all(&nested_maps);
    decode_all("[".repeat(DEPTH).as_bytes());
    decode_all(r#"{"x":"#.repeat(DEPTH).as_bytes());
    with_nested_field.for_each(|bytes| decode_all(&bytes));
}

#[test]
fn other_records_are_decoded_as_unreadable_configuration_records() {
    for mut bytes in encoded_samples().into_iter().skip(2) {
        assert_eq!(decode_config(&bytes), ConfigRecord::Unreadable);
        bytes.clear();
        assert_eq!(decode_config(&bytes), ConfigRecord::Unreadable);
    }
}

#[test]
fn an_encoded_change_is_decoded_unchanged() {
    let change = ConfigChange::LeaveServer { server: "s".into() };
    let record = ChangeRecord { id: 5, operator: "o".to_owned(), base: 2, change };
    let record = ConfigRecord::Change(record);

    let bytes = encode_config(&record).expect("it can be encoded");

    assert_eq!(decode_config(&bytes), record);
}

#[test]
fn a_message_over_the_limit_is_rejected_with_its_size() {
    let result = decode::<Envelope<CancelMessage>>(&vec![0; MAX_BYTES + 1], MAX_BYTES).map(|_| ());

    assert_eq!(result, Err(CodecError::TooLarge { limit: MAX_BYTES, size: MAX_BYTES + 1 }));
}

#[test]
fn a_name_over_the_limit_is_rejected() {
    let name = "x".repeat(MAX_NAME_BYTES + 1);
    let text = format!(r#"{{"job":"{name}","team":"t","service":"s","tasks":[]}}"#);
    let body: SubmitBody = serde_json::from_str(&text).expect("the body is a submission");

    let result = JobRequest::try_from(body).map(|_| ());

    assert_eq!(result.expect_err("the name is too long").size, MAX_NAME_BYTES + 1);
}
