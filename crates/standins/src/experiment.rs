//! Experiments: submit a seeded trace of jobs to running processes, and measure the results.
//!
//! [`ExperimentFile`] is read from YAML. [`trace`] generates the jobs from it, and
//! [`load_generator`] submits them at their intended times. [`mod@reference`] simulates a
//! clairvoyant central queue on the same jobs. [`measure`] reads metrics and timelines from the
//! processes, and [`report`] computes the report.

mod file;
pub mod load_generator;
pub mod measure;
pub mod reference;
pub mod report;
pub mod trace;

pub use file::{DomainAction, ExperimentFile, JobSize, RequestMix, RunTimeModel, ScheduledAction};
