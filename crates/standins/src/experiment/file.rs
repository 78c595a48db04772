//! Experiment file.

use crate::error::StandinError;
use crate::yaml::load_yaml;
use error_stack::Report;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// One experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Name.
    pub name: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Callers' listeners of the entries.
    pub entries: Vec<SocketAddr>,
    /// Share of the jobs that each entry gets, equal where it is left out.
    #[serde(default)]
    pub entry_weights: Vec<u32>,
    /// Peer listeners of the entries.
    pub operators: Vec<SocketAddr>,
    /// Team.
    pub team: String,
    /// Service.
    pub service: String,
    /// Time from a client to an entry, one way.
    #[serde(with = "humantime_serde")]
    pub client_delay: Duration,
    /// Time over which jobs arrive.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Time at the start whose jobs are not counted.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Work that arrives, as a share of what all slots can do.
    pub load: f64,
    /// Slots of each backend server.
    pub slots: u32,
    /// Pace of each backend server.
    pub paces: Vec<f64>,
    /// Deadline of every job.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Kinds of request.
    pub requests: Vec<RequestMix>,
    /// Sizes of the jobs.
    pub sizes: Vec<JobSize>,
    /// Share of the jobs that their callers give up at once.
    #[serde(default)]
    pub cancelled: f64,
    /// What operators do meanwhile.
    #[serde(default)]
    pub actions: Vec<ScheduledAction>,
}

/// One kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// Name.
    pub request: String,
    /// How often it comes, beside the others.
    pub weight: u32,
    /// Its run times at pace 1.
    pub run_time: RunTimeModel,
}

/// Log-normal run times with bounds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimeModel {
    /// Median.
    #[serde(with = "humantime_serde")]
    pub median: Duration,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Least run time.
    #[serde(with = "humantime_serde")]
    pub least: Duration,
    /// Most run time.
    #[serde(with = "humantime_serde")]
    pub most: Duration,
}

/// One size of jobs.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSize {
    /// Tasks.
    pub tasks: usize,
    /// How often it comes, beside the others.
    pub weight: u32,
}

/// What operators do at one time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledAction {
    /// Time from the start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Action.
    pub action: DomainAction,
    /// Failure domain.
    pub domain: String,
}

/// Action about a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainAction {
    /// Take it out.
    Out,
    /// Bring it back.
    Back,
}

impl ExperimentFile {
    /// Experiment in the file at `path`.
    ///
    /// # Errors
    /// Fails where it cannot be read; the report names line and key.
    pub fn load(path: &Path) -> Result<Self, Report<StandinError>> {
        load_yaml(path)
    }

    /// Work that all slots do in one second, in seconds at pace 1.
    pub fn capacity(&self) -> f64 {
        self.paces.iter().map(|pace| f64::from(self.slots) / pace).sum()
    }
}
