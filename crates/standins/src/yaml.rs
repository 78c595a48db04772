//! Reading of YAML files.

use crate::error::StandinError;
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a value from the YAML file at `path`.
///
/// # Errors
/// Fails if the file cannot be read or parsed. The report names the file and, if it is malformed,
/// the line and key.
pub fn load_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, Report<StandinError>> {
    let text = std::fs::read_to_string(path)
        .change_context(StandinError::File)
        .attach_with(|| path.display().to_string())?;
    serde_saphyr::from_str(&text)
        .change_context(StandinError::Parse)
        .attach_with(|| path.display().to_string())
}
