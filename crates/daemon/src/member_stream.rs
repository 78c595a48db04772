//! Reads of the member stream, in which entries announce themselves.

use crate::error::DaemonError;
use crate::interfaces::{LogPage, LogStore, MAX_RECORDS_PER_READ};
use error_stack::Report;
use parsleyspool_core::member::MemberLedger;
use parsleyspool_wire::record::{MEMBER_STREAM, decode_member};
use std::collections::BTreeMap;
use std::time::Duration;

/// Peer addresses of entries, by entry name.
pub(crate) type EntryAddresses = BTreeMap<String, String>;

/// Reads the next page after `ledger`, waiting up to `wait` for a record.
///
/// # Errors
/// Fails if the log does not answer.
pub(crate) async fn read_page(
    log: &dyn LogStore,
    ledger: &MemberLedger,
    wait: Duration,
) -> Result<LogPage, Report<DaemonError>> {
    log.read(MEMBER_STREAM, ledger.next_offset(), MAX_RECORDS_PER_READ, wait).await
}

/// Applies a page to `ledger`, past records that cannot be decoded; returns whether the members
/// changed.
pub(crate) fn apply_page(ledger: &mut MemberLedger, page: &LogPage) -> bool {
    ledger.skip_to(page.earliest);
    let mut is_changed = false;
    for (offset, bytes) in &page.records {
        match decode_member(bytes) {
            Ok(record) => is_changed |= ledger.apply(*offset, record),
            Err(_) => ledger.skip(*offset),
        }
    }
    is_changed
}

/// Addresses of the members in `ledger`.
pub(crate) fn addresses(ledger: &MemberLedger) -> EntryAddresses {
    let addresses = ledger.addresses().into_iter();
    addresses.map(|(name, address)| (name.to_string(), address.to_string())).collect()
}

/// Reads all records that the log retains and returns the members.
///
/// # Errors
/// Fails if the log does not answer.
pub(crate) async fn read_members(
    log: &dyn LogStore,
) -> Result<EntryAddresses, Report<DaemonError>> {
    let mut ledger = MemberLedger::new();
    loop {
        let page = read_page(log, &ledger, Duration::ZERO).await?;
        apply_page(&mut ledger, &page);
        if page.records.is_empty() || ledger.next_offset() >= page.end {
            return Ok(addresses(&ledger));
        }
    }
}
