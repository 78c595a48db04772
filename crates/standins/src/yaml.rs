//! Files in YAML.

use crate::error::StandinError;
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Value in the file at `path`.
///
/// # Errors
/// Fails where it cannot be read; the report names file, line and key.
pub fn load_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, Report<StandinError>> {
    let text = std::fs::read_to_string(path)
        .change_context(StandinError::File)
        .attach_with(|| path.display().to_string())?;
    serde_saphyr::from_str(&text)
        .change_context(StandinError::Form)
        .attach_with(|| path.display().to_string())
}
