//! Configuration changes, as sent by operators and stored in the log.

use super::{QuotaWire, ServiceWire};
use parsleyspool_core::config::{ChangeRecord, ConfigChange, ConfigSubject, DomainAvailability};
use parsleyspool_core::id::{format_id, parse_id};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Whether operators allow a failure domain to take work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainAvailabilityWire {
    /// The failure domain takes work.
    InService,
    /// No task starts in the failure domain.
    OutOfService,
}

/// Change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeWire {
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        name: String,
        /// Properties of the service, which replace those of an existing one.
        spec: ServiceWire,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: String,
    },
    /// Creates or replaces the quota of a team.
    SetQuota {
        /// Name of the team.
        team: String,
        /// Limits of the team.
        quota: QuotaWire,
    },
    /// Takes a failure domain out of service or puts it back in service.
    #[serde(rename = "order_domain")]
    SetDomainAvailability {
        /// Name of the failure domain.
        domain: String,
        /// Whether the failure domain takes work.
        #[serde(rename = "order")]
        availability: DomainAvailabilityWire,
    },
    /// Orders a backend server to leave: it starts no further tasks.
    LeaveServer {
        /// Name of the backend server.
        server: String,
    },
    /// Lets a leaving backend server take work again.
    RejoinServer {
        /// Name of the backend server.
        server: String,
    },
    /// Replaces the set of entries that vote during an outage of the log.
    SetElectorate {
        /// Names of the voting entries.
        entries: BTreeSet<String>,
    },
}

/// Change with its author and the version that it is based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecordWire {
    /// Random id chosen by the operator's command, as 32 hexadecimal digits; a retried append has
    /// the same id.
    pub id: String,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Version of the subject that the operator saw, or 0 if the subject had never changed; the
    /// change is rejected if it is outdated.
    pub base: u64,
    /// Change to apply.
    pub change: ChangeWire,
}

impl From<DomainAvailabilityWire> for DomainAvailability {
    fn from(wire: DomainAvailabilityWire) -> Self {
        match wire {
            DomainAvailabilityWire::InService => Self::InService,
            DomainAvailabilityWire::OutOfService => Self::OutOfService,
        }
    }
}

impl From<DomainAvailability> for DomainAvailabilityWire {
    fn from(availability: DomainAvailability) -> Self {
        match availability {
            DomainAvailability::InService => Self::InService,
            DomainAvailability::OutOfService => Self::OutOfService,
        }
    }
}

impl From<ChangeWire> for ConfigChange {
    fn from(wire: ChangeWire) -> Self {
        match wire {
            ChangeWire::PutService { name, spec } => {
                Self::PutService { name: name.into(), spec: spec.into() }
            }
            ChangeWire::RemoveService { name } => Self::RemoveService { name: name.into() },
            ChangeWire::SetQuota { team, quota } => {
                Self::SetQuota { team: team.into(), quota: quota.into() }
            }
            ChangeWire::SetDomainAvailability { domain, availability } => {
                Self::SetDomainAvailability {
                    domain: domain.into(),
                    availability: availability.into(),
                }
            }
            ChangeWire::LeaveServer { server } => Self::LeaveServer { server: server.into() },
            ChangeWire::RejoinServer { server } => Self::RejoinServer { server: server.into() },
            ChangeWire::SetElectorate { entries } => {
                Self::SetElectorate { entries: entries.into_iter().map(Into::into).collect() }
            }
        }
    }
}

impl From<&ConfigChange> for ChangeWire {
    fn from(change: &ConfigChange) -> Self {
        match change {
            ConfigChange::PutService { name, spec } => {
                Self::PutService { name: name.to_string(), spec: spec.into() }
            }
            ConfigChange::RemoveService { name } => Self::RemoveService { name: name.to_string() },
            ConfigChange::SetQuota { team, quota } => {
                Self::SetQuota { team: team.to_string(), quota: quota.into() }
            }
            ConfigChange::SetDomainAvailability { domain, availability } => {
                Self::SetDomainAvailability {
                    domain: domain.to_string(),
                    availability: (*availability).into(),
                }
            }
            ConfigChange::LeaveServer { server } => {
                Self::LeaveServer { server: server.to_string() }
            }
            ConfigChange::RejoinServer { server } => {
                Self::RejoinServer { server: server.to_string() }
            }
            ConfigChange::SetElectorate { entries } => {
                Self::SetElectorate { entries: entries.iter().map(ToString::to_string).collect() }
            }
        }
    }
}

/// Text that is not a valid id, configuration subject or event name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidIdentifier(pub String);

impl std::fmt::Display for InvalidIdentifier {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "could not read the identifier {:?}", self.0)
    }
}

impl std::error::Error for InvalidIdentifier {}

impl TryFrom<ChangeRecordWire> for ChangeRecord {
    type Error = InvalidIdentifier;

    fn try_from(wire: ChangeRecordWire) -> Result<Self, InvalidIdentifier> {
        let id = parse_id(&wire.id).ok_or(InvalidIdentifier(wire.id))?;
        Ok(Self { id, operator: wire.operator, base: wire.base, change: wire.change.into() })
    }
}

impl From<&ChangeRecord> for ChangeRecordWire {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            id: format_id(record.id),
            operator: record.operator.clone(),
            base: record.base,
            change: (&record.change).into(),
        }
    }
}

/// Parses a subject from its text form `kind/name` or `electorate`.
///
/// # Errors
/// Fails if the kind is unknown or the name is missing.
pub fn parse_subject(text: &str) -> Result<ConfigSubject, InvalidIdentifier> {
    let invalid = || InvalidIdentifier(text.to_owned());
    if text == "electorate" {
        return Ok(ConfigSubject::Electorate);
    }
    let (kind, name) = text.split_once('/').ok_or_else(invalid)?;
    match kind {
        "service" => Ok(ConfigSubject::Service(name.into())),
        "team" => Ok(ConfigSubject::Team(name.into())),
        "domain" => Ok(ConfigSubject::Domain(name.into())),
        "server" => Ok(ConfigSubject::Server(name.into())),
        _ => Err(invalid()),
    }
}
