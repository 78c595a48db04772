//! Queries that tasks and operators send to the actor of an entry.

use super::actor::EntryActor;
use super::handle::EntryReadiness;
use parsleyspool_core::chart::ChartSymbol;
use parsleyspool_core::config::{ApplyOutcome, FetchDecision};
use parsleyspool_core::freshness::FreshnessStatus;
use parsleyspool_core::id::{ChangeId, Offset, RequestName, ServiceName, Version};
use parsleyspool_wire::operator::{ConfigBody, ProcessBody, StatusBody};
use parsleyspool_wire::peer::PeerStateQuery;
use std::time::Duration;
use xtra::prelude::*;

/// Read positions of the log readers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamPosition {
    pub next_config_offset: Offset,
    pub next_claim_offset: Offset,
}

/// Queries the [`StreamPosition`].
#[derive(Debug)]
pub(crate) struct QueryPosition;

impl Handler<QueryPosition> for EntryActor {
    type Return = StreamPosition;

    async fn handle(
        &mut self,
        _message: QueryPosition,
        _ctx: &mut Context<Self>,
    ) -> StreamPosition {
        StreamPosition {
            next_config_offset: self.machine.ledger().next_offset(),
            next_claim_offset: self.machine.next_claim_offset(),
        }
    }
}

/// Prepares the next state query to another entry, which last reported `reported` as its version.
#[derive(Debug)]
pub(crate) struct PrepareStateQuery {
    pub reported: Option<Version>,
}

impl Handler<PrepareStateQuery> for EntryActor {
    type Return = PeerStateQuery;

    async fn handle(
        &mut self,
        message: PrepareStateQuery,
        _ctx: &mut Context<Self>,
    ) -> PeerStateQuery {
        let now = self.shared.interfaces.clock.now();
        let decision = self.machine.decide_config_fetch(message.reported, now);
        PeerStateQuery {
            entry: self.shared.settings.name.clone(),
            address: self.shared.advertised_address.to_string(),
            version: self.machine.ledger().configuration().version,
            wants_state: decision == FetchDecision::Configuration,
        }
    }
}

/// Ends the fetch of the configuration that [`PrepareStateQuery`] began.
#[derive(Debug)]
pub(crate) struct EndConfigFetch;

impl Handler<EndConfigFetch> for EntryActor {
    type Return = ();

    async fn handle(&mut self, _message: EndConfigFetch, _ctx: &mut Context<Self>) {
        self.machine.end_config_fetch();
    }
}

/// Queries the [`EntryReadiness`].
#[derive(Debug)]
pub(crate) struct QueryReadiness;

impl Handler<QueryReadiness> for EntryActor {
    type Return = EntryReadiness;

    async fn handle(
        &mut self,
        _message: QueryReadiness,
        _ctx: &mut Context<Self>,
    ) -> EntryReadiness {
        EntryReadiness {
            is_configured: self.machine.ledger().configuration().version > 0,
            ready_servers: self.machine.ready_servers(),
            open_jobs: self.machine.gauges().jobs,
        }
    }
}

/// Queries the number of jobs of a service whose first task has the kind `request` and of which no
/// task has started.
#[derive(Debug)]
pub(crate) struct QueryWaitingJobs {
    pub service: ServiceName,
    pub request: RequestName,
}

impl Handler<QueryWaitingJobs> for EntryActor {
    type Return = usize;

    async fn handle(&mut self, message: QueryWaitingJobs, _ctx: &mut Context<Self>) -> usize {
        self.machine.waiting_jobs(&message.service, &message.request)
    }
}

/// State of a change at this entry.
#[derive(Debug, Clone)]
pub(crate) struct ChangeState {
    pub outcome: Option<ApplyOutcome>,
    pub is_held_by_majority: bool,
}

/// Queries the state of a change.
#[derive(Debug)]
pub(crate) struct QueryChange(pub ChangeId);

impl Handler<QueryChange> for EntryActor {
    type Return = ChangeState;

    async fn handle(&mut self, message: QueryChange, _ctx: &mut Context<Self>) -> ChangeState {
        let outcome = self.machine.ledger().outcome(message.0).cloned();
        let is_held_by_majority = match &outcome {
            Some(ApplyOutcome::Accepted { version }) => self.machine.is_accepted(*version),
            _ => false,
        };
        ChangeState { outcome, is_held_by_majority }
    }
}

