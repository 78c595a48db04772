//! Tests of the check of a file and of the differences between configurations.

use parsleyspool_core::config::Configuration;
use parsleyspool_core::config::check::CheckContext;
use parsleyspool_wire::config::{
    ConfigDocument, ConfigurationWire, config_differences, unknown_keys,
};
use serde_json::{Value, json};

fn service(requests: &Value) -> Value {
    json!({"team": "t", "deadline": "2s", "requests": requests})
}

fn request() -> Value {
    json!({"idempotent": false, "run_time": "80ms"})
}

fn complete(services: &Value, quotas: &Value, subjects: &Value) -> ConfigurationWire {
    let value = json!({
        "version": 4, "services": services, "quotas": quotas, "domains": {}, "leaving": [],
        "electorate": ["a"], "subjects": subjects,
    });
    serde_json::from_value(value).expect("a configuration")
}

/// Configuration in force with the service `s` and a quota for the team `u`, which has no service.
fn base() -> Configuration {
    let quotas = json!({"u": {"tasks_in_flight": 3}});
    let wire = complete(&json!({"s": service(&json!({"r": request()}))}), &quotas, &json!({}));
    Configuration::try_from(wire).expect("valid subjects")
}

/// Path and kind of every finding; a star marks those that are not in the file.
fn findings(document: ConfigDocument, base: Option<&Configuration>) -> Vec<String> {
    let checked = document.check(base, &CheckContext::default());
    let findings = checked.findings.iter().map(|finding| {
        let mark = if finding.is_in_file { "" } else { "*" };
        format!("{mark}{} {}", finding.path, finding.kind.name())
    });
    findings.collect()
}

fn changes(value: Value) -> ConfigDocument {
    ConfigDocument::Changes(serde_json::from_value(value).expect("changes"))
}

/// Guards against values that the conversion replaces silently, subjects that it rejects, and names
/// that no submission can have.
#[test]
fn values_with_another_effect_than_stated_are_found() {
    let long = "r".repeat(257);
    let requests = json!({
        "a": {"idempotent": false, "run_time": "80ms", "attempts": 3},
        "b": {"idempotent": true, "run_time": "80ms", "attempts": 0, "slots": 0},
        "c": {"idempotent": true, "run_time": "80ms", "attempts": 3},
        &long: request(),
    });
    let quotas = json!({"t": {"tasks_in_flight": 3, "weight": 0}});
    let subjects = json!({"team/t": 1, "teams/t": 1});
    let wire = complete(&json!({"s": service(&requests)}), &quotas, &subjects);

    let found = findings(ConfigDocument::Configuration(Box::new(wire)), None);

    let expected = [
        "subjects.teams/t invalid_subject",
        "services.s.requests.a.attempts attempts_ignored",
        "services.s.requests.b.attempts value_replaced",
        "services.s.requests.b.slots value_replaced",
        "quotas.t.weight value_replaced",
        &format!("services.s.requests.{long} name_too_long"),
    ];
    assert_eq!(found, expected);
    assert_eq!(unknown_keys(&json!({"services": 1, "routes": 1, "route": 1})), ["route"]);
}

/// Guards against findings at a wrong change, against reporting what is in force already, and
/// against missing what a change causes elsewhere.
#[test]
fn findings_about_changes_name_the_change_that_causes_them() {
    let put = json!({"put_service": {"name": "n", "spec": service(&json!({}))}});
    let quota =
        |tasks: u32| json!({"set_quota": {"team": "t", "quota": {"tasks_in_flight": tasks}}});
    let remove = json!({"remove_service": {"name": "s"}});
    let rejoin = json!({"rejoin_server": {"server": "w"}});

    let found = |value: Value, base: Option<&Configuration>| findings(changes(value), base);

    assert_eq!(
        found(json!([quota(1), put, quota(0), rejoin]), Some(&base())),
        [
            "[0].set_quota change_replaced",
            "[3].rejoin_server nothing_to_remove",
            "[1].put_service.spec.requests no_requests",
            "[2].set_quota.quota.tasks_in_flight quota_of_no_task",
        ]
    );
    let mut owner = base();
    owner.quotas = [("t".into(), owner.quotas["u"].clone())].into();
    assert_eq!(found(json!([remove]), Some(&owner)), ["*quotas.t quota_without_service"]);
    assert!(found(json!([remove]), None).is_empty());
}

/// Guards against differences that are missed, or reported for versions and unchanged values.
#[test]
fn differences_are_those_that_operators_make() {
    let list = json!([
        {"set_quota": {"team": "u", "quota": {"tasks_in_flight": 5}}},
        {"remove_service": {"name": "s"}},
        {"set_electorate": {"entries": ["b"]}},
    ]);
    let before = Configuration { version: 9, ..base() };

    let after = changes(list).check(Some(&base()), &CheckContext::default()).configuration;
    let differences = config_differences(&before, &after).into_iter();
    let summary = differences.map(|d| (d.path, d.before.is_some(), d.after.is_some()));

    let expected = [
        ("electorate".to_owned(), true, false),
        ("electorate".to_owned(), false, true),
        ("quotas.u.tasks_in_flight".to_owned(), true, true),
        ("services.s".to_owned(), true, false),
    ];
    assert_eq!(summary.collect::<Vec<_>>(), expected);
    assert!(config_differences(&before, &base()).is_empty());
}
