//! The log, the changes of operators and the polls between entries.

use super::*;

impl SimulatedCluster {
    pub(super) fn append_random_change(&mut self, choice: u8) {
        let domain: Arc<str> = format!("d{}", usize::from(choice / 4) % DOMAINS).into();
        let server: Arc<str> = format!("a{}", usize::from(choice / 4) % AGENTS).into();
        let change = match choice % 4 {
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
        if !self.is_log_down {
            self.append_change(change);
        }
    }

    pub(super) fn append_change(&mut self, change: ConfigChange) {
        let subject = change.subject();
        let base = self.operator_ledger.configuration().subject_version(&subject);
        // Every seventh change comes from an operator who has not seen the latest version.
        let is_stale =
            self.next_change_id.is_multiple_of(7) && subject != ConfigSubject::Electorate;
        let base = if is_stale { base.saturating_sub(1) } else { base };
        let id = self.next_change_id;
        self.next_change_id += 1;
        let record = ChangeRecord { id, operator: "o".to_owned(), base, change };
        self.append_config_record(ConfigRecord::Change(record));
    }

    pub(super) fn append_config_record(&mut self, record: ConfigRecord) {
        let offset = self.config.len() as u64;
        self.operator_ledger.apply(offset, record.clone());
        self.config.push(record);
    }

    pub(super) fn toggle_log_outage(&mut self, choice: u8) {
        match usize::from(choice) % (ENTRIES + 1) {
            0 => self.is_log_down = !self.is_log_down,
            other => {
                let entry = &mut self.entries[other - 1];
                entry.is_cut_off_from_log = !entry.is_cut_off_from_log;
            }
        }
    }

    pub(super) fn is_cut_off(&self, entry: usize) -> bool {
        self.is_log_down || self.entries[entry].is_cut_off_from_log
    }

    pub(super) fn read_log(&mut self, entry: usize) {
        if self.is_cut_off(entry) || self.entries[entry].is_paused {
            return;
        }
        let requested_at = self.now - self.entries[entry].epoch;
        self.entries[entry].read_count += 1;
        if self.fault == PlantedFault::LedgerReset
            && self.entries[entry].read_count.is_multiple_of(4)
        {
            let first_record = self.config.first().cloned().expect("the stream has a record");
            let mut ledger = ConfigLedger::new();
            ledger.apply(0, first_record);
            let version = ledger.configuration().version;
            let event = TimelineEvent::new(EventKind::ConfigApplied);
            self.record_entry_event(entry, event.field(EventField::Version(version)));
        }
        let from =
            self.entries[entry].machine.ledger().next_offset().max(self.earliest_config_offset);
        let records = (from..).zip(self.config[from as usize..].iter().cloned());
        let read = StreamRead {
            records: records.collect(),
            earliest: self.earliest_config_offset,
            is_end: true,
            requested_at,
        };
        self.handle_entry_event(entry, EntryEvent::ConfigRead(read));
        let from = self.entries[entry].machine.next_claim_offset();
        let records = (from..).zip(self.claims[from as usize..].iter().cloned());
        let records = records.map(|(offset, steps)| (offset, self.visible_claims(entry, steps)));
        let read =
            StreamRead { records: records.collect(), earliest: 0, is_end: true, requested_at };
        self.handle_entry_event(entry, EntryEvent::ClaimsRead(read));
    }

    /// Claims in `steps` that a read by `entry` returns; the planted fault hides those of other
    /// entries.
    pub(super) fn visible_claims(&self, entry: usize, steps: Vec<ClaimStep>) -> Vec<ClaimStep> {
        if self.fault != PlantedFault::ForeignClaimsHidden {
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

    pub(super) fn poll_peer(&mut self, requester: usize, peer: usize) {
        let is_either_paused = self.entries[requester].is_paused || self.entries[peer].is_paused;
        if requester == peer || is_either_paused {
            return;
        }
        let requested_at = self.now - self.entries[requester].epoch;
        let now = self.moment(self.entries[peer].epoch);
        let machine = &self.entries[peer].machine;
        let report = machine.peer_report(now);
        let team_load = machine.team_load().iter();
        let team_load = team_load.map(|(team, open)| (team.clone(), *open)).collect();
        let own_version = self.entries[requester].machine.ledger().configuration().version;
        let snapshot = machine.ledger().snapshot().filter(|_| report.version > own_version);
        if let Some(snapshot) = snapshot {
            self.handle_entry_event(requester, EntryEvent::PeerSnapshot(snapshot));
        }
        self.handle_entry_event(
            requester,
            EntryEvent::PeerReported { report, team_load, requested_at },
        );
    }

    pub(super) fn trim_log(&mut self) {
        if let Some(snapshot) = self.operator_ledger.snapshot().filter(|_| !self.is_log_down) {
            self.append_config_record(ConfigRecord::Snapshot(snapshot));
            self.earliest_config_offset = self.config.len() as u64 - 1;
        }
    }
}
