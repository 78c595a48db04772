//! Fold of configuration records in the order of the log.

use super::{ChangeRecord, Configuration};
use crate::id::{ChangeId, Offset, Version};
use std::collections::VecDeque;

/// State republished so that its records may expire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// State folded from every record below `configuration.version`.
    pub configuration: Configuration,
}

/// Record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigRecord {
    /// An operator's change.
    Change(ChangeRecord),
    /// A republished state.
    Snapshot(ConfigSnapshot),
    /// A record that no reader can decode; every reader skips it.
    Unreadable,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force from this version on.
    Accepted {
        /// Version after the change.
        version: Version,
    },
    /// Another change of the same subject came first.
    Rejected {
        /// Version of the subject in force.
        current: Version,
    },
    /// The record changed nothing: a snapshot, or one already folded.
    Unchanged,
    /// The record waits for a snapshot that reaches back far enough.
    Buffered,
    /// Records between the state and this one are gone; a snapshot is needed.
    Gap,
}

/// Outcomes of changes remembered for operators who ask again.
const OUTCOMES_KEPT: usize = 4096;
/// Changes held while a snapshot is sought.
const HELD_MAX: usize = 65_536;

/// Folds the configuration stream.
#[derive(Debug, Default)]
pub struct ConfigLedger {
    configuration: Configuration,
    next: Offset,
    seeking: Option<HeldChanges>,
    outcomes: VecDeque<(ChangeId, ApplyOutcome)>,
    latest_snapshot: Option<Offset>,
}

/// Changes read before any usable snapshot.
#[derive(Debug, Default)]
struct HeldChanges {
    first: Offset,
    changes: Vec<(Offset, ChangeRecord)>,
}

impl ConfigLedger {
    /// Ledger that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Configuration folded so far.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Whether the state is whole; `false` while a snapshot is sought.
    pub fn is_complete(&self) -> bool {
        self.seeking.is_none()
    }

    /// Offset of the latest snapshot read.
    pub fn latest_snapshot(&self) -> Option<Offset> {
        self.latest_snapshot
    }

    /// What became of the change `id`, where it is remembered.
    pub fn outcome(&self, id: ChangeId) -> Option<&ApplyOutcome> {
        self.outcomes.iter().rev().find(|(other, _)| *other == id).map(|(_, outcome)| outcome)
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: ConfigRecord) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Unchanged;
        }
        self.skip_to(offset);
        self.next = offset + 1;
        match record {
            ConfigRecord::Change(change) => self.apply_change(offset, change),
            ConfigRecord::Snapshot(snapshot) => {
                self.latest_snapshot = Some(offset);
                self.install_snapshot(snapshot)
            }
            ConfigRecord::Unreadable => {
                self.advance();
                ApplyOutcome::Unchanged
            }
        }
    }

    /// Takes note that the log no longer holds records below `earliest`.
    pub fn skip_to(&mut self, earliest: Offset) {
        if earliest > self.next {
            self.seeking = Some(HeldChanges { first: earliest, changes: Vec::new() });
            self.next = earliest;
        }
    }

    /// Takes over a snapshot from the log or from another process.
    ///
    /// A snapshot that is not ahead of the state, or that leaves a gap before the changes held,
    /// changes nothing.
    pub fn install_snapshot(&mut self, snapshot: ConfigSnapshot) -> ApplyOutcome {
        let through = snapshot.configuration.version;
        let held = match &self.seeking {
            Some(held) if through < held.first => return ApplyOutcome::Gap,
            Some(_) => self.seeking.take().unwrap_or_default(),
            None if through <= self.configuration.version => {
                self.advance();
                return ApplyOutcome::Unchanged;
            }
            None => HeldChanges::default(),
        };
        self.configuration = snapshot.configuration;
        for (offset, change) in held.changes {
            if offset >= through {
                self.fold(offset, change);
            }
        }
        self.next = self.next.max(through);
        self.advance();
        ApplyOutcome::Accepted { version: self.configuration.version }
    }

    /// Snapshot of the state, to be republished; `None` while the state is not whole.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        let configuration = self.configuration.clone();
        self.is_complete().then_some(ConfigSnapshot { configuration })
    }

    fn apply_change(&mut self, offset: Offset, change: ChangeRecord) -> ApplyOutcome {
        match &mut self.seeking {
            Some(held) if held.changes.len() < HELD_MAX => {
                held.changes.push((offset, change));
                ApplyOutcome::Buffered
            }
            Some(held) => {
                held.changes.clear();
                held.first = offset + 1;
                ApplyOutcome::Gap
            }
            None => self.fold(offset, change),
        }
    }

    fn fold(&mut self, offset: Offset, record: ChangeRecord) -> ApplyOutcome {
        let subject = record.change.subject();
        let current = self.configuration.subject_version(&subject);
        let version = offset + 1;
        self.configuration.version = version;
        let outcome = if current == record.base {
            self.configuration.put(record.change);
            self.configuration.subjects.insert(subject, version);
            ApplyOutcome::Accepted { version }
        } else {
            ApplyOutcome::Rejected { current }
        };
        self.remember(record.id, outcome.clone());
        outcome
    }

    /// Keeps the first outcome of a change: a retried append stands in the log twice.
    fn remember(&mut self, id: ChangeId, outcome: ApplyOutcome) {
        if self.outcome(id).is_some() {
            return;
        }
        if self.outcomes.len() == OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((id, outcome));
    }

    /// A whole state is folded through every record read.
    fn advance(&mut self) {
        if self.seeking.is_none() {
            self.configuration.version = self.configuration.version.max(self.next);
        }
    }
}
