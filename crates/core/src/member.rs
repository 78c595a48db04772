//! Entries as they announce themselves in the log.
//!
//! An entry appends one record when it starts, one before its earlier record expires, and one when
//! it stops as planned. The log orders the records, so of two instances under one name the later
//! one counts, and a late record of an instance that is gone does not bring it back.

use crate::id::{EntryName, Incarnation, Offset, PeerAddress};
use std::collections::{BTreeMap, VecDeque};

/// What an entry announces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberStatus {
    /// It takes messages at this address.
    Present(PeerAddress),
    /// It stopped as planned.
    Left,
}

/// Record of the member stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the entry.
    pub entry: EntryName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// What it announces.
    pub status: MemberStatus,
}

/// Incarnations remembered as replaced.
const REPLACED_KEPT: usize = 1024;

/// Folds the member stream.
#[derive(Debug, Default)]
pub struct MemberLedger {
    next: Offset,
    members: BTreeMap<EntryName, (Incarnation, PeerAddress)>,
    replaced: VecDeque<Incarnation>,
}

impl MemberLedger {
    /// Ledger that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Takes note that the log no longer holds records below `earliest`.
    pub fn record_earliest(&mut self, earliest: Offset) {
        self.next = self.next.max(earliest);
    }

    /// Passes over a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    /// Folds the record at `offset`; returns whether the members changed.
    pub fn apply(&mut self, offset: Offset, record: MemberRecord) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        if self.replaced.contains(&record.incarnation) {
            return false;
        }
        match record.status {
            MemberStatus::Present(address) => self.enter(record.entry, record.incarnation, address),
            MemberStatus::Left => self.leave(&record.entry, record.incarnation),
        }
    }

    /// Address of each entry, by name.
    pub fn addresses(&self) -> BTreeMap<EntryName, PeerAddress> {
        let members = self.members.iter();
        members.map(|(name, (_, address))| (name.clone(), address.clone())).collect()
    }

    fn enter(&mut self, entry: EntryName, incarnation: Incarnation, address: PeerAddress) -> bool {
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

    fn leave(&mut self, entry: &EntryName, incarnation: Incarnation) -> bool {
        self.retire(incarnation);
        let is_present = self.members.get(entry).is_some_and(|(other, _)| *other == incarnation);
        is_present && self.members.remove(entry).is_some()
    }

    fn retire(&mut self, incarnation: Incarnation) {
        if self.replaced.len() == REPLACED_KEPT {
            self.replaced.pop_front();
        }
        self.replaced.push_back(incarnation);
    }
}
