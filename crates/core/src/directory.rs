//! Directory of the backend servers that one entry knows.
//!
//! A backend server registers through the heartbeats of the agent next to it. The directory
//! distinguishes a restarted server from a slow one by the incarnation. It estimates the load of
//! each server from the latest report and the tasks that this entry sent since, and its slowdown
//! from measured run times. Servers that fail too many tasks are quarantined until a probe
//! succeeds.

mod loss_history;
mod moving_average;
mod run_times;
mod sample;
mod server;

pub use loss_history::LossHistory;
pub use run_times::{EstimateSource, RunSample, RunTimeEstimate, RunTimes};
pub use sample::ServerSample;
pub use server::{QuarantinePolicy, ServerRecord, ServerReport};

use crate::config::Configuration;
use crate::id::{ServerName, ServiceName};
use crate::lifecycle::{ServerEvent, ServerState};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// How a heartbeat changed the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The server was added; it was unknown or had been forgotten.
    Announced,
    /// A new incarnation replaced a known server.
    Replaced,
    /// The report updated a known server.
    Updated,
    /// The report was ignored, since a later report or a later incarnation is already known.
    Outdated,
}

/// Limits of the directory.
#[derive(Debug, Clone)]
pub struct DirectoryLimits {
    /// Time without a heartbeat after which a server is sent no new work.
    pub silent_after: Duration,
    /// Time without a heartbeat after which a server is forgotten; at least twice the time after
    /// which it counts as silent.
    pub forget_after: Duration,
    /// Number of records, including those of forgotten servers, from which a new server replaces a
    /// forgotten one. If there is no forgotten server, the directory grows beyond this number.
    pub max_servers: usize,
    /// Maximum number of servers considered for one placement, or for an estimate of a service.
    pub sample_size: usize,
    /// When a server is quarantined, and for how long.
    pub quarantine: QuarantinePolicy,
}

impl Default for DirectoryLimits {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(3),
            forget_after: Duration::from_secs(60),
            max_servers: 20_000,
            sample_size: 16,
            quarantine: QuarantinePolicy::default(),
        }
    }
}

/// Servers by index; an index belongs to one name until the server is forgotten.
#[derive(Debug)]
pub struct ServerDirectory {
    servers: Vec<ServerRecord>,
    by_name: HashMap<ServerName, usize>,
    by_service: HashMap<ServiceName, Vec<usize>>,
    limits: DirectoryLimits,
    server_count: usize,
    /// When the quarantines of a service were last ended early.
    lifted_at: HashMap<ServiceName, Duration>,
}

fn is_quarantined(server: &ServerRecord) -> bool {
    server.state() == ServerState::Quarantined
}

/// Whether operators have taken neither the server nor its failure domain out of service.
fn is_in_use(server: &ServerRecord, configuration: &Configuration) -> bool {
    configuration.is_in_service(server.domain()) && !configuration.is_leaving(server.name())
}

/// Shortest time between two early ends of the quarantines of one service.
const LIFT_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive missed heartbeats after which a server counts as silent.
const MISSED_HEARTBEATS: u32 = 3;

impl ServerDirectory {
    /// Creates a directory without servers.
    pub fn new(limits: DirectoryLimits) -> Self {
        Self {
            servers: Vec::new(),
            by_name: HashMap::new(),
            by_service: HashMap::new(),
            limits,
            server_count: 0,
            lifted_at: HashMap::new(),
        }
    }

    /// Server at `index`, even if it is forgotten; `None` if no server had that index.
    pub fn get(&self, index: usize) -> Option<&ServerRecord> {
        self.servers.get(index)
    }

    /// Mutable variant of [`ServerDirectory::get`].
    pub fn get_mut(&mut self, index: usize) -> Option<&mut ServerRecord> {
        self.servers.get_mut(index)
    }

