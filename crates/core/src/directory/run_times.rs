//! Run time estimates from declared and measured run times.
//!
//! Each server has a slowdown: the ratio of its run times to the average of all servers, so a
//! slowdown of 2 means that tasks take twice as long. [`RunTimes`] averages over all servers, with the
//! slowdown of each divided out, for each kind of request:
//!
//! * the run time, which is the best estimate for the work of many tasks, and for a task that states
//!   none;
//! * the ratio of the run time to the one that the task declares. Tasks of one kind may take from
//!   milliseconds to seconds and declare that; the ratio tells how far off they are.
//!
//! The first measured run outweighs every declaration.

use super::moving_average::MovingAverage;
use crate::id::{RequestName, ServiceName};
use crate::named_enum::named_enum;
use std::collections::HashMap;
use std::time::Duration;

/// Age of the latest sample from which measured run times no longer count as evidence.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(10);
/// Lower bound of run times in calculations, in seconds.
const MIN_SECONDS: f64 = 1e-6;
/// Upper bound of run times in calculations, in seconds.
const MAX_SECONDS: f64 = 86_400.0;
/// Lower bound of a server's slowdown.
pub const MIN_SLOWDOWN: f64 = 0.05;
/// Upper bound of a server's slowdown.
pub const MAX_SLOWDOWN: f64 = 20.0;

named_enum! {
    /// What a run time estimate is based on.
    pub enum EstimateSource {
        /// The run time that the task declares, or that is declared for its kind of request.
        Declared = "declared",
        /// The declared run time, corrected by how far off those of its kind are.
        Corrected = "corrected",
        /// The average of the measured run times of this kind of request.
        Measured = "measured",
    }
}

/// Estimate of a run time at slowdown 1, with the evidence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// Estimated run time.
    pub run_time: Duration,
    /// What it is based on.
    pub source: EstimateSource,
    /// Measured runs of this kind of request that count.
    pub samples: u32,
    /// Time since the latest of them; `None` if there is none.
    pub age: Option<Duration>,
}

/// Run of one task.
#[derive(Debug, Clone, Copy)]
pub struct RunSample {
    /// Run time that the task declares; zero if it declares none.
    pub declared: Duration,
    /// Measured run time.
    pub run_time: Duration,
    /// Slowdown of the server.
    pub slowdown: f64,
}

/// Measured runs of one kind of request.
#[derive(Debug)]
struct RunHistory {
    /// Run time in seconds at slowdown 1.
    run_time: MovingAverage,
    /// Natural logarithm of the ratio of the run time to the declared one.
    declaration_error: MovingAverage,
    latest_at: Duration,
}

impl RunHistory {
    fn new() -> Self {
        Self {
            run_time: MovingAverage::unmeasured(),
            declaration_error: MovingAverage::unmeasured(),
            latest_at: Duration::ZERO,
        }
    }

    fn record(&mut self, sample: RunSample, now: Duration) {
        let seconds = in_range(sample.run_time.as_secs_f64() / sample.slowdown.max(MIN_SLOWDOWN));
        self.run_time.record(seconds);
        self.latest_at = now;
        if !sample.declared.is_zero() {
            let declared = in_range(sample.declared.as_secs_f64());
            self.declaration_error.record((seconds / declared).ln());
        }
    }

    fn restart(&mut self) {
        self.run_time.restart();
        self.declaration_error.restart();
    }

    /// `declared`, corrected by the usual error of its kind.
    fn correct(&self, declared: Duration) -> Duration {
        let seconds = declared.as_secs_f64() * self.declaration_error.value().exp();
        Duration::from_secs_f64(in_range(seconds))
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f64(in_range(self.run_time.value()))
    }
}

fn in_range(seconds: f64) -> f64 {
    seconds.clamp(MIN_SECONDS, MAX_SECONDS)
}

/// Measured runs of all kinds of request.
#[derive(Debug, Default)]
pub struct RunTimes {
    histories: HashMap<ServiceName, HashMap<RequestName, RunHistory>>,
}

impl RunTimes {
    /// Creates estimates without samples.
    pub fn new() -> Self {
        Self::default()
    }

    fn history(&self, service: &str, request: &str) -> Option<&RunHistory> {
        self.histories.get(service)?.get(request)
    }

    /// Average run time of `request` at slowdown 1; `declared` before the first sample.
    pub fn expected(&self, service: &str, request: &str, declared: Duration) -> Duration {
        self.history(service, request).map_or(declared, RunHistory::mean)
    }

    /// Average run time of `request` at slowdown 1; `None` if none was measured lately.
    pub fn measured(&self, service: &str, request: &str, now: Duration) -> Option<Duration> {
        let history = self.history(service, request)?;
        (now < history.latest_at + MAX_EVIDENCE_AGE).then(|| history.mean())
    }

    /// Shortest run time of a task that the evidence supports at `now`: the lower one of the run time
    /// that it declares, corrected, and the average of its kind.
    ///
    /// Measured values older than `MAX_EVIDENCE_AGE` are no evidence, so that a wrong one that keeps
    /// work away does not last.
    pub fn shortest(
        &self,
        service: &str,
        request: &str,
        declared: Duration,
        now: Duration,
    ) -> RunTimeEstimate {
        let history = self.history(service, request);
        let recent = history.filter(|history| now < history.latest_at + MAX_EVIDENCE_AGE);
        let Some(history) = recent else {
            let source = EstimateSource::Declared;
            return RunTimeEstimate { run_time: declared, source, samples: 0, age: None };
        };
        let (mean, corrected) = (history.mean(), history.correct(declared));
        let (run_time, source) = if !declared.is_zero() && corrected < mean {
            (corrected, EstimateSource::Corrected)
        } else {
            (mean, EstimateSource::Measured)
        };
        let samples = history.run_time.samples();
        let age = Some(now.saturating_sub(history.latest_at));
        RunTimeEstimate { run_time, source, samples, age }
    }

    /// Records a run that ended at `now`; returns the ratio of its run time to the previous average,
    /// which is a sample for the slowdown of the server, or 1 if there is none to compare with.
    pub fn record(
        &mut self,
        service: &ServiceName,
        request: &RequestName,
        sample: RunSample,
        now: Duration,
    ) -> f64 {
        let requests = self.histories.entry(service.clone()).or_default();
        let history = requests.entry(request.clone()).or_insert_with(RunHistory::new);
        let previous = history.run_time;
        history.record(sample, now);
        if previous.is_unmeasured() {
            return 1.0;
        }
        in_range(sample.run_time.as_secs_f64()) / in_range(previous.value())
    }

    /// Lets the next run of `request` replace the averages.
    pub fn restart(&mut self, service: &str, request: &str) {
        let requests = self.histories.get_mut(service);
        if let Some(history) = requests.and_then(|requests| requests.get_mut(request)) {
            history.restart();
        }
    }

    /// Drops the kinds of request for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&str, &str) -> bool) {
        for (service, requests) in &mut self.histories {
            requests.retain(|request, _| is_kept(service, request));
        }
        self.histories.retain(|_, requests| !requests.is_empty());
    }
}
