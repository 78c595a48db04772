//! Claims that let a non-idempotent request run at most once.
//!
//! A submission with a non-idempotent request appends a claim of its request key to the log before
//! any of its tasks is sent, and starts only once it has read its own claim back with no earlier
//! claim of the same key before it. The log orders the claims of all entries, so at most one
//! submission of a key ever starts, whichever entries are paused, cut off or replaced. A submission
//! that is proven not to have run appends a release, after which the key may be claimed again.
//!
//! The key contains the time at which the caller first created the request. A key older than the
//! claim window is refused, so claims may expire with the log's retention, which must be longer.

use crate::id::{Offset, SubmissionId};
use crate::job::TaskRequest;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Hash of team, service, job name and creation time.
pub type ClaimKey = u128;

/// Key of the job `job` that its caller created `created` after the Unix epoch.
pub fn claim_key(team: &str, service: &str, job: &str, created: Duration) -> ClaimKey {
    let mut hasher = Xxh3::new();
    for part in [team, service, job] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&created.as_millis().to_le_bytes());
    hasher.digest128()
}

/// Digest of what a job asks for, to tell a resubmission from another job under its key.
pub fn content_digest(tasks: &[TaskRequest]) -> u64 {
    let mut hasher = Xxh3::new();
    for task in tasks {
        for part in [task.request_name.as_bytes(), &task.payload] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
    }
    hasher.digest()
}

/// One entry of a record in the claim stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// `submission` wants to be the one that runs `key`.
    Claim {
        /// Request key.
        key: ClaimKey,
        /// Submission that claims it.
        submission: SubmissionId,
    },
    /// `submission` did not run and never will.
    Release {
        /// Request key.
        key: ClaimKey,
        /// Submission that had claimed it.
        submission: SubmissionId,
    },
}

/// What reading a claim back decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// `submission` holds `key`.
    Won {
        /// Submission whose claim was read.
        submission: SubmissionId,
    },
    /// `holder` claimed the key first.
    Lost {
        /// Submission whose claim was read.
        submission: SubmissionId,
        /// Submission that holds the key.
        holder: SubmissionId,
    },
}

/// Folds the claim stream.
#[derive(Debug)]
pub struct ClaimLedger {
    window: Duration,
    next: Offset,
    holders: HashMap<ClaimKey, SubmissionId>,
    expiries: VecDeque<(Duration, ClaimKey, SubmissionId)>,
}

impl ClaimLedger {
    /// Ledger that remembers a claim for `window` after reading it.
    pub fn new(window: Duration) -> Self {
        Self { window, next: 0, holders: HashMap::new(), expiries: VecDeque::new() }
    }

    /// Offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of claims remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Submission that holds `key`.
    pub fn holder(&self, key: ClaimKey) -> Option<SubmissionId> {
        self.holders.get(&key).copied()
    }

    /// Takes note that the log no longer holds records below `earliest`.
    pub fn note_earliest(&mut self, earliest: Offset) {
        self.next = self.next.max(earliest);
    }

    /// Folds the record at `offset` and returns a verdict for each claim in it.
    pub fn apply(
        &mut self,
        offset: Offset,
        steps: &[ClaimStep],
        now: Duration,
    ) -> Vec<ClaimVerdict> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        self.expire(now);
        steps.iter().filter_map(|&step| self.fold(step, now)).collect()
    }

    fn fold(&mut self, step: ClaimStep, now: Duration) -> Option<ClaimVerdict> {
        match step {
            ClaimStep::Claim { key, submission } => {
                let holder = *self.holders.entry(key).or_insert(submission);
                if holder != submission {
                    return Some(ClaimVerdict::Lost { submission, holder });
                }
                self.expiries.push_back((now + self.window, key, submission));
                Some(ClaimVerdict::Won { submission })
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
