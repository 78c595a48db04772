//! Events that say which limit and which belief about the servers decided.

use super::admission::millis;
use super::{EntryMachine, NotStartedReason};
use crate::error::JobError;
use crate::id::TaskId;
use crate::job::LoadBelief;
use crate::time::Moment;
use crate::timeline::{EventField, EventKind, TimelineEvent};
use std::time::Duration;

impl EntryMachine {
    /// Records `event` about a job of `service` that ended with `error`, with the limit that decided
    /// and what is known of the servers.
    pub(super) fn record_job_error(
        &mut self,
        event: TimelineEvent,
        service: &str,
        error: &JobError,
        now: Moment,
    ) {
        let mut event = event.field(EventField::Kind(error.kind));
        event = event.field(EventField::NotRun(error.not_run));
        if let Some(limit) = error.details.limit {
            event = event.field(EventField::Limit(limit));
            event = event.field(EventField::Allowed(error.details.allowed));
            event = event.field(EventField::Actual(error.details.actual));
        }
        let servers = self.directory.offering(service).len() as u64;
        event = event.field(EventField::Servers(servers));
        if let Some(age) = self.oldest_load_report(service, now) {
            event = event.field(EventField::ReportAgeMs(millis(age)));
        }
        self.record_event(event);
    }

    /// Greatest age of the load reports in a sample of the servers of `service`; `None` if there is
    /// no server.
    pub(super) fn oldest_load_report(&self, service: &str, now: Moment) -> Option<Duration> {
        let sample = self.directory.even_sample(service).indexes();
        let reported_at = sample.filter_map(|index| Some(self.directory.get(index)?.load_at()));
        reported_at.min().map(|at| now.elapsed.saturating_sub(at))
    }

    /// Records that a task did not start; if its server was full, with the load that the entry
    /// believed when it sent the start.
    pub(super) fn record_returned_task(
        &mut self,
        id: TaskId,
        reason: NotStartedReason,
        belief: LoadBelief,
    ) {
        let returned = TimelineEvent::new(EventKind::TaskReturned).submission(id.submission);
        let mut returned = returned.task(id.index).field(EventField::Why(reason));
        if reason == NotStartedReason::Full {
            returned = returned.field(EventField::Load(belief.load.into()));
            returned = returned.field(EventField::ReportAgeMs(millis(belief.age)));
        }
        self.record_event(returned);
    }
}
