//! The questions, one at a time.
//!
//! [`Interview`] holds the answers given so far and says what to ask next; whoever talks to the
//! person reads and writes the lines.

use super::answers::{
    EntryAnswer, LogAnswer, QuotaAnswer, RequestAnswer, ServerAnswer, ServiceAnswer, TeamAnswers,
    TeamPriority,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// What is asked.
    pub text: &'static str,
    /// Form of the answer.
    pub format: &'static str,
    /// Answer taken where none is given, empty where one is needed.
    pub default: &'static str,
}

/// What comes next.
#[derive(Debug)]
pub enum InterviewStep {
    /// Ask this.
    Ask(Question),
    /// All is answered.
    Done(Box<TeamAnswers>),
}

/// Position in the interview.
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

/// Interview under way.
#[derive(Debug)]
pub struct Interview {
    stage: Stage,
    service: String,
    answers: TeamAnswers,
}

const RETENTION: Duration = Duration::from_secs(3600);

impl Default for Interview {
    fn default() -> Self {
        Self::new()
    }
}

impl Interview {
    /// Interview that has not begun.
    pub fn new() -> Self {
        let answers = TeamAnswers {
            team: String::new(),
            priority: TeamPriority::ResponseTime,
            quota: QuotaAnswer { tasks_in_flight: 0, weight: 1 },
            log: LogAnswer { url: String::new(), retention: RETENTION },
            domains: Vec::new(),
            services: BTreeMap::new(),
            entries: Vec::new(),
            servers: Vec::new(),
        };
        Self { stage: Stage::Team, service: String::new(), answers }
    }

    /// What comes next.
    pub fn step(&self) -> InterviewStep {
        let ask = |text, format, default| InterviewStep::Ask(Question { text, format, default });
        match self.stage {
            Stage::Team => ask("What is the team called?", "name", ""),
            Stage::Priority => ask(
                "What weighs more: response time, or work done while a failure domain changes?",
                "response_time or work_during_changes",
                "response_time",
            ),
            Stage::TasksInFlight => {
                ask("How many tasks may be accepted and unanswered at once?", "number", "1000")
            }
            Stage::LogUrl => ask("Where is the log?", "URL", "http://127.0.0.1:7300"),
            Stage::Retention => ask("For how long does it keep records?", "duration", "1h"),
            Stage::Domains => ask("Which failure domains are there?", "names", ""),
            Stage::Service => ask("Name a service; an empty line goes on.", "name", ""),
            Stage::Deadline => ask("Within what time must it answer?", "duration", "10s"),
            Stage::Request => ask(
                "Name a request, its run time and its effect; an empty line goes on.",
                "name duration idempotent|non-idempotent [slots]",
                "",
            ),
            Stage::Entry => ask(
                "Name an entry, its failure domain and listeners; an empty line goes on.",
                "name domain callers-ip:port peers-ip:port",
                "",
            ),
            Stage::Server => ask(
                "Name a backend server; an empty line ends.",
                "name domain worker agent-ip:port url slots connections service...",
                "",
            ),
            Stage::Done => InterviewStep::Done(Box::new(self.answers.clone())),
        }
    }

    /// Takes the answer to the present question.
    ///
    /// # Errors
    /// Fails with what is wrong; the same question is asked again.
    pub fn answer(&mut self, line: &str) -> Result<(), String> {
        let InterviewStep::Ask(question) = self.step() else { return Ok(()) };
        let given = line.trim();
        let line = if given.is_empty() { question.default } else { given };
        self.stage = self.take(line)?;
        Ok(())
    }

