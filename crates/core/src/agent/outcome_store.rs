//! Outcomes of tasks that are no longer queued or running at the agent.

use super::AgentLimits;
use crate::entry::TaskReply;
use crate::id::TaskId;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Outcome of a task, stored for starts and queries that may still arrive.
#[derive(Debug)]
pub struct StoredOutcome {
    /// Attempt number of the start that had this outcome.
    pub attempt: u32,
    /// Reply to a repeated start or a query.
    pub reply: TaskReply,
    expires_at: Duration,
}

impl StoredOutcome {
    fn bytes(&self) -> usize {
        match &self.reply {
            TaskReply::Done { answer, .. } => answer.len(),
            _ => 0,
        }
    }
}

/// Outcomes by task, each retained for a fixed time.
#[derive(Debug)]
pub struct OutcomeStore {
    outcomes: HashMap<TaskId, StoredOutcome>,
    by_expiry: BTreeSet<(Duration, TaskId)>,
    answers_by_age: VecDeque<TaskId>,
    answer_bytes: usize,
    retention: Duration,
    max_outcomes: usize,
    max_answer_bytes: usize,
}

impl OutcomeStore {
    /// Empty store with the retention time and sizes of `limits`.
    pub fn new(limits: &AgentLimits) -> Self {
        Self {
            outcomes: HashMap::new(),
            by_expiry: BTreeSet::new(),
            answers_by_age: VecDeque::new(),
            answer_bytes: 0,
            retention: limits.outcome_retention,
            max_outcomes: limits.max_outcomes,
            max_answer_bytes: limits.max_answer_bytes,
        }
    }

    /// Outcome of `task`; `None` if none is stored.
    pub fn get(&self, task: TaskId) -> Option<&StoredOutcome> {
        self.outcomes.get(&task)
    }

    /// Whether the maximum number of outcomes is stored.
    pub fn is_full(&self) -> bool {
        self.outcomes.len() >= self.max_outcomes
    }

    /// Stores the outcome of start number `attempt` of `task`, replacing an earlier one, and drops
    /// the oldest answers while the answers exceed their byte limit.
    pub fn store(&mut self, task: TaskId, attempt: u32, reply: TaskReply, now: Duration) {
        self.forget(task);
        let expires_at = now + self.retention;
        let outcome = StoredOutcome { attempt, reply, expires_at };
        if outcome.bytes() > 0 {
            self.answer_bytes += outcome.bytes();
            self.answers_by_age.push_back(task);
        }
        self.by_expiry.insert((expires_at, task));
        self.outcomes.insert(task, outcome);
        while self.answer_bytes > self.max_answer_bytes && self.drop_oldest_answer() {}
    }

    /// Replaces the oldest answer by [`TaskReply::Lost`], which still prevents a repeated start
    /// with the same attempt number; returns `false` if no answer is left.
    fn drop_oldest_answer(&mut self) -> bool {
        let Some(task) = self.answers_by_age.pop_front() else { return false };
        let outcome = self.outcomes.get_mut(&task).filter(|outcome| outcome.bytes() > 0);
        if let Some(outcome) = outcome {
            self.answer_bytes -= outcome.bytes();
            outcome.reply = TaskReply::Lost;
        }
        true
    }

    /// Removes the outcome of `task`.
    pub fn forget(&mut self, task: TaskId) {
        let Some(outcome) = self.outcomes.remove(&task) else { return };
        self.answer_bytes -= outcome.bytes();
        self.by_expiry.remove(&(outcome.expires_at, task));
    }

    /// Removes every outcome whose retention time has passed.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(expires_at, task)) = self.by_expiry.first() {
            if expires_at > now {
                break;
            }
            self.forget(task);
        }
        while self.answers_by_age.front().is_some_and(|task| !self.outcomes.contains_key(task)) {
            self.answers_by_age.pop_front();
        }
    }
}
