//! Polls of the worker: derives the state of each run from the listed runs, expired leases and
//! missing answers.

use super::{
    EndEvidence, EndedRow, FenceToken, IncarnationEnd, LeaseRenewal, PollAnswer, PollCall,
    PollNumber, RunAction, RunEnd, RunLedger, RunListing, RunPhase, RunningRow, SessionPhase,
    TrackedRun,
};
use crate::agent::RunResult;
use crate::entry::{InterruptCause, NotStartedReason};
use crate::id::TaskName;
use crate::time::Moment;
use bytes::Bytes;
use std::time::Duration;

/// Poll that a listing answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct PollOrigin {
    number: PollNumber,
    /// Fencing token that the poll carried.
    fence: Option<FenceToken>,
}

impl RunLedger {
    /// Polls the worker, which may wait up to `wait` for a run to end.
    pub(super) fn send_poll(&mut self, wait: Duration, now: Moment) {
        let Some(session) = &mut self.session else { return };
        self.last_poll += 1;
        session.open_polls.insert(self.last_poll, session.fence);
        let lease_until = if session.phase == SessionPhase::Ready {
            let renewal = session.renew_lease(&self.limits, self.run_deadline, now);
            self.record_renewal(renewal)
        } else {
            None
        };
        let Some(session) = &mut self.session else { return };
        session.acknowledged = session.last_seen;
        self.actions.push(RunAction::Poll(PollCall {
            number: self.last_poll,
            incarnation: session.incarnation.clone(),
            fence: session.fence,
            lease_until,
            last_seen: session.last_seen,
            wait,
        }));
    }

    /// End of the renewed lease, if it is renewed. Reports the first renewal that is withheld.
    fn record_renewal(&mut self, renewal: LeaseRenewal) -> Option<Duration> {
        let is_withheld = renewal == LeaseRenewal::Withheld;
        if is_withheld && !self.is_renewal_withheld {
            self.actions.push(RunAction::RenewalWithheld);
        }
        self.is_renewal_withheld = is_withheld;
        match renewal {
            LeaseRenewal::Until(until) => Some(until),
            LeaseRenewal::Withheld | LeaseRenewal::ClockUnknown => None,
        }
    }

    /// Keeps polls open until the server is ready, while runs are tracked, while the server is
    /// unresponsive, and until every recorded end is acknowledged.
    pub(super) fn refill_polls(&mut self, now: Moment) {
        let Some(session) = &self.session else { return };
        let is_poll_needed =
            matches!(session.phase, SessionPhase::Connecting | SessionPhase::StoppingOrphans)
                || !self.runs.is_empty()
                || self.is_unresponsive
                || session.acknowledged < session.last_seen;
        let wanted = if self.runs.is_empty() { 1 } else { self.limits.open_polls.max(1) };
        let is_connecting = session.phase == SessionPhase::Connecting;
        let missing = wanted.saturating_sub(session.open_polls.len());
        for _ in 0..if is_poll_needed { missing } else { 0 } {
            self.send_poll(if is_connecting { Duration::ZERO } else { self.limits.poll_wait }, now);
        }
    }

    pub(super) fn on_poll_answer(&mut self, number: PollNumber, answer: PollAnswer, now: Moment) {
        if answer != PollAnswer::Unanswered {
            self.record_answer(now);
        }
        let Some(session) = &mut self.session else { return };
        let Some(poll_fence) = session.open_polls.remove(&number) else { return };
        match answer {
            PollAnswer::Listing(listing) => {
                self.process_listing(&listing, PollOrigin { number, fence: poll_fence }, now);
            }
            PollAnswer::Fenced { clock } => {
                session.clock.update(clock, now.steady);
                self.on_poll_fenced(poll_fence, clock);
            }
            PollAnswer::OtherIncarnation => self.end_session(now),
            PollAnswer::Unanswered => {}
        }
    }

    pub(super) fn process_listing(&mut self, listing: &RunListing, poll: PollOrigin, now: Moment) {
        let Some(session) = &mut self.session else { return };
        if let Some(started_at) =
            listing.started_at.filter(|started_at| *started_at != session.incarnation.started_at)
        {
            self.restart_session(started_at, IncarnationEnd::Listed, now);
            return;
        }
        session.clock.update(listing.clock, now.steady);
        for row in &listing.ended {
            self.record_end(row, now);
        }
        self.stop_orphans(&listing.running);
        self.stop_stalled_runs(&listing.running, now);
        self.mark_unreadable_runs(&listing.unreadable);
        if !listing.is_truncated && self.is_token_accepted(poll) {
            self.finish_unlisted_runs(listing, poll.number, now);
        }
        self.advance_phase(&listing.running, listing.clock, poll.fence, now);
    }

