//! Limits that a job can exceed, with the values that were compared.

use crate::named_enum::named_enum;
use std::fmt;

named_enum! {
    /// Name of a limit, which ends in the unit unless the limit is a count.
    pub enum LimitName {
        /// Largest request body.
        BodyBytes = "body_bytes",
        /// Longest name in a request.
        NameBytes = "name_bytes",
        /// Least number of tasks in a job.
        LeastTasks = "least_tasks",
        /// Largest number of tasks in a job.
        TasksPerJob = "tasks_per_job",
        /// Longest deadline that a caller may request.
        LongestDeadlineMs = "longest_deadline_ms",
        /// Slots of the largest server of the service.
        SlotsPerServer = "slots_per_server",
        /// Least number of servers of the service that are in service.
        ServersInService = "servers_in_service",
        /// Age of the confirmation of the configuration.
        LeaseMs = "lease_ms",
        /// Tasks of all jobs that are not yet answered.
        TasksHeld = "tasks_held",
        /// Tasks of the team that are not yet answered, at all entries.
        TasksInFlight = "tasks_in_flight",
        /// Deadline of the job, compared with the expected or the elapsed time.
        DeadlineMs = "deadline_ms",
        /// Time after which the job is late, compared with its wait.
        LateAfterMs = "late_after_ms",
        /// Time after which the answer is of no use, compared with the wait of the job.
        PatienceMs = "patience_ms",
        /// Time until the answer is of no use, compared with the expected time until the job starts.
        RoomMs = "room_ms",
        /// Starts of one task.
        Attempts = "attempts",
        /// Servers that were lost while one task ran on them.
        ServersLost = "servers_lost",
        /// Retries that the budget still allows.
        RetryBudget = "retry_budget",
        /// Index of the failed task.
        TaskIndex = "task_index",
        /// Whether the request has to state its time of creation.
        CreatedAtRequired = "created_at_required",
        /// How far the clock of the caller may be ahead.
        ClockLeadMs = "clock_lead_ms",
        /// Age of the idempotency key.
        ClaimWindowMs = "claim_window_ms",
        /// Time within which the log has to confirm a claim.
        ClaimTimeoutMs = "claim_timeout_ms",
        /// Jobs with the same idempotency key.
        JobsPerRequestKey = "jobs_per_request_key",
    }
}

/// Limit that led to an error, its value, and the value that was compared with it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitDetails {
    /// The limit; `None` if no limit applies.
    pub limit: Option<LimitName>,
    /// Value of the limit, in the unit given by the suffix of its name.
    pub allowed: u64,
    /// Value that was compared with the limit, in the same unit.
    pub actual: u64,
}

impl LimitDetails {
    /// Creates the details of `limit`.
    pub fn new(limit: LimitName, allowed: u64, actual: u64) -> Self {
        Self { limit: Some(limit), allowed, actual }
    }

    /// Name of the limit, or an empty string if no limit applies.
    pub fn name(&self) -> &'static str {
        self.limit.map_or("", LimitName::name)
    }
}

impl fmt::Display for LimitName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
