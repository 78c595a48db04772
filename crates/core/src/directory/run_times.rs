//! Learnt run times.
//!
//! The run time of a request kind is learnt over all servers, and each server learns its pace: the
//! ratio of its run times to those. A new server or request kind starts from what was declared, so
//! wrong declarations are corrected by the first answers.

use crate::id::{RequestName, ServiceName};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of one new sample in a learnt mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the first samples, so that a wrong declaration is left quickly.
const FIRST_SAMPLE_WEIGHT: f64 = 0.5;
/// Samples that count as first ones.
const FIRST_SAMPLES: u32 = 4;

/// Mean that follows its samples.
#[derive(Debug, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
    samples: u32,
}

impl MovingAverage {
    /// Mean that starts at `value`.
    pub fn new(value: f64) -> Self {
        Self { value, samples: 0 }
    }

    /// Present mean.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Takes one sample.
    pub fn record(&mut self, sample: f64) {
        let weight = if self.samples < FIRST_SAMPLES { FIRST_SAMPLE_WEIGHT } else { SAMPLE_WEIGHT };
        self.samples = self.samples.saturating_add(1);
        self.value += weight * (sample - self.value);
    }
}

/// Run times of all request kinds at pace 1.
#[derive(Debug, Default)]
pub struct RunTimes {
    averages: HashMap<ServiceName, HashMap<RequestName, MovingAverage>>,
}

/// Shortest run time that is learnt from, in seconds.
const MIN_SECONDS: f64 = 1e-6;

impl RunTimes {
    /// Table without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learnt run time of `request` at pace 1, `declared` before the first sample.
    pub fn expected(&self, service: &str, request: &str, declared: Duration) -> Duration {
        let learnt = self.averages.get(service).and_then(|requests| requests.get(request));
        learnt.map_or(declared, |average| Duration::from_secs_f64(average.value().max(MIN_SECONDS)))
    }

    /// Takes a run time measured at a server of `pace` and returns the sample of that pace.
    pub fn record(
        &mut self,
        service: &ServiceName,
        request: &RequestName,
        declared: Duration,
        slowdown: f64,
        run_time: Duration,
    ) -> f64 {
        let requests = self.averages.entry(service.clone()).or_default();
        let start = declared.as_secs_f64().max(MIN_SECONDS);
        let average = requests.entry(request.clone()).or_insert_with(|| MovingAverage::new(start));
        let seconds = run_time.as_secs_f64().max(MIN_SECONDS);
        let sample = seconds / average.value().max(MIN_SECONDS);
        average.record(seconds / slowdown.max(MIN_SLOWDOWN));
        sample
    }

    /// Forgets what was learnt of services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.averages.retain(|service, _| keep(service));
    }
}

/// Smallest ratio that a pace may have.
pub const MIN_SLOWDOWN: f64 = 0.05;
/// Largest ratio that a pace may have.
pub const MAX_SLOWDOWN: f64 = 20.0;
