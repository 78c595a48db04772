//! States and events of the five life cycles, defined by the chart files under `charts/`.
//!
//! [`LifecycleCharts::load`] parses all charts; a daemon calls it before it starts anything else.

use crate::chart::{ChartError, StateChart, chart_symbols};
use std::sync::LazyLock;

chart_symbols! {
    /// State of a submission at its entry.
    JobState {
        /// Received; admission has not decided yet.
        Received = "received",
        /// Waiting for the log to confirm its claim.
        Claiming = "claiming",
        /// Admitted and not yet answered.
        Open = "open",
        /// Answered with a refusal; no task was run.
        Refused = "refused",
        /// Answered with the answers of all tasks.
        Complete = "complete",
        /// Answered with a failure.
        Failed = "failed",
        /// Cancelled by the caller.
        Cancelled = "cancelled",
    }
}

chart_symbols! {
    /// Event of a submission.
    JobEvent {
        /// All admission checks passed, including a claim if one is needed.
        Admit = "admit",
        /// A claim is needed before admission.
        Claim = "claim",
        /// The submission is refused; no task was run.
        Refuse = "refuse",
        /// The last task was answered.
        Finish = "finish",
        /// A task failed or its outcome is unknown.
        Fail = "fail",
        /// The caller cancelled the job.
        Cancel = "cancel",
    }
}

chart_symbols! {
    /// State of a task at its entry.
    TaskState {
        /// Waiting in the queue of the entry.
        Queued = "queued",
        /// Sent to an agent; the run may have started.
        Sent = "sent",
        /// Answered by the backend server.
        Done = "done",
        /// The run failed and is not repeated.
        Failed = "failed",
        /// The run may have started, and no answer will arrive.
        Unknown = "unknown",
        /// Its job ended before the task did.
        Dropped = "dropped",
    }
}

chart_symbols! {
    /// Event of a task.
    TaskEvent {
        /// A start request was sent.
        Send = "send",
        /// The agent or the connection confirmed that the run did not start.
        NotStarted = "not_started",
        /// The run ended without a result and may be repeated.
        Interrupt = "interrupt",
        /// The run failed and may be repeated.
        Retry = "retry",
        /// The answer of the backend server arrived.
        Answer = "answer",
        /// The run failed on the backend server and may not be repeated.
        Fault = "fault",
        /// The outcome cannot be determined, for example because the agent is gone.
        Lose = "lose",
        /// The job ended while the task was queued.
        Drop = "drop",
        /// The job ended after the task was sent.
        Abandon = "abandon",
    }
}

chart_symbols! {
    /// State of a backend server in the directory of an entry.
    ServerState {
        /// The first heartbeat arrived.
        Announced = "announced",
        /// Accepts work.
        Serving = "serving",
        /// Failed too many tasks; is sent no work.
        Quarantined = "quarantined",
        /// Is sent one task at a time until one succeeds.
        Probing = "probing",
        /// Finishes its tasks and accepts no new ones.
        Leaving = "leaving",
        /// Heartbeats are overdue.
        Silent = "silent",
        /// Silent for too long and forgotten.
        Gone = "gone",
    }
}

chart_symbols! {
    /// Event of a backend server.
    ServerEvent {
        /// A heartbeat reports that the server accepts work.
        Serve = "serve",
        /// The server or an operator announces that it leaves.
        Leave = "leave",
        /// Heartbeats became overdue.
        Silence = "silence",
        /// The server failed too many tasks, or a probe.
        Quarantine = "distrust",
        /// The quarantine time is over.
        Probe = "probe",
        /// A probe succeeded.
        Release = "trust",
        /// The server was silent for too long.
        Forget = "forget",
    }
}

chart_symbols! {
    /// State of a failure domain.
    DomainState {
        /// Accepts work.
        InService = "in_service",
        /// Accepts no work.
        OutOfService = "out_of_service",
        /// Accepts a growing share of work until the ramp ends.
        Returning = "returning",
    }
}

chart_symbols! {
    /// Event of a failure domain.
    DomainEvent {
        /// Operators took the domain out of service.
        TakeOut = "take_out",
        /// Operators put the domain back into service.
        BringBack = "bring_back",
        /// The ramp ended.
        Ramped = "ramped",
    }
}

chart_symbols! {
    /// State of the connection to one peer, determined by its answers.
    ConnectionState {
        /// No answer has arrived yet.
        Unverified = "unproven",
        /// The latest answer arrived in time.
        Healthy = "proven",
        /// An answer is overdue; messages need a new connection.
        Suspect = "suspect",
        /// The peer is forgotten.
        Closed = "closed",
    }
}

chart_symbols! {
    /// Event of the connection to one peer.
    ConnectionEvent {
        /// An answer arrived.
        Answer = "answer",
        /// An answer is overdue.
        Timeout = "timeout",
        /// The peer is being forgotten.
        Close = "close",
    }
}

/// Charts of the five life cycles.
#[derive(Debug)]
pub struct LifecycleCharts {
    /// Chart of a submission at its entry.
    pub job: StateChart<JobState, JobEvent>,
    /// Chart of a task at its entry.
    pub task: StateChart<TaskState, TaskEvent>,
    /// Chart of a backend server in the directory of an entry.
    pub server: StateChart<ServerState, ServerEvent>,
    /// Chart of a failure domain.
    pub domain: StateChart<DomainState, DomainEvent>,
    /// Chart of the connection to one peer.
    pub connection: StateChart<ConnectionState, ConnectionEvent>,
}

impl LifecycleCharts {
    /// Parses the chart files that are compiled into the program.
    ///
    /// # Errors
    /// Fails if a file is invalid, as listed in [`ChartError`].
    pub fn load() -> Result<Self, ChartError> {
        Ok(Self {
            job: StateChart::parse(include_str!("../charts/job.yaml"))?,
            task: StateChart::parse(include_str!("../charts/task.yaml"))?,
            server: StateChart::parse(include_str!("../charts/server.yaml"))?,
            domain: StateChart::parse(include_str!("../charts/domain.yaml"))?,
            connection: StateChart::parse(include_str!("../charts/connection.yaml"))?,
        })
    }

    /// Charts of the process, parsed at the first call.
    ///
    /// # Panics
    /// Panics if a chart file is invalid; daemons call [`LifecycleCharts::load`] first.
    pub fn shared() -> &'static Self {
        static CHARTS: LazyLock<LifecycleCharts> =
            LazyLock::new(|| LifecycleCharts::load().expect("the compiled-in charts are valid"));
        &CHARTS
    }
}
