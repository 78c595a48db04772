//! Gap detection: finds missing records in the audit log stream.

use crate::id::{EntryName, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Record of the audit log stream, reduced to its sequence numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuditedRecord {
    /// The incarnation started.
    Opened,
    /// Sequence numbers of one batch.
    Numbers(Vec<u64>),
    /// The incarnation shut down gracefully and uses no number from this one on.
    Closed(u64),
}

/// How the records of one incarnation end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceEnd {
    /// With a closing record, which states the number after the last record.
    Closed,
    /// Without a closing record: the incarnation still runs, or it crashed and may have lost its
    /// last records.
    Open {
        /// Sequence number after the last one seen.
        next: u64,
    },
}

/// Completeness of the records of one incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncarnationReport {
    /// Name of the entry.
    pub entry: EntryName,
    /// Incarnation that appended the records.
    pub incarnation: Incarnation,
    /// Ranges of missing sequence numbers, in ascending order.
    pub gaps: Vec<Range<u64>>,
    /// Whether the records end with a closing record.
    pub end: SequenceEnd,
    /// Whether the opening record was seen; if not, earlier records may have expired.
    pub is_opened: bool,
}

#[derive(Debug, Default)]
struct SeenRecords {
    is_opened: bool,
    numbers: BTreeSet<u64>,
    closed: Option<u64>,
}

/// Collects the sequence numbers of the audit log stream and reports gaps for each incarnation.
#[derive(Debug, Default)]
pub struct GapDetector {
    seen: BTreeMap<(EntryName, Incarnation), SeenRecords>,
}

impl GapDetector {
    /// Creates a detector that has seen no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes one record of the stream.
    ///
    /// For [`AuditedRecord::Numbers`], returns for each number whether it is new: a batch whose
    /// confirmation was lost appears in the stream twice. For other records, returns no values.
    pub fn record(
        &mut self,
        entry: &EntryName,
        incarnation: Incarnation,
        record: &AuditedRecord,
    ) -> Vec<bool> {
        let seen = self.seen.entry((entry.clone(), incarnation)).or_default();
        match record {
            AuditedRecord::Opened => seen.is_opened = true,
            AuditedRecord::Closed(next) => seen.closed = Some(*next),
            AuditedRecord::Numbers(numbers) => {
                return numbers.iter().map(|number| seen.numbers.insert(*number)).collect();
            }
        }
        Vec::new()
    }

    /// Completeness report for each incarnation seen.
    pub fn reports(&self) -> Vec<IncarnationReport> {
        let reports = self.seen.iter().map(|((entry, incarnation), seen)| {
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
        reports.collect()
    }
}

/// Ranges of numbers below `next` that are not in `numbers`.
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
