//! Audit log of refusals and failures: the records and the buffer that appends them to the log.
//!
//! Every answer that is not a complete result becomes a [`RefusalRecord`]. Its sequence number
//! starts at 0 for each incarnation of an entry and increases without gaps. A bounded
//! [`RefusalBuffer`] appends the records in batches and removes a batch only after the log has
//! confirmed it. If the confirmation is lost, the batch is appended again with the same numbers.
//! A full buffer drops its oldest record. A reader therefore detects every loss as a gap in the
//! numbers or as an incarnation without a closing record.

mod gaps;

pub use gaps::{AuditedRecord, GapDetector, IncarnationReport, SequenceEnd};

use crate::error::JobError;
use crate::id::{JobName, ServiceName, SubmissionId, TeamName, Version};
use std::collections::VecDeque;
use std::time::Duration;

/// Audit record of one refused or failed submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalRecord {
    /// Sequence number within the incarnation, from 0; assigned by [`RefusalBuffer::add`].
    pub sequence: u64,
    /// Wall-clock time of the answer since the Unix epoch.
    pub wall: Duration,
    /// Submission that was refused or failed.
    pub submission: SubmissionId,
    /// Job name chosen by the caller.
    pub job: JobName,
    /// Team named in the request; it may be unknown to the configuration.
    pub team: TeamName,
    /// Service named in the request; it may be unknown to the configuration.
    pub service: ServiceName,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Error kind, run status and limit details sent to the caller.
    pub error: JobError,
    /// Configuration version at the entry when it answered.
    pub version: Version,
}

/// Refusal records appended to the log in one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalBatch {
    /// Records in the order of their sequence numbers.
    pub records: Vec<RefusalRecord>,
}

/// Record of the audit log stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuditLogRecord {
    /// The incarnation started; its numbers start at 0.
    Opened,
    /// Refusals and failures.
    Batch(RefusalBatch),
    /// The incarnation shut down gracefully and uses no number from `next` on.
    Closed {
        /// Number after the last one used.
        next: u64,
    },
}

/// Progress of the buffer through the opening record, the batches and the closing record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BufferPhase {
    Opening,
    Open,
    Closing,
    Closed,
}

/// Bounded buffer of refusal records that the log has not confirmed.
///
/// At most one append is in flight at a time.
#[derive(Debug)]
pub struct RefusalBuffer {
    records: VecDeque<RefusalRecord>,
    capacity: usize,
    max_batch: usize,
    next_sequence: u64,
    dropped: u64,
    in_flight: Option<InFlight>,
    phase: BufferPhase,
}

/// Content of the append in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InFlight {
    Opened,
    Through(u64),
    Closed,
}

impl RefusalBuffer {
    /// Creates a buffer of at most `capacity` records, appended in batches of at most `max_batch`.
    pub fn new(capacity: usize, max_batch: usize) -> Self {
        Self {
            records: VecDeque::new(),
            capacity: capacity.max(1),
            max_batch: max_batch.max(1),
            next_sequence: 0,
            dropped: 0,
            in_flight: None,
            phase: BufferPhase::Opening,
        }
    }

    /// Sequence number of the next record.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Number of records dropped because the buffer was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Number of buffered records, which the log has not confirmed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the log has confirmed every record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record and assigns its sequence number; returns whether the oldest one was dropped.
    pub fn add(&mut self, record: RefusalRecord) -> bool {
        let is_full = self.records.len() == self.capacity;
        if is_full {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(RefusalRecord { sequence: self.next_sequence, ..record });
        self.next_sequence += 1;
        is_full
    }

    /// Requests that a closing record is appended once every record is confirmed.
    pub fn close(&mut self) {
        self.phase = BufferPhase::Closing;
    }

    /// Whether the log has confirmed the closing record.
    pub fn is_closed(&self) -> bool {
        self.phase == BufferPhase::Closed
    }

    /// Whether there is something to append and no append is in flight.
    pub fn has_append(&self) -> bool {
        let has_pending = match self.phase {
            BufferPhase::Opening | BufferPhase::Closing => true,
            BufferPhase::Open | BufferPhase::Closed => !self.records.is_empty(),
        };
        has_pending && self.in_flight.is_none()
    }

    /// Starts the next append; returns `None` if one is in flight or nothing is pending.
    ///
    /// The append stays in flight until [`Self::confirm`] or [`Self::retry`].
    pub fn start_append(&mut self) -> Option<AuditLogRecord> {
        if self.in_flight.is_some() {
            return None;
        }
        if self.phase == BufferPhase::Opening {
            self.in_flight = Some(InFlight::Opened);
            return Some(AuditLogRecord::Opened);
        }
        if let Some(last) = self.records.iter().take(self.max_batch).next_back() {
            self.in_flight = Some(InFlight::Through(last.sequence));
            let records = self.records.iter().take(self.max_batch).cloned().collect();
            return Some(AuditLogRecord::Batch(RefusalBatch { records }));
        }
        if self.phase == BufferPhase::Closing {
            self.in_flight = Some(InFlight::Closed);
            return Some(AuditLogRecord::Closed { next: self.next_sequence });
        }
        None
    }

    /// Records that the log has confirmed the append in flight.
    pub fn confirm(&mut self) {
        match self.in_flight.take() {
            Some(InFlight::Opened) if self.phase == BufferPhase::Opening => {
                self.phase = BufferPhase::Open;
            }
            Some(InFlight::Through(last)) => self.remove_through(last),
            Some(InFlight::Closed) => self.phase = BufferPhase::Closed,
            _ => {}
        }
    }

    /// Records that the log did not confirm the append in flight; its content is appended again.
    pub fn retry(&mut self) {
        self.in_flight = None;
    }

    fn remove_through(&mut self, last: u64) {
        while self.records.front().is_some_and(|record| record.sequence <= last) {
            self.records.pop_front();
        }
    }
}
