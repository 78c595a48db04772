//! Trace of jobs, drawn from a seed.
//!
//! Jobs are drawn until they hold the work that the load asks for, and their arrivals are then
//! stretched over the duration, so that a few large jobs more or less do not change the load.

use super::file::{ExperimentFile, RunTimeModel};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;
use std::time::Duration;

/// One job of a trace.
#[derive(Debug, Clone)]
pub struct TraceJob {
    /// Intended arrival at the client, from the start.
    pub at: Duration,
    /// Kind of request of all its tasks.
    pub request: String,
    /// Run time of each task at pace 1.
    pub tasks: Vec<Duration>,
    /// Entry that gets it.
    pub entry: usize,
    /// Whether its caller gives it up at once.
    pub is_cancelled: bool,
}

impl TraceJob {
    /// Run time of all its tasks together at pace 1.
    pub fn work(&self) -> Duration {
        self.tasks.iter().sum()
    }
}

/// Jobs of `file`, in the order of their arrival.
pub fn draw(file: &ExperimentFile) -> Vec<TraceJob> {
    let mut random = ChaCha8Rng::seed_from_u64(file.seed);
    let weights = entry_weights(file);
    let wanted = file.duration.mul_f64(file.load * file.capacity());
    let mut jobs: Vec<TraceJob> = Vec::new();
    let mut work = Duration::ZERO;
    let mut at = 0.0;
    while work < wanted {
        at += -(1.0 - random.random::<f64>()).ln();
        let mix = &file.requests[pick(&mut random, file.requests.iter().map(|mix| mix.weight))];
        let size = file.sizes[pick(&mut random, file.sizes.iter().map(|size| size.weight))];
        jobs.push(TraceJob {
            at: Duration::from_secs_f64(at),
            request: mix.request.clone(),
            tasks: (0..size.tasks).map(|_| run_time(&mut random, mix.run_time)).collect(),
            entry: pick(&mut random, weights.iter().copied()),
            is_cancelled: random.random::<f64>() < file.cancelled,
        });
        work += jobs.last().map_or(Duration::ZERO, TraceJob::work);
    }
    for job in &mut jobs {
        job.at = file.duration.mul_f64(job.at.as_secs_f64() / at);
    }
    jobs
}

fn entry_weights(file: &ExperimentFile) -> Vec<u32> {
    if file.entry_weights.is_empty() {
        vec![1; file.entries.len()]
    } else {
        file.entry_weights.clone()
    }
}

fn pick(random: &mut ChaCha8Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let sum: u32 = weights.clone().sum();
    let mut left = random.random_range(0..sum.max(1));
    for (index, weight) in weights.enumerate() {
        if left < weight {
            return index;
        }
        left -= weight;
    }
    0
}

fn run_time(random: &mut ChaCha8Rng, model: RunTimeModel) -> Duration {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (TAU * random.random::<f64>()).cos();
    let time = model.median.mul_f64((model.sigma * normal).exp());
    time.clamp(model.least, model.most)
}
