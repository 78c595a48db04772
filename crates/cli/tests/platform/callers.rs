//! Callers that submit jobs to the entries, and submit a job again after no answer.

use crate::deployment::{HOST, PATH_PREFIX};
use crate::play_size::PlaySize;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Header with the time that the caller waits for the answer, in milliseconds.
const DEADLINE_HEADER: &str = "x-request-deadline";
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time beyond the deadline after which the caller gives up.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);
/// Time from a submission without an answer to the next one.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);
/// Number of times that a job is submitted.
const MAX_SUBMISSIONS: usize = 3;
const MAX_TASKS: u32 = 4;
const MIN_RUN_TIME_MS: u64 = 60;
const MAX_RUN_TIME_MS: u64 = 300;
/// Processor of a task, in thousandths of a core.
const TASK_CPU: u32 = 3100;
const TASK_MEMORY_MB: u32 = 64;

/// Answer to a submission, as far as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerAnswer {
    Status(u16),
    ConnectionBroken,
    TimedOut,
}

impl CallerAnswer {
    fn permits_resubmission(self) -> bool {
        matches!(self, Self::ConnectionBroken | Self::TimedOut | Self::Status(502 | 504))
    }
}

/// Number of answers of each kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerTally {
    /// Last answers of jobs.
    pub last: BTreeMap<CallerAnswer, usize>,
    /// Answers after which a job was submitted again.
    pub resubmitted: BTreeMap<CallerAnswer, usize>,
}

/// Job of a caller.
#[derive(Debug, Clone, Copy)]
struct CallerJob {
    id: u64,
    tasks: u32,
    run_time_ms: u64,
    first_entry: usize,
}

impl CallerJob {
    fn draw(random: &mut ChaCha8Rng, entries: usize) -> Self {
        Self {
            id: random.random(),
            tasks: random.random_range(1..=MAX_TASKS),
            run_time_ms: random.random_range(MIN_RUN_TIME_MS..=MAX_RUN_TIME_MS),
            first_entry: random.random_range(0..entries),
        }
    }

    fn body(self) -> String {
        let step = json!({
            "count": self.tasks,
            "cpu": TASK_CPU,
            "memMb": TASK_MEMORY_MB,
            "estimatedMs": self.run_time_ms,
        });
        let payload = format!("work={} cpu={TASK_CPU}", self.run_time_ms);
        json!({ "taskSpec": payload, "steps": [step], "bestEffort": true }).to_string()
    }

    /// Submits the job once to the entry at `front`.
    async fn submit(self, client: &Client, front: SocketAddr) -> CallerAnswer {
        let request = client.post(format!("http://{front}{PATH_PREFIX}{:016x}", self.id));
        let request = request.header("host", HOST).header("content-type", "application/json");
        let request = request.header(DEADLINE_HEADER, DEADLINE.as_millis().to_string());
        let request = request.timeout(DEADLINE + DEADLINE_SLACK).body(self.body());
        match request.send().await {
            Ok(response) => CallerAnswer::Status(response.status().as_u16()),
            Err(error) if error.is_timeout() => CallerAnswer::TimedOut,
            Err(_) => CallerAnswer::ConnectionBroken,
        }
    }

    /// Submits the job to one entry after the other until its answer is final; returns all answers.
    async fn submit_until_answered(
        self,
        client: Client,
        fronts: Vec<SocketAddr>,
    ) -> Vec<CallerAnswer> {
        let mut answers = Vec::new();
        loop {
            let front = fronts[(self.first_entry + answers.len()) % fronts.len()];
            let answer = self.submit(&client, front).await;
            answers.push(answer);
            if !answer.permits_resubmission() || answers.len() == MAX_SUBMISSIONS {
                return answers;
            }
            tokio::time::sleep(RESUBMIT_DELAY).await;
        }
    }
}

/// Submits jobs at a steady rate and waits for the last answer of each.
pub async fn submit_jobs(size: PlaySize, fronts: Vec<SocketAddr>) -> CallerTally {
    // The load balancer may send each job of a caller to another entry.
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0).build().expect("a client");
    let mut random = ChaCha8Rng::seed_from_u64(size.seed);
    let mut submissions = JoinSet::new();
    let began = Instant::now();
    let count = size.jobs_per_second * size.length.as_secs() as u32;
    for index in 0..count {
        let due = began + Duration::from_secs(1) * index / size.jobs_per_second;
        tokio::time::sleep_until(due).await;
        let job = CallerJob::draw(&mut random, fronts.len());
        submissions.spawn(job.submit_until_answered(client.clone(), fronts.clone()));
    }
    let mut tally = CallerTally::default();
    for mut answers in submissions.join_all().await {
        let last = answers.pop().expect("an answer");
        *tally.last.entry(last).or_default() += 1;
        for answer in answers {
            *tally.resubmitted.entry(answer).or_default() += 1;
        }
    }
    tally
}
