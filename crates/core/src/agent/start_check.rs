//! Checks of a start, on its arrival and again right before the run, and its refusal.

use super::{AgentAction, AgentMachine};
use crate::entry::{NotStartedReason, StartRequest, TaskReply};
use crate::resources::ResourceAmounts;
use crate::time::Moment;

impl AgentMachine {
    /// Reply to this start if the outcome of the task is already stored.
    ///
    /// A start that ended without an answer may be sent here again with a higher attempt number,
    /// which an entry assigns only once it knows that the earlier start has ended.
    pub(super) fn stored_reply(&self, request: &StartRequest) -> Option<TaskReply> {
        let outcome = self.outcomes.get(request.task)?;
        let is_answered = matches!(outcome.reply, TaskReply::Done { .. });
        (is_answered || request.attempt <= outcome.attempt).then(|| outcome.reply.clone())
    }

    /// Why a start that arrives now is refused; `None` if it is accepted.
    ///
    /// A permit that lasts longer than outcomes are stored is refused, since a late copy of the
    /// start could then run the task again.
    pub(super) fn arrival_refusal_reason(
        &self,
        request: &StartRequest,
        now: Moment,
    ) -> Option<NotStartedReason> {
        if let Some(reason) = self.refusal_reason(request, now) {
            return Some(reason);
        }
        let latest_permit_end = now.elapsed + self.limits.outcome_retention;
        if now.elapsed >= request.permit_until || request.permit_until > latest_permit_end {
            return Some(NotStartedReason::PermitLapsed);
        }
        let load = self.load_slots().checked_add(request.demand.slots);
        let is_admitted = load.is_some_and(|load| load <= self.admission_slots());
        let is_full = !is_admitted || self.outcomes.is_full();
        is_full.then_some(NotStartedReason::Full)
    }

    /// Why a task must not be started now; `None` if it may be started. Checked on arrival and
    /// again immediately before the run.
    pub(super) fn refusal_reason(
        &self,
        request: &StartRequest,
        now: Moment,
    ) -> Option<NotStartedReason> {
        if self.is_draining || self.is_server_leaving || self.is_server_absent {
            return Some(NotStartedReason::Leaving);
        }
        if self.is_server_unresponsive {
            return Some(NotStartedReason::NoConnection);
        }
        if now.elapsed >= request.start_before {
            return Some(NotStartedReason::TooLate);
        }
        let no_load = ResourceAmounts::default();
        let is_oversized = !request.demand.fits(&self.limits.capacity, &no_load);
        if is_oversized || self.is_blocked() {
            return Some(NotStartedReason::Full);
        }
        let is_directive_current = self.directive.version >= request.version;
        if is_directive_current && self.directive.is_leaving {
            return Some(NotStartedReason::Leaving);
        }
        if is_directive_current && !self.directive.is_in_service {
            return Some(NotStartedReason::DomainOut);
        }
        let is_permitted = now.elapsed < request.permit_until
            || (is_directive_current && now.elapsed < self.directive.valid_until);
        let is_allowed = is_permitted && !self.is_unleased(request.task, now);
        (!is_allowed).then_some(NotStartedReason::PermitLapsed)
    }

    /// Refuses a start and, unless the outcome store is full, every later copy of it.
    pub(super) fn refuse(
        &mut self,
        request: &StartRequest,
        entry: &str,
        reason: NotStartedReason,
        now: Moment,
    ) {
        let task = request.task;
        self.record_refused(request, reason);
        let reply = TaskReply::NotStarted(reason);
        if !self.outcomes.is_full() {
            self.outcomes.store(task, request.attempt, reply.clone(), now.elapsed);
        }
        let load = self.load_for(entry);
        self.actions.push(AgentAction::ReplyToSender { reply, load });
    }
}
