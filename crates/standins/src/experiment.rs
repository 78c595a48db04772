//! Experiments: submit a seeded trace of jobs to running processes, and measure the results.
//!
//! [`ExperimentFile`] is read from YAML. [`trace`] generates the jobs from it, and
//! [`load_generator`] submits them at their intended times. [`mod@reference`] simulates a
//! clairvoyant central queue on the same jobs, and [`discipline`] queues with priorities and limits
//! of the response time. [`measure`] reads metrics and timelines from the processes, and [`report`]
//! computes the report.

pub mod configure;
pub mod discipline;
mod file;
pub mod load_generator;
pub mod measure;
pub mod priority_chart;
pub mod priority_report;
pub mod reference;
pub mod report;
pub mod trace;

pub use file::{
    DemandWave, DomainAction, ExperimentFile, JobSize, RequestMix, ResponseLimits, RunTimeModel,
    ScheduledAction,
};
