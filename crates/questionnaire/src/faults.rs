//! Faults of a team's answers.

use super::answers::{ServerAnswer, TeamAnswers};
use std::collections::{BTreeSet, HashSet};
use std::fmt;
use std::time::Duration;

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFault {
    /// Place in the answers, as a dotted path.
    pub place: String,
    /// What is wrong.
    pub fault: String,
    /// What would mend it.
    pub mend: String,
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.fault, self.mend)
    }
}

#[derive(Debug, Default)]
struct FaultList {
    faults: Vec<AnswerFault>,
}

impl FaultList {
    fn require(&mut self, is_right: bool, place: &str, fault: &str, mend: &str) {
        if !is_right {
            self.faults.push(AnswerFault {
                place: place.to_owned(),
                fault: fault.to_owned(),
                mend: mend.to_owned(),
            });
        }
    }
}

/// Retention below which a request key could outlive its claim.
const LEAST_RETENTION: Duration = Duration::from_secs(1200);
/// Longest deadline that the generated entries take.
const LONGEST_DEADLINE: Duration = Duration::from_secs(120);

/// Everything that is wrong with `answers`.
pub fn find_faults(answers: &TeamAnswers) -> Vec<AnswerFault> {
    let mut list = FaultList::default();
    check_team(answers, &mut list);
    check_services(answers, &mut list);
    check_entries(answers, &mut list);
    for (index, server) in answers.servers.iter().enumerate() {
        check_server(answers, index, server, &mut list);
    }
    check_names(answers, &mut list);
    check_addresses(answers, &mut list);
    list.faults
}

fn check_team(answers: &TeamAnswers, list: &mut FaultList) {
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
        "use 1 where no team should come first",
    );
    list.require(
        answers.log.url.starts_with("http://"),
        "log.url",
        "the log is reached over HTTP",
        "start the URL with http://",
    );
    list.require(
        answers.log.retention >= LEAST_RETENTION,
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

fn check_services(answers: &TeamAnswers, list: &mut FaultList) {
    list.require(
        !answers.services.is_empty(),
        "services",
        "there is no service",
        "declare at least one",
    );
    for (name, service) in &answers.services {
        let place = format!("services.{name}");
        list.require(
            !service.requests.is_empty(),
            &format!("{place}.requests"),
            "the service takes no request",
            "declare at least one kind of request",
        );
        list.require(
            service.deadline <= LONGEST_DEADLINE,
            &format!("{place}.deadline"),
            "the deadline is over 2m",
            "shorten it; the dispatcher is for tasks of seconds",
        );
        let offered = answers.servers.iter().filter(|server| server.services.contains(name));
        let most = offered.map(|server| server.slots).max();
        list.require(
            most.is_some(),
            &place,
            "no backend server offers the service",
            "add it to the services of a server",
        );
        for (request, answer) in &service.requests {
            let place = format!("{place}.requests.{request}");
            list.require(
                answer.run_time <= service.deadline,
                &format!("{place}.run_time"),
                "the run time is longer than the deadline of the service",
                "lengthen the deadline or correct the run time",
            );
            list.require(
                !answer.run_time.is_zero(),
                &format!("{place}.run_time"),
                "the run time is zero",
                "give the usual run time; it is corrected by what is measured",
            );
            list.require(
                answer.slots >= 1 && most.is_none_or(|most| answer.slots <= most),
                &format!("{place}.slots"),
                "no backend server has that many slots",
                "use at least 1 and at most the slots of the largest server",
            );
        }
    }
}

fn check_entries(answers: &TeamAnswers, list: &mut FaultList) {
    list.require(
        !answers.entries.is_empty(),
        "entries",
        "there is no entry",
        "name at least one; three stand an outage of the log",
    );
    list.require(
        answers.entries.len() != 2,
        "entries",
        "with two voting entries, one alone is no majority",
        "use one, three or more",
    );
    for (index, entry) in answers.entries.iter().enumerate() {
        let place = format!("entries[{index}].domain");
        let is_known = answers.domains.contains(&entry.domain);
        list.require(is_known, &place, "the failure domain is unknown", "add it to domains");
    }
}

fn check_server(answers: &TeamAnswers, index: usize, server: &ServerAnswer, list: &mut FaultList) {
    let place = |field: &str| format!("servers[{index}].{field}");
    let is_known = answers.domains.contains(&server.domain);
    list.require(is_known, &place("domain"), "the failure domain is unknown", "add it to domains");
    list.require(
        server.url.starts_with("http://"),
        &place("url"),
        "the backend server is reached over HTTP",
        "start the URL with http://",
    );
    list.require(
        server.slots >= 1,
        &place("slots"),
        "the server could run nothing",
        "give it at least one slot",
    );
    list.require(
        server.connections >= server.slots as usize,
        &place("connections"),
        "there are fewer connections than slots",
        "allow a connection for each slot",
    );
    list.require(
        !server.services.is_empty(),
        &place("services"),
        "the server offers nothing",
        "name at least one service",
    );
    for name in &server.services {
        let is_known = answers.services.contains_key(name);
        let fault = format!("the service {name} is unknown");
        list.require(is_known, &place("services"), &fault, "declare it under services");
    }
}

fn check_names(answers: &TeamAnswers, list: &mut FaultList) {
    let entries = answers.entries.iter().map(|entry| &entry.name);
    let servers = answers.servers.iter().map(|server| &server.name);
    let mut seen = BTreeSet::new();
    for name in entries.chain(servers) {
        let fault = format!("the name {name} is used twice");
        list.require(seen.insert(name), "entries, servers", &fault, "give each a name of its own");
    }
}

fn check_addresses(answers: &TeamAnswers, list: &mut FaultList) {
    let entries = answers.entries.iter().flat_map(|entry| [entry.callers, entry.peers]);
    let agents = answers.servers.iter().map(|server| server.agent);
    let mut seen = HashSet::new();
    for address in entries.chain(agents) {
        let fault = format!("the address {address} is used twice");
        list.require(seen.insert(address), "entries, servers", &fault, "use each address once");
    }
}
