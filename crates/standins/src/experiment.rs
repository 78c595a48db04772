//! Experiments: a seeded trace of jobs, driven against real processes and measured.
//!
//! [`ExperimentFile`] is read from YAML, [`trace`] draws the jobs from it, [`mod@reference`] computes
//! what an all-knowing central queue would do with the same jobs, [`drive`] submits them at their
//! intended times, and [`report`] puts the figures together.

pub mod drive;
mod file;
pub mod measure;
pub mod reference;
pub mod report;
pub mod trace;

pub use file::{DomainAction, ExperimentFile, JobSize, RequestMix, RunTimeModel, ScheduledAction};
