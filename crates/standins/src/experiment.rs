//! Experiments: submit a seeded trace of jobs to running processes, and measure the results.
//!
//! [`ExperimentFile`] is read from YAML. [`trace`] generates the jobs from it, and [`drive`]
//! submits them at their intended times. [`mod@reference`] simulates a clairvoyant central queue on
//! the same jobs. [`measure`] reads metrics and timelines from the processes, and [`report`]
//! computes the report.

pub mod drive;
mod file;
pub mod measure;
pub mod reference;
pub mod report;
pub mod trace;

pub use file::{DomainAction, ExperimentFile, JobSize, RequestMix, RunTimeModel, ScheduledAction};
