//! Records in the streams of the log.
//!
//! Each record contains its format version. A record that cannot be decoded never stops a reader:
//! the reader skips it, counts it as read and continues with the next one.

use crate::codec::{CodecError, MAX_RECORD_BYTES, decode, encode};
use crate::config::{ChangeRecordWire, ConfigurationWire};
use parsleyspool_core::audit_log::{AuditLogRecord, RefusalRecord};
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{ConfigRecord, ConfigSnapshot};
use parsleyspool_core::id::{Incarnation, format_id, parse_id};
use parsleyspool_core::member::{MemberRecord, MemberStatus};
use serde::{Deserialize, Serialize};

/// Name of the stream of configuration changes and snapshots.
pub const CONFIG_STREAM: &str = "config";
/// Name of the stream of idempotency key claims.
pub const CLAIM_STREAM: &str = "claims";
/// Name of the audit log stream, which holds refusals and failures.
pub const AUDIT_STREAM: &str = "accounts";

/// Name of the stream in which entries register and deregister.
pub const MEMBER_STREAM: &str = "members";

/// Format version of the records in this module.
const FORMAT: u16 = 1;

/// Record with its format version.
#[derive(Debug, Serialize, Deserialize)]
struct Versioned<T> {
    format: u16,
    body: T,
}

fn encode_record<T: Serialize>(body: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = encode(&Versioned { format: FORMAT, body })?;
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(CodecError::TooLarge { limit: MAX_RECORD_BYTES, size: bytes.len() });
    }
    Ok(bytes)
}

fn decode_record<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let record: Versioned<T> = decode(bytes, MAX_RECORD_BYTES)?;
    if record.format != FORMAT {
        return Err(CodecError::Malformed(format!("unknown record format {}", record.format)));
    }
    Ok(record.body)
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ConfigRecordWire {
    Change(ChangeRecordWire),
    Snapshot(ConfigurationWire),
}

/// Encodes a configuration record.
///
/// # Errors
/// Fails if the record is larger than [`MAX_RECORD_BYTES`] or is [`ConfigRecord::Unreadable`].
pub fn encode_config(record: &ConfigRecord) -> Result<Vec<u8>, CodecError> {
    let wire = match record {
        ConfigRecord::Change(change) => ConfigRecordWire::Change(change.into()),
        ConfigRecord::Snapshot(snapshot) => {
            ConfigRecordWire::Snapshot((&snapshot.configuration).into())
        }
        ConfigRecord::Unreadable => {
            return Err(CodecError::Malformed("an unreadable record cannot be encoded".to_owned()));
        }
    };
    encode_record(&wire)
}

/// Decodes a configuration record; returns [`ConfigRecord::Unreadable`] if that fails.
pub fn decode_config(bytes: &[u8]) -> ConfigRecord {
    match decode_record(bytes) {
        Ok(ConfigRecordWire::Change(wire)) => {
            wire.try_into().map_or(ConfigRecord::Unreadable, ConfigRecord::Change)
        }
        Ok(ConfigRecordWire::Snapshot(wire)) => {
            let snapshot = |configuration| ConfigRecord::Snapshot(ConfigSnapshot { configuration });
            wire.try_into().map_or(ConfigRecord::Unreadable, snapshot)
        }
        Err(_) => ConfigRecord::Unreadable,
    }
}

/// Step of a claim record: claim key, submission id, and whether the step is a release.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimStepWire(u128, u128, bool);

/// Encodes a claim record.
///
/// # Errors
/// Fails if the record is larger than [`MAX_RECORD_BYTES`].
pub fn encode_claims(steps: &[ClaimStep]) -> Result<Vec<u8>, CodecError> {
    let wire = |step: &ClaimStep| match *step {
        ClaimStep::Claim { key, submission } => ClaimStepWire(key, submission, false),
        ClaimStep::Release { key, submission } => ClaimStepWire(key, submission, true),
    };
    encode_record(&steps.iter().map(wire).collect::<Vec<_>>())
}

/// Decodes a claim record.
///
/// # Errors
/// Fails if the bytes are not a claim record.
pub fn decode_claims(bytes: &[u8]) -> Result<Vec<ClaimStep>, CodecError> {
    let wire: Vec<ClaimStepWire> = decode_record(bytes)?;
    let step = |ClaimStepWire(key, submission, is_release)| match is_release {
        true => ClaimStep::Release { key, submission },
        false => ClaimStep::Claim { key, submission },
    };
    Ok(wire.into_iter().map(step).collect())
}

