//! Membership of entries: announces this entry in the log, discovers the others and polls them.

use super::EntryShared;
use super::actor::EntryActor;
use super::log_streams::{READ_RETRY_DELAY, encoded_record};
use super::peer_http;
use super::queries::EndConfigFetch;
use crate::member_stream::{self, EntryAddresses};
use crate::settings::EntrySeed;
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::member::{MemberLedger, MemberRecord, MemberStatus};
use parsleyspool_wire::record::{MEMBER_STREAM, encode_member};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use xtra::Address;

/// Delay before an unconfirmed announcement is repeated.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two reads of the settings while the log does not answer.
const SEED_READ_INTERVAL: Duration = Duration::from_secs(1);

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

/// Follows the member stream and publishes the addresses of all entries. While the log does not
/// answer, the settings are read again instead.
pub(crate) async fn follow_members(
    sender: watch::Sender<EntryAddresses>,
    shared: Arc<EntryShared>,
) {
    let mut ledger = MemberLedger::new();
    let mut seeds_read_at = Instant::now();
    loop {
        let wait = shared.settings.log.wait;
        let read = member_stream::read_page(&*shared.interfaces.log, &ledger, wait);
        let Ok(page) = read.await else {
            if seeds_read_at.elapsed() >= SEED_READ_INTERVAL {
                seeds_read_at = Instant::now();
                read_seeds(&shared);
            }
            tokio::time::sleep(READ_RETRY_DELAY).await;
            continue;
        };
        if member_stream::apply_page(&mut ledger, &page) {
            sender.send_replace(member_stream::addresses(&ledger));
        }
    }
}

fn read_seeds(shared: &EntryShared) {
    let Some(source) = &shared.interfaces.seeds else { return };
    match source.read_seeds() {
        Ok(seeds) => replace_seeds(shared, seeds),
        Err(report) => tracing::warn!(event = "settings_wrong", error = ?report),
    }
}

/// Makes `seeds` the entries of the settings.
pub(super) fn replace_seeds(shared: &EntryShared, seeds: Vec<EntrySeed>) {
    shared.seeds.send_if_modified(|current| {
        let is_changed = *current != seeds;
        *current = seeds;
        is_changed
    });
}

/// Polls every other entry named by the settings or the log, and starts over when either names
/// others.
pub(crate) async fn poll_entries(
    mut receiver: watch::Receiver<EntryAddresses>,
    address: Address<EntryActor>,
    shared: Arc<EntryShared>,
) {
    let mut seed_receiver = shared.seeds.subscribe();
    loop {
        // A task that was stopped below cannot report the end of its fetch.
        let _ = address.send(EndConfigFetch).await;
        let seeds = seed_receiver.borrow_and_update().clone();
        let members = receiver.borrow_and_update().clone();
        let mut pollers = JoinSet::new();
        for (peer, name) in other_entries(seeds, members, &shared) {
            pollers.spawn(peer_http::poll_entry(name, peer, address.clone(), shared.clone()));
        }
        tokio::select! {
            members = receiver.changed() => if members.is_err() { return },
            _ = seed_receiver.changed() => {}
        }
    }
}

/// Addresses of all other entries with their names, if known. Of a name that both the settings and
/// the log have, the address in the log counts.
fn other_entries(
    seeds: Vec<EntrySeed>,
    members: EntryAddresses,
    shared: &EntryShared,
) -> BTreeMap<String, Option<String>> {
    let (named, unnamed): (Vec<_>, Vec<_>) =
        seeds.into_iter().partition(|seed| !seed.name.is_empty());
    let mut by_name: EntryAddresses =
        named.into_iter().map(|seed| (seed.name, seed.address.to_string())).collect();
    by_name.extend(members);
    by_name.remove(&shared.settings.name);
    let own_address = shared.advertised_address.to_string();
    let unnamed = unnamed.into_iter().map(|seed| seed.address.to_string());
    let unnamed = unnamed.filter(|peer| *peer != own_address).map(|peer| (peer, None));
    let mut others: BTreeMap<String, Option<String>> = unnamed.collect();
    others.extend(by_name.into_iter().map(|(name, peer)| (peer, Some(name))));
    others
}
