//! Reference of all settings.
//!
//! The documentation shows this table, and a test checks that it lists exactly the keys of the
//! settings types.

/// Description of one setting.
#[derive(Debug)]
pub struct SettingRow {
    /// Dotted path of the key.
    pub key: &'static str,
    /// Type or unit of the value.
    pub unit: &'static str,
    /// Meaning of the setting.
    pub help: &'static str,
}

const fn row(key: &'static str, unit: &'static str, help: &'static str) -> SettingRow {
    SettingRow { key, unit, help }
}

/// All settings of entries and agents.
pub const SETTING_TABLE: [SettingRow; 89] = [
    row("entry.name", "text", "name of the entry, reused by its replacement"),
    row("entry.domain", "text", "failure domain that the entry runs in"),
    row("entry.rank", "number", "index among the entries, staggers their republications"),
    row("entry.listen.callers", "ip:port", "listener for callers"),
    row("entry.listen.peers", "ip:port", "listener for agents, other entries and operators"),
    row("entry.listen.advertise", "ip:port", "address at which peers reach it, if different"),
    row("entry.log.url", "URL", "URL of the platform's log"),
    row("entry.log.timeout", "duration", "time limit for an append or a read"),
    row("entry.log.wait", "duration", "longest wait of a read at the end of a stream"),
    row("entry.log.retention", "duration", "time for which the log retains records"),
    row("entry.log.streams", "list of names", "streams that the entry follows"),
    row("entry.seeds", "list of ip:port", "peer listeners of entries with unknown names"),
    row("entry.peers", "map of ip:port", "peer listeners of the other entries, by name"),
    row("entry.limits.tasks_per_job", "tasks", "maximum number of tasks in one job"),
    row("entry.limits.tasks_held", "tasks", "maximum number of tasks, queued and sent"),
    row("entry.limits.body_bytes", "bytes", "largest body of a submission"),
    row("entry.limits.longest_deadline", "duration", "longest deadline that a caller may request"),
    row("entry.limits.ahead", "slots", "slots of tasks sent to a server beyond its own slots"),
    row("entry.limits.task_surcharge", "duration", "queue penalty per task of a job"),
    row("entry.limits.attempts", "starts", "maximum number of starts of a task, including retries"),
    row("entry.limits.retry_ratio", "ratio", "retries that each first attempt permits"),
    row(
        "entry.limits.ask_after",
        "duration",
        "delay beyond the expected time before a status query",
    ),
    row("entry.limits.lease", "duration", "how long a confirmed configuration permits starts"),
    row("entry.limits.warm_up", "duration", "time after the start to wait for servers to register"),
    row(
        "entry.limits.serves_unconfirmed",
        "flag",
        "tasks start although the configuration is not confirmed",
    ),
    row(
        "entry.limits.run_lease",
        "duration",
        "how long tasks may run after a start or a heartbeat",
    ),
    row("entry.limits.run_lapse", "duration", "time after run_lease until every run has ended"),
    row("entry.limits.claim_timeout", "duration", "time limit for the log to confirm a claim"),
    row("entry.limits.claim_window", "duration", "age after which an idempotency key is refused"),
    row("entry.limits.answer_kept", "duration", "how long the answer of a claimed job is cached"),
    row("entry.limits.refusals_held", "records", "maximum number of refusals buffered for the log"),
    row("entry.limits.ramp", "duration", "time over which a returning failure domain fills up"),
    row("entry.limits.heartbeat", "duration", "shortest heartbeat interval of the agents"),
    row(
        "entry.limits.heartbeats_per_second",
        "heartbeats",
        "maximum heartbeats per second at the entry",
    ),
    row("entry.limits.claim_appends", "appends", "appends of claims per second, for all entries"),
    row(
        "entry.limits.account_appends",
        "appends",
        "appends of refusals per second, for all entries",
    ),
    row("entry.limits.silent_after", "duration", "silence after which a server gets no new work"),
    row("entry.limits.forget_after", "duration", "silence after which a server is forgotten"),
    row("entry.limits.sample", "servers", "maximum servers considered for one placement"),
    row(
        "entry.limits.failure_share",
        "ratio",
        "share of failures above which a server is quarantined",
    ),
    row(
        "entry.limits.failures_in_row",
        "failures",
        "consecutive failures that quarantine a server",
    ),
    row(
        "entry.limits.snapshot_records",
        "records",
        "records after which the configuration is republished",
    ),
    row("entry.limits.placement", "name", "placement policy"),
    row(
        "entry.limits.cross_domain_percent",
        "percent",
        "run time saved that justifies a server in another failure domain",
    ),
    row("entry.limits.overload", "name", "order and refusal of waiting jobs: arrival or priority"),
    row("entry.machine.memory_mb", "MiB", "memory of the process, for the limits below"),
    row("entry.machine.descriptors", "descriptors", "descriptors that the process may open"),
    row("entry.inbound.memory_bytes", "bytes", "requests held; 0: an eighth of the memory"),
    row("entry.inbound.connections", "connections", "most connections; 0: from the machine"),
    row("entry.inbound.head_bytes", "bytes", "largest head of a request"),
    row("entry.inbound.head_time", "duration", "longest time for receiving a head"),
    row("entry.inbound.body_time", "duration", "longest time for receiving a body"),
    row("entry.telemetry.filter", "filter", "log filter at startup"),
    row("entry.telemetry.events", "events", "events retained for the timeline"),
    row("entry.drain", "duration", "longest time that a planned stop waits for open work"),
    row("agent.name", "text", "name of the backend server, reused by its replacement"),
    row("agent.domain", "text", "failure domain of the backend server"),
    row("agent.worker", "text", "worker that the backend server runs on"),
    row("agent.listen", "ip:port", "listener for entries and operators"),
    row("agent.advertise", "ip:port", "address at which entries reach it, if different"),
    row("agent.entries", "map of ip:port", "peer listeners of the entries, by name"),
    row("agent.seeds", "list of ip:port", "peer listeners of entries with unknown names"),
    row("agent.runs.lease", "duration", "lease that each call to the worker grants to all runs"),
    row("agent.runs.renewal", "duration", "time between two renewals of the lease"),
    row("agent.runs.looks", "number", "polls kept open at the worker"),
    row(
        "agent.runs.stop_grace",
        "duration",
        "time after the end of its run lease, or after a stop, until a run is over",
    ),
    row("agent.backend.url", "URL", "base URL that tasks are sent to"),
    row("agent.backend.worker_url", "URL", "base URL of the worker, if it can stop running tasks"),
    row("agent.backend.services", "list of text", "services that the backend server offers"),
    row("agent.backend.slots", "slots", "tasks that the backend server runs at the same time"),
    row(
        "agent.backend.connections",
        "connections",
        "maximum idle connections to the backend server",
    ),
    row("agent.backend.timeout", "duration", "time after which a running task counts as failed"),
    row("agent.backend.answer_bytes", "bytes", "largest answer of a task"),
    row("agent.limits.queue", "slots", "slots of tasks that may be queued at the agent"),
    row("agent.limits.outcome_kept", "duration", "how long outcomes are stored for status queries"),
    row(
        "agent.limits.check_after",
        "duration",
        "age of a confirmation from which on the agent reads the log itself, if it can",
    ),
    row(
        "agent.limits.start_for",
        "duration",
        "age of a confirmation from which on starts wait for that read, or are refused",
    ),
    row("agent.limits.outcomes_kept", "outcomes", "maximum number of stored outcomes"),
    row("agent.limits.answer_bytes", "bytes", "maximum size of all stored answers"),
    row("agent.machine.memory_mb", "MiB", "memory of the process, for the limits below"),
    row("agent.machine.descriptors", "descriptors", "descriptors that the process may open"),
    row("agent.inbound.memory_bytes", "bytes", "requests held; 0: an eighth of the memory"),
    row("agent.inbound.connections", "connections", "most connections; 0: from the machine"),
    row("agent.inbound.head_bytes", "bytes", "largest head of a request"),
    row("agent.inbound.head_time", "duration", "longest time for receiving a head"),
    row("agent.inbound.body_time", "duration", "longest time for receiving a body"),
    row("agent.telemetry.filter", "filter", "log filter at startup"),
    row("agent.telemetry.events", "events", "events retained for the timeline"),
    row("agent.drain", "duration", "longest time that a planned stop waits for open work"),
];
