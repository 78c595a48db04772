//! Records in the streams of the log.
//!
//! Each record states the number of its format first. A reader skips a record that it cannot
//! decode and counts it; it never stops.

use crate::codec::{CodecError, MAX_RECORD_BYTES, decode, encode};
use crate::settings::{ChangeRecordWire, ConfigurationWire};
use parsleyspool_core::audit_log::{AuditLogRecord, RefusalRecord};
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::config::{ConfigRecord, ConfigSnapshot};
use parsleyspool_core::id::{Incarnation, format_id, parse_id};
use parsleyspool_core::member::{MemberRecord, MemberStatus};
use serde::{Deserialize, Serialize};

/// Name of the configuration stream.
pub const CONFIG_STREAM: &str = "config";
/// Name of the claim stream.
pub const CLAIM_STREAM: &str = "claims";
/// Name of the account stream.
pub const AUDIT_STREAM: &str = "accounts";

/// Name of the member stream.
pub const MEMBER_STREAM: &str = "members";

/// Number of the record formats in this module.
const FORMAT: u16 = 1;

/// Record with the number of its format.
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
        return Err(CodecError::Malformed(format!("format {} is unknown", record.format)));
    }
    Ok(record.body)
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ConfigRecordWire {
    Change(ChangeRecordWire),
    Snapshot(ConfigurationWire),
}

/// Bytes of a configuration record.
///
/// # Errors
/// Fails where the record is over [`MAX_RECORD_BYTES`], or stands for an unreadable one.
pub fn encode_config(record: &ConfigRecord) -> Result<Vec<u8>, CodecError> {
    let wire = match record {
        ConfigRecord::Change(change) => ConfigRecordWire::Change(change.into()),
        ConfigRecord::Snapshot(snapshot) => {
            ConfigRecordWire::Snapshot((&snapshot.configuration).into())
        }
        ConfigRecord::Unreadable => {
            return Err(CodecError::Malformed("an unreadable record has no form".to_owned()));
        }
    };
    encode_record(&wire)
}

/// Configuration record from its bytes; one that cannot be decoded is
/// [`ConfigRecord::Unreadable`].
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

/// One step of a claim record: key, submission, and whether it is a release.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimStepWire(u128, u128, bool);

/// Bytes of a claim record.
///
/// # Errors
/// Fails where the record is over [`MAX_RECORD_BYTES`].
pub fn encode_claims(steps: &[ClaimStep]) -> Result<Vec<u8>, CodecError> {
    let wire = |step: &ClaimStep| match *step {
        ClaimStep::Claim { key, submission } => ClaimStepWire(key, submission, false),
        ClaimStep::Release { key, submission } => ClaimStepWire(key, submission, true),
    };
    encode_record(&steps.iter().map(wire).collect::<Vec<_>>())
}

/// Claim record from its bytes.
///
/// # Errors
/// Fails where the bytes are no claim record.
pub fn decode_claims(bytes: &[u8]) -> Result<Vec<ClaimStep>, CodecError> {
    let wire: Vec<ClaimStepWire> = decode_record(bytes)?;
    let step = |ClaimStepWire(key, submission, is_release)| match is_release {
        true => ClaimStep::Release { key, submission },
        false => ClaimStep::Claim { key, submission },
    };
    Ok(wire.into_iter().map(step).collect())
}

/// One account as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecordWire {
    /// Number within the incarnation.
    pub sequence: u64,
    /// Wall clock in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Submission.
    pub submission: String,
    /// Job.
    pub job: String,
    /// Team.
    pub team: String,
    /// Service.
    pub service: String,
    /// Tasks in the job.
    pub tasks: u32,
    /// Kind out of the closed list.
    pub kind: String,
    /// Whether no task started.
    pub not_run: bool,
    /// Limit that decided.
    pub limit: String,
    /// Value of the limit.
    pub allowed: u64,
    /// Value that met it.
    pub actual: u64,
    /// Configuration version in force.
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
            limit: record.error.details.limit.to_owned(),
            allowed: record.error.details.allowed,
            actual: record.error.details.actual,
            config_version: record.version,
        }
    }
}

/// Step of the account stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditLogStepWire {
    /// The incarnation started.
    Opened,
    /// Answers accounted for.
    Batch(Vec<RefusalRecordWire>),
    /// The incarnation stopped as planned.
    Closed {
        /// Number after the last one used.
        next: u64,
    },
}

/// Record of the account stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLogRecordWire {
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry, hexadecimal.
    pub incarnation: String,
    /// Step.
    pub step: AuditLogStepWire,
}

impl AuditLogRecordWire {
    /// Record of `step` by the entry `entry`.
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

    /// Incarnation as a number, 0 where its text is malformed.
    pub fn incarnation(&self) -> Incarnation {
        parse_id(&self.incarnation).and_then(|id| u64::try_from(id).ok()).unwrap_or(0)
    }
}

/// Bytes of an account record.
///
/// # Errors
/// Fails where the record is over [`MAX_RECORD_BYTES`].
pub fn encode_audit_log(record: &AuditLogRecordWire) -> Result<Vec<u8>, CodecError> {
    encode_record(record)
}

/// Account record from its bytes.
///
/// # Errors
/// Fails where the bytes are no account record.
pub fn decode_audit_log(bytes: &[u8]) -> Result<AuditLogRecordWire, CodecError> {
    decode_record(bytes)
}

/// Record of the member stream; without an address the entry is gone.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecordWire {
    entry: String,
    incarnation: u64,
    address: Option<String>,
}

/// Bytes of a member record.
///
/// # Errors
/// Fails where the record is over [`MAX_RECORD_BYTES`].
pub fn encode_member(record: &MemberRecord) -> Result<Vec<u8>, CodecError> {
    let address = match &record.status {
        MemberStatus::Present(address) => Some(address.to_string()),
        MemberStatus::Left => None,
    };
    let (entry, incarnation) = (record.entry.to_string(), record.incarnation);
    encode_record(&MemberRecordWire { entry, incarnation, address })
}

/// Member record from its bytes.
///
/// # Errors
/// Fails where the bytes are no member record.
pub fn decode_member(bytes: &[u8]) -> Result<MemberRecord, CodecError> {
    let wire: MemberRecordWire = decode_record(bytes)?;
    let status = wire.address.map_or(MemberStatus::Left, |at| MemberStatus::Present(at.into()));
    Ok(MemberRecord { entry: wire.entry.into(), incarnation: wire.incarnation, status })
}
