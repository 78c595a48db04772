//! `parsleyspool timeline`.

use crate::client::{ClientOptions, OperatorClient};
use crate::collected_events::CollectedEvents;
use crate::error::CommandError;
use crate::output::{print_json, print_line};
use crate::timeline_chart;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_core::id::{SubmissionId, parse_id};
use parsleyspool_core::timeline::EventKind;
use parsleyspool_wire::operator::EventBody;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// Only this submission, by its id from an answer or refusal record.
    #[arg(long)]
    submission: Option<String>,
    /// Only the submissions of the job with this name.
    #[arg(long, conflicts_with = "submission")]
    job: Option<String>,
    /// Only this task of the submission.
    #[arg(long, requires = "submission")]
    task: Option<u32>,
    /// Only events about this failure domain and from its processes.
    #[arg(long)]
    domain: Option<String>,
    /// Only the processes of this worker.
    #[arg(long)]
    worker: Option<String>,
    /// Only this process.
    #[arg(long)]
    process: Option<String>,
    /// Only events from the last period of this length.
    #[arg(long, value_parser = humantime::parse_duration)]
    last: Option<Duration>,
    /// Also draw the events as an SVG chart to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// Event in the JSON output.
#[derive(Debug, Serialize)]
struct TimelineLine {
    process: String,
    #[serde(flatten)]
    event: EventBody,
}

#[derive(Debug, Serialize)]
struct TimelineReport {
    events: Vec<TimelineLine>,
    gaps: Vec<String>,
}

impl TimelineArgs {
    /// Collects the events, and prints those that match the options; also draws them if `--svg` is
    /// given.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let submission_id = self.parsed_submission()?;
        let client = OperatorClient::new(options)?;
        let collected = CollectedEvents::collect(&client).await;
        let submissions = self.shown_submissions(submission_id, &collected);
        let events = collected.events.iter();
        let shown: Vec<&ObservedEvent> =
            events.filter(|event| self.is_shown(event, submissions.as_ref(), &collected)).collect();
        if let Some(path) = &self.svg {
            let text = timeline_chart::render_svg(&shown).change_context(CommandError::Input)?;
            std::fs::write(path, text).change_context(CommandError::Input)?;
        }
        if client.options().json {
            return print_json(&report(&shown, &collected));
        }
        for observed in shown {
            print_line!("{}", format_event(observed));
        }
        for gap in collected.gaps() {
            print_line!("gap: {gap}");
        }
        Ok(())
    }

    fn parsed_submission(&self) -> Result<Option<SubmissionId>, Report<CommandError>> {
        let Some(text) = &self.submission else { return Ok(None) };
        let parsed = parse_id(text);
        let invalid =
            || Report::new(CommandError::Input).attach("the submission is not a valid id");
        Ok(Some(parsed.ok_or_else(invalid)?))
    }

    /// Submissions to show; `None` if all are shown.
    fn shown_submissions(
        &self,
        submission_id: Option<SubmissionId>,
        collected: &CollectedEvents,
    ) -> Option<BTreeSet<SubmissionId>> {
        let Some(job) = &self.job else { return submission_id.map(|id| BTreeSet::from([id])) };
        let matching = collected.events.iter().filter(|observed| {
            let event = &observed.event;
            let is_job_event = matches!(event.kind, EventKind::JobAdmitted | EventKind::JobRefused);
            is_job_event && event.subject.as_deref() == Some(job)
        });
        Some(matching.filter_map(|observed| observed.event.submission).collect())
    }

    fn is_shown(
        &self,
        observed: &ObservedEvent,
        submissions: Option<&BTreeSet<SubmissionId>>,
        collected: &CollectedEvents,
    ) -> bool {
        let event = &observed.event;
        let is_subject = |name: &str| event.subject.as_deref() == Some(name);
        let worker = collected.workers.get(&*observed.process);
        let is_in =
            |ids: &BTreeSet<SubmissionId>| event.submission.is_some_and(|id| ids.contains(&id));
        submissions.is_none_or(is_in)
            && self.task.is_none_or(|task| event.task.is_none_or(|index| index == task))
            && self
                .domain
                .as_ref()
                .is_none_or(|name| is_subject(name) || *observed.domain == **name)
            && self.worker.as_ref().is_none_or(|name| worker == Some(name))
            && self.process.as_ref().is_none_or(|name| *observed.process == **name)
            && self.last.is_none_or(|last| is_recent(observed, last))
    }
}

fn is_recent(observed: &ObservedEvent, last: Duration) -> bool {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Duration::from_micros(observed.event.stamp.wall_us) + last >= now
}

/// Formats an event as one line.
pub fn format_event(observed: &ObservedEvent) -> String {
    let stamp = observed.event.stamp;
    let time = UNIX_EPOCH + Duration::from_micros(stamp.wall_us);
    let time = humantime::format_rfc3339_micros(time);
    format!("{time}.{:03} process={} {}", stamp.counter, observed.process, observed.event)
}

fn report(shown: &[&ObservedEvent], collected: &CollectedEvents) -> TimelineReport {
    let events = shown.iter().map(|observed| TimelineLine {
        process: observed.process.to_string(),
        event: (&observed.event).into(),
    });
    TimelineReport { events: events.collect(), gaps: collected.gaps() }
}
