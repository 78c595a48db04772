//! Format of the experiment file.

use crate::error::StandinError;
use crate::yaml::load_yaml;
use error_stack::Report;
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
    /// Slowdown of each backend server: 1 is nominal speed, 2 is half as fast. Must agree with the
    /// running servers, which do not read this file.
    #[serde(rename = "paces")]
    pub server_slowdowns: Vec<f64>,
    /// Time allowed for the answer to each job, measured from its arrival at the entry.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Mix of request kinds. All tasks of a job have the same kind.
    pub requests: Vec<RequestMix>,
    /// Mix of job sizes.
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
        self.server_slowdowns.iter().map(|slowdown| f64::from(self.slots) / slowdown).sum()
    }
}
