//! Submission of a trace to real entries, open loop.

use super::file::{DomainAction, ExperimentFile, ScheduledAction};
use super::trace::TraceJob;
use crate::error::StandinError;
use error_stack::{Report, ResultExt};
use futures_util::future::join_all;
use indicatif::{ProgressBar, ProgressStyle};
use parsleyspool_wire::caller::{ErrorBody, SubmitBody, TaskBody};
use parsleyspool_wire::operator::{ChangeBody, ChangeOutcomeBody, ConfigBody};
use parsleyspool_wire::settings::{ChangeWire, DomainAvailabilityWire};
use reqwest::Client;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use uuid::Uuid;

/// What a client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DriveOutcome {
    /// The whole answer.
    Whole,
    /// A refusal or failure of this kind, and whether it says that nothing ran.
    Refused(String, bool),
    /// The connection broke.
    Broken,
    /// The client gave up, as the trace says.
    GivenUp,
}

/// Result of one job.
#[derive(Debug, Clone)]
pub struct DriveResult {
    /// Position in the trace.
    pub index: usize,
    /// Time from the intended arrival to the answer at the client.
    pub response: Duration,
    /// What the client got.
    pub outcome: DriveOutcome,
}

/// Results with the times of the actions.
#[derive(Debug)]
pub struct DriveRun {
    /// Results in the order of the trace.
    pub results: Vec<DriveResult>,
    /// Wall clock of the start.
    pub started_wall: Duration,
    /// Actions with the time at which each was accepted, from the start.
    pub actions: Vec<(ScheduledAction, Duration)>,
}

/// Time before the first arrival, so that every client is ready.
const LEAD: Duration = Duration::from_millis(300);
/// Time after which a client that gives up does so.
const GIVE_UP: Duration = Duration::from_millis(20);

/// Submits every job at its intended time and waits for all answers.
///
/// # Errors
/// Fails where an action cannot be made.
pub async fn drive(
    file: &ExperimentFile,
    jobs: &[TraceJob],
) -> Result<DriveRun, Report<StandinError>> {
    let client = Client::builder().no_proxy().tcp_nodelay(true).build();
    let client = client.change_context(StandinError::Request)?;
    let progress = Arc::new(progress(jobs.len() as u64));
    let start = Instant::now() + LEAD;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let started_wall = now + LEAD;
    let acting = act_all(file.clone(), client.clone(), start);
    let acting = tokio::spawn(acting);
    let tasks = jobs.iter().enumerate().map(|(index, job)| {
        let call = Call {
            index,
            entry: file.entries[job.entry],
            body: body(file, index, job, started_wall),
            delay: file.client_delay,
            gives_up: job.is_cancelled,
        };
        let (client, progress) = (client.clone(), progress.clone());
        let at = start + job.at;
        tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            let result = call.make(&client, at).await;
            progress.inc(1);
            result
        })
    });
    let results = join_all(tasks.collect::<Vec<_>>()).await;
    progress.finish_and_clear();
    let actions = acting.await.change_context(StandinError::Request)??;
    let results = results.into_iter().filter_map(Result::ok).collect();
    Ok(DriveRun { results, started_wall, actions })
}

fn progress(jobs: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{elapsed} {wide_bar} {pos}/{len} jobs");
    let bar = ProgressBar::new(jobs);
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

fn body(file: &ExperimentFile, index: usize, job: &TraceJob, wall: Duration) -> SubmitBody {
    let task = |time: &Duration| TaskBody {
        request: job.request.clone(),
        payload: format!("{}us", time.as_micros()),
    };
    SubmitBody {
        job: format!("{}-{index}", file.name),
        team: file.team.clone(),
        service: file.service.clone(),
        deadline_ms: u64::try_from(file.deadline.as_millis()).ok(),
        created_at_ms: u64::try_from((wall + job.at).as_millis()).ok(),
        tasks: job.tasks.iter().map(task).collect(),
    }
}

/// One submission.
struct Call {
    index: usize,
    entry: SocketAddr,
    body: SubmitBody,
    delay: Duration,
    gives_up: bool,
}

impl Call {
    async fn make(self, client: &Client, at: Instant) -> DriveResult {
        tokio::time::sleep(self.delay).await;
        let request = client.post(format!("http://{}/v1/jobs", self.entry)).json(&self.body);
        let outcome = if self.gives_up {
            let _ = tokio::time::timeout(GIVE_UP, request.send()).await;
            DriveOutcome::GivenUp
        } else {
            answer(request).await
        };
        tokio::time::sleep(self.delay).await;
        DriveResult { index: self.index, response: at.elapsed(), outcome }
    }
}

async fn answer(request: reqwest::RequestBuilder) -> DriveOutcome {
    let Ok(response) = request.send().await else { return DriveOutcome::Broken };
    let is_whole = response.status().is_success();
    let Ok(body) = response.bytes().await else { return DriveOutcome::Broken };
    if is_whole {
        return DriveOutcome::Whole;
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(error) => DriveOutcome::Refused(error.kind, error.not_run),
        Err(_) => DriveOutcome::Broken,
    }
}

async fn act_all(
    file: ExperimentFile,
    client: Client,
    start: Instant,
) -> Result<Vec<(ScheduledAction, Duration)>, Report<StandinError>> {
    let mut made = Vec::new();
    for action in file.actions {
        tokio::time::sleep_until(start + action.at).await;
        act(&client, file.operators[0], &action).await?;
        made.push((action, start.elapsed()));
    }
    Ok(made)
}

async fn act(
    client: &Client,
    entry: SocketAddr,
    action: &ScheduledAction,
) -> Result<(), Report<StandinError>> {
    let request = client.get(format!("http://{entry}/v1/config"));
    let response = request.send().await.change_context(StandinError::Request)?;
    let config: ConfigBody = response.json().await.change_context(StandinError::Request)?;
    let subject = format!("domain/{}", action.domain);
    let availability = match action.action {
        DomainAction::Out => DomainAvailabilityWire::OutOfService,
        DomainAction::Back => DomainAvailabilityWire::InService,
    };
    let body = ChangeBody {
        id: Uuid::new_v4().simple().to_string(),
        operator: "experiment".to_owned(),
        base: config.configuration.subjects.get(&subject).copied().unwrap_or(0),
        change: ChangeWire::SetDomainAvailability { domain: action.domain.clone(), availability },
    };
    let request = client.post(format!("http://{entry}/v1/changes")).json(&body);
    let response = request.send().await.change_context(StandinError::Request)?;
    let outcome: ChangeOutcomeBody = response.json().await.change_context(StandinError::Request)?;
    match outcome {
        ChangeOutcomeBody::Accepted { .. } => Ok(()),
        other => Err(Report::new(StandinError::Request).attach(format!("{other:?}"))),
    }
}