/// Queries the configuration and its freshness.
#[derive(Debug)]
pub(crate) struct QueryConfig;

impl Handler<QueryConfig> for EntryActor {
    type Return = ConfigBody;

    async fn handle(&mut self, _message: QueryConfig, _ctx: &mut Context<Self>) -> ConfigBody {
        ConfigBody {
            entry: self.shared.settings.name.clone(),
            freshness: self.freshness_name().to_owned(),
            configuration: self.machine.ledger().configuration().into(),
        }
    }
}

/// Queries the status page of the entry.
#[derive(Debug)]
pub(crate) struct QueryStatusPage;

impl Handler<QueryStatusPage> for EntryActor {
    type Return = StatusBody;

    async fn handle(&mut self, _message: QueryStatusPage, _ctx: &mut Context<Self>) -> StatusBody {
        let gauges = self.machine.gauges();
        StatusBody {
            name: self.shared.settings.name.clone(),
            role: "entry".to_owned(),
            state: self.shared.state_name.get().to_owned(),
            version: self.machine.ledger().configuration().version,
            freshness: self.freshness_name().to_owned(),
            jobs: gauges.jobs,
            queued: gauges.queued,
            processes: self.processes(),
        }
    }
}

impl EntryActor {
    fn freshness_name(&self) -> &'static str {
        match self.machine.freshness_status() {
            _ if !self.machine.ledger().is_complete() => "lapsed",
            FreshnessStatus::Confirmed { .. } => "confirmed",
            FreshnessStatus::Agreed { .. } => "agreed",
            FreshnessStatus::Unconfirmed { .. } => "unconfirmed",
            FreshnessStatus::Lapsed => "lapsed",
        }
    }

    fn processes(&self) -> Vec<ProcessBody> {
        let now = self.shared.interfaces.clock.now().elapsed;
        let age_ms =
            |at: Duration| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        let own = ProcessBody {
            name: self.shared.settings.name.clone(),
            role: "entry".to_owned(),
            address: self.shared.advertised_address.to_string(),
            domain: self.shared.settings.domain.clone(),
            worker: String::new(),
            state: self.shared.state_name.get().to_owned(),
            version: self.machine.ledger().configuration().version,
            message_age_ms: 0,
            load: 0,
            slots: 0,
        };
        let peers = self.known_peers.iter().map(|(name, peer)| ProcessBody {
            name: name.clone(),
            role: "entry".to_owned(),
            address: peer.address.clone(),
            domain: String::new(),
            worker: String::new(),
            state: "known".to_owned(),
            version: peer.version,
            message_age_ms: age_ms(peer.last_seen),
            load: 0,
            slots: 0,
        });
        let agents = self.machine.directory().iter().map(|(_, server)| ProcessBody {
            name: server.name().to_string(),
            role: "agent".to_owned(),
            address: server.latest_report().address.to_string(),
            domain: server.domain().to_string(),
            worker: server.latest_report().worker.to_string(),
            state: server.state().name().to_owned(),
            version: server.latest_report().version,
            message_age_ms: age_ms(server.last_heartbeat()),
            load: server.load(),
            slots: server.latest_report().capacity.slots,
        });
        std::iter::once(own).chain(peers).chain(agents).collect()
    }
}

/// Progress of a drain.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DrainProgress {
    /// Number of jobs not yet answered.
    pub open_jobs: usize,
    /// Whether the log has confirmed the closing record of the audit log.
    pub is_audit_log_closed: bool,
}

/// Queries the [`DrainProgress`].
#[derive(Debug)]
pub(crate) struct QueryDrainProgress;

impl Handler<QueryDrainProgress> for EntryActor {
    type Return = DrainProgress;

    async fn handle(
        &mut self,
        _message: QueryDrainProgress,
        _ctx: &mut Context<Self>,
    ) -> DrainProgress {
        DrainProgress {
            open_jobs: self.machine.gauges().jobs,
            is_audit_log_closed: self.machine.is_audit_log_closed(),
        }
    }
}
