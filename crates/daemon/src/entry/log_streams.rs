//! Readers of the configuration and claim streams of the log, the encoding of records, and the ticker.

use super::actor::{EntryActor, HandleEvent, TickEntry};
use super::queries::QueryPosition;
use super::{EntryShared, TICK_INTERVAL};
use crate::interfaces::{LogPage, MAX_RECORDS_PER_READ};
use bytes::Bytes;
use parsleyspool_core::entry::{EntryEvent, StreamRead};
use parsleyspool_core::id::Offset;
use parsleyspool_wire::codec::CodecError;
use parsleyspool_wire::record::{CLAIM_STREAM, CONFIG_STREAM, decode_claims, decode_config};
use std::sync::Arc;
use std::time::Duration;
use xtra::Address;

/// Delay before a failed read is repeated.
pub(crate) const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the configuration stream until the actor stops.
///
/// The first read, and the first read after a failure, does not wait for new records at the end of
/// the stream, so the entry learns immediately that it has read everything.
pub(crate) async fn follow_config(address: Address<EntryActor>, shared: Arc<EntryShared>) {
    let mut wait = Duration::ZERO;
    while let Ok(position) = address.send(QueryPosition).await {
        let from = position.next_config_offset;
        let Some(read) = read_stream(&shared, CONFIG_STREAM, from, wait, decode_config).await
        else {
            wait = Duration::ZERO;
            tokio::time::sleep(READ_RETRY_DELAY).await;
            continue;
        };
        wait = shared.settings.log.wait;
        if address.send(HandleEvent(EntryEvent::ConfigRead(read))).await.is_err() {
            return;
        }
    }
}

/// Follows the claim stream until the actor stops.
pub(crate) async fn follow_claims(address: Address<EntryActor>, shared: Arc<EntryShared>) {
    let decode = |bytes: &[u8]| decode_claims(bytes).unwrap_or_default();
    let mut wait = Duration::ZERO;
    while let Ok(position) = address.send(QueryPosition).await {
        let Some(read) =
            read_stream(&shared, CLAIM_STREAM, position.next_claim_offset, wait, decode).await
        else {
            wait = Duration::ZERO;
            tokio::time::sleep(READ_RETRY_DELAY).await;
            continue;
        };
        wait = shared.settings.log.wait;
        if address.send(HandleEvent(EntryEvent::ClaimsRead(read))).await.is_err() {
            return;
        }
    }
}

/// Sends ticks to the actor until it stops.
pub(crate) async fn tick(address: Address<EntryActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(TickEntry).await.is_err() {
            return;
        }
    }
}

async fn read_stream<R>(
    shared: &EntryShared,
    stream: &'static str,
    from: Offset,
    wait: Duration,
    decode: impl Fn(&[u8]) -> R,
) -> Option<StreamRead<R>> {
    let requested_at = shared.interfaces.clock.now().elapsed;
    let page = match shared.interfaces.log.read(stream, from, MAX_RECORDS_PER_READ, wait).await {
        Ok(page) => page,
        Err(report) => {
            tracing::debug!(event = "read_failed", stream, error = %report);
            return None;
        }
    };
    if page.end < from {
        tracing::error!(event = "log_went_back", stream, from, end = page.end);
        return None;
    }
    let is_end = next_offset(&page, from) >= page.end;
    let records = page.records.iter();
    let records = records.map(|(offset, bytes): &(Offset, Bytes)| (*offset, decode(bytes)));
    Some(StreamRead { records: records.collect(), earliest: page.earliest, is_end, requested_at })
}

fn next_offset(page: &LogPage, from: Offset) -> Offset {
    let last = page.records.last().map(|(offset, _)| offset + 1);
    last.unwrap_or(from.max(page.earliest))
}

/// Bytes of a record; `None`, with a log line, if it could not be encoded.
pub(super) fn encoded_record(stream: &str, record: Result<Vec<u8>, CodecError>) -> Option<Bytes> {
    match record {
        Ok(bytes) => Some(Bytes::from(bytes)),
        Err(error) => {
            tracing::error!(event = "record_unwritable", stream, %error);
            None
        }
    }
}