    fn take(&mut self, line: &str) -> Result<Stage, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match self.stage {
            Stage::Team => {
                self.answers.team = one_word(&words)?;
                Ok(Stage::Priority)
            }
            Stage::Priority => {
                self.answers.priority = match line {
                    "response_time" => TeamPriority::ResponseTime,
                    "work_during_changes" => TeamPriority::WorkDuringChanges,
                    _ => return Err("answer response_time or work_during_changes".to_owned()),
                };
                Ok(Stage::TasksInFlight)
            }
            Stage::TasksInFlight => {
                self.answers.quota.tasks_in_flight = number(line)?;
                Ok(Stage::LogUrl)
            }
            Stage::LogUrl => {
                self.answers.log.url = one_word(&words)?;
                Ok(Stage::Retention)
            }
            Stage::Retention => {
                self.answers.log.retention = duration(line)?;
                Ok(Stage::Domains)
            }
            Stage::Domains if words.is_empty() => Err("name at least one".to_owned()),
            Stage::Domains => {
                self.answers.domains = words.iter().map(|word| (*word).to_owned()).collect();
                Ok(Stage::Service)
            }
            Stage::Service if words.is_empty() => Ok(Stage::Entry),
            Stage::Service => {
                self.service = one_word(&words)?;
                Ok(Stage::Deadline)
            }
            Stage::Deadline => {
                let service =
                    ServiceAnswer { deadline: duration(line)?, requests: BTreeMap::new() };
                self.answers.services.insert(self.service.clone(), service);
                Ok(Stage::Request)
            }
            Stage::Request if words.is_empty() => Ok(Stage::Service),
            Stage::Request => self.take_request(&words),
            Stage::Entry if words.is_empty() => Ok(Stage::Server),
            Stage::Entry => self.take_entry(&words),
            Stage::Server if words.is_empty() => Ok(Stage::Done),
            Stage::Server => self.take_server(&words),
            Stage::Done => Ok(Stage::Done),
        }
    }

    fn take_request(&mut self, words: &[&str]) -> Result<Stage, String> {
        let (name, run_time, effect, slots) = match words {
            [name, run_time, effect] => (name, run_time, effect, "1"),
            [name, run_time, effect, slots] => (name, run_time, effect, *slots),
            _ => return Err("give three or four words".to_owned()),
        };
        let idempotent = match *effect {
            "idempotent" => true,
            "non-idempotent" => false,
            _ => return Err("say idempotent or non-idempotent".to_owned()),
        };
        let answer =
            RequestAnswer { idempotent, run_time: duration(run_time)?, slots: number(slots)? };
        if let Some(service) = self.answers.services.get_mut(&self.service) {
            service.requests.insert((*name).to_owned(), answer);
        }
        Ok(Stage::Request)
    }

    fn take_entry(&mut self, words: &[&str]) -> Result<Stage, String> {
        let [name, domain, callers, peers] = words else {
            return Err("give four words".to_owned());
        };
        self.answers.entries.push(EntryAnswer {
            name: (*name).to_owned(),
            domain: (*domain).to_owned(),
            callers: address(callers)?,
            peers: address(peers)?,
        });
        Ok(Stage::Entry)
    }

    fn take_server(&mut self, words: &[&str]) -> Result<Stage, String> {
        let [name, domain, worker, agent, url, slots, connections, services @ ..] = words else {
            return Err("give at least eight words".to_owned());
        };
        self.answers.servers.push(ServerAnswer {
            name: (*name).to_owned(),
            domain: (*domain).to_owned(),
            worker: (*worker).to_owned(),
            agent: address(agent)?,
            url: (*url).to_owned(),
            worker_url: None,
            slots: number(slots)?,
            connections: number(connections)? as usize,
            services: services.iter().map(|service| (*service).to_owned()).collect(),
        });
        Ok(Stage::Server)
    }
}

fn one_word(words: &[&str]) -> Result<String, String> {
    match words {
        [word] => Ok((*word).to_owned()),
        _ => Err("answer with one word".to_owned()),
    }
}

fn number(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("{text} is no number"))
}

fn duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|_| format!("{text} is no duration, as 100ms or 2s"))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text} is no ip:port"))
}
