//! Assertions about the task starts and timelines of a deployment.

use crate::caller::CallerReply;
use crate::deployment::Deployment;
use parsleyspool_core::checker::{GracePeriods, ObservedEvent, check};
use parsleyspool_wire::operator::TimelineBody;
use std::collections::HashMap;

impl Deployment {
    /// Number of task starts at the backend server at `index`.
    pub fn starts_at(&self, index: usize) -> u32 {
        self.backends[index].starts().iter().map(|(_, count)| count).sum()
    }

    /// Number of starts of the tasks with this key in their payload.
    pub fn starts_of(&self, key: &str) -> u32 {
        let starts = self.backends.iter().flat_map(|backend| backend.starts());
        starts.filter(|(start, _)| start.key == key).map(|(_, count)| count).sum()
    }

    fn starts(&self) -> HashMap<(String, u32), u32> {
        let mut starts = HashMap::new();
        for (start, count) in self.backends.iter().flat_map(|backend| backend.starts()) {
            *starts.entry((start.submission, start.task)).or_insert(0) += count;
        }
        starts
    }

    pub fn assert_nothing_started_twice(&self) {
        let twice: Vec<_> = self.starts().into_iter().filter(|(_, count)| *count > 1).collect();
        assert!(twice.is_empty(), "started twice: {twice:?}");
    }

    pub fn assert_refused_jobs_not_run(&self, replies: &[CallerReply]) {
        let starts = self.starts();
        for error in replies.iter().filter_map(CallerReply::error).filter(|error| error.not_run) {
            let ran = starts.keys().any(|(submission, _)| *submission == error.submission);
            assert!(!ran, "{error:?} was reported as not run, but ran");
        }
    }

    /// Checks the timeline invariants over the events of the running processes and of the replaced
    /// agents.
    pub async fn assert_timeline_invariants(&self) {
        let mut bodies = self.past_timelines.clone();
        let entries = self.entries.iter().filter(|process| process.child.is_some());
        let agents = self.agents.iter().filter(|process| process.child.is_some());
        let addresses =
            entries.map(|process| process.peers).chain(agents.map(|process| process.listen));
        for address in addresses {
            bodies.extend(self.get_at::<TimelineBody>(address, "/v1/timeline").await);
        }
        let events: Vec<ObservedEvent> =
            bodies.iter().flat_map(TimelineBody::observed_events).collect();
        let event_count: usize = bodies.iter().map(|body| body.events.len()).sum();
        assert_eq!(events.len(), event_count, "every event is decoded");
        assert!(events.iter().all(|observed| observed.incarnation != 0));
        let report = check(&events, GracePeriods::default());
        assert!(report.violations.is_empty(), "{:?}", report.violations);
        assert!(report.starts > 0);
    }
}
