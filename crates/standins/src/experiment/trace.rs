//! Generation of a random job trace from a seed.
//!
//! Jobs are generated until their total work reaches the offered load. Their submission times are
//! then scaled to the duration of the experiment, so that the load does not depend on how many
//! large jobs are drawn.

use super::file::{DemandWave, ExperimentFile, RunTimeModel};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;
use std::time::Duration;

/// One job of a trace.
#[derive(Debug, Clone)]
pub struct TraceJob {
    /// Time at which the client is meant to submit the job, measured from the start of the trace.
    /// The job reaches the entry after the client's delay.
    pub at: Duration,
    /// Request kind of all tasks.
    pub request: String,
    /// Run time of each task on a backend server of nominal speed.
    pub run_times: Vec<Duration>,
    /// Index of the entry that the job is submitted to.
    pub entry_index: usize,
    /// Whether the client cancels the job shortly after submission.
    pub is_cancelled: bool,
}

impl TraceJob {
    /// Sum of the run times of all tasks on a backend server of nominal speed.
    pub fn work(&self) -> Duration {
        self.run_times.iter().sum()
    }
}

/// Generates the jobs of the experiment, in the order of their submission.
pub fn generate_trace(file: &ExperimentFile) -> Vec<TraceJob> {
    let mut random = ChaCha8Rng::seed_from_u64(file.seed);
    let weights = entry_weights(file);
    let target_work = file.duration.mul_f64(file.load * file.capacity());
    let mut jobs: Vec<TraceJob> = Vec::new();
    let mut work = Duration::ZERO;
    let mut at = 0.0;
    while work < target_work {
        at += -(1.0 - random.random::<f64>()).ln();
        let mix =
            &file.requests[pick_weighted(&mut random, file.requests.iter().map(|mix| mix.weight))];
        let tasks = mix.tasks.unwrap_or_else(|| {
            let weights = file.sizes.iter().map(|size| size.weight);
            file.sizes.get(pick_weighted(&mut random, weights)).map_or(1, |size| size.tasks)
        });
        jobs.push(TraceJob {
            at: Duration::from_secs_f64(at),
            request: mix.request.clone(),
            run_times: (0..tasks).map(|_| draw_run_time(&mut random, mix.run_time)).collect(),
            entry_index: pick_weighted(&mut random, weights.iter().copied()),
            is_cancelled: random.random::<f64>() < file.cancelled,
        });
        work += jobs.last().map_or(Duration::ZERO, TraceJob::work);
    }
    for job in &mut jobs {
        let share = job.at.as_secs_f64() / at;
        job.at = match file.wave {
            Some(wave) => arrival_time(wave, file.duration, share),
            None => file.duration.mul_f64(share),
        };
    }
    jobs
}

/// Time by which the given share of all arrivals is expected if the rate follows `wave`.
fn arrival_time(wave: DemandWave, duration: Duration, share: f64) -> Duration {
    const BISECTIONS: u32 = 50;
    let angular = TAU / wave.period.as_secs_f64();
    // Integral of 1 + amplitude * sin(angular * t), which increases with t.
    let expected = |at: f64| at + wave.amplitude / angular * (1.0 - (angular * at).cos());
    let target = share * expected(duration.as_secs_f64());
    let (mut low, mut high) = (0.0, duration.as_secs_f64());
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        if expected(middle) < target { low = middle } else { high = middle }
    }
    Duration::from_secs_f64(high)
}

fn entry_weights(file: &ExperimentFile) -> Vec<u32> {
    if file.entry_weights.is_empty() {
        vec![1; file.entries.len()]
    } else {
        file.entry_weights.clone()
    }
}

fn pick_weighted(random: &mut ChaCha8Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let sum: u32 = weights.clone().sum();
    let mut remaining = random.random_range(0..sum.max(1));
    for (index, weight) in weights.enumerate() {
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    0
}

fn draw_run_time(random: &mut ChaCha8Rng, model: RunTimeModel) -> Duration {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (TAU * random.random::<f64>()).cos();
    let time = model.median.mul_f64((model.sigma * normal).exp());
    time.clamp(model.least, model.most)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a wave that changes the total demand or has its peak in the wrong half.
    #[test]
    fn a_wave_moves_arrivals_to_the_first_half_of_each_period() {
        let wave = DemandWave { amplitude: 0.5, period: Duration::from_secs(10) };
        let times: Vec<f64> = (0..=1000)
            .map(|step| arrival_time(wave, Duration::from_secs(20), f64::from(step) / 1000.0))
            .map(|at| at.as_secs_f64())
            .collect();
        assert!(times.is_sorted() && times[0] < 1e-6 && (times[1000] - 20.0).abs() < 1e-6);
        let peaks = times.iter().filter(|at| **at % 10.0 < 5.0).count() as f64 / 1001.0;
        // Half the arrivals, and amplitude / pi more.
        assert!((peaks - (0.5 + 0.5 / std::f64::consts::PI)).abs() < 0.01, "{peaks}");
    }
}
