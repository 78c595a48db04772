//! The log, the operators and the talk between entries.

use super::*;

impl World {
    pub(super) fn operate_some(&mut self, which: u8) {
        let domain: Arc<str> = format!("d{}", usize::from(which / 4) % DOMAINS).into();
        let server: Arc<str> = format!("a{}", usize::from(which / 4) % AGENTS).into();
        let change = match which % 4 {
            0 => ConfigChange::SetDomainAvailability {
                domain,
                availability: DomainAvailability::OutOfService,
            },
            1 => ConfigChange::SetDomainAvailability {
                domain,
                availability: DomainAvailability::InService,
            },
            2 => ConfigChange::LeaveServer { server },
            _ => ConfigChange::RejoinServer { server },
        };
        if !self.is_log_away {
            self.operate(change);
        }
    }

    pub(super) fn operate(&mut self, change: ConfigChange) {
        let subject = change.subject();
        let base = self.operators.configuration().subject_version(&subject);
        // A second operator races with what the first one saw.
        let is_racing = self.next_change.is_multiple_of(7) && subject != ConfigSubject::Electorate;
        let base = if is_racing { base.saturating_sub(1) } else { base };
        let id = self.next_change;
        self.next_change += 1;
        let record = ChangeRecord { id, operator: "o".to_owned(), base, change };
        self.append_config(ConfigRecord::Change(record));
    }

    pub(super) fn append_config(&mut self, record: ConfigRecord) {
        let offset = self.config.len() as u64;
        self.operators.apply(offset, record.clone());
        self.config.push(record);
    }

    pub(super) fn toggle_log(&mut self, which: u8) {
        match usize::from(which) % (ENTRIES + 1) {
            0 => self.is_log_away = !self.is_log_away,
            other => {
                let entry = &mut self.entries[other - 1];
                entry.is_cut_off = !entry.is_cut_off;
            }
        }
    }

    pub(super) fn is_cut_off(&self, entry: usize) -> bool {
        self.is_log_away || self.entries[entry].is_cut_off
    }

    pub(super) fn read(&mut self, entry: usize) {
        if self.is_cut_off(entry) || self.entries[entry].is_paused {
            return;
        }
        let requested_at = self.now - self.entries[entry].born;
        self.entries[entry].reads += 1;
        if self.fault == PlantedFault::LedgerReset && self.entries[entry].reads.is_multiple_of(4) {
            let old = self.config.first().cloned().expect("a first record");
            let mut ledger = ConfigLedger::new();
            ledger.apply(0, old);
            let version = ledger.configuration().version;
            let event = TimelineEvent::new(EventKind::ConfigApplied);
            self.note_entry(entry, event.field(EventField::Version(version)));
        }
        let from = self.entries[entry].machine.ledger().next_offset().max(self.config_earliest);
        let records = (from..).zip(self.config[from as usize..].iter().cloned());
        let read = StreamRead {
            records: records.collect(),
            earliest: self.config_earliest,
            is_end: true,
            requested_at,
        };
        self.tell_entry(entry, EntryEvent::ConfigRead(read));
        let from = self.entries[entry].machine.next_claim_offset();
        let records = (from..).zip(self.claims[from as usize..].iter().cloned());
        let records = records.map(|(offset, steps)| (offset, self.visible_claims(entry, steps)));
        let read =
            StreamRead { records: records.collect(), earliest: 0, is_end: true, requested_at };
        self.tell_entry(entry, EntryEvent::ClaimsRead(read));
    }

    /// Claims that a read returns; the planted fault hides those of other entries.
    pub(super) fn visible_claims(&self, entry: usize, steps: Vec<ClaimStep>) -> Vec<ClaimStep> {
        if self.fault != PlantedFault::ClaimsForgotten {
            return steps;
        }
        let own = self.entries[entry].machine.identity().incarnation;
        let is_own = |step: &ClaimStep| match step {
            ClaimStep::Claim { submission, .. } | ClaimStep::Release { submission, .. } => {
                submission >> 64 == u128::from(own)
            }
        };
        steps.into_iter().filter(is_own).collect()
    }

    pub(super) fn talk(&mut self, asker: usize, other: usize) {
        let is_frozen = self.entries[asker].is_paused || self.entries[other].is_paused;
        if asker == other || is_frozen {
            return;
        }
        let requested_at = self.now - self.entries[asker].born;
        let now = self.moment(self.entries[other].born);
        let machine = &self.entries[other].machine;
        let report = machine.peer_report(now);
        let team_load = machine.team_load().iter();
        let team_load = team_load.map(|(team, open)| (team.clone(), *open)).collect();
        let held = self.entries[asker].machine.ledger().configuration().version;
        let snapshot = machine.ledger().snapshot().filter(|_| report.version > held);
        if let Some(snapshot) = snapshot {
            self.tell_entry(asker, EntryEvent::PeerSnapshot(snapshot));
        }
        self.tell_entry(asker, EntryEvent::PeerReported { report, team_load, requested_at });
    }

    pub(super) fn trim(&mut self) {
        if let Some(snapshot) = self.operators.snapshot().filter(|_| !self.is_log_away) {
            self.append_config(ConfigRecord::Snapshot(snapshot));
            self.config_earliest = self.config.len() as u64 - 1;
        }
    }
}
