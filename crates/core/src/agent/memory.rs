//! What an agent remembers of tasks that it no longer holds.

use super::AgentLimits;
use crate::entry::TaskReply;
use crate::id::TaskId;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Outcome of a task, kept for a question that may still come.
#[derive(Debug)]
pub struct KeptOutcome {
    /// Number of the start that ended so.
    pub attempt: u32,
    /// What to say.
    pub reply: TaskReply,
    until: Duration,
}

impl KeptOutcome {
    fn bytes(&self) -> usize {
        match &self.reply {
            TaskReply::Done { answer, .. } => answer.len(),
            _ => 0,
        }
    }
}

/// Outcomes by task, each kept for a fixed time.
#[derive(Debug)]
pub struct OutcomeMemory {
    outcomes: HashMap<TaskId, KeptOutcome>,
    order: BTreeSet<(Duration, TaskId)>,
    answers: VecDeque<TaskId>,
    answer_bytes: usize,
    kept_for: Duration,
    most: usize,
    most_bytes: usize,
}

impl OutcomeMemory {
    /// Memory with the bounds of `limits`.
    pub fn new(limits: &AgentLimits) -> Self {
        Self {
            outcomes: HashMap::new(),
            order: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            kept_for: limits.outcome_retention,
            most: limits.max_outcomes,
            most_bytes: limits.max_answer_bytes,
        }
    }

    /// Outcome of `task`.
    pub fn get(&self, task: TaskId) -> Option<&KeptOutcome> {
        self.outcomes.get(&task)
    }

    /// Whether no further outcome fits.
    pub fn is_full(&self) -> bool {
        self.outcomes.len() >= self.most
    }

    /// Keeps the outcome of start number `attempt` of `task`.
    pub fn keep(&mut self, task: TaskId, attempt: u32, reply: TaskReply, now: Duration) {
        self.forget(task);
        let until = now + self.kept_for;
        let kept = KeptOutcome { attempt, reply, until };
        if kept.bytes() > 0 {
            self.answer_bytes += kept.bytes();
            self.answers.push_back(task);
        }
        self.order.insert((until, task));
        self.outcomes.insert(task, kept);
        while self.answer_bytes > self.most_bytes && self.drop_oldest_answer() {}
    }

    /// Drops the oldest answer; that the task ran stays known.
    fn drop_oldest_answer(&mut self) -> bool {
        let Some(task) = self.answers.pop_front() else { return false };
        let kept = self.outcomes.get_mut(&task).filter(|kept| kept.bytes() > 0);
        if let Some(kept) = kept {
            self.answer_bytes -= kept.bytes();
            kept.reply = TaskReply::Lost;
        }
        true
    }

    /// Forgets the outcome of `task`.
    pub fn forget(&mut self, task: TaskId) {
        let Some(kept) = self.outcomes.remove(&task) else { return };
        self.answer_bytes -= kept.bytes();
        self.order.remove(&(kept.until, task));
    }

    /// Forgets every outcome that was kept for long enough.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(until, task)) = self.order.first() {
            if until > now {
                break;
            }
            self.forget(task);
        }
        while self.answers.front().is_some_and(|task| !self.outcomes.contains_key(task)) {
            self.answers.pop_front();
        }
    }
}
