//! Starts of runs: sends them to the worker and handles the answers.

use super::{
    EndEvidence, FenceToken, LeaseRenewal, RunAction, RunKey, RunLedger, RunNumber, RunPhase,
    SessionPhase, StartAnswer, StartCall, StartRefusal, TrackedRun,
};
use crate::agent::RunResult;
use crate::entry::{NotStartedReason, StartRequest};
use crate::id::{TaskId, task_name};
use crate::time::Moment;

impl RunLedger {
    pub(super) fn start_run(&mut self, request: StartRequest, now: Moment) {
        let task = request.task;
        let is_ready =
            self.session.as_ref().is_some_and(|session| session.phase == SessionPhase::Ready);
        if !is_ready {
            let result = RunResult::Refused(NotStartedReason::Leaving);
            self.report_end(task, result, EndEvidence::NotSent, None, now);
            return;
        }
        let task_name = task_name(&request.job, task.index);
        let latest = self.latest_numbers.get(&task_name).map_or(0, |(number, _)| *number);
        let number = latest.max(RunNumber::from(request.attempt.saturating_sub(1))) + 1;
        let run = TrackedRun {
            key: RunKey { task_name, number },
            payload: request.payload,
            phase: RunPhase::Starting,
            is_stop_requested: false,
            ended_by_restart: None,
            has_started: false,
            confirmed_after: None,
            is_start_uncertain: false,
            percent: 0,
            progressed_at: None,
        };
        self.runs.insert(task, run);
        self.send_start(task, now);
    }

    pub(super) fn send_start(&mut self, task: TaskId, now: Moment) {
        let Some(run) = self.runs.get(&task) else { return };
        let Some(session) = &mut self.session else { return };
        let lease_until = match session.renew_lease(&self.limits, self.run_deadline, now) {
            LeaseRenewal::Until(until) => until,
            LeaseRenewal::ClockUnknown => {
                return self.refuse_start(task, NotStartedReason::Leaving, now);
            }
            LeaseRenewal::Withheld => return self.refuse_start(task, NotStartedReason::Full, now),
        };
        let key = run.key.clone();
        self.latest_numbers.insert(key.task_name.clone(), (key.number, now.elapsed));
        self.tasks_by_run.insert(key.clone(), task);
        let call = StartCall {
            incarnation: session.incarnation.clone(),
            key,
            payload: run.payload.clone(),
            lease_until,
            fence: session.fence.unwrap_or_default(),
        };
        self.actions.push(RunAction::Start(call));
    }

    /// Returns a task that was not sent.
    fn refuse_start(&mut self, task: TaskId, reason: NotStartedReason, now: Moment) {
        self.finish_run(task, RunResult::Refused(reason), EndEvidence::NotSent, now);
    }

    pub(super) fn on_start_answer(
        &mut self,
        key: &RunKey,
        fence: FenceToken,
        answer: StartAnswer,
        now: Moment,
    ) {
        if !answer.is_missing() {
            self.record_answer(now);
        }
        let Some(&task) = self.tasks_by_run.get(key) else { return };
        match answer {
            StartAnswer::Started => self.mark_started(task),
            StartAnswer::Refused(refusal) => self.on_start_refused(task, refusal, fence, now),
            StartAnswer::OtherIncarnation => {
                let result = RunResult::Refused(NotStartedReason::Leaving);
                self.finish_run(task, result, EndEvidence::OtherServer, now);
                self.end_session(now);
            }
            StartAnswer::ConnectionRefused => {
                let result = RunResult::Refused(NotStartedReason::NoConnection);
                self.finish_run(task, result, EndEvidence::ConnectionRefused, now);
            }
            StartAnswer::Unanswered => self.stop_unanswered_start(task),
        }
    }

    pub(super) fn mark_started(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.phase != RunPhase::Starting {
            return;
        }
        run.phase = RunPhase::Running;
        run.has_started = true;
        run.confirmed_after = Some(self.last_poll);
        if run.is_stop_requested {
            self.stop_run(task);
        }
    }

    /// Stops a run whose start was not answered and may still be carried out.
    pub(super) fn stop_unanswered_start(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.phase != RunPhase::Starting {
            return;
        }
        run.phase = RunPhase::Stopping;
        run.is_start_uncertain = true;
        let key = run.key.clone();
        self.send_stop(key);
    }

    pub(super) fn on_start_refused(
        &mut self,
        task: TaskId,
        refusal: StartRefusal,
        fence: FenceToken,
        now: Moment,
    ) {
        let result = match refusal {
            StartRefusal::NotNewer => return self.start_with_higher_number(task, now),
            StartRefusal::Fenced | StartRefusal::NoCapacity | StartRefusal::LeaseExpired => {
                RunResult::Refused(NotStartedReason::Full)
            }
            StartRefusal::Unhealthy => RunResult::Refused(NotStartedReason::NoConnection),
            StartRefusal::Malformed => RunResult::Failed,
        };
        self.finish_run(task, result, EndEvidence::StartRefused, now);
        if refusal == StartRefusal::Fenced {
            self.replace_fence(fence, now);
        }
    }

    /// Starts the task under a higher run number, since an earlier agent used the current one.
    pub(super) fn start_with_higher_number(&mut self, task: TaskId, now: Moment) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.is_stop_requested {
            let result = RunResult::Refused(NotStartedReason::Cancelled);
            self.finish_run(task, result, EndEvidence::StartRefused, now);
            return;
        }
        self.tasks_by_run.remove(&run.key);
        run.key.number = run.key.number * 2 + 1;
        self.send_start(task, now);
    }
}
