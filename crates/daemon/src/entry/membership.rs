//! Membership of entries: announces this entry in the log, discovers the others and polls them.

use super::EntryShared;
use super::actor::EntryActor;
use super::log_streams::{READ_RETRY_DELAY, encoded_record};
use super::peer_http;
use super::queries::EndConfigFetch;
use crate::member_stream::{self, EntryAddresses};
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::member::{MemberLedger, MemberRecord, MemberStatus};
use parsleyspool_wire::record::{MEMBER_STREAM, encode_member};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use xtra::Address;

/// Delay before an unconfirmed announcement is repeated.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Announces this entry, and repeats the announcement before the log drops the record.
pub(crate) async fn announce(incarnation: Incarnation, shared: Arc<EntryShared>) {
    let status = MemberStatus::Present(shared.advertised_address.to_string().into());
    loop {
        let wait = match append_record(incarnation, status.clone(), &shared).await {
            true => shared.settings.log.retention / 4,
            false => ANNOUNCE_RETRY_DELAY,
        };
        tokio::time::sleep(wait).await;
    }
}

/// Records in the log that this entry has left; a failed append is not repeated.
pub(crate) async fn deregister(incarnation: Incarnation, shared: &EntryShared) {
    append_record(incarnation, MemberStatus::Left, shared).await;
}

async fn append_record(
    incarnation: Incarnation,
    status: MemberStatus,
    shared: &EntryShared,
) -> bool {
    let entry = shared.settings.name.as_str().into();
    let record = MemberRecord { entry, incarnation, status };
    let Some(bytes) = encoded_record(MEMBER_STREAM, encode_member(&record)) else { return true };
    match shared.interfaces.log.append(MEMBER_STREAM, bytes).await {
        Ok(_) => true,
        Err(report) => {
            tracing::warn!(event = "append_unconfirmed", stream = MEMBER_STREAM, error = %report);
            false
        }
    }
}

/// Follows the member stream and publishes the addresses of all entries.
pub(crate) async fn follow_members(
    sender: watch::Sender<EntryAddresses>,
    shared: Arc<EntryShared>,
) {
    let mut ledger = MemberLedger::new();
    loop {
        let wait = shared.settings.log.wait;
        let read = member_stream::read_page(&*shared.interfaces.log, &ledger, wait);
        let Ok(page) = read.await else {
            tokio::time::sleep(READ_RETRY_DELAY).await;
            continue;
        };
        if member_stream::apply_page(&mut ledger, &page) {
            sender.send_replace(member_stream::addresses(&ledger));
        }
    }
}

/// Polls every other entry named by the settings or the log, and starts over when the addresses
/// from the log change.
pub(crate) async fn poll_entries(
    mut receiver: watch::Receiver<EntryAddresses>,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) {
    loop {
        // A task that was stopped below cannot report the end of its fetch.
        let _ = address.send(EndConfigFetch).await;
        let mut addresses: EntryAddresses = shared
            .settings
            .peers
            .iter()
            .map(|(name, peer)| (name.clone(), peer.to_string()))
            .collect();
        addresses.extend(receiver.borrow_and_update().clone());
        addresses.remove(&shared.settings.name);
        let named_addresses: Vec<String> = addresses.values().cloned().collect();
        let own_address = shared.advertised_address.to_string();
        let seeds = shared.settings.seeds.iter().map(ToString::to_string);
        let seeds = seeds.filter(|peer| *peer != own_address && !named_addresses.contains(peer));
        let mut pollers = JoinSet::new();
        for peer in seeds.collect::<Vec<_>>() {
            pollers.spawn(peer_http::poll_entry(None, peer, address.clone(), shared.clone()));
        }
        for (name, peer) in addresses {
            pollers.spawn(peer_http::poll_entry(Some(name), peer, address.clone(), shared.clone()));
        }
        if receiver.changed().await.is_err() {
            return;
        }
    }
}
