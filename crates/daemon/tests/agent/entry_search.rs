//! An agent whose entries are all replaced, with stubs of the entries, the log, the settings and the
//! worker: how it finds the new ones.

use crate::fixtures::{
    IdleWorker, OLD_ENTRY, SETTINGS, agent_components, agent_settings, announcement, directive,
};
use bytes::Bytes;
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::ConnectPatience;
use parsleyspool_core::id::{Offset, PeerAddress};
use parsleyspool_core::member::{MemberRecord, MemberStatus};
use parsleyspool_core::run::RunLimits;
use parsleyspool_daemon::agent::{AgentDaemon, AgentInterfaces, start_with};
use parsleyspool_daemon::error::DaemonError;
use parsleyspool_daemon::http::bind_listener;
use parsleyspool_daemon::interfaces::{EntryClient, LogPage, LogStore, SeedSource, TaskRunner};
use parsleyspool_daemon::lifecycle::{DaemonLifecycle, Serving};
use parsleyspool_daemon::settings::EntrySeed;
use parsleyspool_wire::peer::{
    DirectiveMessage, HeartbeatMessage, PeerStateMessage, PeerStateQuery,
};
use parsleyspool_wire::record::encode_member;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

const NEW_ENTRY: &str = "127.0.0.1:7202";
/// Far longer than the time until an agent searches for entries.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// Time for which an agent whose entry answers is watched: several pauses between searches.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Entries, of which those at the addresses in `alive` answer.
#[derive(Debug, Default)]
struct StubEntries {
    alive: watch::Sender<Vec<&'static str>>,
    /// Addresses of the heartbeats that were answered.
    answered: watch::Sender<Vec<String>>,
}

impl StubEntries {
    async fn wait_for_heartbeat_at(&self, address: &str) -> bool {
        let mut answered = self.answered.subscribe();
        let is_reached = answered.wait_for(|answered| answered.iter().any(|at| at == address));
        tokio::time::timeout(LONGEST_WAIT, is_reached).await.is_ok()
    }
}

impl EntryClient for StubEntries {
    fn heartbeat(
        &self,
        address: PeerAddress,
        _message: HeartbeatMessage,
        _patience: ConnectPatience,
    ) -> BoxFuture<'_, Option<DirectiveMessage>> {
        let is_alive = self.alive.borrow().iter().any(|alive| **alive == *address);
        if !is_alive {
            return std::future::ready(None).boxed();
        }
        self.answered.send_modify(|answered| answered.push(address.to_string()));
        let answer = directive(&format!("entry-at-{address}"));
        std::future::ready(Some(answer)).boxed()
    }

    fn fetch_state(
        &self,
        _address: PeerAddress,
        _message: PeerStateQuery,
    ) -> BoxFuture<'_, Option<PeerStateMessage>> {
        std::future::ready(None).boxed()
    }
}

/// Log with a record of each member; `None` while it does not answer.
#[derive(Debug, Default)]
struct StubLog {
    members: Mutex<Option<Vec<&'static str>>>,
    reads: watch::Sender<usize>,
}

impl LogStore for StubLog {
    fn append(
        &self,
        _stream: &'static str,
        _record: Bytes,
    ) -> BoxFuture<'_, Result<Offset, Report<DaemonError>>> {
        std::future::pending().boxed()
    }

    fn read(
        &self,
        _stream: &'static str,
        from: Offset,
        _limit: usize,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, Report<DaemonError>>> {
        self.reads.send_modify(|reads| *reads += 1);
        let Some(members) = self.members.lock().expect("no reader panics").clone() else {
            return std::future::ready(Err(Report::new(DaemonError::Log))).boxed();
        };
        let end = members.len() as Offset;
        let numbered = (0..).zip(members.into_iter().map(member_record));
        let records = numbered.skip_while(|(offset, _)| *offset < from).collect();
        std::future::ready(Ok(LogPage { earliest: 0, end, records })).boxed()
    }
}

fn member_record(address: &'static str) -> Bytes {
    let status = MemberStatus::Present(address.into());
    let record = MemberRecord { entry: address.into(), incarnation: 1, status };
    encode_member(&record).expect("the record is small").into()
}

/// Settings that change while the agent runs; `None` while they are being written.
#[derive(Debug, Default)]
struct StubSettings {
    seeds: Mutex<Option<Vec<&'static str>>>,
}

impl StubSettings {
    fn write(&self, seeds: Option<&[&'static str]>) {
        *self.seeds.lock().expect("no reader panics") = seeds.map(<[_]>::to_vec);
    }
}

impl SeedSource for StubSettings {
    fn read_seeds(&self) -> Result<Vec<EntrySeed>, Report<DaemonError>> {
        let seeds = self.seeds.lock().expect("no writer panics").clone();
        let seeds = seeds.ok_or_else(|| Report::new(DaemonError::Settings))?;
        let address = |seed: &str| seed.parse().expect("an address");
        let seeds = seeds.into_iter().map(|seed| (String::new(), address(seed)));
        Ok(seeds.map(|(name, address)| EntrySeed { name, address }).collect())
    }
}

/// Everything around the agent. The old entry answers, the log does not, and the settings file is
/// being written.
#[derive(Debug, Default)]
struct Surroundings {
    entries: Arc<StubEntries>,
    log: Arc<StubLog>,
    settings: Arc<StubSettings>,
}

impl Surroundings {
    /// Replaces the old entry by the new one, of which nothing tells the agent yet.
    fn replace_entry(&self) {
        self.entries.alive.send_replace(vec![NEW_ENTRY]);
    }

