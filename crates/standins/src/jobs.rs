//! Job files: a configuration and the jobs to submit under it.

use crate::error::StandinError;
use crate::yaml::load_yaml;
use error_stack::Report;
use parsleyspool_wire::caller::SubmitBody;
use parsleyspool_wire::settings::ChangeWire;
use serde::Deserialize;
use std::path::Path;

/// Job file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobFile {
    /// Changes to make before the first job.
    pub changes: Vec<ChangeWire>,
    /// Jobs to submit, all at once.
    pub jobs: Vec<SubmitBody>,
}

impl JobFile {
    /// File at `path`.
    ///
    /// # Errors
    /// Fails where it cannot be read; the report names line and key.
    pub fn load(path: &Path) -> Result<Self, Report<StandinError>> {
        load_yaml(path)
    }

    /// Services named by the jobs and changes.
    pub fn services(&self) -> Vec<String> {
        let changes = self.changes.iter().filter_map(|change| match change {
            ChangeWire::PutService { name, .. } => Some(name.clone()),
            _ => None,
        });
        let mut services: Vec<String> = changes.collect();
        services.sort();
        services.dedup();
        services
    }
}
