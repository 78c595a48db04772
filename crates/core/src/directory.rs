//! Backend servers as one entry knows them.
//!
//! A backend server announces itself through the heartbeats of the agent beside it. The directory
//! tells a restarted server from a slow one by the incarnation, estimates the load of each server
//! from its latest report and the own tasks sent since, learns its speed from run times, and sets
//! servers that fail what they start aside until a probe succeeds.

mod pace;
mod server;

pub use pace::RunTimes;
pub use server::{ServerRecord, ServerReport, TrustPolicy};

use crate::config::Configuration;
use crate::id::{ServerName, ServiceName};
use crate::lifecycle::{ServerEvent, ServerState};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// What a heartbeat showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The server is new.
    Announced,
    /// The server is another incarnation of a known one.
    Replaced,
    /// The server is known.
    Known,
    /// The report is older than one already taken.
    Outdated,
}

/// Limits of the directory.
#[derive(Debug, Clone)]
pub struct DirectoryLimits {
    /// Silence after which a server takes no new work.
    pub silent_after: Duration,
    /// Silence after which a server is forgotten.
    pub forget_after: Duration,
    /// Most servers known.
    pub servers: usize,
    /// Servers looked at for one placement.
    pub sample: usize,
    /// When a server is trusted.
    pub trust: TrustPolicy,
}

impl Default for DirectoryLimits {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(3),
            forget_after: Duration::from_secs(60),
            servers: 20_000,
            sample: 16,
            trust: TrustPolicy::default(),
        }
    }
}

/// Servers by index; an index stays with a name until the server is forgotten.
#[derive(Debug)]
pub struct ServerDirectory {
    servers: Vec<ServerRecord>,
    names: HashMap<ServerName, usize>,
    by_service: HashMap<ServiceName, Vec<usize>>,
    limits: DirectoryLimits,
    present: usize,
}

/// Heartbeats missed before a server is taken for silent.
const MISSED_HEARTBEATS: u32 = 3;

impl ServerDirectory {
    /// Directory without servers.
    pub fn new(limits: DirectoryLimits) -> Self {
        Self {
            servers: Vec::new(),
            names: HashMap::new(),
            by_service: HashMap::new(),
            limits,
            present: 0,
        }
    }

    /// Server at `index`.
    pub fn get(&self, index: usize) -> Option<&ServerRecord> {
        self.servers.get(index)
    }

    /// Server at `index`, to be changed.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut ServerRecord> {
        self.servers.get_mut(index)
    }

    /// Index of the server called `name`.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Every server with its index.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &ServerRecord)> {
        self.servers.iter().enumerate().filter(|(_, server)| server.state() != ServerState::Gone)
    }

    /// Indexes of the servers that offer `service`.
    pub fn offering(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// When a server is trusted.
    pub fn trust(&self) -> &TrustPolicy {
        &self.limits.trust
    }

    /// Takes a heartbeat that came at `now`.
    pub fn report(&mut self, report: ServerReport, now: Duration) -> (ReportOutcome, usize) {
        let Some(index) = self.index_of(&report.name) else {
            return (ReportOutcome::Announced, self.announce(report, now));
        };
        if self.servers[index].state() == ServerState::Gone {
            self.rebuild(index, report, now);
            self.present += 1;
            return (ReportOutcome::Announced, index);
        }
        let known = &self.servers[index];
        if known.incarnation() == report.incarnation {
            if report.sequence <= known.sequence() {
                return (ReportOutcome::Outdated, index);
            }
            let is_same_offer = known.services() == report.services.as_slice();
            if !is_same_offer {
                self.withdraw(index);
            }
            self.servers[index].refresh(report, now);
            if !is_same_offer {
                self.offer(index);
            }
            return (ReportOutcome::Known, index);
        }
        if known.has_retired(report.incarnation) {
            return (ReportOutcome::Outdated, index);
        }
        self.rebuild(index, report, now);
        (ReportOutcome::Replaced, index)
    }

    fn announce(&mut self, report: ServerReport, now: Duration) -> usize {
        let index = match self.reusable_index() {
            Some(index) => {
                self.names.remove(self.servers[index].name());
                self.servers[index] = ServerRecord::new(report, now);
                index
            }
            None => {
                self.servers.push(ServerRecord::new(report, now));
                self.servers.len() - 1
            }
        };
        self.names.insert(self.servers[index].name().clone(), index);
        self.offer(index);
        self.present += 1;
        index
    }

    /// Index of a forgotten server, once the directory is full.
    fn reusable_index(&self) -> Option<usize> {
        if self.servers.len() < self.limits.servers {
            return None;
        }
        self.servers.iter().position(|server| server.state() == ServerState::Gone)
    }

    fn rebuild(&mut self, index: usize, report: ServerReport, now: Duration) {
        self.withdraw(index);
        let retired = self.servers[index].retire();
        self.servers[index] = ServerRecord::new(report, now).with_retired(retired);
        self.offer(index);
    }

    fn offer(&mut self, index: usize) {
        for service in self.servers[index].services().to_vec() {
            let list = self.by_service.entry(service).or_default();
            if !list.contains(&index) {
                list.push(index);
            }
        }
    }

    fn withdraw(&mut self, index: usize) {
        for service in self.servers[index].services().to_vec() {
            if let Some(list) = self.by_service.get_mut(&service) {
                list.retain(|&other| other != index);
            }
        }
    }

    /// Servers of `service` to look at for one placement: all where they are few, else a sample.
    pub fn sample(&self, service: &str, random: &mut ChaCha8Rng) -> Vec<usize> {
        let offering = self.offering(service);
        if offering.len() <= self.limits.sample {
            return offering.to_vec();
        }
        let draws = (0..self.limits.sample).map(|_| random.random_range(0..offering.len()));
        let mut positions: Vec<usize> = draws.collect();
        positions.sort_unstable();
        positions.dedup();
        positions.into_iter().map(|position| offering[position]).collect()
    }

    /// Number of servers known and not forgotten.
    pub fn len(&self) -> usize {
        self.present
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.present == 0
    }

    /// Marks servers that missed their heartbeats silent and forgets those silent for long; returns
    /// newly silent ones.
    ///
    /// A server is overdue after the limit, or after three heartbeats where `interval` is longer.
    pub fn sweep(&mut self, interval: Duration, now: Duration) -> Vec<usize> {
        let silent_after = self.limits.silent_after.max(interval * MISSED_HEARTBEATS);
        let forget_after = self.limits.forget_after.max(silent_after * 2);
        let mut silent = Vec::new();
        let mut forgotten = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate() {
            let silence = now.saturating_sub(server.heard());
            let state = server.state();
            if state == ServerState::Silent && silence >= forget_after {
                server.advance(ServerEvent::Forget);
                forgotten.push(index);
            } else if silence >= silent_after && server.advance(ServerEvent::Silence) {
                silent.push(index);
            }
            server.end_quarantine(now);
        }
        self.present -= forgotten.len();
        for index in forgotten {
            self.withdraw(index);
        }
        silent
    }

    /// Whether the server at `index` may be sent a task under `configuration`.
    pub fn takes_work(&self, index: usize, configuration: &Configuration) -> bool {
        let Some(server) = self.servers.get(index) else { return false };
        let is_ready = match server.state() {
            ServerState::Announced | ServerState::Serving => true,
            ServerState::Probing => server.own_load() == 0,
            _ => false,
        };
        is_ready
            && configuration.is_in_service(server.domain())
            && !configuration.is_leaving(server.name())
    }
}
