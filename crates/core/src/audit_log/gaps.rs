//! Audit of the account stream: what is there, and what is missing.

use crate::id::{EntryName, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// What one record of the account stream says of its incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuditedRecord {
    /// It started.
    Opened,
    /// It accounted for these numbers.
    Numbers(Vec<u64>),
    /// It stopped as planned and used no number from this one on.
    Closed(u64),
}

/// How the accounts of one incarnation end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceEnd {
    /// With a closing record; nothing is missing after it.
    Closed,
    /// Without one: it still runs, or died and may have lost its last records.
    Open {
        /// Number after the last one seen.
        next: u64,
    },
}

/// Accounts of one incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncarnationReport {
    /// Name of the entry.
    pub entry: EntryName,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Numbers that are missing.
    pub gaps: Vec<Range<u64>>,
    /// How the accounts end.
    pub end: SequenceEnd,
    /// Whether the opening record was seen; without it, earlier records may have expired.
    pub is_opened: bool,
}

#[derive(Debug, Default)]
struct SeenNumbers {
    is_opened: bool,
    numbers: BTreeSet<u64>,
    closed: Option<u64>,
}

/// Folds the account stream.
#[derive(Debug, Default)]
pub struct GapDetector {
    seen: BTreeMap<(EntryName, Incarnation), SeenNumbers>,
}

impl GapDetector {
    /// Audit of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one step; returns, for [`AuditedRecord::Numbers`], which of them are new.
    pub fn record(
        &mut self,
        entry: &EntryName,
        incarnation: Incarnation,
        step: &AuditedRecord,
    ) -> Vec<bool> {
        let seen = self.seen.entry((entry.clone(), incarnation)).or_default();
        match step {
            AuditedRecord::Opened => seen.is_opened = true,
            AuditedRecord::Closed(next) => seen.closed = Some(*next),
            AuditedRecord::Numbers(numbers) => {
                return numbers.iter().map(|number| seen.numbers.insert(*number)).collect();
            }
        }
        Vec::new()
    }

    /// Result for each incarnation.
    pub fn reports(&self) -> Vec<IncarnationReport> {
        let audits = self.seen.iter().map(|((entry, incarnation), seen)| {
            let next = seen.numbers.last().map_or(0, |last| last + 1);
            let end = match seen.closed {
                Some(_) => SequenceEnd::Closed,
                None => SequenceEnd::Open { next },
            };
            IncarnationReport {
                entry: entry.clone(),
                incarnation: *incarnation,
                gaps: gaps(&seen.numbers, seen.closed.unwrap_or(next)),
                end,
                is_opened: seen.is_opened,
            }
        });
        audits.collect()
    }
}

/// Numbers below `next` that are not in `numbers`.
fn gaps(numbers: &BTreeSet<u64>, next: u64) -> Vec<Range<u64>> {
    let mut gaps = Vec::new();
    let mut expected = 0;
    for &number in numbers {
        if number > expected {
            gaps.push(expected..number);
        }
        expected = number + 1;
    }
    if expected < next {
        gaps.push(expected..next);
    }
    gaps
}
