//! Job files: configuration changes, and jobs to submit under that configuration.

use crate::error::StandinError;
use crate::yaml::load_yaml;
use error_stack::Report;
use parsleyspool_wire::caller::SubmitBody;
use parsleyspool_wire::config::ChangeWire;
use serde::Deserialize;
use std::path::Path;

/// Contents of the file that the `run` subcommand reads.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobFile {
    /// Configuration changes to apply before the first job is submitted.
    pub changes: Vec<ChangeWire>,
    /// Jobs to submit, all at the same time.
    pub jobs: Vec<SubmitBody>,
}

impl JobFile {
    /// Reads the job file at `path`.
    ///
    /// # Errors
    /// Fails if the file cannot be read or parsed. The report names the file and, if it is
    /// malformed, the line and key.
    pub fn load(path: &Path) -> Result<Self, Report<StandinError>> {
        load_yaml(path)
    }

    /// Names of the services that the changes define, sorted and without duplicates.
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
