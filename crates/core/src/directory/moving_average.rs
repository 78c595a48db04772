//! Exponential moving average.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of each of the first samples; high, so that a wrong initial value is corrected quickly.
const FIRST_SAMPLE_WEIGHT: f64 = 0.5;
/// Number of samples with the higher weight.
const FIRST_SAMPLES: u32 = 4;

/// Exponential moving average, with a higher weight for the first samples.
#[derive(Debug, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
    samples: u32,
    /// Whether the next sample replaces the value.
    is_unmeasured: bool,
}

impl MovingAverage {
    /// Average that starts at `value`, which counts as much as a sample.
    pub fn new(value: f64) -> Self {
        Self { value, samples: 0, is_unmeasured: false }
    }

    /// Average that starts at its first sample; zero before.
    pub fn unmeasured() -> Self {
        Self { value: 0.0, samples: 0, is_unmeasured: true }
    }

    /// Current average.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Number of samples since the average was created or restarted.
    pub fn samples(self) -> u32 {
        self.samples
    }

    /// Whether the value comes from no sample, or from none since the average was restarted.
    pub fn is_unmeasured(self) -> bool {
        self.is_unmeasured
    }

    /// Keeps the value until the next sample, which replaces it.
    pub fn restart(&mut self) {
        self.samples = 0;
        self.is_unmeasured = true;
    }

    /// Adds one sample.
    pub fn record(&mut self, sample: f64) {
        let weight = if self.samples < FIRST_SAMPLES { FIRST_SAMPLE_WEIGHT } else { SAMPLE_WEIGHT };
        let weight = if self.is_unmeasured { 1.0 } else { weight };
        self.is_unmeasured = false;
        self.samples = self.samples.saturating_add(1);
        self.value += weight * (sample - self.value);
    }
}
