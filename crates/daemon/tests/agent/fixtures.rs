//! Worker, announcements and directives that the tests of an agent share.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::agent::ServerAvailability;
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::run::{
    PollAnswer, PollCall, RunListing, ServerIncarnation, StartAnswer, StartCall, StopAnswer,
    StopCall,
};
use parsleyspool_daemon::agent::ServerAnnouncement;
use parsleyspool_daemon::clock::SystemClock;
use parsleyspool_daemon::components::DaemonComponents;
use parsleyspool_daemon::interfaces::RunExecutor;
use parsleyspool_daemon::settings::{AgentSettings, ProcessSettings, parse};
use parsleyspool_daemon::telemetry::logging::LogControl;
use parsleyspool_wire::peer::DirectiveMessage;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Address of the only entry that the settings name.
pub const OLD_ENTRY: &str = "127.0.0.1:7201";
/// Settings of the agent.
pub const SETTINGS: &str = "\
agent:
  name: server-1
  domain: coast
  worker: worker-1
  listen: 127.0.0.1:0
  seeds: ['127.0.0.1:7201']
  runs:
    lease: 700ms
    renewal: 200ms
";
/// Id of the server.
pub const SERVER: &str = "i-1";
/// Failure domain of the server.
pub const DOMAIN: &str = "coast";
const STARTED_AT: Duration = Duration::from_secs(1_000);
const POLL_TIME: Duration = Duration::from_millis(50);

/// Worker without runs, which answers every poll.
#[derive(Debug)]
pub struct IdleWorker;

impl RunExecutor for IdleWorker {
    fn start(&self, _call: StartCall) -> BoxFuture<'_, StartAnswer> {
        std::future::pending().boxed()
    }

    fn stop(&self, _call: StopCall) -> BoxFuture<'_, StopAnswer> {
        std::future::pending().boxed()
    }

    fn poll_runs(&self, _call: PollCall) -> BoxFuture<'_, PollAnswer> {
        let listing = RunListing {
            clock: Duration::from_secs(500),
            started_at: Some(STARTED_AT),
            running: Vec::new(),
            ended: Vec::new(),
            is_truncated: false,
            unreadable: Vec::new(),
        };
        tokio::time::sleep(POLL_TIME).map(|()| PollAnswer::Listing(listing)).boxed()
    }
}

/// Settings of the agent in `text`.
pub fn agent_settings(text: &str) -> AgentSettings {
    let Ok(ProcessSettings::Agent(settings)) = parse(text) else {
        panic!("the settings are those of an agent");
    };
    *settings
}

/// Components of an agent that logs nothing.
pub fn agent_components(settings: &AgentSettings) -> DaemonComponents {
    let clock = Arc::new(SystemClock::new());
    let components = DaemonComponents::new(&settings.telemetry, LogControl::detached(), clock);
    components.expect("the components start")
}

/// Announcement of the server with the number `sequence`.
pub fn announcement(sequence: u64, is_leaving: bool) -> ServerAnnouncement {
    let availability = ServerAvailability { capacity: ResourceAmounts::from_slots(4), is_leaving };
    ServerAnnouncement {
        incarnation: ServerIncarnation { server: SERVER.into(), started_at: STARTED_AT },
        sequence,
        clock: None,
        services: vec!["s".into()],
        domain: DOMAIN.into(),
        worker: "worker-1".into(),
        availability,
    }
}

/// Answer of the entry `entry`, whose configuration has the version 1, to a heartbeat.
pub fn directive(entry: &str) -> DirectiveMessage {
    DirectiveMessage {
        entry: entry.to_owned(),
        incarnation: 7,
        run_lease_us: Some(900_000),
        version: 1,
        is_in_service: true,
        is_leaving: false,
        valid_for_us: 3_000_000,
        confirmed_age_us: None,
        renewal_interval_us: None,
        heartbeat_interval_us: 50_000,
        entries: BTreeMap::new(),
        ended_submissions: Vec::new(),
    }
}
