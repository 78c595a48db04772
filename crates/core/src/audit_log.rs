//! Accounts of refusals and failures on their way to the log.
//!
//! Every answer other than a whole one becomes a [`RefusalRecord`] with a number that counts up
//! without holes for each incarnation of an entry. Records wait in a bounded book, leave in batches
//! and are dropped only once the log has confirmed the batch. A batch whose answer was lost is
//! appended again with the same numbers. A reader therefore finds every loss as a hole in the
//! numbers, or as an incarnation without a closing record.

mod gaps;

pub use gaps::{AuditedRecord, GapDetector, IncarnationReport, SequenceEnd};

use crate::error::JobError;
use crate::id::{JobName, ServiceName, SubmissionId, TeamName, Version};
use std::collections::VecDeque;
use std::time::Duration;

/// Account of one answer that was not a whole one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalRecord {
    /// Number within the incarnation, from 0.
    pub sequence: u64,
    /// Wall clock of the answer since the Unix epoch.
    pub wall: Duration,
    /// Submission answered.
    pub submission: SubmissionId,
    /// Name that the caller gave to the job.
    pub job: JobName,
    /// Team as the caller stated it.
    pub team: TeamName,
    /// Service as the caller stated it.
    pub service: ServiceName,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Kind, proof and figures of the answer.
    pub error: JobError,
    /// Configuration version in force at the entry.
    pub version: Version,
}

/// Records that leave in one append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalBatch {
    /// Records in the order of their numbers.
    pub records: Vec<RefusalRecord>,
}

/// One record of the account stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuditLogRecord {
    /// The incarnation started; its numbers start at 0.
    Opened,
    /// Answers accounted for.
    Batch(RefusalBatch),
    /// The incarnation stopped as planned and will use no number from `next` on.
    Closed {
        /// Number after the last one used.
        next: u64,
    },
}

/// Where the book stands with the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BookPhase {
    Opening,
    Open,
    Closing,
    Closed,
}

/// Bounded book of records that the log has not confirmed.
#[derive(Debug)]
pub struct RefusalBuffer {
    records: VecDeque<RefusalRecord>,
    capacity: usize,
    batch: usize,
    next: u64,
    dropped: u64,
    in_flight: Option<InFlight>,
    phase: BookPhase,
}

/// What the append under way would confirm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InFlight {
    Opened,
    Through(u64),
    Closed,
}

impl RefusalBuffer {
    /// Book of at most `capacity` records that leave in batches of at most `batch`.
    pub fn new(capacity: usize, batch: usize) -> Self {
        Self {
            records: VecDeque::new(),
            capacity: capacity.max(1),
            batch: batch.max(1),
            next: 0,
            dropped: 0,
            in_flight: None,
            phase: BookPhase::Opening,
        }
    }

    /// Number that the next record will have.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Records dropped because the book was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records that the log has not confirmed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the log has confirmed every record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record and numbers it; returns whether an older one was dropped for it.
    pub fn add(&mut self, record: RefusalRecord) -> bool {
        let is_full = self.records.len() == self.capacity;
        if is_full {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(RefusalRecord { sequence: self.next, ..record });
        self.next += 1;
        is_full
    }

    /// Asks for a closing record once every record is confirmed.
    pub fn close(&mut self) {
        self.phase = BookPhase::Closing;
    }

    /// Whether the closing record stands in the log.
    pub fn is_closed(&self) -> bool {
        self.phase == BookPhase::Closed
    }

    /// Whether a step waits and none is under way.
    pub fn has_append(&self) -> bool {
        let is_due = match self.phase {
            BookPhase::Opening | BookPhase::Closing => true,
            BookPhase::Open | BookPhase::Closed => !self.records.is_empty(),
        };
        is_due && self.in_flight.is_none()
    }

    /// Step to append now; `None` while one is under way or nothing waits.
    pub fn start_append(&mut self) -> Option<AuditLogRecord> {
        if self.in_flight.is_some() {
            return None;
        }
        if self.phase == BookPhase::Opening {
            self.in_flight = Some(InFlight::Opened);
            return Some(AuditLogRecord::Opened);
        }
        if let Some(last) = self.records.iter().take(self.batch).next_back() {
            self.in_flight = Some(InFlight::Through(last.sequence));
            let records = self.records.iter().take(self.batch).cloned().collect();
            return Some(AuditLogRecord::Batch(RefusalBatch { records }));
        }
        if self.phase == BookPhase::Closing {
            self.in_flight = Some(InFlight::Closed);
            return Some(AuditLogRecord::Closed { next: self.next });
        }
        None
    }

    /// Takes note that the step under way stands in the log.
    pub fn confirm(&mut self) {
        match self.in_flight.take() {
            Some(InFlight::Opened) if self.phase == BookPhase::Opening => {
                self.phase = BookPhase::Open;
            }
            Some(InFlight::Through(last)) => self.remove_through(last),
            Some(InFlight::Closed) => self.phase = BookPhase::Closed,
            _ => {}
        }
    }

    /// Takes note that the log did not confirm the step under way; it leaves again.
    pub fn retry(&mut self) {
        self.in_flight = None;
    }

    fn remove_through(&mut self, last: u64) {
        while self.records.front().is_some_and(|record| record.sequence <= last) {
            self.records.pop_front();
        }
    }
}
