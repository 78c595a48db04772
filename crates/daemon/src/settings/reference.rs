//! Reference of every setting.
//!
//! The documentation renders this table, and a test holds it equal to the keys that the settings
//! types take.

/// One key.
#[derive(Debug)]
pub struct SettingRow {
    /// Dotted path.
    pub key: &'static str,
    /// Type and unit.
    pub unit: &'static str,
    /// What it sets.
    pub help: &'static str,
}

const fn row(key: &'static str, unit: &'static str, help: &'static str) -> SettingRow {
    SettingRow { key, unit, help }
}

/// Every key of both kinds of file.
pub const SETTING_TABLE: [SettingRow; 70] = [
    row("entry.name", "text", "name of the entry, kept over replacements"),
    row("entry.domain", "text", "failure domain of the entry"),
    row("entry.rank", "number", "position among the entries, to keep them out of step"),
    row("entry.listen.callers", "ip:port", "listener for callers"),
    row("entry.listen.peers", "ip:port", "listener for agents, other entries and operators"),
    row(
        "entry.listen.advertise",
        "ip:port",
        "address under which peers reach it, where it differs",
    ),
    row("entry.log.url", "URL", "the platform's log"),
    row("entry.log.timeout", "duration", "time after which an append or read is given up"),
    row("entry.log.wait", "duration", "longest wait of one read at the end of a stream"),
    row("entry.log.retention", "duration", "time for which the log keeps records"),
    row("entry.log.streams", "list of names", "streams that the entry follows"),
    row("entry.seeds", "list of ip:port", "peer listeners of entries without a name"),
    row("entry.peers", "map of ip:port", "peer listeners of the other entries, by name"),
    row("entry.limits.tasks_per_job", "tasks", "most tasks in one job"),
    row("entry.limits.tasks_held", "tasks", "most tasks held, queued and sent together"),
    row("entry.limits.body_bytes", "bytes", "largest body of a submission"),
    row("entry.limits.longest_deadline", "duration", "longest deadline that a caller may ask for"),
    row("entry.limits.ahead", "slots", "slots filled ahead at each backend server"),
    row("entry.limits.task_surcharge", "duration", "by which each task puts its job back"),
    row("entry.limits.attempts", "starts", "starts of one task, all but the last proven not run"),
    row("entry.limits.retry_ratio", "ratio", "retries earned by each first attempt"),
    row("entry.limits.ask_after", "duration", "time beyond the expected one before asking"),
    row("entry.limits.lease", "duration", "age of evidence after which nothing starts on it"),
    row("entry.limits.warm_up", "duration", "wait after the start for servers not heard of"),
    row("entry.limits.serves_unconfirmed", "flag", "work goes on without evidence"),
    row("entry.limits.run_lease", "duration", "how long tasks run on after a heartbeat"),
    row("entry.limits.run_lapse", "duration", "time after that until every run has ended"),
    row("entry.limits.claim_timeout", "duration", "time to wait for a claim"),
    row("entry.limits.claim_window", "duration", "age after which a request key is refused"),
    row("entry.limits.answer_kept", "duration", "how long the answer of a claimed job is kept"),
    row("entry.limits.refusals_held", "records", "refusals held for the log at most"),
    row("entry.limits.ramp", "duration", "time over which a returning failure domain is filled"),
    row("entry.limits.heartbeat", "duration", "shortest heartbeat interval of the agents"),
    row("entry.limits.heartbeats_per_second", "heartbeats", "taken by the entry a second"),
    row("entry.limits.claim_appends", "appends", "of claims by all entries a second"),
    row("entry.limits.account_appends", "appends", "of accounts by all entries a second"),
    row("entry.limits.silent_after", "duration", "silence after which a server takes no new work"),
    row("entry.limits.forget_after", "duration", "silence after which a server is forgotten"),
    row("entry.limits.sample", "servers", "backend servers looked at for one placement"),
    row("entry.limits.failure_share", "ratio", "failures above which a server is set aside"),
    row("entry.limits.failures_in_row", "failures", "in a row from which a server is set aside"),
    row("entry.limits.snapshot_records", "records", "records after which state is republished"),
    row("entry.limits.placement", "name", "placement policy"),
    row("entry.telemetry.filter", "filter", "log filter at the start"),
    row("entry.telemetry.events", "events", "events kept for the time line"),
    row("entry.drain", "duration", "longest time that a planned stop waits"),
    row("agent.name", "text", "name of the backend server, kept over replacements"),
    row("agent.domain", "text", "failure domain of the backend server"),
    row("agent.worker", "text", "worker that it runs on"),
    row("agent.listen", "ip:port", "listener for entries and operators"),
    row("agent.advertise", "ip:port", "address under which entries reach it, where it differs"),
    row("agent.entries", "map of ip:port", "peer listeners of the entries, by name"),
    row("agent.seeds", "list of ip:port", "peer listeners of entries without a name"),
    row("agent.runs.lease", "duration", "lease that each call to the worker gives to all runs"),
    row("agent.runs.renewal", "duration", "time between two renewals of that lease"),
    row("agent.runs.looks", "number", "looks at the worker under way at once"),
    row("agent.backend.url", "URL", "where the backend server takes tasks"),
    row("agent.backend.worker_url", "URL", "the worker, where it can stop running tasks"),
    row("agent.backend.services", "list of text", "services that it offers"),
    row("agent.backend.slots", "slots", "tasks that it runs at once"),
    row("agent.backend.connections", "connections", "connections to it at most"),
    row("agent.backend.timeout", "duration", "time after which a task is given up"),
    row("agent.backend.answer_bytes", "bytes", "largest answer"),
    row("agent.limits.queue", "slots", "slots of tasks that may wait at the agent"),
    row("agent.limits.outcome_kept", "duration", "how long outcomes are kept"),
    row("agent.limits.outcomes_kept", "outcomes", "outcomes kept at most"),
    row("agent.limits.answer_bytes", "bytes", "bytes of answers kept at most"),
    row("agent.telemetry.filter", "filter", "log filter at the start"),
    row("agent.telemetry.events", "events", "events kept for the time line"),
    row("agent.drain", "duration", "longest time that a planned stop waits"),
];
