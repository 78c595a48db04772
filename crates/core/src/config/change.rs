//! Configuration changes made by operators.

use super::{DomainAvailability, ServiceSpec, TeamQuota};
use crate::id::{ChangeId, DomainName, EntryName, ServerName, ServiceName, TeamName, Version};
use std::collections::BTreeSet;
use std::fmt;

/// Change of the configuration; each kind concerns one [`ConfigSubject`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigChange {
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        name: ServiceName,
        /// Properties of the service, which replace those of an existing one.
        spec: ServiceSpec,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: ServiceName,
    },
    /// Creates or replaces the quota of a team.
    SetQuota {
        /// Name of the team.
        team: TeamName,
        /// Limits of the team.
        quota: TeamQuota,
    },
    /// Takes a failure domain out of service or puts it back in service.
    SetDomainAvailability {
        /// Name of the failure domain.
        domain: DomainName,
        /// Whether the failure domain takes work.
        availability: DomainAvailability,
    },
    /// Orders a backend server to leave: it starts no further tasks.
    LeaveServer {
        /// Name of the backend server.
        server: ServerName,
    },
    /// Lets a leaving backend server take work again.
    RejoinServer {
        /// Name of the backend server.
        server: ServerName,
    },
    /// Replaces the set of entries that vote during an outage of the log.
    SetElectorate {
        /// Names of the voting entries.
        entries: BTreeSet<EntryName>,
    },
}

/// Part of the configuration that a change concerns.
///
/// Two concurrent changes conflict if they have the same subject. Its text form is `kind/name`, or
/// `electorate`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSubject {
    /// A service.
    Service(ServiceName),
    /// The quota of a team.
    Team(TeamName),
    /// A failure domain.
    Domain(DomainName),
    /// A backend server.
    Server(ServerName),
    /// The set of voting entries.
    Electorate,
}

impl fmt::Display for ConfigSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Team(name) => write!(f, "team/{name}"),
            Self::Domain(name) => write!(f, "domain/{name}"),
            Self::Server(name) => write!(f, "server/{name}"),
            Self::Electorate => write!(f, "electorate"),
        }
    }
}

impl ConfigChange {
    /// Subject whose version the change advances.
    pub fn subject(&self) -> ConfigSubject {
        match self {
            Self::PutService { name, .. } | Self::RemoveService { name } => {
                ConfigSubject::Service(name.clone())
            }
            Self::SetQuota { team, .. } => ConfigSubject::Team(team.clone()),
            Self::SetDomainAvailability { domain, .. } => ConfigSubject::Domain(domain.clone()),
            Self::LeaveServer { server } | Self::RejoinServer { server } => {
                ConfigSubject::Server(server.clone())
            }
            Self::SetElectorate { .. } => ConfigSubject::Electorate,
        }
    }
}

/// Change as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Random id chosen by the operator's command; a retried append has the same id.
    pub id: ChangeId,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Version of the subject that the operator saw; the change is rejected if it is outdated.
    pub base: Version,
    /// Change to apply.
    pub change: ConfigChange,
}
