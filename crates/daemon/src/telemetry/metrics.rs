//! Prometheus metrics.
//!
//! The number of label values is bounded: teams come from the configuration, all other values from
//! fixed lists. Each process registers the metrics of [`METRIC_TABLE`], which the documentation
//! also shows.

use crate::error::DaemonError;
use error_stack::{Report, ResultExt};
use parsleyspool_core::entry::{EntryGauges, PRIORITY_COUNTS};
use parsleyspool_core::run::EndEvidence;
use parsleyspool_core::timeline::{EventField, EventKind, TimelineEvent};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Description of one metric.
#[derive(Debug)]
pub struct MetricRow {
    /// Name under which Prometheus collects it.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Name of its label; empty if it has none.
    pub label: &'static str,
    /// Set that bounds the label values, as shown in the documentation.
    pub label_values: &'static str,
    /// Help text in the Prometheus output and in the documentation.
    pub help: &'static str,
}

/// All metrics of the daemons, in the order in which a process registers them.
pub const METRIC_TABLE: [MetricRow; 10] = [
    MetricRow {
        name: "parsleyspool_events_total",
        kind: "counter",
        unit: "events",
        label: "event",
        label_values: "event kinds",
        help: "Events of the time line",
    },
    MetricRow {
        name: "parsleyspool_answers_total",
        kind: "counter",
        unit: "jobs",
        label: "kind",
        label_values: "error kinds and complete",
        help: "Answers given to callers",
    },
    MetricRow {
        name: "parsleyspool_team_answers_total",
        kind: "counter",
        unit: "jobs",
        label: "team",
        label_values: "configured teams and unknown",
        help: "Answers given to callers of a team",
    },
    MetricRow {
        name: "parsleyspool_messages_total",
        kind: "counter",
        unit: "messages",
        label: "message",
        label_values: "message kinds",
        help: "Messages sent to other processes and to the log",
    },
    MetricRow {
        name: "parsleyspool_run_ends_total",
        kind: "counter",
        unit: "runs",
        label: "evidence",
        label_values: "kinds of evidence",
        help: "Runs under leases that ended or never started, by what that is concluded from",
    },
    MetricRow {
        name: "parsleyspool_inbound_closed_total",
        kind: "counter",
        unit: "connections",
        label: "reason",
        label_values: "close reasons",
        help: "Connections closed and requests refused at the limits on what clients send",
    },
    MetricRow {
        name: "parsleyspool_refusals_total",
        kind: "counter",
        unit: "jobs",
        label: "limit_priority",
        label_values: "limits and ranks of priorities",
        help: "Refused jobs of services with overload plans",
    },
    MetricRow {
        name: "parsleyspool_waiting_jobs",
        kind: "gauge",
        unit: "jobs",
        label: "priority",
        label_values: "ranks of priorities, 0 to 3",
        help: "Waiting jobs of services with overload plans",
    },
    MetricRow {
        name: "parsleyspool_gauge",
        kind: "gauge",
        unit: "as named",
        label: "quantity",
        label_values: "quantities",
        help: "Jobs, tasks, servers, refusals, claims, connections and received bytes held",
    },
    MetricRow {
        name: "parsleyspool_job_seconds",
        kind: "histogram",
        unit: "seconds",
        label: "",
        label_values: "1",
        help: "Time from the arrival of a job to its whole answer",
    },
];

/// Kind of a message to another process or to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Start request.
    Start,
    /// Status query about a start.
    StatusQuery,
    /// Cancellation of tasks.
    Cancel,
    /// Heartbeat of an agent.
    Heartbeat,
    /// State query to another entry.
    PeerState,
    /// Append to a stream of the log.
    Append,
    /// Read from a stream of the log.
    Read,
    /// Search for entries in the log, by an agent that none answers.
    EntrySearch,
    /// Read of the state of the failure domain, by an agent that no entry confirms it to.
    DomainCheck,
}

impl MessageKind {
    fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::StatusQuery => "ask",
            Self::Cancel => "cancel",
            Self::Heartbeat => "heartbeat",
            Self::PeerState => "peer_state",
            Self::Append => "append",
            Self::Read => "read",
            Self::EntrySearch => "entry_search",
            Self::DomainCheck => "domain_check",
        }
    }
}

/// Upper bounds of the histogram buckets for the response time of jobs, in seconds.
const JOB_TIME_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Metrics of one process.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    events: IntCounterVec,
    answers: IntCounterVec,
    team_answers: IntCounterVec,
    messages: IntCounterVec,
    run_ends: IntCounterVec,
    inbound_closed: IntCounterVec,
    refusals: IntCounterVec,
    waiting: IntGaugeVec,
    gauges: IntGaugeVec,
    job_seconds: Histogram,
}

