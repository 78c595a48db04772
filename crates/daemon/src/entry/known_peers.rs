//! The other entries that an entry knows, and what they tell each other.

use super::actor::EntryActor;
use parsleyspool_core::config::ConfigSnapshot;
use parsleyspool_core::entry::EntryEvent;
use parsleyspool_core::id::Version;
use parsleyspool_core::time::Moment;
use parsleyspool_wire::peer::{PeerStateMessage, PeerStateQuery};
use std::collections::BTreeMap;
use std::time::Duration;
use xtra::prelude::*;

/// Time without a message after which another entry is left out of the list sent to agents.
const PEER_EXPIRY: Duration = Duration::from_secs(5);

/// Another entry, as described by its latest message.
#[derive(Debug)]
pub(super) struct KnownPeer {
    pub(super) address: String,
    pub(super) version: Version,
    pub(super) last_seen: Duration,
}

impl EntryActor {
    /// Peer addresses of this entry and of those heard of lately, by entry name.
    pub(super) fn entry_addresses(&self, now: Moment) -> BTreeMap<String, String> {
        let shared = &self.shared;
        let own = (shared.settings.name.clone(), shared.advertised_address.to_string());
        let peers = self.known_peers.iter();
        let recent = peers.filter(|(_, peer)| now.elapsed < peer.last_seen + PEER_EXPIRY);
        let others = recent.map(|(name, peer)| (name.clone(), peer.address.clone()));
        others.chain([own]).collect()
    }

    fn record_peer(&mut self, entry: String, address: String, version: Version, now: Moment) {
        let peer = KnownPeer { address, version, last_seen: now.elapsed };
        self.known_peers.insert(entry, peer);
    }
}

/// State query of another entry, which is recorded as a known peer; the reply is the state of this
/// entry.
#[derive(Debug)]
pub(crate) struct QueryPeerState(pub PeerStateQuery);

impl Handler<QueryPeerState> for EntryActor {
    type Return = PeerStateMessage;

    async fn handle(
        &mut self,
        message: QueryPeerState,
        _ctx: &mut Context<Self>,
    ) -> PeerStateMessage {
        let now = self.shared.interfaces.clock.now();
        let query = message.0;
        self.record_peer(query.entry, query.address, query.version, now);
        let report = self.machine.peer_report(now);
        let load = self.machine.team_load().iter();
        let load = load.map(|(team, open)| (team.to_string(), *open)).collect();
        let mut answer = PeerStateMessage::new(&report, load);
        let ledger = self.machine.ledger();
        if query.wants_state && ledger.is_complete() {
            answer.state = Some(ledger.configuration().into());
        }
        answer
    }
}

/// Answer of another entry to a state query sent at `requested_at`.
#[derive(Debug)]
pub(crate) struct HandlePeerState {
    pub address: String,
    pub answer: PeerStateMessage,
    pub requested_at: Duration,
}

impl Handler<HandlePeerState> for EntryActor {
    type Return = ();

    async fn handle(&mut self, message: HandlePeerState, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let answer = message.answer;
        let now = self.shared.interfaces.clock.now();
        self.record_peer(answer.entry.clone(), message.address, answer.version, now);
        let report = answer.report();
        match answer.state.map(TryInto::try_into) {
            Some(Ok(configuration)) => {
                let snapshot = ConfigSnapshot { configuration };
                self.handle_event(EntryEvent::PeerSnapshot(snapshot), &address);
            }
            Some(Err(error)) => {
                tracing::warn!(event = "peer_state_unreadable", entry = %answer.entry, %error);
            }
            None => {}
        }
        let team_load = answer.team_load.into_iter().map(|(team, open)| (team.into(), open));
        let team_load = team_load.collect();
        self.handle_event(
            EntryEvent::PeerReported { report, team_load, requested_at: message.requested_at },
            &address,
        );
    }
}
