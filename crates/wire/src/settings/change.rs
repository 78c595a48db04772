//! Changes of the configuration as operators send them.

use super::{QuotaWire, ServiceWire};
use parsleyspool_core::config::{ChangeRecord, ConfigChange, ConfigSubject, DomainAvailability};
use parsleyspool_core::id::{format_id, parse_id};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Order about a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainAvailabilityWire {
    /// It takes work.
    InService,
    /// It starts nothing.
    OutOfService,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeWire {
    /// Creates or replaces a service.
    PutService {
        /// Name.
        name: String,
        /// Declaration.
        spec: ServiceWire,
    },
    /// Removes a service.
    RemoveService {
        /// Name.
        name: String,
    },
    /// Sets the limits of a team.
    SetQuota {
        /// Name of the team.
        team: String,
        /// Limits.
        quota: QuotaWire,
    },
    /// Takes a failure domain out or brings it back.
    #[serde(rename = "order_domain")]
    SetDomainAvailability {
        /// Name.
        domain: String,
        /// Order.
        #[serde(rename = "order")]
        availability: DomainAvailabilityWire,
    },
    /// Makes a backend server leave.
    LeaveServer {
        /// Name.
        server: String,
    },
    /// Lets a backend server take work again.
    RejoinServer {
        /// Name.
        server: String,
    },
    /// Names the voting entries.
    SetElectorate {
        /// Names.
        entries: BTreeSet<String>,
    },
}

/// Change with its author and the version that the author saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecordWire {
    /// Id, 32 hexadecimal digits.
    pub id: String,
    /// Who made the change.
    pub operator: String,
    /// Version of the subject that the operator saw.
    pub base: u64,
    /// The change.
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

/// Identifier or subject that could not be read.
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

/// Subject from its `kind/name` form.
///
/// # Errors
/// Fails where the kind is unknown.
pub fn parse_subject(text: &str) -> Result<ConfigSubject, InvalidIdentifier> {
    let bad = || InvalidIdentifier(text.to_owned());
    if text == "electorate" {
        return Ok(ConfigSubject::Electorate);
    }
    let (kind, name) = text.split_once('/').ok_or_else(bad)?;
    match kind {
        "service" => Ok(ConfigSubject::Service(name.into())),
        "team" => Ok(ConfigSubject::Team(name.into())),
        "domain" => Ok(ConfigSubject::Domain(name.into())),
        "server" => Ok(ConfigSubject::Server(name.into())),
        _ => Err(bad()),
    }
}
