//! `parsleyspool timeline`.

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::gather::GatheredEvents;
use crate::output::{print_json, say};
use crate::picture;
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
    /// Only this submission, as an answer or account names it.
    #[arg(long)]
    submission: Option<String>,
    /// Only the submissions of the job of this name.
    #[arg(long, conflicts_with = "submission")]
    job: Option<String>,
    /// Only this task of the submission.
    #[arg(long, requires = "submission")]
    task: Option<u32>,
    /// Only this failure domain: its orders and its processes.
    #[arg(long)]
    domain: Option<String>,
    /// Only this worker: its processes.
    #[arg(long)]
    worker: Option<String>,
    /// Only this process.
    #[arg(long)]
    process: Option<String>,
    /// Only the latest span of time.
    #[arg(long, value_parser = humantime::parse_duration)]
    last: Option<Duration>,
    /// Write a picture to this file, in SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// One line of the time line as JSON.
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
    /// Gathers the events, and prints or draws those asked for.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let given = self.parsed_submission()?;
        let client = OperatorClient::new(options)?;
        let gathered = GatheredEvents::load(&client).await;
        let submissions = self.submissions(given, &gathered);
        let events = gathered.events.iter();
        let shown: Vec<&ObservedEvent> =
            events.filter(|event| self.is_shown(event, submissions.as_ref(), &gathered)).collect();
        if let Some(path) = &self.svg {
            let text = picture::draw(&shown).change_context(CommandError::Input)?;
            std::fs::write(path, text).change_context(CommandError::Input)?;
        }
        if client.options().json {
            return print_json(&report(&shown, &gathered));
        }
        for observed in shown {
            say!("{}", line(observed));
        }
        for gap in gathered.gaps() {
            say!("gap: {gap}");
        }
        Ok(())
    }

    fn parsed_submission(&self) -> Result<Option<SubmissionId>, Report<CommandError>> {
        let Some(text) = &self.submission else { return Ok(None) };
        let parsed = parse_id(text);
        let bad = || Report::new(CommandError::Input).attach("the submission is no identifier");
        Ok(Some(parsed.ok_or_else(bad)?))
    }

    /// Submissions to show; `None` where all are.
    fn submissions(
        &self,
        given: Option<SubmissionId>,
        gathered: &GatheredEvents,
    ) -> Option<BTreeSet<SubmissionId>> {
        let Some(job) = &self.job else { return given.map(|id| BTreeSet::from([id])) };
        let named = gathered.events.iter().filter(|observed| {
            let event = &observed.event;
            let is_first = matches!(event.kind, EventKind::JobAdmitted | EventKind::JobRefused);
            is_first && event.subject.as_deref() == Some(job)
        });
        Some(named.filter_map(|observed| observed.event.submission).collect())
    }

    fn is_shown(
        &self,
        observed: &ObservedEvent,
        submissions: Option<&BTreeSet<SubmissionId>>,
        gathered: &GatheredEvents,
    ) -> bool {
        let event = &observed.event;
        let is_subject = |name: &str| event.subject.as_deref() == Some(name);
        let worker = gathered.workers.get(&*observed.process);
        let is_of =
            |ids: &BTreeSet<SubmissionId>| event.submission.is_some_and(|id| ids.contains(&id));
        submissions.is_none_or(is_of)
            && self.task.is_none_or(|task| event.task.is_none_or(|other| other == task))
            && self
                .domain
                .as_ref()
                .is_none_or(|name| is_subject(name) || *observed.domain == **name)
            && self.worker.as_ref().is_none_or(|name| worker == Some(name))
            && self.process.as_ref().is_none_or(|name| *observed.process == **name)
            && self.last.is_none_or(|last| is_within(observed, last))
    }
}

fn is_within(observed: &ObservedEvent, last: Duration) -> bool {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Duration::from_micros(observed.event.stamp.wall_us) + last >= now
}

/// One event as a line.
pub fn line(observed: &ObservedEvent) -> String {
    let stamp = observed.event.stamp;
    let time = UNIX_EPOCH + Duration::from_micros(stamp.wall_us);
    let time = humantime::format_rfc3339_micros(time);
    format!("{time}.{:03} process={} {}", stamp.counter, observed.process, observed.event)
}

fn report(shown: &[&ObservedEvent], gathered: &GatheredEvents) -> TimelineReport {
    let events = shown.iter().map(|observed| TimelineLine {
        process: observed.process.to_string(),
        event: (&observed.event).into(),
    });
    TimelineReport { events: events.collect(), gaps: gathered.gaps() }
}
