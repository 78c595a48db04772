//! Builds the configuration by applying the records of the log in order.

use super::{ChangeRecord, Configuration};
use crate::id::{ChangeId, Offset, Version};
use std::collections::VecDeque;

/// Configuration republished to the log so that older records may expire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// State after every record below offset `configuration.version`.
    pub configuration: Configuration,
}

/// Record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigRecord {
    /// A change made by an operator.
    Change(ChangeRecord),
    /// A republished configuration.
    Snapshot(ConfigSnapshot),
    /// A record that cannot be decoded; every reader skips it.
    Unreadable,
}

/// Effect of applying a record or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change or snapshot was applied.
    Accepted {
        /// Version of the configuration afterwards.
        version: Version,
    },
    /// The change was not applied, since another change of the same subject came first.
    Rejected {
        /// Current version of the subject, on which a new change must be based.
        current: Version,
    },
    /// Nothing changed: a snapshot that is not ahead, an unreadable record, or one already applied.
    Unchanged,
    /// The change is buffered until a snapshot covers the records before it.
    Buffered,
    /// Records between the state and this one are missing; a newer snapshot is needed.
    Gap,
}

/// Maximum number of change outcomes cached for operators who query them or retry an append.
const MAX_CACHED_OUTCOMES: usize = 4096;
/// Maximum number of changes buffered while a snapshot is missing; beyond it, all of them are
/// discarded.
const MAX_BUFFERED_CHANGES: usize = 65_536;

/// Configuration, built by replaying the configuration stream.
#[derive(Debug, Default)]
pub struct ConfigLedger {
    configuration: Configuration,
    next: Offset,
    /// `Some` while records are missing and no snapshot covers them.
    buffered_changes: Option<BufferedChanges>,
    outcomes: VecDeque<(ChangeId, ApplyOutcome)>,
    latest_snapshot: Option<Offset>,
}

/// Changes read while no usable snapshot has been found.
#[derive(Debug, Default)]
struct BufferedChanges {
    /// Offset from which no record is missing.
    first: Offset,
    changes: Vec<(Offset, ChangeRecord)>,
}

impl ConfigLedger {
    /// Creates a ledger that has read no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Current configuration; outdated unless [`Self::is_complete`].
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Whether the state includes every record read; `false` while a snapshot is missing.
    pub fn is_complete(&self) -> bool {
        self.buffered_changes.is_none()
    }

    /// Offset of the latest snapshot read from the log, or `None` if there was none.
    pub fn latest_snapshot(&self) -> Option<Offset> {
        self.latest_snapshot
    }

    /// Outcome of the change `id`, or `None` if it is unknown or no longer cached.
    pub fn outcome(&self, id: ChangeId) -> Option<&ApplyOutcome> {
        self.outcomes.iter().rev().find(|(other, _)| *other == id).map(|(_, outcome)| outcome)
    }

    /// Applies the record at `offset`.
    ///
    /// If records before `offset` are missing, changes are buffered until a snapshot covers them.
    pub fn apply(&mut self, offset: Offset, record: ConfigRecord) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Unchanged;
        }
        self.skip_to(offset);
        self.next = offset + 1;
        match record {
            ConfigRecord::Change(change) => self.apply_or_buffer(offset, change),
            ConfigRecord::Snapshot(snapshot) => {
                self.latest_snapshot = Some(offset);
                self.install_snapshot(snapshot)
            }
            ConfigRecord::Unreadable => {
                self.advance_version();
                ApplyOutcome::Unchanged
            }
        }
    }

    /// Skips the records below `earliest`, which the log no longer holds.
    ///
    /// If any of them has not been read, the state is incomplete until a snapshot is installed.
    pub fn skip_to(&mut self, earliest: Offset) {
        if earliest > self.next {
            self.buffered_changes = Some(BufferedChanges { first: earliest, changes: Vec::new() });
            self.next = earliest;
        }
    }

    /// Installs a snapshot from the log or from another process.
    ///
    /// A snapshot changes nothing if it is not ahead of the state, or if it leaves a gap before the
    /// buffered changes.
    pub fn install_snapshot(&mut self, snapshot: ConfigSnapshot) -> ApplyOutcome {
        let snapshot_version = snapshot.configuration.version;
        let buffered = match &self.buffered_changes {
            Some(buffered) if snapshot_version < buffered.first => return ApplyOutcome::Gap,
            Some(_) => self.buffered_changes.take().unwrap_or_default(),
            None if snapshot_version <= self.configuration.version => {
                self.advance_version();
                return ApplyOutcome::Unchanged;
            }
            None => BufferedChanges::default(),
        };
        self.configuration = snapshot.configuration;
        for (offset, change) in buffered.changes {
            if offset >= snapshot_version {
                self.apply_change(offset, change);
            }
        }
        self.next = self.next.max(snapshot_version);
        self.advance_version();
        ApplyOutcome::Accepted { version: self.configuration.version }
    }

    /// Snapshot of the state to republish; `None` while the state is incomplete.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        let configuration = self.configuration.clone();
        self.is_complete().then_some(ConfigSnapshot { configuration })
    }

    fn apply_or_buffer(&mut self, offset: Offset, change: ChangeRecord) -> ApplyOutcome {
        match &mut self.buffered_changes {
            Some(buffered) if buffered.changes.len() < MAX_BUFFERED_CHANGES => {
                buffered.changes.push((offset, change));
                ApplyOutcome::Buffered
            }
            Some(buffered) => {
                buffered.changes.clear();
                buffered.first = offset + 1;
                ApplyOutcome::Gap
            }
            None => self.apply_change(offset, change),
        }
    }

    fn apply_change(&mut self, offset: Offset, record: ChangeRecord) -> ApplyOutcome {
        let subject = record.change.subject();
        let current = self.configuration.subject_version(&subject);
        let version = offset + 1;
        self.configuration.version = version;
        let outcome = if current == record.base {
            self.configuration.apply(record.change);
            self.configuration.subject_versions.insert(subject, version);
            ApplyOutcome::Accepted { version }
        } else {
            ApplyOutcome::Rejected { current }
        };
        self.cache_outcome(record.id, outcome.clone());
        outcome
    }

    /// Caches the first outcome of a change only, since a retried append is in the log twice.
    fn cache_outcome(&mut self, id: ChangeId, outcome: ApplyOutcome) {
        if self.outcome(id).is_some() {
            return;
        }
        if self.outcomes.len() == MAX_CACHED_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((id, outcome));
    }

    /// Advances the version past records that change nothing; a complete state includes them.
    fn advance_version(&mut self) {
        if self.buffered_changes.is_none() {
            self.configuration.version = self.configuration.version.max(self.next);
        }
    }
}