    /// Index of the server called `name`, which may be forgotten by now.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Servers that are not forgotten, with their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &ServerRecord)> {
        self.servers.iter().enumerate().filter(|(_, server)| server.state() != ServerState::Gone)
    }

    /// Indexes of the servers that offer `service` and are not forgotten.
    pub fn offering(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Evenly spaced sample of the servers that offer `service`.
    pub fn even_sample(&self, service: &str) -> ServerSample<'_> {
        ServerSample::new(self.offering(service), self.limits.sample_size)
    }

    /// When a server is quarantined, and for how long; the same for every server.
    pub fn quarantine_policy(&self) -> &QuarantinePolicy {
        &self.limits.quarantine
    }

    /// Handles a heartbeat received at `now`; returns its effect and the index of the server.
    pub fn handle_report(&mut self, report: ServerReport, now: Duration) -> (ReportOutcome, usize) {
        let Some(index) = self.index_of(&report.name) else {
            return (ReportOutcome::Announced, self.add(report, now));
        };
        if self.servers[index].state() == ServerState::Gone {
            self.replace(index, report, now);
            self.server_count += 1;
            return (ReportOutcome::Announced, index);
        }
        let server = &self.servers[index];
        if server.incarnation() == report.incarnation {
            if report.sequence <= server.sequence() {
                return (ReportOutcome::Outdated, index);
            }
            let has_same_services = server.services() == report.services.as_slice();
            if !has_same_services {
                self.unindex_services(index);
            }
            self.servers[index].refresh(report, now);
            if !has_same_services {
                self.index_services(index);
            }
            return (ReportOutcome::Updated, index);
        }
        let is_current_heard = now < server.last_heartbeat() + self.limits.silent_after;
        if server.has_retired(report.incarnation) && is_current_heard {
            return (ReportOutcome::Outdated, index);
        }
        self.replace(index, report, now);
        (ReportOutcome::Replaced, index)
    }

    fn add(&mut self, report: ServerReport, now: Duration) -> usize {
        let index = match self.reusable_index() {
            Some(index) => {
                self.by_name.remove(self.servers[index].name());
                self.servers[index] = ServerRecord::new(report, now);
                index
            }
            None => {
                self.servers.push(ServerRecord::new(report, now));
                self.servers.len() - 1
            }
        };
        self.by_name.insert(self.servers[index].name().clone(), index);
        self.index_services(index);
        self.server_count += 1;
        index
    }

    /// Index of a forgotten server if the directory has reached its maximum size.
    fn reusable_index(&self) -> Option<usize> {
        if self.servers.len() < self.limits.max_servers {
            return None;
        }
        self.servers.iter().position(|server| server.state() == ServerState::Gone)
    }

    fn replace(&mut self, index: usize, report: ServerReport, now: Duration) {
        self.unindex_services(index);
        let retired = self.servers[index].retired_with_current();
        self.servers[index] = ServerRecord::new(report, now).with_retired(retired);
        self.index_services(index);
    }

    fn index_services(&mut self, index: usize) {
        for service in self.servers[index].services().to_vec() {
            let list = self.by_service.entry(service).or_default();
            if !list.contains(&index) {
                list.push(index);
            }
        }
    }

    fn unindex_services(&mut self, index: usize) {
        for service in self.servers[index].services().to_vec() {
            if let Some(list) = self.by_service.get_mut(&service) {
                list.retain(|&other| other != index);
            }
        }
    }

    /// Candidates for one placement: all servers of `service`, or a random sample if there are more
    /// than the sample size.
    pub fn sample(&self, service: &str, random: &mut ChaCha8Rng) -> Vec<usize> {
        let offering = self.offering(service);
        if offering.len() <= self.limits.sample_size {
            return offering.to_vec();
        }
        let draws = (0..self.limits.sample_size).map(|_| random.random_range(0..offering.len()));
        let mut positions: Vec<usize> = draws.collect();
        positions.sort_unstable();
        positions.dedup();
        positions.into_iter().map(|position| offering[position]).collect()
    }

    /// Number of servers that are not forgotten.
    pub fn len(&self) -> usize {
        self.server_count
    }

    /// Whether every server is forgotten or none was ever known.
    pub fn is_empty(&self) -> bool {
        self.server_count == 0
    }

    /// Marks servers with overdue heartbeats as silent, forgets those that stay silent and ends
    /// expired quarantines; returns the servers that are newly silent.
    ///
    /// A heartbeat is overdue after the configured limit or after three times `interval`, the
    /// heartbeat interval of the agents, whichever is longer.
    pub fn sweep(&mut self, interval: Duration, now: Duration) -> Vec<usize> {
        let silent_after = self.limits.silent_after.max(interval * MISSED_HEARTBEATS);
        let forget_after = self.limits.forget_after.max(silent_after * 2);
        let mut silent = Vec::new();
        let mut forgotten = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate() {
            let silence = now.saturating_sub(server.last_heartbeat());
            let state = server.state();
            if state == ServerState::Silent && silence >= forget_after {
                server.advance(ServerEvent::Forget);
                forgotten.push(index);
            } else if silence >= silent_after && server.advance(ServerEvent::Silence) {
                silent.push(index);
            }
            server.end_quarantine(now);
        }
        self.server_count -= forgotten.len();
        for index in forgotten {
            self.unindex_services(index);
        }
        silent
    }

    /// Whether the server at `index` takes tasks under `configuration`, now or once others have ended.
    pub fn is_usable(&self, index: usize, configuration: &Configuration) -> bool {
        let Some(server) = self.servers.get(index) else { return false };
        let is_ready = matches!(
            server.state(),
            ServerState::Announced | ServerState::Serving | ServerState::Probing
        );
        is_ready && is_in_use(server, configuration)
    }

    /// Whether a task may be sent to the server at `index` under `configuration`, regardless of its
    /// load; a probed server takes one task at a time.
    pub fn is_eligible(&self, index: usize, configuration: &Configuration) -> bool {
        let is_probe_open =
            |server: &ServerRecord| server.state() == ServerState::Probing && server.own_load() > 0;
        self.is_usable(index, configuration) && !self.servers.get(index).is_some_and(is_probe_open)
    }

    /// Ends the quarantines of each service of which no other server is left, so that its servers are
    /// probed, at most once a `LIFT_INTERVAL`; returns those services.
    ///
    /// If tasks fail on every server, the cause is rather the tasks than the servers, and keeping all
    /// of them away from work serves nobody.
    pub fn probe_last_servers(
        &mut self,
        configuration: &Configuration,
        now: Duration,
    ) -> Vec<ServiceName> {
        self.lifted_at.retain(|_, lifted_at| now < *lifted_at + LIFT_INTERVAL);
        if !self.servers.iter().any(is_quarantined) {
            return Vec::new();
        }
        let is_abandoned = |indexes: &[usize]| {
            let is_left = |&index: &usize| self.is_usable(index, configuration);
            let is_kept_away = |&index: &usize| {
                let server = &self.servers[index];
                is_quarantined(server) && is_in_use(server, configuration)
            };
            !indexes.iter().any(is_left) && indexes.iter().any(is_kept_away)
        };
        let due = self.by_service.iter().filter(|(name, _)| !self.lifted_at.contains_key(*name));
        let abandoned = due.filter(|(_, indexes)| is_abandoned(indexes));
        let mut services: Vec<ServiceName> = abandoned.map(|(name, _)| name.clone()).collect();
        services.sort_unstable();
        for service in &services {
            self.lifted_at.insert(service.clone(), now);
            for index in self.offering(service).to_vec() {
                self.servers[index].advance(ServerEvent::Probe);
            }
        }
        services
    }
}
