//! Callers, who submit a job again at another entry if its outcome is unknown to them.

use super::event::FleetEvent;
use super::{ACTIVE_TIME, ENTRIES, Fleet, LEAD};
use bytes::Bytes;
use parsleyspool_core::entry::EntryEvent;
use parsleyspool_core::job::{JobAnswer, JobRequest, TaskDemand, TaskGroup, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use rand::RngExt;
use std::time::Duration;

const JOBS: usize = 40;
/// Submissions of one job.
const MAX_SUBMISSIONS: usize = 4;
/// Time from the loss of a submission to the next one.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);
/// Time beyond its deadline for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(50);

pub type JobIndex = usize;

/// Job of a caller.
#[derive(Debug)]
pub struct CallerJob {
    tasks: u64,
    pub run_time: Duration,
    deadline: Duration,
    /// Entry of each submission so far.
    entries: Vec<usize>,
    /// Whether the latest submission has no outcome yet.
    is_waiting: bool,
}

/// Number by which an entry knows the caller of a submission.
fn waiter_id(job: JobIndex, submission: usize) -> u64 {
    (job * MAX_SUBMISSIONS + submission) as u64
}

fn job_of_waiter(waiter_id: u64) -> (JobIndex, usize) {
    let number = waiter_id as usize;
    (number / MAX_SUBMISSIONS, number % MAX_SUBMISSIONS)
}

impl Fleet {
    pub(super) fn plan_jobs(&mut self) {
        for job in 0..JOBS {
            let run_time = Duration::from_millis(self.random.random_range(500..5_000));
            let deadline = Duration::from_millis(self.random.random_range(1_000..7_000));
            let tasks = self.random.random_range(1..4);
            let entries = Vec::new();
            self.jobs.push(CallerJob { tasks, run_time, deadline, entries, is_waiting: false });
            let at = self.random.random_range(0..ACTIVE_TIME.as_millis() as u64);
            self.schedule(LEAD + Duration::from_millis(at), FleetEvent::Submitted { job });
        }
    }

    /// Job of the task with this name at the workers.
    pub(super) fn job_of_task(&self, task_name: &str) -> &CallerJob {
        let job = task_name.split('.').next().and_then(|job| job.strip_prefix("j-"));
        let index: JobIndex = job.and_then(|job| job.parse().ok()).expect("a name of a caller");
        &self.jobs[index]
    }

    /// Submits a job at an entry that is up, other than that of the latest submission.
    pub(super) fn submit(&mut self, index: JobIndex) {
        let previous = self.jobs[index].entries.last().copied();
        let up = (0..ENTRIES).filter(|&entry| self.entries[entry].is_up && Some(entry) != previous);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let entry = up[self.random.random_range(0..up.len())];
        let job = &mut self.jobs[index];
        let submission = job.entries.len();
        job.entries.push(entry);
        job.is_waiting = true;
        let demand =
            TaskDemand { resources: ResourceAmounts::from_slots(1), run_time: job.run_time };
        let task = TaskRequest {
            request_name: "look".into(),
            payload: Bytes::new(),
            demand: Some(demand),
        };
        let request = JobRequest {
            name: format!("j-{index}").into(),
            team: "t".into(),
            service: "s".into(),
            deadline: Some(job.deadline),
            created_at: None,
            task_groups: vec![TaskGroup { task, count: job.tasks }],
        };
        let leaves_after = job.deadline + PATIENCE;
        self.schedule(leaves_after, FleetEvent::CallerLeaves { job: index, submission });
        let waiter_id = waiter_id(index, submission);
        self.deliver_to_entry(entry, EntryEvent::Submit { waiter_id, request });
    }

    /// The caller of a submission has waited long enough.
    pub(super) fn leave(&mut self, index: JobIndex, submission: usize) {
        let job = &self.jobs[index];
        if !job.is_waiting || job.entries.len() != submission + 1 {
            return;
        }
        let entry = job.entries[submission];
        self.lose_submission(index);
        let waiter_id = waiter_id(index, submission);
        self.deliver_to_entry(entry, EntryEvent::Cancel { waiter_id });
    }

    /// The outcome of the latest submission is unknown to its caller, who submits the job again.
    fn lose_submission(&mut self, index: JobIndex) {
        let job = &mut self.jobs[index];
        job.is_waiting = false;
        if job.entries.len() < MAX_SUBMISSIONS {
            self.schedule(RESUBMISSION_DELAY, FleetEvent::Submitted { job: index });
        }
    }

    /// The connections of all callers of an entry break.
    pub(super) fn break_connections(&mut self, entry: usize) {
        let lost = (0..JOBS).filter(|&index| {
            let job = &self.jobs[index];
            job.is_waiting && job.entries.last() == Some(&entry)
        });
        for index in lost.collect::<Vec<_>>() {
            self.lose_submission(index);
        }
    }

    pub(super) fn receive_job_answer(&mut self, waiter_id: u64, answer: &JobAnswer) {
        let (index, submission) = job_of_waiter(waiter_id);
        let job = &mut self.jobs[index];
        if !job.is_waiting || job.entries.len() != submission + 1 {
            return;
        }
        match answer {
            JobAnswer::Failed(error) if !error.not_run => self.lose_submission(index),
            JobAnswer::Complete(_) | JobAnswer::Failed(_) => job.is_waiting = false,
        }
    }
}
