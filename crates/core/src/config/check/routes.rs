//! Check of the routes.

use super::{ConfigFinding, ConfigPlace, FindingKind};
use crate::config::{Configuration, RouteRule};
use crate::route::RouteTable;

/// Findings about the routes of `configuration`, in their order.
pub(super) fn check_routes(configuration: &Configuration) -> Vec<ConfigFinding> {
    let table = RouteTable::new(configuration);
    let mut findings = Vec::new();
    for (index, rule) in configuration.routes.iter().enumerate() {
        let mut add = |field: &str, kind: FindingKind| {
            let place = ConfigPlace::Route { index, field: field.to_owned() };
            findings.push(place.finding(kind));
        };
        if !configuration.services.contains_key(&rule.service) {
            add("service", FindingKind::UnknownService { service: rule.service.clone() });
        } else if !configuration.has_request(&rule.service, &rule.request) {
            let (service, request) = (rule.service.clone(), rule.request.clone());
            add("request", FindingKind::UnknownRequest { service, request });
        }
        if is_unmatchable_prefix(&rule.path_prefix) {
            add("path_prefix", FindingKind::PrefixNeverMatches);
        }
        // The path that consists of the prefix only has no longer match than this rule, so another
        // rule that is found for it takes all requests of this one.
        match table.find(&request_host(rule), &rule.path_prefix) {
            Some(found) if found.rule.host == rule.host => {
                let first = configuration.routes.iter().position(|other| other == found.rule);
                if let Some(by) = first.filter(|&first| first != index) {
                    let differs = found.rule != rule;
                    add("", FindingKind::RouteShadowed { by, differs });
                }
            }
            _ => add("host", FindingKind::HostNeverMatches),
        }
    }
    findings
}

/// Whether no path of an HTTP request starts with `prefix`: a path starts with a slash and ends
/// before the query.
fn is_unmatchable_prefix(prefix: &str) -> bool {
    !(prefix.is_empty() || prefix.starts_with('/')) || prefix.contains(['?', '#'])
}

/// Host of a request for `rule`; an IPv6 address is looked up with a port, as its own colons would
/// be taken for the start of one.
fn request_host(rule: &RouteRule) -> String {
    if rule.host.ends_with(']') { format!("{}:80", rule.host) } else { rule.host.to_string() }
}
