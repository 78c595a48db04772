//! How long an agent acts on what entries told it of its failure domain.
//!
//! An entry that reads nothing from the log cannot know that the domain was taken out of service. It
//! states with each start and each directive how old the latest confirmation by the log is. Once that is
//! older than [`ConfirmationLimits::check_after`], an agent that can read the log checks its domain
//! itself before the next starts; until the confirmation is [`ConfirmationLimits::start_for`] old, these
//! do not wait for the result. If the log does not answer the agent either, starts go on: the log may be
//! unavailable to everyone, and then nobody can take a domain out of service. An agent that cannot read
//! the log starts nothing without a confirmation.

use super::{AgentAction, AgentMachine};
use crate::entry::StartRequest;
use crate::freshness::VersionConfirmation;
use crate::id::Version;
use crate::time::Moment;
use std::cmp::Ordering;
use std::time::Duration;

/// Longest time that a start waits for a check. A log that takes longer is slow or unavailable.
pub const CHECK_HOLD: Duration = Duration::from_millis(300);
/// Time from a failed check to the next one.
pub const CHECK_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which starts do not wait for a check after one has failed.
pub const CHECK_FAILURE_VALIDITY: Duration = Duration::from_secs(2);

/// Limits on starts without a recent confirmation of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmationLimits {
    /// Age of the latest confirmation from which on the agent checks the log itself.
    pub check_after: Duration,
    /// Age of the latest confirmation from which on a start waits for the check, or is refused by an
    /// agent that cannot read the log.
    pub start_for: Duration,
    /// Whether the agent can read the log.
    pub can_check: bool,
}

impl Default for ConfirmationLimits {
    /// Limits for entries that permit starts only with a confirmation, whose permits end sooner.
    fn default() -> Self {
        Self {
            check_after: Duration::from_secs(3),
            start_for: Duration::from_secs(3600),
            can_check: false,
        }
    }
}

/// Whether the failure domain of an agent is in service, as far as the log was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainReading {
    /// Version of the configuration up to which the log was read.
    pub version: Version,
    /// Whether tasks may start in the domain.
    pub is_in_service: bool,
}

/// Checks of the failure domain.
#[derive(Debug, Default)]
pub(super) struct DomainCheck {
    /// Start of the check in progress.
    pending_since: Option<Duration>,
    /// End of the latest check, if it failed.
    failed_at: Option<Duration>,
}

impl DomainCheck {
    /// Whether another check may begin.
    fn is_due(&self, now: Duration) -> bool {
        let is_retry_due = self.failed_at.is_none_or(|at| now >= at + CHECK_RETRY_DELAY);
        self.pending_since.is_none() && is_retry_due
    }

    /// Whether starts wait for the check in progress.
    fn holds_starts(&self, now: Duration) -> bool {
        let is_failing = self.failed_at.is_some_and(|at| now < at + CHECK_FAILURE_VALIDITY);
        self.pending_since.is_some_and(|since| now < since + CHECK_HOLD) && !is_failing
    }
}

/// What a confirmation, or the lack of one, means for a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartConfirmation {
    /// The start may go on.
    Sufficient,
    /// The start waits for the check in progress.
    Pending,
    /// The start is refused.
    Lapsed,
}

impl AgentMachine {
    /// Decides about a start by the latest confirmation of its version, and checks the log if that is
    /// too old.
    pub(super) fn confirm_start(
        &mut self,
        request: &StartRequest,
        now: Moment,
    ) -> StartConfirmation {
        let limits = self.limits.confirmation;
        let age = self.confirmation_age(request, now);
        if age < limits.check_after {
            return StartConfirmation::Sufficient;
        }
        if limits.can_check {
            self.check_domain(self.known_reading(request), now);
        }
        if age < limits.start_for {
            return StartConfirmation::Sufficient;
        }
        if !limits.can_check {
            return StartConfirmation::Lapsed;
        }
        if self.domain_check.holds_starts(now.elapsed) {
            return StartConfirmation::Pending;
        }
        StartConfirmation::Sufficient
    }

    /// Age of the latest confirmation of a version that is at least that of the start.
    fn confirmation_age(&self, request: &StartRequest, now: Moment) -> Duration {
        let stated = request.confirmation.map_or(Duration::ZERO, |stated| stated.age(now.elapsed));
        let held = self.directive.confirmation.age(now.elapsed);
        match self.directive.version.cmp(&request.version) {
            Ordering::Less => stated,
            Ordering::Equal => stated.min(held),
            Ordering::Greater => held,
        }
    }

    /// State of the domain by the latest version that the agent or the entry of the start knows. An
    /// entry starts tasks only in domains in service.
    fn known_reading(&self, request: &StartRequest) -> DomainReading {
        if self.directive.version < request.version {
            return DomainReading { version: request.version, is_in_service: true };
        }
        self.latest_reading()
    }

    fn latest_reading(&self) -> DomainReading {
        let directive = &self.directive;
        DomainReading { version: directive.version, is_in_service: directive.is_in_service }
    }

    /// Begins a check for changes after `known`, unless one is in progress or has just failed.
    fn check_domain(&mut self, known: DomainReading, now: Moment) {
        if self.domain_check.is_due(now.elapsed) {
            self.domain_check.pending_since = Some(now.elapsed);
            self.actions.push(AgentAction::CheckDomain(known));
        }
    }

    /// Takes the confirmation that a start states, if it is of the version that the agent has.
    pub(super) fn record_confirmation(&mut self, request: &StartRequest, now: Moment) {
        let stated = request.confirmation.filter(|_| request.version == self.directive.version);
        if let Some(stated) = stated {
            self.directive.confirmation = self.directive.confirmation.latest(stated, now.elapsed);
        }
    }

    /// Handles the end of a check that was sent at `sent_at`; `reading` is `None` if the log did
    /// not answer.
    pub(super) fn finish_check(
        &mut self,
        reading: Option<DomainReading>,
        sent_at: Duration,
        now: Moment,
    ) {
        self.domain_check.pending_since = None;
        self.domain_check.failed_at = reading.is_none().then_some(now.elapsed);
        if let Some(reading) = reading.filter(|reading| reading.version >= self.directive.version) {
            self.directive.version = reading.version;
            self.directive.is_in_service = reading.is_in_service;
            self.directive.is_from_log = true;
            self.directive.confirmation = VersionConfirmation::at(sent_at);
        }
        self.recheck_queue(now);
    }

    /// Checks a domain again that a check found out of service: no start comes that would do so.
    pub(super) fn recheck_domain(&mut self, now: Moment) {
        let age = self.directive.confirmation.age(now.elapsed);
        if self.is_out_by_log() && age >= self.limits.confirmation.check_after {
            self.check_domain(self.latest_reading(), now);
        }
    }

    /// Whether a check found the domain out of service, which the entries do not know yet.
    pub(super) fn is_out_by_log(&self) -> bool {
        self.directive.is_from_log && !self.directive.is_in_service
    }

    /// Records whether every start is refused for want of a confirmation.
    pub(super) fn update_unconfirmed(&mut self, now: Moment) {
        let limits = self.limits.confirmation;
        let age = self.directive.confirmation.age(now.elapsed);
        let is_known = self.directive.version > 0;
        self.is_unconfirmed = is_known && !limits.can_check && age >= limits.start_for;
    }
}
