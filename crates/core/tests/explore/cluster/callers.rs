//! Callers that submit and cancel jobs.

use super::*;

impl SimulatedCluster {
    pub(super) fn submit(&mut self, entry: usize, job: u8) {
        let waiter_id = self.next_waiter_id;
        self.next_waiter_id += 1;
        let request: Arc<str> = if job.is_multiple_of(3) { "redeem".into() } else { "look".into() };
        let tasks = 1 + u32::from(job / 64);
        self.task_counts.insert(waiter_id, tasks);
        let task = |index: u32| TaskRequest {
            demand: None,
            request_name: request.clone(),
            payload: Bytes::from(format!("p{index}")),
        };
        let request = JobRequest {
            name: format!("j{}", job % 5).into(),
            team: "t".into(),
            service: "s".into(),
            deadline: Some(Duration::from_millis(2000 + 20 * u64::from(job))),
            created_at: Some(WALL_CLOCK_AT_ZERO),
            task_groups: (0..tasks).map(task).map(TaskGroup::from).collect(),
        };
        self.open_waiters.push((entry, waiter_id));
        self.handle_entry_event(entry, EntryEvent::Submit { waiter_id, request });
    }

    pub(super) fn cancel(&mut self, choice: u8) {
        if self.open_waiters.is_empty() {
            return;
        }
        let index = usize::from(choice) % self.open_waiters.len();
        let (entry, waiter_id) = self.open_waiters.remove(index);
        self.handle_entry_event(entry, EntryEvent::Cancel { waiter_id });
    }
}
