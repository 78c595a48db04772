//! Open-loop load generator: submits each job of a trace at its intended time, even if earlier jobs
//! have not been answered.

use super::configure::send_change;
use super::file::{DomainAction, ExperimentFile, ScheduledAction};
use super::trace::TraceJob;
use crate::error::StandinError;
use error_stack::{Report, ResultExt};
use futures_util::future::join_all;
use indicatif::{ProgressBar, ProgressStyle};
use parsleyspool_wire::caller::{ErrorBody, SubmitBody, TaskBody};
use parsleyspool_wire::config::{ChangeWire, DomainAvailabilityWire};
use reqwest::Client;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Outcome of one job as its client sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The client received the answers of all tasks.
    Complete,
    /// The client received an error: its kind, and whether it states that no task was started.
    Failed(String, bool),
    /// The connection failed, or the error was unreadable.
    ConnectionFailed,
    /// The client cancelled the job, as the trace prescribes.
    Cancelled,
}

/// Result of one job of the trace.
#[derive(Debug, Clone)]
pub struct ClientResult {
    /// Index of the job in the trace.
    pub index: usize,
    /// Time from the intended submission until the client has the answer, including the client's
    /// delay in both directions.
    pub response_time: Duration,
    /// Outcome of the job.
    pub outcome: ClientOutcome,
}

/// Results of all jobs, and the times at which the scheduled actions took effect.
#[derive(Debug)]
pub struct LoadRun {
    /// Results, in the order of the trace. A job whose client panicked has none.
    pub results: Vec<ClientResult>,
    /// Start of the trace, as time since the Unix epoch.
    pub start_wall_clock: Duration,
    /// Scheduled actions, each with the time from the start until an entry accepted it.
    pub actions: Vec<(ScheduledAction, Duration)>,
}

/// Time from the call of [`submit_trace`] to the start of the trace, so that all clients are ready
/// when it starts.
const START_DELAY: Duration = Duration::from_millis(300);
/// Time after which a client cancels a job that the trace marks as cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(20);

/// Submits every job at its intended time, runs the scheduled actions and waits for all answers.
///
/// # Errors
/// Fails if the HTTP client cannot be built, or if an action fails or is not accepted.
pub async fn submit_trace(
    file: &ExperimentFile,
    jobs: &[TraceJob],
) -> Result<LoadRun, Report<StandinError>> {
    let client = Client::builder().no_proxy().tcp_nodelay(true).build();
    let client = client.change_context(StandinError::Request)?;
    let progress = Arc::new(progress_bar(jobs.len() as u64));
    let start = Instant::now() + START_DELAY;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start_wall_clock = now + START_DELAY;
    let actions = run_actions(file.clone(), client.clone(), start);
    let actions = tokio::spawn(actions);
    let tasks = jobs.iter().enumerate().map(|(index, job)| {
        let call = ClientCall {
            index,
            entry: file.entries[job.entry_index],
            body: submit_body(file, index, job, start_wall_clock),
            delay: file.client_delay,
            is_cancelled: job.is_cancelled,
        };
        let (client, progress) = (client.clone(), progress.clone());
        let submit_at = start + job.at;
        tokio::spawn(async move {
            tokio::time::sleep_until(submit_at).await;
            let result = call.run(&client, submit_at).await;
            progress.inc(1);
            result
        })
    });
    let results = join_all(tasks.collect::<Vec<_>>()).await;
    progress.finish_and_clear();
    let actions = actions.await.change_context(StandinError::Request)??;
    let results = results.into_iter().filter_map(Result::ok).collect();
    Ok(LoadRun { results, start_wall_clock, actions })
}

fn progress_bar(jobs: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{elapsed} {wide_bar} {pos}/{len} jobs");
    let bar = ProgressBar::new(jobs);
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

fn submit_body(
    file: &ExperimentFile,
    index: usize,
    job: &TraceJob,
    start_wall_clock: Duration,
) -> SubmitBody {
    let task = |time: &Duration| TaskBody {
        request: job.request.clone(),
        payload: format!("{}us", time.as_micros()),
    };
    SubmitBody {
        job: format!("{}-{index}", file.name),
        team: file.team.clone(),
        service: file.service.clone(),
        deadline_ms: u64::try_from(file.deadline_of(job).as_millis()).ok(),
        created_at_ms: u64::try_from((start_wall_clock + job.at).as_millis()).ok(),
        tasks: job.run_times.iter().map(task).collect(),
    }
}

/// Submission of one job by its client.
struct ClientCall {
    index: usize,
    entry: SocketAddr,
    body: SubmitBody,
    delay: Duration,
    is_cancelled: bool,
}

impl ClientCall {
    async fn run(self, client: &Client, submit_at: Instant) -> ClientResult {
        tokio::time::sleep(self.delay).await;
        let request = client.post(format!("http://{}/v1/jobs", self.entry)).json(&self.body);
        let outcome = if self.is_cancelled {
            let _ = tokio::time::timeout(CANCEL_AFTER, request.send()).await;
            ClientOutcome::Cancelled
        } else {
            send_request(request).await
        };
        tokio::time::sleep(self.delay).await;
        ClientResult { index: self.index, response_time: submit_at.elapsed(), outcome }
    }
}

async fn send_request(request: reqwest::RequestBuilder) -> ClientOutcome {
    let Ok(response) = request.send().await else { return ClientOutcome::ConnectionFailed };
    let is_success = response.status().is_success();
    let Ok(body) = response.bytes().await else { return ClientOutcome::ConnectionFailed };
    if is_success {
        return ClientOutcome::Complete;
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(error) => ClientOutcome::Failed(error.kind, error.not_run),
        Err(_) => ClientOutcome::ConnectionFailed,
    }
}

async fn run_actions(
    file: ExperimentFile,
    client: Client,
    start: Instant,
) -> Result<Vec<(ScheduledAction, Duration)>, Report<StandinError>> {
    let mut accepted = Vec::new();
    for action in file.actions {
        tokio::time::sleep_until(start + action.at).await;
        run_action(&client, file.operators[0], &action).await?;
        accepted.push((action, start.elapsed()));
    }
    Ok(accepted)
}

async fn run_action(
    client: &Client,
    entry: SocketAddr,
    action: &ScheduledAction,
) -> Result<(), Report<StandinError>> {
    let availability = match action.action {
        DomainAction::Out => DomainAvailabilityWire::OutOfService,
        DomainAction::Back => DomainAvailabilityWire::InService,
    };
    let subject = format!("domain/{}", action.domain);
    let change = ChangeWire::SetDomainAvailability { domain: action.domain.clone(), availability };
    send_change(client, entry, &subject, change).await.map(|_| ())
}
