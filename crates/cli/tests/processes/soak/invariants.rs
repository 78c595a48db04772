//! Records what callers and backend servers observe in a run, and checks the invariants.

use super::fault_schedule::SoakRole;
use crate::caller::CallerReply;
use parsleyspool_standins::backend::ExampleBackend;
use parsleyspool_wire::caller::SubmitBody;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Deadline of the jobs of a run.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Time after the deadline within which a caller must have its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(1500);

/// Period in which a process was down or frozen.
#[derive(Debug, Clone, Copy)]
struct ProcessOutage {
    role: SoakRole,
    since: Instant,
    until: Instant,
}

/// Submission whose connection broke before the answer.
#[derive(Debug)]
struct BrokenReply {
    role: SoakRole,
    job: String,
    sent: Instant,
    until: Instant,
    /// Whether the caller may have sent the same job to another entry too, so that a run of the job
    /// may belong to that submission.
    is_resent: bool,
}

impl BrokenReply {
    fn is_within(&self, outages: &[ProcessOutage]) -> bool {
        let overlaps =
            |outage: &ProcessOutage| outage.since <= self.until && outage.until >= self.sent;
        outages.iter().any(|outage| outage.role == self.role && overlaps(outage))
    }
}

#[derive(Debug, Default)]
struct RecordState {
    violations: BTreeSet<String>,
    kills: Vec<ProcessOutage>,
    stops: Vec<ProcessOutage>,
    freezes: Vec<ProcessOutage>,
    /// Periods in which the machine gave the run no processor time.
    stalls: Vec<(Instant, Instant)>,
    outcomes: BTreeMap<String, usize>,
    /// Submissions whose connection broke, checked at the end, when all outages are known.
    broken: Vec<BrokenReply>,
    /// Replies after the deadline and its slack: entry, time of sending, time taken and text.
    /// They are checked at the end as well.
    late: Vec<(SoakRole, Instant, Duration, String)>,
    /// Submissions that were reported as not run.
    not_run: BTreeSet<String>,
    /// Submissions with a complete answer, and their numbers of tasks.
    complete: BTreeMap<String, u32>,
}

/// Observations of a run and the violations found so far.
#[derive(Debug, Default)]
pub struct SoakRecord {
    state: Mutex<RecordState>,
}