impl DaemonMetrics {
    /// Registers the metrics with a new registry.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, Report<DaemonError>> {
        Self::register().change_context(DaemonError::Metrics)
    }

    fn register() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let [
            events,
            answers,
            team_answers,
            messages,
            run_ends,
            inbound_closed,
            refusals,
            waiting,
            gauges,
            job_seconds,
        ] = &METRIC_TABLE;
        let counter = |row: &MetricRow| {
            let vec = IntCounterVec::new(Opts::new(row.name, row.help), &[row.label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let (events, answers) = (counter(events)?, counter(answers)?);
        let (team_answers, messages) = (counter(team_answers)?, counter(messages)?);
        let (run_ends, inbound_closed) = (counter(run_ends)?, counter(inbound_closed)?);
        let refusals = counter(refusals)?;
        let gauge = |row: &MetricRow| {
            let vec = IntGaugeVec::new(Opts::new(row.name, row.help), &[row.label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let (waiting, gauges) = (gauge(waiting)?, gauge(gauges)?);
        let opts = HistogramOpts::new(job_seconds.name, job_seconds.help);
        let job_seconds = Histogram::with_opts(opts.buckets(JOB_TIME_BUCKETS.to_vec()))?;
        registry.register(Box::new(job_seconds.clone()))?;
        Ok(Self {
            registry,
            events,
            answers,
            team_answers,
            messages,
            run_ends,
            inbound_closed,
            refusals,
            waiting,
            gauges,
            job_seconds,
        })
    }

    /// Counts an event of the timeline.
    pub fn count_event(&self, event: &TimelineEvent) {
        self.events.with_label_values(&[event.kind.name()]).inc();
        if event.kind == EventKind::JobRefused {
            self.count_refusal(event);
        }
    }

    /// Counts an answer of `kind` to a caller of `team`; `None`, for a team that is not configured
    /// or not known, counts under the label `unknown`.
    pub fn count_answer(&self, kind: &str, team: Option<&str>) {
        self.answers.with_label_values(&[kind]).inc();
        self.team_answers.with_label_values(&[team.unwrap_or("unknown")]).inc();
    }

    /// Counts a message that is sent.
    pub fn count_message(&self, kind: MessageKind) {
        self.messages.with_label_values(&[kind.name()]).inc();
    }

    /// Counts a run that ended or never started.
    pub fn count_run_end(&self, evidence: EndEvidence) {
        self.run_ends.with_label_values(&[evidence.name()]).inc();
    }

    /// Counts a connection that was closed, or a request that was refused, at a limit on what clients
    /// send.
    pub fn count_inbound_closed(&self, reason: &'static str) {
        self.inbound_closed.with_label_values(&[reason]).inc();
    }

    /// Counts a refused job of a service with overload plans. Priorities from the last rank on that is
    /// counted apart share a label.
    fn count_refusal(&self, event: &TimelineEvent) {
        let mut fields = event.fields.iter();
        let limit = fields.clone().find_map(|field| match field {
            EventField::Limit(limit) => Some(limit.name()),
            _ => None,
        });
        let priority = fields.find_map(|field| match field {
            EventField::Priority(priority) => Some(*priority),
            _ => None,
        });
        let Some(priority) = priority else { return };
        let limit = limit.unwrap_or("none");
        let rank = usize::from(priority).min(PRIORITY_COUNTS - 1);
        self.refusals.with_label_values(&[format!("{limit}/{rank}")]).inc();
    }

    /// Records the response time of a job, from its arrival to its complete answer.
    pub fn observe_response_time(&self, response_time: Duration) {
        self.job_seconds.observe(response_time.as_secs_f64());
    }

    /// Sets the gauges of an entry.
    pub fn set_gauges(&self, gauges: EntryGauges) {
        let rows = [
            ("jobs", gauges.jobs as u64),
            ("tasks_queued", gauges.queued as u64),
            ("tasks_held", gauges.open_tasks as u64),
            ("servers", gauges.servers as u64),
            ("refusals_waiting", gauges.refusals_waiting as u64),
            ("refusals_dropped", gauges.refusals_dropped),
            ("claims", gauges.claims as u64),
            ("peers", gauges.peers as u64),
            ("room", gauges.room),
        ];
        for (quantity, value) in rows {
            self.set_gauge(quantity, value);
        }
        for (rank, jobs) in gauges.waiting_by_priority.into_iter().enumerate() {
            let jobs = i64::try_from(jobs).unwrap_or(i64::MAX);
            self.waiting.with_label_values(&[rank.to_string()]).set(jobs);
        }
    }

    /// Sets the gauge of one quantity, where values above `i64::MAX` are capped.
    pub fn set_gauge(&self, quantity: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[quantity]).set(value);
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            tracing::warn!(event = "metrics_unreadable", %error);
        }
        String::from_utf8(buffer).unwrap_or_default()
    }
}
