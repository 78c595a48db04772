//! Interview that collects the answers of a team, one question at a time.
//!
//! [`Interview`] stores the answers given so far and determines the next question. It does no input
//! or output: the caller prints the questions and reads the lines.

use super::answers::{
    EntryAnswer, LogAnswer, QuotaAnswer, RequestAnswer, ServerAnswer, ServiceAnswer, TeamAnswers,
    TeamPriority,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Question with its expected format and default answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Text of the question.
    pub text: &'static str,
    /// Expected format of the answer, in words or placeholders.
    pub format: &'static str,
    /// Answer assumed for an empty line; empty if there is no default.
    pub default: &'static str,
}

/// Next step of an interview.
#[derive(Debug)]
pub enum InterviewStep {
    /// The question to ask next.
    Ask(Question),
    /// Every question is answered; the answers are not validated.
    Done(Box<TeamAnswers>),
}

/// Current question of the interview.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Team,
    Priority,
    TasksInFlight,
    LogUrl,
    Retention,
    Domains,
    Service,
    Deadline,
    Request,
    Entry,
    Server,
    Done,
}

/// Interview in progress.
#[derive(Debug)]
pub struct Interview {
    stage: Stage,
    current_service: String,
    answers: TeamAnswers,
}

/// Retention of the log until the team states one.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3600);

impl Default for Interview {
    fn default() -> Self {
        Self::new()
    }
}

impl Interview {
    /// Creates an interview that starts with the first question.
    pub fn new() -> Self {
        let answers = TeamAnswers {
            team: String::new(),
            priority: TeamPriority::ResponseTime,
            quota: QuotaAnswer { tasks_in_flight: 0, weight: 1 },
            log: LogAnswer { url: String::new(), retention: DEFAULT_RETENTION },
            domains: Vec::new(),
            services: BTreeMap::new(),
            entries: Vec::new(),
            servers: Vec::new(),
        };
        Self { stage: Stage::Team, current_service: String::new(), answers }
    }

    /// Next step: a question, or the answers after the last one.
    pub fn step(&self) -> InterviewStep {
        let ask = |text, format, default| InterviewStep::Ask(Question { text, format, default });
        match self.stage {
            Stage::Team => ask("What is the name of the team?", "name", ""),
            Stage::Priority => ask(
                "Which matters more: response time, or work done while a failure domain changes?",
                "response_time or work_during_changes",
                "response_time",
            ),
            Stage::TasksInFlight => {
                ask("How many accepted tasks may be unanswered at once?", "number", "1000")
            }
            Stage::LogUrl => ask("What is the URL of the log?", "URL", "http://127.0.0.1:7300"),
            Stage::Retention => ask("How long does it keep records?", "duration", "1h"),
            Stage::Domains => ask("What are the names of the failure domains?", "names", ""),
            Stage::Service => ask("Enter a service name; leave empty to continue.", "name", ""),
            Stage::Deadline => ask("What is its default deadline?", "duration", "10s"),
            Stage::Request => ask(
                "Enter a request, its run time and its effect; leave empty to continue.",
                "name duration idempotent|non-idempotent [slots]",
                "",
            ),
            Stage::Entry => ask(
                "Enter an entry, its failure domain and its listeners; leave empty to continue.",
                "name domain callers-ip:port peers-ip:port",
                "",
            ),
            Stage::Server => ask(
                "Enter a backend server; leave empty to finish.",
                "name domain worker agent-ip:port url slots connections service...",
                "",
            ),
            Stage::Done => InterviewStep::Done(Box::new(self.answers.clone())),
        }
    }

    /// Records `line` as the answer to the current question and moves to the next one.
    ///
    /// # Errors
    /// Fails with a description of what is wrong; the interview stays at the same question.
    pub fn answer(&mut self, line: &str) -> Result<(), String> {
        let InterviewStep::Ask(question) = self.step() else { return Ok(()) };
        let given = line.trim();
        let line = if given.is_empty() { question.default } else { given };
        self.stage = self.apply_answer(line)?;
        Ok(())
    }