impl SoakRecord {
    fn state(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the violation of an invariant.
    pub fn add_violation(&self, text: String) {
        self.state().violations.insert(text);
    }

    pub fn violations(&self) -> Vec<String> {
        self.state().violations.iter().cloned().collect()
    }

    pub fn add_kill(&self, role: SoakRole, since: Instant, until: Instant) {
        self.state().kills.push(ProcessOutage { role, since, until });
    }

    /// Records a graceful stop, from the signal until the restarted process listens.
    pub fn add_stop(&self, role: SoakRole, since: Instant, until: Instant) {
        self.state().stops.push(ProcessOutage { role, since, until });
    }

    pub fn add_freeze(&self, role: SoakRole, since: Instant, until: Instant) {
        self.state().freezes.push(ProcessOutage { role, since, until });
    }

    /// Records a period in which the machine gave the run no processor time.
    pub fn add_stall(&self, since: Instant, until: Instant) {
        self.state().stalls.push((since, until));
    }

    /// Total time between `since` and `until` in which the machine gave the run no processor time.
    pub fn stall_time(&self, since: Instant, until: Instant) -> Duration {
        self.state().stalls.iter().map(|stall| overlap(*stall, since, until)).sum()
    }

    /// Records the reply that a caller of `entry` got for `job`, sent at `sent`.
    pub fn add_reply(&self, entry: usize, job: &SubmitBody, sent: Instant, reply: &CallerReply) {
        let role = SoakRole::Entry(entry);
        let mut state = self.state();
        let (answer, error) = (reply.answer(), reply.error());
        let outcome = match (&answer, &error) {
            (Some(_), _) => "whole".to_owned(),
            (None, Some(error)) => error.kind.clone(),
            (None, None) => "gone".to_owned(),
        };
        *state.outcomes.entry(outcome.clone()).or_insert(0) += 1;
        if reply.took > DEADLINE + ANSWER_SLACK {
            state.late.push((role, sent, reply.took, format!("{} with {outcome}", job.job)));
        }
        if let Some(answer) = answer {
            let expected = job.tasks.iter().map(|task| format!("done {}", task.payload));
            if !expected.eq(answer.answers.iter().cloned()) {
                state
                    .violations
                    .insert(format!("{} got wrong answers: {:?}", job.job, answer.answers));
            }
            let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
            state.complete.insert(answer.submission, tasks);
        } else if let Some(error) = error {
            if error.not_run {
                state.not_run.insert(error.submission);
            }
        } else {
            let is_resent = job.tasks.iter().any(|task| task.request == "redeem");
            let (name, until) = (job.job.clone(), sent + reply.took);
            state.broken.push(BrokenReply { role, job: name, sent, until, is_resent });
        }
    }

    /// Checks the task starts at the backend servers against the replies to the callers.
    pub fn check_starts(&self, backends: &[Arc<ExampleBackend>]) {
        let mut starts: BTreeMap<(String, u32), u32> = BTreeMap::new();
        let mut redemptions: BTreeMap<String, u32> = BTreeMap::new();
        for (start, count) in backends.iter().flat_map(|backend| backend.starts()) {
            if start.path.ends_with("/redeem") {
                *redemptions.entry(start.key).or_insert(0) += count;
            }
            *starts.entry((start.submission, start.task)).or_insert(0) += count;
        }
        let mut state = self.state();
        for ((submission, task), count) in starts.iter().filter(|(_, count)| **count > 1) {
            state.violations.insert(format!("task {task} of {submission} started {count} times"));
        }
        for (key, count) in redemptions.iter().filter(|(_, count)| **count > 1) {
            state.violations.insert(format!("the redemption {key} started {count} times"));
        }
        let ran: BTreeSet<&String> = starts.keys().map(|(submission, _)| submission).collect();
        let contradicted: Vec<String> =
            state.not_run.iter().filter(|id| ran.contains(id)).cloned().collect();
        for submission in contradicted {
            state.violations.insert(format!("{submission} was reported as not run, but ran"));
        }
        let incomplete = state.complete.iter().filter(|(submission, tasks)| {
            !(0..**tasks).all(|task| starts.contains_key(&((*submission).clone(), task)))
        });
        let incomplete: Vec<String> =
            incomplete.map(|(submission, _)| submission.clone()).collect();
        for submission in incomplete {
            state.violations.insert(format!(
                "{submission} has a complete answer, but not all of its tasks started"
            ));
        }
    }

    /// Checks that outages and stalls explain the missing and late replies.
    ///
    /// A graceful stop may leave a job without an answer only if it has not run.
    pub fn check_replies(&self, backends: &[Arc<ExampleBackend>]) {
        let starts = backends.iter().flat_map(|backend| backend.starts());
        let ran: BTreeSet<String> = starts.map(|(start, _)| start.key).collect();
        let mut state = self.state();
        let mut violations = Vec::new();
        for reply in &state.broken {
            let has_run = !reply.is_resent && ran.contains(&reply.job);
            let is_explained =
                reply.is_within(&state.kills) || (reply.is_within(&state.stops) && !has_run);
            if !is_explained {
                violations.push(format!("{reply:?} got no answer, has_run={has_run}"));
            }
        }
        for &(role, sent, took, ref description) in &state.late {
            let freezes = state.freezes.iter().filter(|outage| outage.role == role);
            let freezes = freezes.map(|outage| (outage.since, outage.until));
            let pauses = freezes.chain(state.stalls.iter().copied());
            let paused: Duration = pauses.map(|pause| overlap(pause, sent, sent + took)).sum();
            if took > DEADLINE + ANSWER_SLACK + paused {
                violations.push(format!("{role:?} answered {description} after {took:?}"));
            }
        }
        state.violations.extend(violations);
    }

    /// Number of replies for each outcome.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        self.state().outcomes.clone()
    }

    /// Whether any job got a complete answer.
    pub fn has_served(&self) -> bool {
        !self.state().complete.is_empty()
    }
}

fn overlap(period: (Instant, Instant), since: Instant, until: Instant) -> Duration {
    period.1.min(until).saturating_duration_since(period.0.max(since))
}
