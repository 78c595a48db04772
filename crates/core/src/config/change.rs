//! Changes that operators make.

use super::{DomainAvailability, ServiceSpec, TeamQuota};
use crate::id::{ChangeId, DomainName, EntryName, ServerName, ServiceName, TeamName, Version};
use std::collections::BTreeSet;
use std::fmt;

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigChange {
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        name: ServiceName,
        /// What it declares.
        spec: ServiceSpec,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: ServiceName,
    },
    /// Sets the limits of a team.
    SetQuota {
        /// Name of the team.
        team: TeamName,
        /// Its limits.
        quota: TeamQuota,
    },
    /// Takes a failure domain out or brings it back.
    SetDomainAvailability {
        /// Name of the failure domain.
        domain: DomainName,
        /// Whether it takes work.
        availability: DomainAvailability,
    },
    /// Makes a backend server leave.
    LeaveServer {
        /// Name of the backend server.
        server: ServerName,
    },
    /// Lets a backend server take work again.
    RejoinServer {
        /// Name of the backend server.
        server: ServerName,
    },
    /// Names the entries that vote during an outage of the log.
    SetElectorate {
        /// Names of the entries.
        entries: BTreeSet<EntryName>,
    },
}

/// What a change is about; two changes race where their subject is the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigSubject {
    /// A service.
    Service(ServiceName),
    /// The limits of a team.
    Team(TeamName),
    /// A failure domain.
    Domain(DomainName),
    /// A backend server.
    Server(ServerName),
    /// The voting entries.
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
    /// Subject of the change.
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

/// Change as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Drawn once by the operator's command, kept over its retries.
    pub id: ChangeId,
    /// Who made the change.
    pub operator: String,
    /// Version of the subject that the operator saw.
    pub base: Version,
    /// The change itself.
    pub change: ConfigChange,
}