/// Refusal or failure of one submission, as stored in the audit log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecordWire {
    /// Sequence number within the incarnation, from 0; a gap means that records were lost.
    pub sequence: u64,
    /// Wall clock time of the answer at the entry, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Submission id in hexadecimal.
    pub submission: String,
    /// Job name given by the caller.
    pub job: String,
    /// Team named in the request; it may be unknown to the configuration.
    pub team: String,
    /// Service named in the request; it may be unknown to the configuration.
    pub service: String,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Name of the [`ErrorKind`](parsleyspool_core::error::ErrorKind).
    pub kind: String,
    /// Whether it is known that no task started.
    pub not_run: bool,
    /// Name of the limit that led to the error; empty if there is none.
    pub limit: String,
    /// Value of the limit, in the unit given by the suffix of its name.
    pub allowed: u64,
    /// Value that was compared with the limit, in the same unit.
    pub actual: u64,
    /// Configuration version of the entry when it answered.
    pub config_version: u64,
}

impl From<&RefusalRecord> for RefusalRecordWire {
    fn from(record: &RefusalRecord) -> Self {
        Self {
            sequence: record.sequence,
            wall_ms: u64::try_from(record.wall.as_millis()).unwrap_or(u64::MAX),
            submission: format_id(record.submission),
            job: record.job.to_string(),
            team: record.team.to_string(),
            service: record.service.to_string(),
            tasks: record.tasks,
            kind: record.error.kind.name().to_owned(),
            not_run: record.error.not_run,
            limit: record.error.details.name().to_owned(),
            allowed: record.error.details.allowed,
            actual: record.error.details.actual,
            config_version: record.version,
        }
    }
}

/// Content of an audit log record, as [`AuditLogRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditLogStepWire {
    /// The incarnation started; its sequence numbers start at 0.
    Opened,
    /// Refusals and failures, in the order of their sequence numbers.
    Batch(Vec<RefusalRecordWire>),
    /// The incarnation shut down gracefully.
    Closed {
        /// Sequence number after the last one used.
        next: u64,
    },
}

/// Record of the audit log stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLogRecordWire {
    /// Name of the entry that appended the record.
    pub entry: String,
    /// Incarnation of the entry, in hexadecimal.
    pub incarnation: String,
    /// Content of the record.
    pub step: AuditLogStepWire,
}

impl AuditLogRecordWire {
    /// Creates the record with the content `step`, appended by the entry named `entry`.
    pub fn new(entry: &str, incarnation: Incarnation, step: &AuditLogRecord) -> Self {
        let step = match step {
            AuditLogRecord::Opened => AuditLogStepWire::Opened,
            AuditLogRecord::Batch(batch) => {
                AuditLogStepWire::Batch(batch.records.iter().map(Into::into).collect())
            }
            AuditLogRecord::Closed { next } => AuditLogStepWire::Closed { next: *next },
        };
        Self { entry: entry.to_owned(), incarnation: format_id(incarnation.into()), step }
    }

    /// Incarnation as a number; 0 if the hexadecimal text is malformed.
    pub fn incarnation(&self) -> Incarnation {
        parse_id(&self.incarnation).and_then(|id| u64::try_from(id).ok()).unwrap_or(0)
    }
}

/// Encodes an audit log record.
///
/// # Errors
/// Fails if the record is larger than [`MAX_RECORD_BYTES`].
pub fn encode_audit_log(record: &AuditLogRecordWire) -> Result<Vec<u8>, CodecError> {
    encode_record(record)
}

/// Decodes an audit log record.
///
/// # Errors
/// Fails if the bytes are not an audit log record.
pub fn decode_audit_log(bytes: &[u8]) -> Result<AuditLogRecordWire, CodecError> {
    decode_record(bytes)
}

/// Record of the member stream; `address` is `None` if the entry has deregistered.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecordWire {
    entry: String,
    incarnation: u64,
    address: Option<String>,
}

/// Encodes a member record.
///
/// # Errors
/// Fails if the record is larger than [`MAX_RECORD_BYTES`].
pub fn encode_member(record: &MemberRecord) -> Result<Vec<u8>, CodecError> {
    let address = match &record.status {
        MemberStatus::Present(address) => Some(address.to_string()),
        MemberStatus::Left => None,
    };
    let (entry, incarnation) = (record.entry.to_string(), record.incarnation);
    encode_record(&MemberRecordWire { entry, incarnation, address })
}

/// Decodes a member record.
///
/// # Errors
/// Fails if the bytes are not a member record.
pub fn decode_member(bytes: &[u8]) -> Result<MemberRecord, CodecError> {
    let wire: MemberRecordWire = decode_record(bytes)?;
    let status =
        wire.address.map_or(MemberStatus::Left, |address| MemberStatus::Present(address.into()));
    Ok(MemberRecord { entry: wire.entry.into(), incarnation: wire.incarnation, status })
}