    fn apply_answer(&mut self, line: &str) -> Result<Stage, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match self.stage {
            Stage::Team => {
                self.answers.team = single_word(&words)?;
                Ok(Stage::Priority)
            }
            Stage::Priority => {
                self.answers.priority = match line {
                    "response_time" => TeamPriority::ResponseTime,
                    "work_during_changes" => TeamPriority::WorkDuringChanges,
                    _ => return Err("expected response_time or work_during_changes".to_owned()),
                };
                Ok(Stage::TasksInFlight)
            }
            Stage::TasksInFlight => {
                self.answers.quota.tasks_in_flight = parse_number(line)?;
                Ok(Stage::LogUrl)
            }
            Stage::LogUrl => {
                self.answers.log.url = single_word(&words)?;
                Ok(Stage::Retention)
            }
            Stage::Retention => {
                self.answers.log.retention = parse_duration(line)?;
                Ok(Stage::Domains)
            }
            Stage::Domains if words.is_empty() => Err("expected at least one name".to_owned()),
            Stage::Domains => {
                self.answers.domains = words.iter().map(|word| (*word).to_owned()).collect();
                Ok(Stage::Service)
            }
            Stage::Service if words.is_empty() => Ok(Stage::Entry),
            Stage::Service => {
                self.current_service = single_word(&words)?;
                Ok(Stage::Deadline)
            }
            Stage::Deadline => {
                let service =
                    ServiceAnswer { deadline: parse_duration(line)?, requests: BTreeMap::new() };
                self.answers.services.insert(self.current_service.clone(), service);
                Ok(Stage::Request)
            }
            Stage::Request if words.is_empty() => Ok(Stage::Service),
            Stage::Request => self.add_request(&words),
            Stage::Entry if words.is_empty() => Ok(Stage::Server),
            Stage::Entry => self.add_entry(&words),
            Stage::Server if words.is_empty() => Ok(Stage::Done),
            Stage::Server => self.add_server(&words),
            Stage::Done => Ok(Stage::Done),
        }
    }

    fn add_request(&mut self, words: &[&str]) -> Result<Stage, String> {
        let (name, run_time, effect, slots) = match words {
            [name, run_time, effect] => (name, run_time, effect, "1"),
            [name, run_time, effect, slots] => (name, run_time, effect, *slots),
            _ => return Err("expected three or four words".to_owned()),
        };
        let idempotent = match *effect {
            "idempotent" => true,
            "non-idempotent" => false,
            _ => return Err("the effect must be idempotent or non-idempotent".to_owned()),
        };
        let answer = RequestAnswer {
            idempotent,
            run_time: parse_duration(run_time)?,
            slots: parse_number(slots)?,
        };
        if let Some(service) = self.answers.services.get_mut(&self.current_service) {
            service.requests.insert((*name).to_owned(), answer);
        }
        Ok(Stage::Request)
    }

    fn add_entry(&mut self, words: &[&str]) -> Result<Stage, String> {
        let [name, domain, callers, peers] = words else {
            return Err("expected four words".to_owned());
        };
        self.answers.entries.push(EntryAnswer {
            name: (*name).to_owned(),
            domain: (*domain).to_owned(),
            callers: parse_address(callers)?,
            peers: parse_address(peers)?,
        });
        Ok(Stage::Entry)
    }

    fn add_server(&mut self, words: &[&str]) -> Result<Stage, String> {
        let [name, domain, worker, agent, url, slots, connections, services @ ..] = words else {
            return Err("expected at least eight words".to_owned());
        };
        self.answers.servers.push(ServerAnswer {
            name: (*name).to_owned(),
            domain: (*domain).to_owned(),
            worker: (*worker).to_owned(),
            agent: parse_address(agent)?,
            url: (*url).to_owned(),
            worker_url: None,
            slots: parse_number(slots)?,
            connections: parse_number(connections)? as usize,
            services: services.iter().map(|service| (*service).to_owned()).collect(),
        });
        Ok(Stage::Server)
    }
}

fn single_word(words: &[&str]) -> Result<String, String> {
    match words {
        [word] => Ok((*word).to_owned()),
        _ => Err("expected one word".to_owned()),
    }
}

fn parse_number(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("{text} is not a number"))
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|_| format!("{text} is not a duration, such as 100ms or 2s"))
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text} is not an address in the form ip:port"))
}
