//! Membership of entries, replayed from the log.
//!
//! An entry appends one record when it starts, one before its previous record expires and one when
//! it stops as planned. The log orders the records, so the later of two instances with the same
//! name is the member, and a late record of a replaced instance has no effect.

use crate::id::{EntryName, Incarnation, Offset, PeerAddress};
use std::collections::{BTreeMap, VecDeque};

/// Status that an entry announces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStatus {
    /// The entry accepts messages at this address.
    Present(PeerAddress),
    /// The entry stopped as planned.
    Left,
}

/// Record of the member stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the entry, kept when the instance is replaced.
    pub entry: EntryName,
    /// Incarnation of the entry, new after each start.
    pub incarnation: Incarnation,
    /// Status from this record on.
    pub status: MemberStatus,
}

/// Maximum number of incarnations remembered as replaced or left.
const MAX_RETIRED: usize = 1024;

/// Members replayed from the member stream.
#[derive(Debug, Default)]
pub struct MemberLedger {
    next: Offset,
    members: BTreeMap<EntryName, (Incarnation, PeerAddress)>,
    retired: VecDeque<Incarnation>,
}

impl MemberLedger {
    /// Creates a ledger that has read no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Skips the records below `earliest`, which the log no longer holds.
    pub fn skip_to(&mut self, earliest: Offset) {
        self.next = self.next.max(earliest);
    }

    /// Skips the record at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    /// Applies the record at `offset`; returns whether the members changed.
    pub fn apply(&mut self, offset: Offset, record: MemberRecord) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        if self.retired.contains(&record.incarnation) {
            return false;
        }
        match record.status {
            MemberStatus::Present(address) => self.add(record.entry, record.incarnation, address),
            MemberStatus::Left => self.remove(&record.entry, record.incarnation),
        }
    }

    /// Address of each member, by entry name.
    pub fn addresses(&self) -> BTreeMap<EntryName, PeerAddress> {
        let members = self.members.iter();
        members.map(|(name, (_, address))| (name.clone(), address.clone())).collect()
    }

    fn add(&mut self, entry: EntryName, incarnation: Incarnation, address: PeerAddress) -> bool {
        let present = (incarnation, address);
        match self.members.insert(entry, present.clone()) {
            Some(before) => {
                if before.0 != incarnation {
                    self.retire(before.0);
                }
                before != present
            }
            None => true,
        }
    }

    fn remove(&mut self, entry: &EntryName, incarnation: Incarnation) -> bool {
        self.retire(incarnation);
        let is_present = self.members.get(entry).is_some_and(|(other, _)| *other == incarnation);
        is_present && self.members.remove(entry).is_some()
    }

    fn retire(&mut self, incarnation: Incarnation) {
        if self.retired.len() == MAX_RETIRED {
            self.retired.pop_front();
        }
        self.retired.push_back(incarnation);
    }
}
