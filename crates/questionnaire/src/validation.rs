//! Validation of a team's answers.

use super::answers::{ServerAnswer, TeamAnswers};
use std::collections::{BTreeSet, HashSet};
use std::fmt;
use std::time::Duration;

/// Error in the answers, with a suggestion for its correction.
///
/// Its `Display` form is `path: message; suggestion`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the answer, such as `servers[0].url`; `entries, servers` if it concerns both lists.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub suggestion: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.suggestion)
    }
}

#[derive(Debug, Default)]
struct ErrorList {
    errors: Vec<ValidationError>,
}

impl ErrorList {
    fn require(&mut self, is_valid: bool, path: &str, message: &str, suggestion: &str) {
        if !is_valid {
            self.errors.push(ValidationError {
                path: path.to_owned(),
                message: message.to_owned(),
                suggestion: suggestion.to_owned(),
            });
        }
    }
}

/// Shortest retention of the log; below it, a claim could expire while its idempotency key is still
/// accepted.
const MIN_RETENTION: Duration = Duration::from_secs(1200);
/// Longest deadline of a service; entries with the generated settings accept no longer one.
const MAX_DEADLINE: Duration = Duration::from_secs(120);

/// Checks `answers` and returns all errors, or an empty list if the answers are valid.
pub fn validate(answers: &TeamAnswers) -> Vec<ValidationError> {
    let mut list = ErrorList::default();
    check_team(answers, &mut list);
    check_services(answers, &mut list);
    check_entries(answers, &mut list);
    for (index, server) in answers.servers.iter().enumerate() {
        check_server(answers, index, server, &mut list);
    }
    check_names(answers, &mut list);
    check_addresses(answers, &mut list);
    list.errors
}

fn check_team(answers: &TeamAnswers, list: &mut ErrorList) {
    list.require(!answers.team.is_empty(), "team", "the name is empty", "name the team");
    list.require(
        answers.quota.tasks_in_flight > 0,
        "quota.tasks_in_flight",
        "no task would ever be accepted",
        "allow at least one task",
    );
    list.require(
        answers.quota.weight > 0,
        "quota.weight",
        "a weight of 0 would starve the team",
        "use 1 to give all teams the same share",
    );
    list.require(
        answers.log.url.starts_with("http://"),
        "log.url",
        "only plain HTTP is supported",
        "start the URL with http://",
    );
    list.require(
        answers.log.retention >= MIN_RETENTION,
        "log.retention",
        "claims of non-idempotent requests would expire too early",
        "keep records for at least 20m",
    );
    list.require(
        !answers.domains.is_empty(),
        "domains",
        "there is no failure domain",
        "name at least one",
    );
}

fn check_services(answers: &TeamAnswers, list: &mut ErrorList) {
    list.require(
        !answers.services.is_empty(),
        "services",
        "there is no service",
        "declare at least one",
    );
    for (name, service) in &answers.services {
        let path = format!("services.{name}");
        list.require(
            !service.requests.is_empty(),
            &format!("{path}.requests"),
            "the service has no requests",
            "declare at least one kind of request",
        );
        list.require(
            service.deadline <= MAX_DEADLINE,
            &format!("{path}.deadline"),
            "the deadline is longer than 2m",
            "shorten it; the dispatcher is designed for tasks that take seconds",
        );
        let servers = answers.servers.iter().filter(|server| server.services.contains(name));
        let max_slots = servers.map(|server| server.slots).max();
        list.require(
            max_slots.is_some(),
            &path,
            "no backend server offers the service",
            "add it to the services of a server",
        );
        for (request, answer) in &service.requests {
            let path = format!("{path}.requests.{request}");
            list.require(
                answer.run_time <= service.deadline,
                &format!("{path}.run_time"),
                "the run time is longer than the deadline of the service",
                "lengthen the deadline or correct the run time",
            );
            list.require(
                !answer.run_time.is_zero(),
                &format!("{path}.run_time"),
                "the run time is zero",
                "state the usual run time; the dispatcher adjusts it to measured run times",
            );
            list.require(
                answer.slots >= 1 && max_slots.is_none_or(|max_slots| answer.slots <= max_slots),
                &format!("{path}.slots"),
                "no backend server has that many slots",
                "use at least 1 and at most the slots of the largest server",
            );
        }
    }
}

fn check_entries(answers: &TeamAnswers, list: &mut ErrorList) {
    list.require(
        !answers.entries.is_empty(),
        "entries",
        "there is no entry",
        "add at least one; three can keep working during an outage of the log",
    );
    list.require(
        answers.entries.len() != 2,
        "entries",
        "with two voting entries, one of them alone is not a majority",
        "use one, three or more",
    );
    for (index, entry) in answers.entries.iter().enumerate() {
        let path = format!("entries[{index}].domain");
        let is_known = answers.domains.contains(&entry.domain);
        list.require(is_known, &path, "the failure domain is unknown", "add it to domains");
    }
}

fn check_server(answers: &TeamAnswers, index: usize, server: &ServerAnswer, list: &mut ErrorList) {
    let path = |field: &str| format!("servers[{index}].{field}");
    let is_known = answers.domains.contains(&server.domain);
    list.require(is_known, &path("domain"), "the failure domain is unknown", "add it to domains");
    list.require(
        server.url.starts_with("http://"),
        &path("url"),
        "only plain HTTP is supported",
        "start the URL with http://",
    );
    list.require(
        server.slots >= 1,
        &path("slots"),
        "the server cannot run any task",
        "give it at least one slot",
    );
    list.require(
        server.connections >= server.slots as usize,
        &path("connections"),
        "there are fewer connections than slots",
        "allow a connection for each slot",
    );
    list.require(
        !server.services.is_empty(),
        &path("services"),
        "the server offers no service",
        "name at least one service",
    );
    for name in &server.services {
        let is_known = answers.services.contains_key(name);
        let message = format!("the service {name} is unknown");
        list.require(is_known, &path("services"), &message, "declare it under services");
    }
}

fn check_names(answers: &TeamAnswers, list: &mut ErrorList) {
    let entries = answers.entries.iter().map(|entry| &entry.name);
    let servers = answers.servers.iter().map(|server| &server.name);
    let mut seen = BTreeSet::new();
    for name in entries.chain(servers) {
        let message = format!("the name {name} is used twice");
        list.require(
            seen.insert(name),
            "entries, servers",
            &message,
            "use a unique name for each entry and server",
        );
    }
}

fn check_addresses(answers: &TeamAnswers, list: &mut ErrorList) {
    let entries = answers.entries.iter().flat_map(|entry| [entry.callers, entry.peers]);
    let agents = answers.servers.iter().map(|server| server.agent);
    let mut seen = HashSet::new();
    for address in entries.chain(agents) {
        let message = format!("the address {address} is used twice");
        list.require(seen.insert(address), "entries, servers", &message, "use each address once");
    }
}
