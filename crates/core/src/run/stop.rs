//! Stops of runs: sends them to the worker, once the fencing token is known, until they are confirmed.

use super::{FenceToken, RunAction, RunKey, RunLedger, RunPhase, StopAnswer, StopCall};
use crate::id::TaskId;
use crate::time::Moment;
use std::time::Duration;

impl RunLedger {
    pub(super) fn stop_run(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        run.is_stop_requested = true;
        // A run that is still starting is stopped once the start is answered.
        if run.phase == RunPhase::Running {
            run.phase = RunPhase::Stopping;
            let key = run.key.clone();
            self.send_stop(key);
        }
    }

    /// Stops a run now, or once the fencing token is known: the worker rejects lower ones.
    pub(super) fn send_stop(&mut self, key: RunKey) {
        let Some(session) = &self.session else { return };
        let Some(fence) = session.fence else {
            self.deferred_stops.insert(key);
            return;
        };
        let call = StopCall { incarnation: session.incarnation.clone(), key, fence };
        self.actions.push(RunAction::Stop(call));
    }

    pub(super) fn send_deferred_stops(&mut self) {
        if self.session.as_ref().is_none_or(|session| session.fence.is_none()) {
            return;
        }
        for key in std::mem::take(&mut self.deferred_stops) {
            if self.is_stop_awaited(&key) {
                self.send_stop(key);
            }
        }
    }

    pub(super) fn on_stop_answer(
        &mut self,
        key: &RunKey,
        fence: FenceToken,
        answer: StopAnswer,
        now: Moment,
    ) {
        if answer != StopAnswer::Unanswered {
            self.record_answer(now);
        }
        if !self.is_stop_awaited(key) {
            return;
        }
        match answer {
            StopAnswer::Confirmed => self.mark_stopped(key, now),
            StopAnswer::Fenced => {
                self.replace_fence(fence, now);
                self.send_stop(key.clone());
            }
            StopAnswer::OtherIncarnation => self.end_session(now),
            StopAnswer::Unanswered => self.send_stop(key.clone()),
        }
    }

    /// Whether the run is still tracked. Runs of a session that has ended are not, so late answers
    /// from its server do not affect the session with the next one.
    pub(super) fn is_stop_awaited(&self, key: &RunKey) -> bool {
        let is_orphan = self.session.as_ref().is_some_and(|session| session.orphans.contains(key));
        is_orphan || self.tasks_by_run.contains_key(key)
    }

    pub(super) fn mark_stopped(&mut self, key: &RunKey, now: Moment) {
        if let Some(session) = &mut self.session {
            session.orphans.remove(key);
        }
        if let Some(run) = self.tasks_by_run.get(key).and_then(|task| self.runs.get_mut(task)) {
            run.phase = RunPhase::Stopped;
            run.confirmed_after = Some(self.last_poll);
            run.is_start_uncertain = false;
        }
        self.send_poll(Duration::ZERO, now);
    }
}