    /// Waits until the agent has searched the log `count` times more.
    async fn wait_for_searches(&self, count: usize) {
        let mut reads = self.log.reads.subscribe();
        let before = *reads.borrow_and_update();
        let searched = reads.wait_for(|reads| *reads >= before + count);
        let searched = tokio::time::timeout(LONGEST_WAIT, searched).await;
        searched.expect("the agent searches").expect("the log outlives its readers");
    }
}

/// Starts an agent that reaches the old entry.
async fn start_agent() -> (DaemonLifecycle<AgentDaemon, Serving>, Surroundings) {
    let (agent, surroundings) = start_agent_with(SETTINGS).await;
    assert!(surroundings.entries.wait_for_heartbeat_at(OLD_ENTRY).await);
    (agent, surroundings)
}

async fn start_agent_with(settings: &str) -> (DaemonLifecycle<AgentDaemon, Serving>, Surroundings) {
    let settings = agent_settings(settings);
    let components = agent_components(&settings);
    let surroundings = Surroundings::default();
    surroundings.entries.alive.send_replace(vec![OLD_ENTRY]);
    let runner =
        TaskRunner::Leased { executor: Arc::new(IdleWorker), limits: RunLimits::default() };
    let interfaces = AgentInterfaces {
        entries: surroundings.entries.clone(),
        seeds: Some(surroundings.settings.clone()),
        log: Some(surroundings.log.clone()),
        ..AgentInterfaces::new(runner, &components)
    };
    let listener = bind_listener(settings.listen).await.expect("a port is free");
    let agent = start_with(listener, settings, interfaces, components);
    let agent = agent.expect("the agent starts").run();
    agent.components.announcement_handle().announce(announcement(1, false)).await;
    (agent, surroundings)
}

/// Failure (review/11): every entry is replaced at the same moment, and the agents that knew them
/// never find the new ones, which know no agent.
#[tokio::test]
async fn an_agent_finds_replaced_entries_in_the_log() {
    let (_agent, surroundings) = start_agent().await;
    surroundings.replace_entry();
    surroundings.wait_for_searches(2).await;

    let members = vec![OLD_ENTRY, "no address", NEW_ENTRY];
    *surroundings.log.members.lock().expect("no reader panics") = Some(members);

    assert!(surroundings.entries.wait_for_heartbeat_at(NEW_ENTRY).await);
}

/// Failure (review/11): the settings name the new entry without any signal, and the agent still calls
/// the old one. The log is away, and the file is half written and then names no entry for a while.
#[tokio::test]
async fn an_agent_finds_replaced_entries_in_settings_that_change_without_a_signal() {
    let (_agent, surroundings) = start_agent().await;
    surroundings.replace_entry();
    surroundings.wait_for_searches(1).await;
    surroundings.settings.write(Some(&[]));
    surroundings.wait_for_searches(1).await;
    surroundings.settings.write(None);
    surroundings.wait_for_searches(1).await;

    surroundings.settings.write(Some(&[NEW_ENTRY]));

    assert!(surroundings.entries.wait_for_heartbeat_at(NEW_ENTRY).await);
}

/// Failure (review/14): an agent that starts while its settings name no entry ends, or finds none later.
#[tokio::test]
async fn an_agent_that_starts_without_entries_finds_one_when_its_settings_name_it() {
    let settings = SETTINGS.replace("seeds: ['127.0.0.1:7201']", "seeds: []");
    let (_agent, surroundings) = start_agent_with(&settings).await;
    surroundings.wait_for_searches(1).await;

    surroundings.settings.write(Some(&[OLD_ENTRY]));

    assert!(surroundings.entries.wait_for_heartbeat_at(OLD_ENTRY).await);
}

/// Failure (review/11): SIGHUP tells the agent of changed settings, and nothing is read.
#[tokio::test]
async fn an_agent_contacts_the_entries_of_reloaded_settings_at_once() {
    let (agent, surroundings) = start_agent().await;
    surroundings.entries.alive.send_replace(vec![OLD_ENTRY, NEW_ENTRY]);
    let address = NEW_ENTRY.parse().expect("an address");

    let seeds = vec![EntrySeed { name: String::new(), address }];
    agent.components.seed_handle().replace_seeds(seeds);

    assert!(surroundings.entries.wait_for_heartbeat_at(NEW_ENTRY).await);
}

/// Load pattern: nothing is wrong. The log gets no call of an agent then.
#[tokio::test]
async fn an_agent_whose_entry_answers_does_not_search() {
    let (_agent, surroundings) = start_agent().await;

    tokio::time::sleep(CALM_TIME).await;

    assert_eq!(*surroundings.log.reads.borrow(), 0);
}
