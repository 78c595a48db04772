//! Check of a configuration before operators submit it.
//!
//! Rules that entries apply are called here, not repeated: [`RouteTable`] decides which route
//! matches, [`LatencyObjective`] computes times, and [`EntryLimits`] and
//! [`ResourceAmounts::fits`] decide what is accepted.
//!
//! [`LatencyObjective`]: super::LatencyObjective
//! [`RouteTable`]: crate::route::RouteTable

mod finding;
mod routes;

pub use finding::{ConfigFinding, ConfigPlace, FindingKind, FindingSeverity};

use super::{ConfigSubject, Configuration, RequestRule, ServiceSpec};
use crate::entry::EntryLimits;
use crate::id::{DomainName, RequestName, ServerName, ServiceName};
use crate::resources::ResourceAmounts;
use std::collections::BTreeSet;

/// What is known about the deployment in which a configuration is to be in force.
#[derive(Debug, Clone, Default)]
pub struct CheckContext {
    /// Limits of the entries, if their settings are known.
    pub limits: Option<EntryLimits>,
    /// Backend servers that have registered, if an entry was asked and knows any.
    pub servers: Option<KnownServers>,
}

/// Backend servers that have registered at an entry.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownServers {
    /// Names of the servers.
    pub names: BTreeSet<ServerName>,
    /// Failure domains of the servers.
    pub domains: BTreeSet<DomainName>,
    /// Slots of the largest server.
    pub max_slots: u32,
}

/// Number of voting entries at which the failure of either leaves no majority.
const INDECISIVE_ELECTORATE: usize = 2;

/// Checks `configuration` and returns all findings, services first.
pub fn check_configuration(
    configuration: &Configuration,
    context: &CheckContext,
) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for (name, spec) in &configuration.services {
        check_service(name, spec, context, &mut findings);
    }
    check_quotas(configuration, &mut findings);
    if let Some(servers) = &context.servers {
        check_names_of_servers(configuration, servers, &mut findings);
    }
    if configuration.electorate.len() == INDECISIVE_ELECTORATE {
        let place = ConfigPlace::of(ConfigSubject::Electorate, "");
        findings.push(place.finding(FindingKind::TwoVoters));
    }
    findings.extend(routes::check_routes(configuration));
    findings
}

fn check_service(
    name: &ServiceName,
    spec: &ServiceSpec,
    context: &CheckContext,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut add = |field: &str, kind: FindingKind| {
        let place = ConfigPlace::of(ConfigSubject::Service(name.clone()), field);
        findings.push(place.finding(kind));
    };
    if spec.requests.is_empty() {
        add("requests", FindingKind::NoRequests);
    }
    if spec.default_deadline.is_zero() {
        add("deadline", FindingKind::ZeroDeadline);
    }
    if let Some(limits) = &context.limits
        && !limits.allows_deadline(spec.default_deadline)
    {
        let (deadline, longest) = (spec.default_deadline, limits.longest_deadline);
        add("deadline", FindingKind::DeadlineAboveLimit { deadline, longest });
    }
    for (request, rule) in &spec.requests {
        for (field, kind) in request_findings(spec, rule, context) {
            add(&request_field(request, field), kind);
        }
    }
}

/// Field of a service that holds `field` of one of its requests.
fn request_field(request: &RequestName, field: &str) -> String {
    format!("requests.{request}.{field}")
}

fn request_findings(
    spec: &ServiceSpec,
    rule: &RequestRule,
    context: &CheckContext,
) -> Vec<(&'static str, FindingKind)> {
    let mut found = Vec::new();
    let (deadline, run_time) = (spec.default_deadline, rule.run_time);
    if !deadline.is_zero() && run_time > deadline {
        found.push(("run_time", FindingKind::RunTimeAboveDeadline { run_time, deadline }));
    }
    if let Some(objective) = &rule.objective {
        let wanted = run_time.saturating_add(objective.slack(run_time));
        let expiry = objective.expires_after(run_time);
        if objective.stretch_percent < 100 {
            let percent = objective.stretch_percent;
            found.push(("objective.stretch_percent", FindingKind::StretchIgnored { percent }));
        }
        if expiry < wanted {
            let kind = FindingKind::ExpiryBeforeObjective { expiry, objective: wanted };
            found.push(("objective.patience_percent", kind));
        }
        if !deadline.is_zero() && run_time <= deadline && wanted > deadline {
            let kind = FindingKind::ObjectiveAboveDeadline { objective: wanted, deadline };
            found.push(("objective", kind));
        }
    }
    if let Some(limits) = &context.limits
        && rule.max_failures > limits.max_attempts
    {
        let (attempts, limit) = (rule.max_failures, limits.max_attempts);
        found.push(("attempts", FindingKind::AttemptsAboveLimit { attempts, limit }));
    }
    if let Some(servers) = &context.servers {
        let largest = ResourceAmounts::from_slots(servers.max_slots);
        if !ResourceAmounts::from_slots(rule.slots).fits(&largest, &ResourceAmounts::default()) {
            let (slots, largest) = (rule.slots, servers.max_slots);
            found.push(("slots", FindingKind::SlotsAboveServers { slots, largest }));
        }
    }
    found
}

fn check_quotas(configuration: &Configuration, findings: &mut Vec<ConfigFinding>) {
    for (team, quota) in &configuration.quotas {
        let subject = ConfigSubject::Team(team.clone());
        if !configuration.services.values().any(|spec| spec.team == *team) {
            findings.push(ConfigPlace::of(subject, "").finding(FindingKind::QuotaWithoutService));
        } else if quota.tasks_in_flight == 0 {
            let place = ConfigPlace::of(subject, "tasks_in_flight");
            findings.push(place.finding(FindingKind::QuotaOfNoTask));
        }
    }
}

fn check_names_of_servers(
    configuration: &Configuration,
    servers: &KnownServers,
    findings: &mut Vec<ConfigFinding>,
) {
    let domains = configuration.domains.keys();
    for domain in domains.filter(|&domain| !servers.domains.contains(domain)) {
        let place = ConfigPlace::of(ConfigSubject::Domain(domain.clone()), "");
        findings.push(place.finding(FindingKind::DomainWithoutServer));
    }
    let leaving = configuration.leaving.iter();
    for server in leaving.filter(|&server| !servers.names.contains(server)) {
        let place = ConfigPlace::of(ConfigSubject::Server(server.clone()), "");
        findings.push(place.finding(FindingKind::UnknownServer));
    }
}
