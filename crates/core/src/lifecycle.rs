//! The five life cycles, as symbols for the chart files under `charts/`.
//!
//! [`LifecycleCharts::load`] reads all of them; a daemon calls it before anything else starts.

use crate::chart::{ChartError, StateChart, chart_symbols};
use std::sync::LazyLock;

chart_symbols! {
    /// State of a submission.
    JobState {
        /// Read, not yet judged.
        Received = "received",
        /// Waits for its claim in the log.
        Claiming = "claiming",
        /// Admitted.
        Open = "open",
        /// Answered with a refusal; nothing ran.
        Refused = "refused",
        /// Answered whole.
        Complete = "complete",
        /// Answered with a failure.
        Failed = "failed",
        /// Given up by the caller.
        Cancelled = "cancelled",
    }
}

chart_symbols! {
    /// Event in the life of a submission.
    JobEvent {
        /// Every check passed.
        Admit = "admit",
        /// A claim is needed first.
        Claim = "claim",
        /// It is refused, with nothing run.
        Refuse = "refuse",
        /// The last answer came.
        Finish = "finish",
        /// A task failed or its outcome is unknown.
        Fail = "fail",
        /// The caller gave it up.
        Cancel = "cancel",
    }
}

chart_symbols! {
    /// State of a task at its entry.
    TaskState {
        /// Waits at the entry.
        Queued = "queued",
        /// Sent to an agent; may have started.
        Sent = "sent",
        /// Answered.
        Done = "done",
        /// Ran and failed.
        Failed = "failed",
        /// May have run; no answer will come.
        Unknown = "unknown",
        /// Given up before its outcome mattered.
        Dropped = "dropped",
    }
}

chart_symbols! {
    /// Event in the life of a task.
    TaskEvent {
        /// A start was sent.
        Send = "send",
        /// The agent or the connection proved that it did not start.
        NotStarted = "not_started",
        /// Its run ended without a result.
        Interrupt = "interrupt",
        /// Its run failed and may be repeated.
        Retry = "retry",
        /// The answer came.
        Answer = "answer",
        /// The backend server failed it.
        Fault = "fault",
        /// The agent that had it is gone.
        Lose = "lose",
        /// Its job ended while it was queued.
        Drop = "drop",
        /// Its job ended while it was sent.
        Abandon = "abandon",
    }
}

chart_symbols! {
    /// State of a backend server as an entry sees it.
    ServerState {
        /// First heartbeat came.
        Announced = "announced",
        /// Takes work.
        Serving = "serving",
        /// Fails what it starts; takes nothing.
        Quarantined = "quarantined",
        /// Takes one task at a time until trusted.
        Probing = "probing",
        /// Finishes what it has.
        Leaving = "leaving",
        /// Heartbeats stopped.
        Silent = "silent",
        /// Forgotten.
        Gone = "gone",
    }
}

chart_symbols! {
    /// Event in the life of a backend server.
    ServerEvent {
        /// It reports that it serves.
        Serve = "serve",
        /// It or an operator says that it leaves.
        Leave = "leave",
        /// Heartbeats are overdue.
        Silence = "silence",
        /// It failed too large a share of its tasks.
        Quarantine = "distrust",
        /// Its quarantine ended.
        Probe = "probe",
        /// Its probes succeeded.
        Release = "trust",
        /// It was silent for too long.
        Forget = "forget",
    }
}

chart_symbols! {
    /// State of a failure domain.
    DomainState {
        /// Takes work.
        InService = "in_service",
        /// Takes none.
        OutOfService = "out_of_service",
        /// Takes a growing share.
        Returning = "returning",
    }
}

chart_symbols! {
    /// Event in the life of a failure domain.
    DomainEvent {
        /// Operators took it out.
        TakeOut = "take_out",
        /// Operators brought it back.
        BringBack = "bring_back",
        /// Its ramp ended.
        Ramped = "ramped",
    }
}

chart_symbols! {
    /// State of the exchange with one peer.
    ConnectionState {
        /// No answer yet.
        Unverified = "unproven",
        /// Answers come.
        Healthy = "proven",
        /// An answer is overdue.
        Suspect = "suspect",
        /// Given up.
        Closed = "closed",
    }
}

chart_symbols! {
    /// Event of the exchange with one peer.
    ConnectionEvent {
        /// An answer came.
        Answer = "answer",
        /// An answer is overdue.
        Timeout = "timeout",
        /// The peer is forgotten.
        Close = "close",
    }
}

/// The charts of every life cycle.
#[derive(Debug)]
pub struct LifecycleCharts {
    /// Submissions.
    pub job: StateChart<JobState, JobEvent>,
    /// Tasks at their entry.
    pub task: StateChart<TaskState, TaskEvent>,
    /// Backend servers as an entry sees them.
    pub server: StateChart<ServerState, ServerEvent>,
    /// Failure domains.
    pub domain: StateChart<DomainState, DomainEvent>,
    /// Exchanges with peers.
    pub connection: StateChart<ConnectionState, ConnectionEvent>,
}

impl LifecycleCharts {
    /// Charts from the committed files.
    ///
    /// # Errors
    /// Fails where a file names an unknown state or event, or has a state that cannot be reached.
    pub fn load() -> Result<Self, ChartError> {
        Ok(Self {
            job: StateChart::parse(include_str!("../charts/job.yaml"))?,
            task: StateChart::parse(include_str!("../charts/task.yaml"))?,
            server: StateChart::parse(include_str!("../charts/server.yaml"))?,
            domain: StateChart::parse(include_str!("../charts/domain.yaml"))?,
            connection: StateChart::parse(include_str!("../charts/connection.yaml"))?,
        })
    }

    /// Charts shared by the whole process.
    ///
    /// # Panics
    /// Panics where a committed file is wrong; daemons call [`LifecycleCharts::load`] first.
    pub fn shared() -> &'static Self {
        static CHARTS: LazyLock<LifecycleCharts> =
            LazyLock::new(|| LifecycleCharts::load().expect("the committed charts are checked"));
        &CHARTS
    }
}
