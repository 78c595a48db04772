//! Calls of the agents to their workers.

use super::Fleet;
use super::event::{FleetEvent, Life};
use super::worker_model::WorkerCall;
use parsleyspool_core::run::{
    PollAnswer, PollCall, PollNumber, RunEnd, RunEvent, RunKey, StartAnswer,
};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after which a start or stop counts as unanswered.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a command that got no answer is carried out, in milliseconds.
const LATENESS_MS: std::ops::Range<u64> = 2_000..12_000;
/// Time that a call or an answer takes.
const CALL_DELAY: Duration = Duration::from_millis(1);

/// Poll that the worker holds open.
#[derive(Debug)]
pub struct OpenPoll {
    pub life: Life,
    pub call: PollCall,
}

impl Fleet {
    pub(super) fn call_worker(&mut self, agent: usize, call: WorkerCall) {
        let life = self.agents[agent].life;
        self.schedule(CALL_DELAY, FleetEvent::CallArrives { agent, life, call });
    }

    pub(super) fn receive_call(&mut self, agent: usize, life: Life, call: WorkerCall) {
        if self.is_late(&call) {
            let lateness = Duration::from_millis(self.random.random_range(LATENESS_MS));
            let answer = call.unanswered();
            self.schedule(COMMAND_TIMEOUT, FleetEvent::AnswerArrives { agent, life, answer });
            self.schedule(lateness, FleetEvent::LateCall { agent, call });
            return;
        }
        if let Some(answer) = self.execute_call(agent, life, &call) {
            self.schedule(CALL_DELAY, FleetEvent::AnswerArrives { agent, life, answer });
        }
        self.observe_runs(agent);
    }

    fn is_late(&mut self, call: &WorkerCall) -> bool {
        let Some(late) = self.late_commands.filter(|late| self.now < late.until) else {
            return false;
        };
        !matches!(call, WorkerCall::Poll(_)) && self.random.random_range(0..100) < late.percent
    }

    pub(super) fn execute_late_call(&mut self, agent: usize, call: &WorkerCall) {
        let life = self.agents[agent].life;
        self.execute_call(agent, life, call);
        self.observe_runs(agent);
    }

    /// Executes a call; returns its answer, or `None` if it is a poll that is held open.
    fn execute_call(&mut self, agent: usize, life: Life, call: &WorkerCall) -> Option<RunEvent> {
        if let WorkerCall::Poll(poll) = call {
            return self.hold_poll(agent, life, poll);
        }
        let answer = self.agents[agent].worker.execute(call, self.now);
        if let RunEvent::StartReturned { key, answer: StartAnswer::Started, .. } = &answer {
            let run_time = self.job_of_task(&key.task_name).run_time;
            self.schedule(run_time, FleetEvent::RunFinishes { agent, key: key.clone() });
        }
        Some(answer)
    }

    /// Renews the lease, and holds the poll until it is due or a run ends.
    fn hold_poll(&mut self, agent: usize, life: Life, call: &PollCall) -> Option<RunEvent> {
        let now = self.now;
        let node = &mut self.agents[agent];
        let answer = node.worker.poll(call, now);
        let PollAnswer::Listing(listing) = &answer else {
            return Some(RunEvent::PollReturned { number: call.number, answer });
        };
        if call.wait.is_zero() || !listing.ended.is_empty() {
            return Some(RunEvent::PollReturned { number: call.number, answer });
        }
        let number = call.number;
        node.open_polls.push(OpenPoll { life, call: call.clone() });
        self.schedule(call.wait, FleetEvent::PollDue { agent, life, number });
        None
    }

    pub(super) fn answer_poll(&mut self, agent: usize, life: Life, number: PollNumber) {
        let polls = &mut self.agents[agent].open_polls;
        let is_due = |poll: &OpenPoll| poll.life == life && poll.call.number == number;
        let Some(index) = polls.iter().position(is_due) else { return };
        let poll = polls.remove(index);
        self.send_listing(agent, &poll);
    }

    fn send_listing(&mut self, agent: usize, poll: &OpenPoll) {
        let look = PollCall { lease_until: None, ..poll.call.clone() };
        let answer = self.agents[agent].worker.poll(&look, self.now);
        let answer = RunEvent::PollReturned { number: poll.call.number, answer };
        let life = poll.life;
        self.schedule(CALL_DELAY, FleetEvent::AnswerArrives { agent, life, answer });
    }

    pub(super) fn finish_run(&mut self, agent: usize, key: &RunKey) {
        self.agents[agent].worker.end(key, RunEnd::Done);
        self.observe_runs(agent);
    }

    pub(super) fn expire_leases(&mut self) {
        for agent in Self::agent_indexes() {
            self.agents[agent].worker.expire(self.now);
            self.observe_runs(agent);
        }
    }

    /// Records the runs that have begun or ended at a worker, and answers its polls if one has ended.
    fn observe_runs(&mut self, agent: usize) {
        let now = self.now;
        let node = &mut self.agents[agent];
        let running: BTreeSet<RunKey> = node.worker.running().into_iter().collect();
        let before = std::mem::replace(&mut node.running, running.clone());
        for key in running.difference(&before) {
            self.runs.begin(key, agent, now);
        }
        let mut has_ended = false;
        for key in before.difference(&running) {
            self.runs.end(key, agent, now);
            has_ended = true;
        }
        if has_ended {
            for poll in std::mem::take(&mut self.agents[agent].open_polls) {
                self.send_listing(agent, &poll);
            }
        }
    }
}
