//! Run time estimates from declared and measured run times.
//!
//! Each server has a slowdown: the ratio of its run times to the average of all servers, so a
//! slowdown of 2 means that tasks take twice as long. [`RunTimes`] averages the run time of each
//! request kind over all servers, with the slowdown of each server divided out. Estimates start
//! from the declared run time and from slowdown 1; the first answers correct a wrong declaration.

use crate::id::{RequestName, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of each of the first samples; high, so that a wrong declaration is corrected quickly.
const FIRST_SAMPLE_WEIGHT: f64 = 0.5;
/// Number of samples with the higher weight.
const FIRST_SAMPLES: u32 = 4;

/// Exponential moving average, with a higher weight for the first samples.
#[derive(Debug, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
    samples: u32,
}

impl MovingAverage {
    /// Average that starts at `value`, which does not count as a sample.
    pub fn new(value: f64) -> Self {
        Self { value, samples: 0 }
    }

    /// Current average; the initial value before the first sample.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Adds one sample.
    pub fn record(&mut self, sample: f64) {
        let weight = if self.samples < FIRST_SAMPLES { FIRST_SAMPLE_WEIGHT } else { SAMPLE_WEIGHT };
        self.samples = self.samples.saturating_add(1);
        self.value += weight * (sample - self.value);
    }
}

/// Average run times of all request kinds, in seconds at slowdown 1.
#[derive(Debug, Default)]
pub struct RunTimes {
    averages: HashMap<ServiceName, HashMap<RequestName, MovingAverage>>,
}

/// Lower bound of run times in calculations, in seconds.
const MIN_SECONDS: f64 = 1e-6;

impl RunTimes {
    /// Creates estimates without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Average run time of `request` at slowdown 1; `declared` before the first sample.
    pub fn expected(&self, service: &str, request: &str, declared: Duration) -> Duration {
        let measured = self.averages.get(service).and_then(|requests| requests.get(request));
        measured
            .map_or(declared, |average| Duration::from_secs_f64(average.value().max(MIN_SECONDS)))
    }

    /// Records a run time measured on a server of `slowdown`; returns the ratio of the run time to
    /// the previous average, which is a sample for the slowdown of that server.
    pub fn record(
        &mut self,
        service: &ServiceName,
        request: &RequestName,
        declared: Duration,
        slowdown: f64,
        run_time: Duration,
    ) -> f64 {
        let requests = self.averages.entry(service.clone()).or_default();
        let initial = declared.as_secs_f64().max(MIN_SECONDS);
        let average =
            requests.entry(request.clone()).or_insert_with(|| MovingAverage::new(initial));
        let seconds = run_time.as_secs_f64().max(MIN_SECONDS);
        let sample = seconds / average.value().max(MIN_SECONDS);
        average.record(seconds / slowdown.max(MIN_SLOWDOWN));
        sample
    }

    /// Drops the averages of services for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.averages.retain(|service, _| keep(service));
    }
}

/// Lower bound of a server's slowdown.
pub const MIN_SLOWDOWN: f64 = 0.05;
/// Upper bound of a server's slowdown.
pub const MAX_SLOWDOWN: f64 = 20.0;
