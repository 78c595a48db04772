//! State of the configuration that an agent acts on.

use super::AgentMachine;
use crate::entry::AgentDirective;
use crate::freshness::VersionConfirmation;
use crate::id::Version;
use crate::time::Moment;
use std::time::Duration;

/// State of the configuration, from the latest directive with the highest version, which any entry may
/// have sent, or from a check of the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct LatestDirective {
    pub(super) version: Version,
    pub(super) is_in_service: bool,
    pub(super) is_leaving: bool,
    pub(super) valid_until: Duration,
    /// Latest confirmation of the version.
    pub(super) confirmation: VersionConfirmation,
    /// Whether the state of the failure domain is from a check of the log.
    pub(super) is_from_log: bool,
}

impl LatestDirective {
    /// State before the first directive.
    pub(super) fn initial() -> Self {
        Self {
            version: 0,
            is_in_service: true,
            is_leaving: false,
            valid_until: Duration::ZERO,
            confirmation: VersionConfirmation::at(Duration::ZERO),
            is_from_log: false,
        }
    }

    /// State after `directive`, the answer to a heartbeat sent at `sent_at`, whose version is not lower.
    fn updated(self, directive: &AgentDirective, sent_at: Duration, now: Duration) -> Self {
        let mut valid_until = sent_at + directive.valid_for;
        let told_age = directive.confirmed_age.unwrap_or_default();
        let mut confirmation = VersionConfirmation { told_at: sent_at, told_age };
        if directive.version == self.version {
            valid_until = self.valid_until.max(valid_until);
            confirmation = self.confirmation.latest(confirmation, now);
        }
        Self {
            version: directive.version,
            is_in_service: directive.is_in_service,
            is_leaving: directive.is_leaving,
            valid_until,
            confirmation,
            is_from_log: false,
        }
    }
}

impl AgentMachine {
    pub(super) fn apply(&mut self, directive: &AgentDirective, sent_at: Duration, now: Moment) {
        self.cancel_submissions(&directive.ended_submissions, now);
        if let Some(lease) = directive.run_lease {
            self.renewal_lead = lease.saturating_sub(directive.renewal_interval);
            self.extend_entry_lease(directive.entry_incarnation, sent_at + lease, now);
        }
        if directive.version < self.directive.version {
            return;
        }
        self.directive = self.directive.updated(directive, sent_at, now.elapsed);
        self.update_unconfirmed(now);
        self.recheck_queue(now);
    }
}
