//! Findings of a configuration check: what was found, where, and how to correct it.

use crate::config::ConfigSubject;
use crate::id::{RequestName, ServiceName};
use std::fmt;
use std::time::Duration;

/// Consequence of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingSeverity {
    /// Entries cannot read the file, or refuse requests that it declares or routes.
    Error,
    /// A value has no effect or contradicts another one, but nothing is refused for it alone.
    Warning,
}

/// Part of a configuration that a finding concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigPlace {
    /// A field of a subject; empty for the subject itself.
    Subject {
        /// Subject that an operator can change.
        subject: ConfigSubject,
        /// Dotted path of the field within the subject.
        field: String,
    },
    /// A field of a route; empty for the route itself.
    Route {
        /// Position of the route, counted from 0.
        index: usize,
        /// Name of the field.
        field: String,
    },
    /// A place in a file that is neither, as a dotted path or a line; empty for the whole file.
    File(String),
}

/// Finding of a configuration check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigFinding {
    /// Part of the configuration.
    pub place: ConfigPlace,
    /// What was found.
    pub kind: FindingKind,
}

/// What a configuration check found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FindingKind {
    /// The file has a syntax or type error.
    Unreadable(String),
    /// The file has a key that no reader knows.
    UnknownKey,
    /// The name of a subject cannot be parsed.
    InvalidSubject,
    /// No caller can state a name of this length, and no route supplies it.
    NameTooLong {
        /// Size of the name in bytes.
        size: usize,
        /// Size of the longest accepted name.
        longest: usize,
    },
    /// Another value than the given one takes effect.
    ValueReplaced {
        /// Value in the file.
        given: u32,
        /// Value that takes effect.
        effective: u32,
    },
    /// A request that is not idempotent allows further runs after a failed one.
    AttemptsIgnored {
        /// Number of failed runs in the file.
        attempts: u32,
    },
    /// A later change in the same file has the same subject.
    ChangeReplaced {
        /// Position of the later change, counted from 0.
        by: usize,
    },
    /// A change removes what is not there.
    NothingToRemove,
    /// A route names a service that is not declared.
    UnknownService {
        /// Name of the service.
        service: ServiceName,
    },
    /// A route names a request that its service does not declare.
    UnknownRequest {
        /// Name of the service.
        service: ServiceName,
        /// Name of the request.
        request: RequestName,
    },
    /// An earlier route has the same host and prefix.
    RouteShadowed {
        /// Position of the earlier route, counted from 0.
        by: usize,
        /// Whether the earlier route leads to another service or request.
        differs: bool,
    },
    /// No request has the host of a route.
    HostNeverMatches,
    /// No path starts with the prefix of a route.
    PrefixNeverMatches,
    /// A service declares no requests.
    NoRequests,
    /// The default deadline of a service is zero.
    ZeroDeadline,
    /// The default deadline of a service is longer than an entry accepts.
    DeadlineAboveLimit {
        /// Default deadline.
        deadline: Duration,
        /// Longest deadline of the entry.
        longest: Duration,
    },
    /// The run time of a request is longer than the default deadline of its service.
    RunTimeAboveDeadline {
        /// Declared run time.
        run_time: Duration,
        /// Default deadline.
        deadline: Duration,
    },
    /// The latency objective is longer than the default deadline of the service.
    ObjectiveAboveDeadline {
        /// Objective of a job with one task.
        objective: Duration,
        /// Default deadline.
        deadline: Duration,
    },
    /// The answer expires before its latency objective.
    ExpiryBeforeObjective {
        /// Time after which the answer is of no use.
        expiry: Duration,
        /// Objective of a job with one task.
        objective: Duration,
    },
    /// A stretch below 100 percent counts as 100.
    StretchIgnored {
        /// Stretch in the file.
        percent: u32,
    },
    /// More failed runs are allowed than an entry starts.
    AttemptsAboveLimit {
        /// Failed runs of the request.
        attempts: u32,
        /// Starts that an entry allows.
        limit: u32,
    },
    /// A request needs more slots than any registered server has.
    SlotsAboveServers {
        /// Slots of the request.
        slots: u32,
        /// Slots of the largest server.
        largest: u32,
    },
    /// A team with a quota owns no service.
    QuotaWithoutService,
    /// A team that owns a service may have no task in flight.
    QuotaOfNoTask,
    /// No registered server is in a failure domain.
    DomainWithoutServer,
    /// No server with this name has registered.
    UnknownServer,
    /// Two entries vote, so each of them is needed for a majority.
    TwoVoters,
}

impl ConfigPlace {
    /// Place of `field` of `subject`.
    pub fn of(subject: ConfigSubject, field: &str) -> Self {
        Self::Subject { subject, field: field.to_owned() }
    }

    /// Finding of `kind` at this place.
    pub fn finding(self, kind: FindingKind) -> ConfigFinding {
        ConfigFinding { place: self, kind }
    }
}

impl fmt::Display for ConfigPlace {
    /// Writes the dotted path in a complete configuration.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = match self {
            Self::Subject { subject, field } => {
                match subject {
                    ConfigSubject::Service(name) => write!(f, "services.{name}")?,
                    ConfigSubject::Team(name) => write!(f, "quotas.{name}")?,
                    ConfigSubject::Domain(name) => write!(f, "domains.{name}")?,
                    ConfigSubject::Server(name) => write!(f, "leaving.{name}")?,
                    ConfigSubject::Electorate => f.write_str("electorate")?,
                }
                field
            }
            Self::Route { index, field } => {
                write!(f, "routes[{index}]")?;
                field
            }
            Self::File(path) => return f.write_str(path),
        };
        if field.is_empty() { Ok(()) } else { write!(f, ".{field}") }
    }
}

