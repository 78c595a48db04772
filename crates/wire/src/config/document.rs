//! Files for operators to check before they submit them: a complete configuration or a list of changes.
//!
//! The conversions that an entry applies to received values show which values have another effect
//! than they state; the result is checked by [`check_configuration`].

use super::{
    ChangeWire, ConfigurationWire, QuotaWire, RequestWire, RouteWire, ServiceWire, parse_subject,
};
use crate::caller::{MAX_NAME_BYTES, SubmitBody, TaskBody};
use parsleyspool_core::config::check::{
    CheckContext, ConfigFinding, ConfigPlace, FindingKind, check_configuration,
};
use parsleyspool_core::config::{
    ConfigChange, ConfigSubject, Configuration, RequestRule, TeamQuota,
};
use parsleyspool_core::job::JobRequest;
use serde_json::Value;

/// Content of a file that is checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigDocument {
    /// A complete configuration, as `parsleyspool config` prints it.
    Configuration(Box<ConfigurationWire>),
    /// Changes, as `parsleyspool apply` sends them.
    Changes(Vec<ChangeWire>),
}

/// Result of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedDocument {
    /// Findings, those of the file and its changes first.
    pub findings: Vec<LocatedFinding>,
    /// Configuration of the file, or the one after its changes.
    pub configuration: Configuration,
}

/// Finding with its place in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedFinding {
    /// Dotted path in the file; in the configuration after the changes if the file does not set it.
    pub path: String,
    /// Whether the file itself sets the value.
    pub is_in_file: bool,
    /// What was found.
    pub kind: FindingKind,
}

impl ConfigDocument {
    /// Checks the document. Changes are applied to `base`, or to an empty configuration if it is
    /// `None`; what `base` already contains is reported only where a change replaces it.
    pub fn check(self, base: Option<&Configuration>, context: &CheckContext) -> CheckedDocument {
        match self {
            Self::Configuration(wire) => check_complete(*wire, context),
            Self::Changes(changes) => check_changes(&changes, base, context),
        }
    }
}

/// Top-level keys of a configuration in `value` that [`ConfigurationWire`] ignores.
pub fn unknown_keys(value: &Value) -> Vec<String> {
    let (host, path_prefix, service, request) = Default::default();
    let routes = vec![RouteWire { host, path_prefix, service, request }];
    let complete = ConfigurationWire { routes, ..ConfigurationWire::default() };
    let known = serde_json::to_value(complete).unwrap_or_default();
    let keys = value.as_object().into_iter().flat_map(|map| map.keys());
    keys.filter(|key| known.get(key.as_str()).is_none()).cloned().collect()
}

fn check_complete(mut wire: ConfigurationWire, context: &CheckContext) -> CheckedDocument {
    let mut findings = Vec::new();
    wire.subjects.retain(|text, _| {
        let is_valid = parse_subject(text).is_ok();
        if !is_valid {
            let place = ConfigPlace::File(format!("subjects.{text}"));
            findings.push(place.finding(FindingKind::InvalidSubject));
        }
        is_valid
    });
    for (name, spec) in &wire.services {
        findings.extend(replaced_in_service(name, spec));
    }
    for (team, quota) in &wire.quotas {
        findings.extend(replaced_in_quota(team, quota));
    }
    // All subjects are valid, so the conversion succeeds.
    let configuration = Configuration::try_from(wire).unwrap_or_default();
    findings.extend(check_names(&configuration));
    findings.extend(check_configuration(&configuration, context));
    let findings = findings.into_iter().map(|finding| LocatedFinding {
        path: finding.place.to_string(),
        is_in_file: true,
        kind: finding.kind,
    });
    CheckedDocument { findings: findings.collect(), configuration }
}

