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
const FIRST_WEIGHTS: f64 = 0.5;
/// Samples that count as first ones.
const FIRST_SAMPLES: u32 = 4;

/// Mean that follows its samples.
#[derive(Debug, Clone, Copy)]
pub struct LearntMean {
    value: f64,
    samples: u32,
}

impl LearntMean {
    /// Mean that starts at `value`.
    pub fn new(value: f64) -> Self {
        Self { value, samples: 0 }
    }

    /// Present mean.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Takes one sample.
    pub fn learn(&mut self, sample: f64) {
        let weight = if self.samples < FIRST_SAMPLES { FIRST_WEIGHTS } else { SAMPLE_WEIGHT };
        self.samples = self.samples.saturating_add(1);
        self.value += weight * (sample - self.value);
    }
}

/// Run times of all request kinds at pace 1.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: HashMap<ServiceName, HashMap<RequestName, LearntMean>>,
}

/// Shortest run time that is learnt from, in seconds.
const LEAST_SECONDS: f64 = 1e-6;

impl RunTimes {
    /// Table without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learnt run time of `request` at pace 1, `declared` before the first sample.
    pub fn expected(&self, service: &str, request: &str, declared: Duration) -> Duration {
        let learnt = self.kinds.get(service).and_then(|requests| requests.get(request));
        learnt.map_or(declared, |mean| Duration::from_secs_f64(mean.value().max(LEAST_SECONDS)))
    }

    /// Takes a run time measured at a server of `pace` and returns the sample of that pace.
    pub fn learn(
        &mut self,
        service: &ServiceName,
        request: &RequestName,
        declared: Duration,
        pace: f64,
        run_time: Duration,
    ) -> f64 {
        let requests = self.kinds.entry(service.clone()).or_default();
        let start = declared.as_secs_f64().max(LEAST_SECONDS);
        let mean = requests.entry(request.clone()).or_insert_with(|| LearntMean::new(start));
        let seconds = run_time.as_secs_f64().max(LEAST_SECONDS);
        let sample = seconds / mean.value().max(LEAST_SECONDS);
        mean.learn(seconds / pace.max(LEAST_PACE));
        sample
    }

    /// Forgets what was learnt of services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.kinds.retain(|service, _| keep(service));
    }
}

/// Smallest ratio that a pace may have.
pub const LEAST_PACE: f64 = 0.05;
/// Largest ratio that a pace may have.
pub const MOST_PACE: f64 = 20.0;
