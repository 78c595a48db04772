//! Format of the experiment file.

use super::trace::TraceJob;
use crate::error::StandinError;
use crate::yaml::load_yaml;
use error_stack::Report;
use parsleyspool_core::config::LatencyObjective;
use parsleyspool_wire::config::ObjectiveWire;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Contents of an experiment file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Name of the experiment, used in the report and as a prefix of the job names.
    pub name: String,
    /// Seed of the random job trace. The same seed and file give the same trace.
    pub seed: u64,
    /// Addresses of the entries' listeners for callers.
    pub entries: Vec<SocketAddr>,
    /// Relative share of the jobs that each entry receives; equal shares if empty.
    #[serde(default)]
    pub entry_weights: Vec<u32>,
    /// Addresses of the entries' listeners for peers and operators. The first receives the actions.
    pub operators: Vec<SocketAddr>,
    /// Team that submits all jobs.
    pub team: String,
    /// Service that all jobs use.
    pub service: String,
    /// Simulated one-way network delay between a client and an entry.
    #[serde(with = "humantime_serde")]
    pub client_delay: Duration,
    /// Length of the trace: time from its start to the submission of the last job.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Time after the start of the trace; jobs submitted within it are excluded from the slowdowns
    /// and rates of the report.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Offered load: the work of all jobs, as a share of what all slots can do in `duration`.
    pub load: f64,
    /// Slots per backend server.
    pub slots: u32,
    /// Slots of each backend server, if they differ; if empty, each has `slots`.
    #[serde(default)]
    pub server_slots: Vec<u32>,
    /// Slowdown of each backend server: 1 is nominal speed, 2 is half as fast. Must agree with the
    /// running servers, which do not read this file.
    #[serde(rename = "paces")]
    pub server_slowdowns: Vec<f64>,
    /// Periodic variation of the arrival rate; constant if absent.
    #[serde(default)]
    pub wave: Option<DemandWave>,
    /// Time allowed for the answer to each job, measured from its arrival at the entry. A job with
    /// a latency objective has at most the time until its answer is of no use.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Mix of request kinds. All tasks of a job have the same kind.
    pub requests: Vec<RequestMix>,
    /// Mix of job sizes, for requests that do not set `tasks`.
    #[serde(default)]
    pub sizes: Vec<JobSize>,
    /// Share of the jobs that their clients cancel shortly after submission, from 0 to 1.
    #[serde(default)]
    pub cancelled: f64,
    /// Operator actions during the run, sorted by time.
    #[serde(default)]
    pub actions: Vec<ScheduledAction>,
}

/// Kind of request, and how often it occurs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// Name of the request kind.
    pub request: String,
    /// Relative frequency.
    pub weight: u32,
    /// Distribution of the run times on a backend server of nominal speed.
    pub run_time: RunTimeModel,
    /// Number of tasks per job; drawn from `sizes` if absent.
    #[serde(default)]
    pub tasks: Option<usize>,
    /// Priority of the request in the configuration; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Latency objective of the request in the configuration.
    #[serde(default)]
    pub objective: Option<ObjectiveWire>,
}

/// Sinusoidal variation of the arrival rate around its mean.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandWave {
    /// Largest deviation from the mean rate, as a share of it: at least 0 and below 1.
    pub amplitude: f64,
    /// Time between two peaks.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
}

/// Limits of a job's response time, from its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseLimits {
    /// Longest response time of a job that is on time.
    pub on_time: Duration,
    /// Response time after which the answer is of no use.
    pub expiry: Duration,
}

/// Log-normal distribution of run times, clamped to bounds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimeModel {
    /// Median before clamping.
    #[serde(with = "humantime_serde")]
    pub median: Duration,
    /// Standard deviation of the natural logarithm of the run time.
    pub sigma: f64,
    /// Lower bound.
    #[serde(with = "humantime_serde")]
    pub least: Duration,
    /// Upper bound.
    #[serde(with = "humantime_serde")]
    pub most: Duration,
}

/// Job size, and how often it occurs.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSize {
    /// Number of tasks per job.
    pub tasks: usize,
    /// Relative frequency.
    pub weight: u32,
}

/// Operator action at a given time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledAction {
    /// Time of the action, measured from the start of the trace.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// What the operator does with the failure domain.
    pub action: DomainAction,
    /// Name of the failure domain.
    pub domain: String,
}

/// Operator action on a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainAction {
    /// Take the domain out of service.
    Out,
    /// Return the domain to service.
    Back,
}

impl ExperimentFile {
    /// Reads the experiment file at `path`.
    ///
    /// # Errors
    /// Fails if the file cannot be read or parsed. The report names the file and, if it is
    /// malformed, the line and key.
    pub fn load(path: &Path) -> Result<Self, Report<StandinError>> {
        load_yaml(path)
    }

    /// Work that all slots together can do per second, in seconds of run time at nominal speed.
    pub fn capacity(&self) -> f64 {
        let servers = self.server_slowdowns.iter().enumerate();
        servers.map(|(index, slowdown)| f64::from(self.slots_of(index)) / slowdown).sum()
    }

    /// Whether a request has a priority or a latency objective.
    pub fn has_objectives(&self) -> bool {
        self.requests.iter().any(|mix| mix.priority.is_some() || mix.objective.is_some())
    }

    /// Number of slots of the backend server with this index.
    pub fn slots_of(&self, server: usize) -> u32 {
        self.server_slots.get(server).copied().unwrap_or(self.slots)
    }

    /// Properties of a request kind.
    pub fn request(&self, name: &str) -> Option<&RequestMix> {
        self.requests.iter().find(|mix| mix.request == name)
    }

    /// Limits of the response time of `job`; `None` if its request has no latency objective.
    pub fn response_limits(&self, job: &TraceJob) -> Option<ResponseLimits> {
        let objective = LatencyObjective::from(self.request(&job.request)?.objective?);
        let longest = job.run_times.iter().max().copied().unwrap_or_default();
        Some(ResponseLimits {
            on_time: longest + objective.slack(longest),
            expiry: objective.expires_after(longest),
        })
    }

    /// Time that the client of `job` waits for the answer.
    pub fn deadline_of(&self, job: &TraceJob) -> Duration {
        self.response_limits(job).map_or(self.deadline, |limits| limits.expiry.min(self.deadline))
    }
}
