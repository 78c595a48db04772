//! Looks at the runs: what the lists of the worker, or their absence, say of each.

use super::{
    EndedRow, HeldRun, LifePhase, PollAnswer, PollCall, PollNumber, RunAction, RunEnd, RunLedger,
    RunListing, RunPhase, RunningRow, fence_at,
};
use crate::agent::RunResult;
use crate::entry::NotStartedReason;
use crate::time::Moment;
use bytes::Bytes;
use std::time::Duration;

/// Ends that a worker lists in one answer at most; it may have more.
const MOST_ENDS: usize = 500;

impl RunLedger {
    /// Asks for the lists; waits for an end for up to `wait`.
    pub(super) fn look(&mut self, wait: Duration, now: Moment) {
        let Some(present) = &mut self.present else { return };
        self.next_hold += 1;
        present.holds.insert(self.next_hold);
        let is_settled = present.phase == LifePhase::Settled;
        present.told = present.last_seen;
        self.actions.push(RunAction::Poll(PollCall {
            number: self.next_hold,
            incarnation: present.incarnation.clone(),
            fence: present.fence,
            lease_until: is_settled.then(|| present.clock.lease(self.limits.lease, now.elapsed)),
            last_seen: present.last_seen,
            wait,
        }));
    }

    /// Keeps looks under way while something runs or an end was not told of.
    pub(super) fn look_on(&mut self, now: Moment) {
        let Some(present) = &self.present else { return };
        let is_open = matches!(present.phase, LifePhase::Greeting | LifePhase::Clearing)
            || !self.runs.is_empty()
            || self.is_silent
            || present.told < present.last_seen;
        let wanted = if self.runs.is_empty() { 1 } else { self.limits.open_polls.max(1) };
        let is_greeting = present.phase == LifePhase::Greeting;
        let missing = wanted.saturating_sub(present.holds.len());
        for _ in 0..if is_open { missing } else { 0 } {
            self.look(if is_greeting { Duration::ZERO } else { self.limits.poll_wait }, now);
        }
    }

    pub(super) fn take_hold(&mut self, number: PollNumber, answer: PollAnswer, now: Moment) {
        if answer != PollAnswer::Unanswered {
            self.hear(now);
        }
        let Some(present) = &mut self.present else { return };
        if !present.holds.remove(&number) {
            return;
        }
        match answer {
            PollAnswer::Listing(listing) => self.take_listing(listing, number, now),
            PollAnswer::Fenced { clock } => {
                present.clock.note(clock, now.elapsed);
                present.fence = Some(fence_at(clock));
                present.phase = LifePhase::Greeting;
            }
            PollAnswer::OtherLife => self.end_life(now),
            PollAnswer::Unanswered => {}
        }
    }

    pub(super) fn take_listing(&mut self, listing: RunListing, asked: PollNumber, now: Moment) {
        let Some(present) = &mut self.present else { return };
        if let Some(started_at) =
            listing.started_at.filter(|started_at| *started_at != present.incarnation.started_at)
        {
            self.renew_life(started_at, now);
            return;
        }
        present.clock.note(listing.clock, now.elapsed);
        let has_all_ends = listing.ended.len() < MOST_ENDS;
        for row in listing.ended {
            self.take_end(&row);
        }
        self.stop_strays(&listing.running);
        self.stop_stalled(&listing.running, now);
        if has_all_ends {
            self.end_vanished(&listing.running, asked);
        }
        self.advance_life(&listing.running, listing.clock);
    }

    pub(super) fn take_end(&mut self, row: &EndedRow) {
        let Some(present) = &mut self.present else { return };
        if row.number <= present.last_seen {
            return;
        }
        present.last_seen = row.number;
        present.strays.remove(&row.key);
        let Some(&task) = self.tasks.get(&row.key) else { return };
        let result = match row.end {
            RunEnd::Done => RunResult::Answered(Bytes::new()),
            RunEnd::Failed => RunResult::Failed,
            RunEnd::Interrupted => RunResult::Interrupted,
        };
        self.finish(task, result);
    }

    /// Stops what runs and was not started here.
    pub(super) fn stop_strays(&mut self, running: &[RunningRow]) {
        for row in running {
            let Some(present) = &mut self.present else { return };
            let is_known = self.tasks.contains_key(&row.key);
            if !is_known && present.fence.is_some() && present.strays.insert(row.key.clone()) {
                self.send_stop(row.key.clone());
            }
        }
    }

    /// Stops the runs that have not moved on for long.
    pub(super) fn stop_stalled(&mut self, running: &[RunningRow], now: Moment) {
        for row in running {
            let Some(&task) = self.tasks.get(&row.key) else { continue };
            let Some(run) = self.runs.get_mut(&task) else { continue };
            let is_moving = row.percent != run.percent;
            run.has_started = true;
            let moved_at = *run.moved_at.get_or_insert(now.elapsed);
            if is_moving {
                run.percent = row.percent;
                run.moved_at = Some(now.elapsed);
            } else if now.elapsed.saturating_sub(moved_at) >= self.limits.stall_timeout {
                self.stop(task);
            }
        }
    }

    /// Ends the runs that were started or stopped before the look and that it does not show: their
    /// start was forbidden in time, or they were part of an earlier life of the server.
    pub(super) fn end_vanished(&mut self, running: &[RunningRow], asked: PollNumber) {
        let is_over = |run: &HeldRun| {
            let is_settled = run.settled_after.is_some_and(|earlier| earlier < asked);
            is_settled && !running.iter().any(|row| row.key == run.key)
        };
        for task in self.tasks_where(is_over) {
            let has_started = self.runs.get(&task).is_some_and(|run| run.has_started);
            // The end of a run that started would be listed.
            let never = RunResult::Refused(NotStartedReason::NeverReceived);
            self.finish(task, if has_started { RunResult::Interrupted } else { never });
        }
    }

    /// Ends every run whose lease is over, but for those that may not have started yet.
    pub(super) fn end_lapsed(&mut self) {
        let is_lapsed = |run: &HeldRun| run.phase != RunPhase::Starting && !run.is_start_open;
        for task in self.tasks_where(is_lapsed) {
            self.finish(task, RunResult::Interrupted);
        }
    }

    /// Takes note of an answer, or that none was owed.
    pub(super) fn hear(&mut self, now: Moment) {
        self.answered_at = now.elapsed;
        if std::mem::take(&mut self.is_silent) {
            self.actions.push(RunAction::Responsive);
        }
    }

    /// Takes note of a server that owes answers for long.
    pub(super) fn judge_silence(&mut self, now: Moment) {
        if self.runs.is_empty() && !self.is_silent {
            self.answered_at = now.elapsed;
        }
        let silence = now.elapsed.saturating_sub(self.answered_at);
        if !self.is_silent && silence >= self.limits.silence_timeout {
            self.is_silent = true;
            self.actions.push(RunAction::Unresponsive);
        }
    }
}