fn check_changes(
    changes: &[ChangeWire],
    base: Option<&Configuration>,
    context: &CheckContext,
) -> CheckedDocument {
    let subjects: Vec<ConfigSubject> =
        changes.iter().map(|change| ConfigChange::from(change.clone()).subject()).collect();
    let mut configuration = base.cloned().unwrap_or_default();
    let mut findings = Vec::new();
    let mut located = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        let mut add = |kind: FindingKind| {
            located.push(LocatedFinding {
                path: change_path(index, change),
                is_in_file: true,
                kind,
            });
        };
        let after = configuration.clone().with_change(change.clone().into());
        let is_removal =
            matches!(change, ChangeWire::RemoveService { .. } | ChangeWire::RejoinServer { .. });
        if is_removal && base.is_some() && after == configuration {
            add(FindingKind::NothingToRemove);
        }
        configuration = after;
        let last = subjects.iter().rposition(|subject| *subject == subjects[index]);
        if let Some(by) = last.filter(|&last| last > index) {
            add(FindingKind::ChangeReplaced { by });
            continue;
        }
        match change {
            ChangeWire::PutService { name, spec } => {
                findings.extend(replaced_in_service(name, spec));
            }
            ChangeWire::SetQuota { team, quota } => findings.extend(replaced_in_quota(team, quota)),
            _ => {}
        }
    }
    let check = |configuration: &Configuration| {
        let mut found = check_names(configuration);
        found.extend(check_configuration(configuration, context));
        found
    };
    let known = base.map(check).unwrap_or_default();
    findings.extend(check(&configuration));
    let mut elsewhere = Vec::new();
    for finding in findings {
        match path_in_changes(&finding.place, changes, &subjects) {
            Some(path) => {
                located.push(LocatedFinding { path, is_in_file: true, kind: finding.kind });
            }
            None if known.contains(&finding) => {}
            None => elsewhere.push(LocatedFinding {
                path: finding.place.to_string(),
                is_in_file: false,
                kind: finding.kind,
            }),
        }
    }
    located.extend(elsewhere);
    CheckedDocument { findings: located, configuration }
}

/// Path of the change at `index` in a file, such as `[2].put_service`.
fn change_path(index: usize, change: &ChangeWire) -> String {
    let value = serde_json::to_value(change).unwrap_or_default();
    let kind = value.as_object().and_then(|map| map.keys().next().cloned());
    format!("[{index}].{}", kind.unwrap_or_default())
}

/// Path of `place` in the last change of its subject; `None` if no change has the subject.
fn path_in_changes(
    place: &ConfigPlace,
    changes: &[ChangeWire],
    subjects: &[ConfigSubject],
) -> Option<String> {
    let ConfigPlace::Subject { subject, field } = place else { return None };
    let index = subjects.iter().rposition(|other| other == subject)?;
    let change = changes.get(index)?;
    let content = match change {
        ChangeWire::PutService { .. } => ".spec",
        ChangeWire::SetQuota { .. } => ".quota",
        _ => "",
    };
    let path = change_path(index, change);
    Some(if field.is_empty() { path } else { format!("{path}{content}.{field}") })
}

/// Values of a service that the conversion replaces.
fn replaced_in_service(name: &str, spec: &ServiceWire) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for (request, given) in &spec.requests {
        let effective = RequestWire::from(&RequestRule::from(given.clone()));
        let place = |field: &str| {
            let subject = ConfigSubject::Service(name.into());
            ConfigPlace::of(subject, &format!("requests.{request}.{field}"))
        };
        let attempts = replaced_value(place("attempts"), given.attempts, effective.attempts);
        findings.extend(attempts.map(|finding| {
            if given.idempotent || given.attempts == 0 {
                return finding;
            }
            finding.place.finding(FindingKind::AttemptsIgnored { attempts: given.attempts })
        }));
        findings.extend(replaced_value(place("slots"), given.slots, effective.slots));
    }
    findings
}

/// Values of a quota that the conversion replaces.
fn replaced_in_quota(team: &str, quota: &QuotaWire) -> Option<ConfigFinding> {
    let effective = QuotaWire::from(&TeamQuota::from(quota.clone()));
    let place = ConfigPlace::of(ConfigSubject::Team(team.into()), "weight");
    replaced_value(place, quota.weight, effective.weight)
}

fn replaced_value(place: ConfigPlace, given: u32, effective: u32) -> Option<ConfigFinding> {
    (given != effective).then(|| place.finding(FindingKind::ValueReplaced { given, effective }))
}

/// Requests that no submission can name because of the length of a name, and no route names either.
fn check_names(configuration: &Configuration) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for (name, spec) in &configuration.services {
        for request in spec.requests.keys() {
            let mut routes = configuration.routes.iter();
            if routes.any(|route| route.service == *name && route.request == *request) {
                continue;
            }
            let body = SubmitBody {
                job: String::new(),
                team: spec.team.to_string(),
                service: name.to_string(),
                deadline_ms: None,
                created_at_ms: None,
                tasks: vec![TaskBody { request: request.to_string(), payload: String::new() }],
            };
            if let Err(error) = JobRequest::try_from(body) {
                let kind = FindingKind::NameTooLong { size: error.size, longest: MAX_NAME_BYTES };
                let subject = ConfigSubject::Service(name.clone());
                let place = ConfigPlace::of(subject, &format!("requests.{request}"));
                findings.push(place.finding(kind));
            }
        }
    }
    findings
}
