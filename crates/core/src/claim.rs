//! Claims of idempotency keys, so that a non-idempotent request runs at most once.
//!
//! Before a submission with a non-idempotent request sends any of its tasks, it appends a claim of
//! its idempotency key to the log. It starts only after it has read its own claim back and found no
//! earlier claim of the same key. The log orders the claims of all entries, so at most one
//! submission per key ever starts, even if entries are paused, partitioned or replaced. If a
//! submission is known not to have run, its entry appends a release, and the key can be claimed
//! again.
//!
//! The key contains the time at which the caller first created the request. Keys older than the
//! claim window are refused, so claims may expire with the retention of the log, which must be
//! longer than the window.

use crate::id::{Offset, SubmissionId};
use crate::job::TaskGroup;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Idempotency key: 128-bit hash of team, service, job name and creation time.
pub type ClaimKey = u128;

/// Computes the idempotency key; `created` is the creation time since the Unix epoch.
pub fn claim_key(team: &str, service: &str, job: &str, created: Duration) -> ClaimKey {
    let mut hasher = Xxh3::new();
    for part in [team, service, job] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&created.as_millis().to_le_bytes());
    hasher.digest128()
}

/// Digest of the requests and payloads of a job.
///
/// It distinguishes a resubmission from a different job with the same idempotency key.
pub fn content_digest(groups: &[TaskGroup]) -> u64 {
    let mut hasher = Xxh3::new();
    for TaskGroup { task, count } in groups {
        hasher.update(&count.to_le_bytes());
        for part in [task.request_name.as_bytes(), &task.payload] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
    }
    hasher.digest()
}

/// Claim or release of an idempotency key; a record of the claim stream contains one or more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// `submission` claims `key`; the first claim in the log wins.
    Claim {
        /// Idempotency key.
        key: ClaimKey,
        /// Submission that claims the key.
        submission: SubmissionId,
    },
    /// `submission` releases `key`: it has not run and never will.
    Release {
        /// Idempotency key.
        key: ClaimKey,
        /// Submission that claimed the key.
        submission: SubmissionId,
    },
}

/// Outcome of a claim read back from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// `submission` holds the key.
    Won {
        /// Submission whose claim was read.
        submission: SubmissionId,
    },
    /// `holder` claimed the same key first.
    Lost {
        /// Submission whose claim was read.
        submission: SubmissionId,
        /// Submission that holds the key.
        holder: SubmissionId,
    },
}

/// Holders of idempotency keys, built by replaying the claim stream.
#[derive(Debug)]
pub struct ClaimLedger {
    window: Duration,
    next: Offset,
    holders: HashMap<ClaimKey, SubmissionId>,
    expiries: VecDeque<(Duration, ClaimKey, SubmissionId)>,
}

impl ClaimLedger {
    /// Creates a ledger that retains each claim for `window` after reading it.
    pub fn new(window: Duration) -> Self {
        Self { window, next: 0, holders: HashMap::new(), expiries: VecDeque::new() }
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of keys that are held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Submission that holds `key`, or `None` if it is free or its claim has expired.
    pub fn holder(&self, key: ClaimKey) -> Option<SubmissionId> {
        self.holders.get(&key).copied()
    }

    /// Skips the records below `earliest`, which the log no longer holds.
    pub fn skip_to(&mut self, earliest: Offset) {
        self.next = self.next.max(earliest);
    }

    /// Applies the record at `offset` and returns the outcome of each claim in it.
    ///
    /// A record that has already been applied changes nothing and returns no outcomes.
    pub fn apply(
        &mut self,
        offset: Offset,
        steps: &[ClaimStep],
        now: Duration,
    ) -> Vec<ClaimOutcome> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        self.expire(now);
        steps.iter().filter_map(|&step| self.apply_step(step, now)).collect()
    }

    fn apply_step(&mut self, step: ClaimStep, now: Duration) -> Option<ClaimOutcome> {
        match step {
            ClaimStep::Claim { key, submission } => {
                let holder = *self.holders.entry(key).or_insert(submission);
                if holder != submission {
                    return Some(ClaimOutcome::Lost { submission, holder });
                }
                self.expiries.push_back((now + self.window, key, submission));
                Some(ClaimOutcome::Won { submission })
            }
            ClaimStep::Release { key, submission } => {
                if self.holder(key) == Some(submission) {
                    self.holders.remove(&key);
                }
                None
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(at, key, submission)) = self.expiries.front() {
            if at > now {
                return;
            }
            self.expiries.pop_front();
            if self.holder(key) == Some(submission) {
                self.holders.remove(&key);
            }
        }
    }
}