    pub(super) fn record_end(&mut self, row: &EndedRow, now: Moment) {
        let Some(session) = &mut self.session else { return };
        if row.number <= session.last_seen {
            return;
        }
        session.last_seen = row.number;
        session.orphans.remove(&row.key);
        let Some(&task) = self.tasks_by_run.get(&row.key) else { return };
        let result = match row.end {
            RunEnd::Done => RunResult::Answered(Bytes::new()),
            RunEnd::Failed => RunResult::Failed,
            RunEnd::Interrupted => RunResult::Interrupted(InterruptCause::Stopped),
        };
        self.finish_run(task, result, EndEvidence::Listed, now);
    }

    /// Stops orphaned runs: the worker lists them, but this agent did not start them.
    pub(super) fn stop_orphans(&mut self, running: &[RunningRow]) {
        for row in running {
            let Some(session) = &mut self.session else { return };
            let is_known = self.tasks_by_run.contains_key(&row.key);
            if !is_known && session.fence.is_some() && session.orphans.insert(row.key.clone()) {
                self.send_stop(row.key.clone());
            }
        }
    }

    /// Stops runs without progress for the stall timeout.
    pub(super) fn stop_stalled_runs(&mut self, running: &[RunningRow], now: Moment) {
        for row in running {
            let Some(&task) = self.tasks_by_run.get(&row.key) else { continue };
            let Some(run) = self.runs.get_mut(&task) else { continue };
            let has_progressed = row.percent != run.percent;
            run.has_started = true;
            run.ended_by_restart = None;
            let progressed_at = *run.progressed_at.get_or_insert(now.elapsed);
            if has_progressed {
                run.percent = row.percent;
                run.progressed_at = Some(now.elapsed);
            } else if now.elapsed.saturating_sub(progressed_at) >= self.limits.stall_timeout {
                self.stop_run(task);
            }
        }
    }

    /// Whether the worker has accepted the current fencing token, so that it starts nothing for calls
    /// from before a restart.
    fn is_token_accepted(&self, poll: PollOrigin) -> bool {
        let current = self.session.as_ref().and_then(|session| session.fence);
        current.is_some() && poll.fence == current
    }

    /// Marks the runs of tasks with unreadable rows as started, since such a row may be theirs.
    fn mark_unreadable_runs(&mut self, unreadable: &[TaskName]) {
        for run in self.runs.values_mut() {
            run.has_started |= unreadable.contains(&run.key.task_name);
        }
    }

    /// Finishes runs whose start or stop was confirmed before the poll was sent and that the worker
    /// does not list, not even in a row that cannot be read. Either the stop arrived before the
    /// start, or they belonged to an earlier incarnation of the server.
    pub(super) fn finish_unlisted_runs(
        &mut self,
        listing: &RunListing,
        poll_number: PollNumber,
        now: Moment,
    ) {
        let is_unlisted = |run: &TrackedRun| {
            let is_confirmed = run.confirmed_after.is_some_and(|earlier| earlier < poll_number);
            let is_listed = listing.running.iter().any(|row| row.key == run.key)
                || listing.unreadable.contains(&run.key.task_name);
            is_confirmed && !is_listed
        };
        for task in self.tasks_matching(is_unlisted) {
            let result = self.runs.get(&task).map_or(NEVER_RECEIVED, unlisted_result);
            self.finish_run(task, result, EndEvidence::Unlisted, now);
        }
    }

    /// Finishes all runs after their lease has expired, except those that may yet start.
    pub(super) fn finish_expired_runs(&mut self, now: Moment) {
        let is_expired =
            |run: &TrackedRun| run.phase != RunPhase::Starting && !run.is_start_uncertain;
        for task in self.tasks_matching(is_expired) {
            let result = RunResult::Interrupted(InterruptCause::LeaseExpired);
            self.finish_run(task, result, EndEvidence::LeaseExpired, now);
        }
    }

    /// Records that the server answered.
    pub(super) fn record_answer(&mut self, now: Moment) {
        self.last_answer_at = now.elapsed;
        if std::mem::take(&mut self.is_unresponsive) {
            self.actions.push(RunAction::Responsive);
        }
    }

    /// Reports a server that has not answered for the silence timeout. Without runs, no answer is
    /// expected from a responsive server.
    pub(super) fn check_responsiveness(&mut self, now: Moment) {
        if self.runs.is_empty() && !self.is_unresponsive {
            self.last_answer_at = now.elapsed;
        }
        let silence = now.elapsed.saturating_sub(self.last_answer_at);
        if !self.is_unresponsive && silence >= self.limits.silence_timeout {
            self.is_unresponsive = true;
            self.actions.push(RunAction::Unresponsive);
        }
    }
}

/// Result of a run that the worker has neither started nor will start.
const NEVER_RECEIVED: RunResult = RunResult::Refused(NotStartedReason::NeverReceived);

/// Result of a run that the worker does not list although its start or stop was confirmed.
fn unlisted_result(run: &TrackedRun) -> RunResult {
    if let Some(cause) = run.ended_by_restart {
        RunResult::Interrupted(cause)
    } else if run.has_started {
        // If the run had ended in this incarnation, its end would be listed.
        RunResult::Interrupted(InterruptCause::Stopped)
    } else {
        NEVER_RECEIVED
    }
}
