//! The `run` subcommand: runs all roles in one process and submits the jobs of a job file.

use clap::Args;
use error_stack::{Report, ResultExt};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use parsleyspool_standins::embedded::{ClusterOptions, EmbeddedCluster};
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::job_file::JobFile;
use parsleyspool_wire::caller::{AnswerBody, ErrorBody, SubmitBody};
use parsleyspool_wire::operator::ChangeOutcomeBody;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Arguments of `run`.
#[derive(Debug, Args)]
pub struct RunArgs {
    /// Path of the job file.
    #[arg(default_value = "examples/jobs.yaml")]
    file: PathBuf,
}

enum JobOutcome {
    Complete(AnswerBody),
    Failed(ErrorBody),
    Unreadable(u16),
}

struct JobResult {
    job: String,
    tasks: usize,
    took: Duration,
    outcome: JobOutcome,
}

impl RunArgs {
    /// Starts all roles, applies the changes, submits the jobs, and prints answers and a summary.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        let file = JobFile::load(&self.file)?;
        let cluster = EmbeddedCluster::start(&ClusterOptions::small(file.services())).await?;
        for change in file.changes {
            let outcome = cluster.apply_change(change, 0).await?;
            println!("change {}", describe(&outcome));
        }
        cluster.wait_until_ready(cluster.agents.len()).await?;
        let started = Instant::now();
        let jobs = file.jobs.into_iter().map(|job| submit(&cluster, job));
        let results: Result<Vec<_>, _> = join_all(jobs).await.into_iter().collect();
        let results = results?;
        let took = started.elapsed();
        for result in &results {
            print_result(result);
        }
        print_summary(&results, took);
        cluster.shut_down();
        Ok(())
    }
}

fn describe(outcome: &ChangeOutcomeBody) -> String {
    match outcome {
        ChangeOutcomeBody::Accepted { version } => format!("outcome=accepted version={version}"),
        ChangeOutcomeBody::Rejected { current } => format!("outcome=rejected current={current}"),
        ChangeOutcomeBody::Unconfirmed { version } => {
            format!("outcome=unconfirmed version={version}")
        }
        ChangeOutcomeBody::Unknown => "outcome=unknown".to_owned(),
    }
}

async fn submit(
    cluster: &EmbeddedCluster,
    mut job: SubmitBody,
) -> Result<JobResult, Report<StandinError>> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    job.created_at_ms.get_or_insert(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
    let started = Instant::now();
    let request = cluster.client().post(cluster.caller_url(0)).json(&job);
    let response = request.send().await.change_context(StandinError::Request)?;
    let status = response.status();
    let body = response.bytes().await.change_context(StandinError::Request)?;
    let outcome = if status.is_success() {
        JobOutcome::Complete(serde_json::from_slice(&body).change_context(StandinError::Request)?)
    } else {
        let failed = serde_json::from_slice(&body).map(JobOutcome::Failed);
        failed.unwrap_or(JobOutcome::Unreadable(status.as_u16()))
    };
    Ok(JobResult { job: job.job, tasks: job.tasks.len(), took: started.elapsed(), outcome })
}

fn print_result(result: &JobResult) {
    let took = result.took.as_millis();
    match &result.outcome {
        JobOutcome::Complete(body) => {
            println!("job={} outcome=complete tasks={} took_ms={took}", result.job, result.tasks);
            for (index, answer) in body.answers.iter().enumerate().take(MAX_PRINTED_ANSWERS) {
                println!("  task={index} answer={answer:?}");
            }
            if body.answers.len() > MAX_PRINTED_ANSWERS {
                println!("  and {} more answers", body.answers.len() - MAX_PRINTED_ANSWERS);
            }
        }
        JobOutcome::Failed(body) => println!(
            "job={} outcome={} not_run={} limit={} allowed={} actual={} took_ms={took}",
            result.job, body.kind, body.not_run, body.limit, body.allowed, body.actual
        ),
        JobOutcome::Unreadable(status) => {
            println!("job={} outcome=unreadable status={status}", result.job);
        }
    }
}

/// Maximum number of answers printed per job.
const MAX_PRINTED_ANSWERS: usize = 3;
/// Percentiles of the job response time in the summary.
const PERCENTILES: [f64; 3] = [50.0, 90.0, 99.0];

fn print_summary(results: &[JobResult], took: Duration) {
    let is_complete = |result: &&JobResult| matches!(result.outcome, JobOutcome::Complete(_));
    let complete: Vec<&JobResult> = results.iter().filter(is_complete).collect();
    let tasks: usize = complete.iter().map(|result| result.tasks).sum();
    println!(
        "figures jobs={} complete={} tasks={tasks} took_ms={}",
        results.len(),
        complete.len(),
        took.as_millis()
    );
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return };
    for result in &complete {
        let _ = histogram.record(u64::try_from(result.took.as_micros()).unwrap_or(u64::MAX));
    }
    for percentile in PERCENTILES {
        let value = histogram.value_at_percentile(percentile);
        println!("figures percentile={percentile} job_ms={:.1}", value as f64 / 1000.0);
    }
}