/// Name, severity, message and fix of a [`FindingKind`].
struct FindingText {
    name: &'static str,
    severity: FindingSeverity,
    message: String,
    fix: &'static str,
}

impl FindingKind {
    /// Name of the kind, for programs.
    pub fn name(&self) -> &'static str {
        self.text().name
    }

    /// Consequence of the finding.
    pub fn severity(&self) -> FindingSeverity {
        self.text().severity
    }

    /// What is wrong, for people.
    pub fn message(&self) -> String {
        self.text().message
    }

    /// How to correct it.
    pub fn fix(&self) -> &'static str {
        self.text().fix
    }

    fn text(&self) -> FindingText {
        let error = |name, message: String, fix| FindingText {
            name,
            severity: FindingSeverity::Error,
            message,
            fix,
        };
        let warning = |name, message: String, fix| FindingText {
            name,
            severity: FindingSeverity::Warning,
            message,
            fix,
        };
        match self {
            Self::Unreadable(text) => error("unreadable", text.clone(), "correct the file there"),
            Self::UnknownKey => {
                error("unknown_key", "no reader knows this key".into(), "correct or remove it")
            }
            Self::InvalidSubject => error(
                "invalid_subject",
                "this is not a subject".into(),
                "write service/, team/, domain/ or server/ and a name, or electorate",
            ),
            Self::NameTooLong { size, longest } => error(
                "name_too_long",
                format!("a name has {size} bytes; submissions have at most {longest}"),
                "shorten the name",
            ),
            Self::ValueReplaced { given, effective } => warning(
                "value_replaced",
                format!("{given} has the effect of {effective}"),
                "write the value that takes effect",
            ),
            Self::AttemptsIgnored { attempts } => warning(
                "attempts_ignored",
                format!("{attempts} has the effect of 1, as the request is not idempotent"),
                "use 1 or declare the request idempotent",
            ),
            Self::ChangeReplaced { by } => warning(
                "change_replaced",
                format!("change [{by}] has the same subject and follows"),
                "remove one of them",
            ),
            Self::NothingToRemove => warning(
                "nothing_to_remove",
                "the configuration does not contain it".into(),
                "correct the name or remove the change",
            ),
            Self::UnknownService { service } => error(
                "unknown_service",
                format!("there is no service {service}"),
                "declare it or correct the name",
            ),
            Self::UnknownRequest { service, request } => error(
                "unknown_request",
                format!("the service {service} has no request {request}"),
                "declare it or correct the name",
            ),
            Self::RouteShadowed { by, differs: true } => error(
                "route_shadowed",
                format!("never matches; routes[{by}] has the same host and prefix"),
                "remove one of them or lengthen a prefix",
            ),
            Self::RouteShadowed { by, differs: false } => warning(
                "route_repeated",
                format!("never matches; routes[{by}] is the same route"),
                "remove one of them",
            ),
            Self::HostNeverMatches => error(
                "host_never_matches",
                "requests are matched by host in lower case and without port".into(),
                "write the host in that form",
            ),
            Self::PrefixNeverMatches => error(
                "prefix_never_matches",
                "no path of a request starts so".into(),
                "start with / and leave out the query",
            ),
            Self::NoRequests => warning(
                "no_requests",
                "every job of the service is refused".into(),
                "declare a request",
            ),
            Self::ZeroDeadline => error(
                "zero_deadline",
                "a job that states no deadline has missed it on arrival".into(),
                "allow the time that a job takes",
            ),
            Self::DeadlineAboveLimit { deadline, longest } => error(
                "deadline_above_limit",
                format!(
                    "{deadline:?} is longer than entry.limits.longest_deadline, {longest:?}; a job \
                     that states no deadline is refused"
                ),
                "shorten the deadline or raise the setting",
            ),
            Self::RunTimeAboveDeadline { run_time, deadline } => warning(
                "run_time_above_deadline",
                format!("{run_time:?} is longer than the deadline of the service, {deadline:?}"),
                "lengthen the deadline or correct the run time",
            ),
            Self::ObjectiveAboveDeadline { objective, deadline } => warning(
                "objective_above_deadline",
                format!(
                    "the objective, {objective:?}, is longer than the deadline of the service, \
                     {deadline:?}"
                ),
                "lengthen the deadline or shorten the objective",
            ),
            Self::ExpiryBeforeObjective { expiry, objective } => warning(
                "expiry_before_objective",
                format!("an answer expires after {expiry:?}, its objective is {objective:?}"),
                "use at least 100",
            ),
            Self::StretchIgnored { percent } => warning(
                "stretch_ignored",
                format!("{percent} has the effect of 100"),
                "use at least 100",
            ),
            Self::AttemptsAboveLimit { attempts, limit } => warning(
                "attempts_above_limit",
                format!("{attempts} is above entry.limits.attempts, {limit}"),
                "lower the attempts or raise the setting",
            ),
            Self::SlotsAboveServers { slots, largest } => error(
                "slots_above_servers",
                format!("no registered server has {slots} slots; the largest has {largest}"),
                "lower the slots or add a larger server",
            ),
            Self::QuotaWithoutService => warning(
                "quota_without_service",
                "the team owns no service".into(),
                "declare a service of the team or correct its name",
            ),
            Self::QuotaOfNoTask => error(
                "quota_of_no_task",
                "every job of the team is refused".into(),
                "allow at least one task",
            ),
            Self::DomainWithoutServer => warning(
                "domain_without_server",
                "no registered server is in this failure domain".into(),
                "correct the name or start a server there",
            ),
            Self::UnknownServer => warning(
                "unknown_server",
                "no server of this name has registered".into(),
                "correct the name",
            ),
            Self::TwoVoters => warning(
                "two_voters",
                "with two voting entries, one of them alone is not a majority".into(),
                "use one, three or more",
            ),
        }
    }
}
