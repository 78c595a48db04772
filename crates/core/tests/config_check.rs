//! Tests of the check of a configuration. A finding that is missing lets operators submit a
//! configuration whose requests are refused; one too many makes them ignore the check.

use parsleyspool_core::config::check::{CheckContext, KnownServers, check_configuration};
use parsleyspool_core::config::{
    Configuration, DomainAvailability, LatencyObjective, RequestRule, RouteRule, ServiceSpec,
    TeamQuota,
};
use parsleyspool_core::entry::EntryLimits;
use std::time::Duration;

fn route(host: &str, path_prefix: &str, service: &str, request: &str) -> RouteRule {
    RouteRule {
        host: host.into(),
        path_prefix: path_prefix.into(),
        service: service.into(),
        request: request.into(),
    }
}

/// Configuration with one service, `s`, and its request `r`, without findings.
fn right_configuration() -> Configuration {
    let objective = LatencyObjective {
        stretch_percent: 160,
        allowance: Duration::from_millis(60),
        expiry_percent: 300,
    };
    let run_time = Duration::from_millis(200);
    let rule =
        RequestRule { run_time, objective: Some(objective), max_failures: 2, ..Default::default() };
    let default_deadline = Duration::from_secs(2);
    let requests = [("r".into(), rule)].into();
    let spec = ServiceSpec { team: "t".into(), default_deadline, requests };
    Configuration {
        services: [("s".into(), spec)].into(),
        quotas: [("t".into(), TeamQuota { tasks_in_flight: 9, weight: 1 })].into(),
        domains: [("d".into(), DomainAvailability::InService)].into(),
        routes: vec![route("h", "/a", "s", "r"), route("h", "/a/b", "s", "r")],
        ..Configuration::default()
    }
}

fn context() -> CheckContext {
    let servers =
        KnownServers { names: ["w".into()].into(), domains: ["d".into()].into(), max_slots: 4 };
    CheckContext { limits: Some(EntryLimits::default()), servers: Some(servers) }
}

/// Place and kind of every finding after `edit`.
fn findings_after(edit: fn(&mut Configuration)) -> Vec<String> {
    let mut configuration = right_configuration();
    edit(&mut configuration);
    let findings = check_configuration(&configuration, &context());
    findings.iter().map(|finding| format!("{} {}", finding.place, finding.kind.name())).collect()
}

fn edit_service(configuration: &mut Configuration, edit: fn(&mut ServiceSpec)) {
    configuration.services.values_mut().for_each(edit);
}

fn edit_request(configuration: &mut Configuration, edit: fn(&mut RequestRule)) {
    let services = configuration.services.values_mut();
    services.flat_map(|spec| spec.requests.values_mut()).for_each(edit);
}

fn edit_objective(configuration: &mut Configuration, edit: fn(&mut LatencyObjective)) {
    let services = configuration.services.values_mut();
    let rules = services.flat_map(|spec| spec.requests.values_mut());
    rules.filter_map(|rule| rule.objective.as_mut()).for_each(edit);
}

type Case = (fn(&mut Configuration), &'static [&'static str]);

fn assert_cases(cases: &[Case]) {
    for (edit, expected) in cases {
        assert_eq!(findings_after(*edit), *expected);
    }
}

/// Guards against findings for a right configuration, also for a prefix that contains another one.
#[test]
fn a_right_configuration_has_no_findings() {
    assert_cases(&[(|_| {}, &[]), (|c| *c = Configuration::default(), &[])]);
}

/// Guards against routes that no request reaches, or that lead to a refusal, passing the check.
#[test]
fn routes_that_cannot_serve_a_request_are_found() {
    assert_cases(&[
        (|c| c.routes.push(route("h", "/a", "s", "r")), &["routes[2] route_repeated"]),
        (
            |c| c.routes.insert(0, route("h", "/a", "x", "r")),
            &["routes[0].service unknown_service", "routes[1] route_shadowed"],
        ),
        (|c| c.routes.push(route("h", "/c", "s", "q")), &["routes[2].request unknown_request"]),
        (|c| c.routes.push(route("H", "/c", "s", "r")), &["routes[2].host host_never_matches"]),
        (|c| c.routes.push(route("h:80", "/c", "s", "r")), &["routes[2].host host_never_matches"]),
        (|c| c.routes.push(route("[::1]", "", "s", "r")), &[]),
        (
            |c| c.routes.push(route("h", "c", "s", "r")),
            &["routes[2].path_prefix prefix_never_matches"],
        ),
        (
            |c| c.routes.push(route("h", "/c?", "s", "r")),
            &["routes[2].path_prefix prefix_never_matches"],
        ),
    ]);
}

/// Guards against limits that contradict each other, or the limits of the entry, passing the check.
#[test]
fn contradictory_limits_are_found() {
    assert_cases(&[
        (
            |c| edit_service(c, |spec| spec.default_deadline = Duration::from_secs(121)),
            &["services.s.deadline deadline_above_limit"],
        ),
        (|c| edit_service(c, |spec| spec.default_deadline = Duration::from_secs(120)), &[]),
        (
            |c| edit_service(c, |spec| spec.default_deadline = Duration::ZERO),
            &["services.s.deadline zero_deadline"],
        ),
        (
            |c| edit_service(c, |spec| spec.default_deadline = Duration::from_millis(379)),
            &["services.s.requests.r.objective objective_above_deadline"],
        ),
        (|c| edit_service(c, |spec| spec.default_deadline = Duration::from_millis(380)), &[]),
        (
            |c| edit_service(c, |spec| spec.default_deadline = Duration::from_millis(199)),
            &["services.s.requests.r.run_time run_time_above_deadline"],
        ),
        (
            |c| edit_objective(c, |objective| objective.expiry_percent = 99),
            &["services.s.requests.r.objective.patience_percent expiry_before_objective"],
        ),
        (
            |c| edit_objective(c, |objective| objective.stretch_percent = 99),
            &["services.s.requests.r.objective.stretch_percent stretch_ignored"],
        ),
        (
            |c| edit_request(c, |rule| rule.max_failures = 5),
            &["services.s.requests.r.attempts attempts_above_limit"],
        ),
        (
            |c| edit_request(c, |rule| rule.slots = 5),
            &["services.s.requests.r.slots slots_above_servers"],
        ),
        (
            |c| c.quotas.values_mut().for_each(|quota| quota.tasks_in_flight = 0),
            &["quotas.t.tasks_in_flight quota_of_no_task"],
        ),
    ]);
}

/// Guards against entries without effect, and mistyped names of teams, domains and servers,
/// passing the check.
#[test]
fn entries_that_concern_nothing_are_found() {
    assert_cases(&[
        (|c| edit_service(c, |spec| spec.team = "u".into()), &["quotas.t quota_without_service"]),
        (
            |c| {
                c.routes.clear();
                edit_service(c, |spec| spec.requests.clear());
            },
            &["services.s.requests no_requests"],
        ),
        (
            |c| c.domains.extend([("e".into(), DomainAvailability::InService)]),
            &["domains.e domain_without_server"],
        ),
        (|c| c.leaving = ["w".into(), "v".into()].into(), &["leaving.v unknown_server"]),
        (|c| c.electorate = ["a".into(), "b".into()].into(), &["electorate two_voters"]),
    ]);
}
