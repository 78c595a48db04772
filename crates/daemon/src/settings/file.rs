//! Settings files.

use super::{EntrySeed, ProcessSettings, SettingError, check_agent_settings, check_entry_settings};
use crate::error::DaemonError;
use crate::interfaces::SeedSource;
use error_stack::{Report, ResultExt};
use std::path::{Path, PathBuf};

/// Reads and checks the settings file at `path`.
///
/// # Errors
/// Fails if the file cannot be read or a setting is invalid; the report names file, line and key.
pub fn load(path: &Path) -> Result<ProcessSettings, Report<DaemonError>> {
    load_with(path, parse)
}

/// Reads the settings file at `path` and checks it with `parse`.
///
/// # Errors
/// Fails if the file cannot be read or `parse` fails; the report names the file before each error.
pub fn load_with<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, Vec<SettingError>>,
) -> Result<T, Report<DaemonError>> {
    let text = std::fs::read_to_string(path)
        .change_context(DaemonError::Settings)
        .attach_with(|| path.display().to_string())?;
    parse(&text).map_err(|errors| {
        let lines = errors.iter().map(|error| format!("{}:{error}", path.display()));
        let lines: Vec<String> = lines.collect();
        Report::new(DaemonError::Settings).attach(lines.join("\n"))
    })
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// Fails with the first syntax or type error, or else with all invalid settings.
pub fn parse(text: &str) -> Result<ProcessSettings, Vec<SettingError>> {
    let settings: ProcessSettings = serde_saphyr::from_str(text)
        .map_err(|error| vec![SettingError::from_yaml_error(&error)])?;
    let errors = match &settings {
        ProcessSettings::Entry(entry) => check_entry_settings(entry),
        ProcessSettings::Agent(agent) => check_agent_settings(agent),
    };
    if errors.is_empty() {
        return Ok(settings);
    }
    Err(errors.into_iter().map(|error| error.with_line(text)).collect())
}

/// Reads the entries that the settings file at `path` names.
///
/// # Errors
/// Fails as [`load`] does.
pub fn read_seeds(path: &Path) -> Result<Vec<EntrySeed>, Report<DaemonError>> {
    Ok(match load(path)? {
        ProcessSettings::Entry(entry) => entry.entry_seeds(),
        ProcessSettings::Agent(agent) => agent.entry_seeds(),
    })
}

/// Function that reads the entries that a settings file names.
pub type SeedReader = fn(&Path) -> Result<Vec<EntrySeed>, Report<DaemonError>>;

/// Settings file as the source of the entries that it names.
#[derive(Debug)]
pub struct FileSeeds {
    path: PathBuf,
    reader: SeedReader,
}

impl FileSeeds {
    /// Reads the entries from the file at `path` with `reader`.
    pub fn new(path: PathBuf, reader: SeedReader) -> Self {
        Self { path, reader }
    }
}

impl SeedSource for FileSeeds {
    fn read_seeds(&self) -> Result<Vec<EntrySeed>, Report<DaemonError>> {
        (self.reader)(&self.path)
    }
}
