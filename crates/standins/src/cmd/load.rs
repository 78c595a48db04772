//! `parsleyspool-standins load`.

use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::experiment::report::RunRecord;
use parsleyspool_standins::experiment::{ExperimentFile, drive, measure, trace};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Experiment file.
    file: PathBuf,
    /// Directory for the report as text, JSON and SVG.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Seed, instead of the one of the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Load, instead of the one of the file.
    #[arg(long)]
    load: Option<f64>,
}

/// Time for the last accounts and events to be written.
const SETTLE: Duration = Duration::from_millis(500);

impl LoadArgs {
    /// Drives the experiment and reports.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        let mut file = ExperimentFile::load(&self.file)?;
        file.seed = self.seed.unwrap_or(file.seed);
        file.load = self.load.unwrap_or(file.load);
        let jobs = trace::draw(&file);
        let client = reqwest::Client::new();
        let before = measure::count_messages(&client, &file.operators).await;
        let run = drive::drive(&file, &jobs).await?;
        tokio::time::sleep(SETTLE).await;
        let after = measure::count_messages(&client, &file.operators).await;
        let bodies = measure::gather(&client, &file.operators).await;
        let check = measure::verify(&bodies);
        let record = RunRecord {
            file: &file,
            jobs: &jobs,
            run: &run,
            messages: after.since(before),
            bodies: &bodies,
            check: &check,
        };
        let figures = record.figures();
        print!("{}", figures.text());
        if let Some(out) = &self.out {
            write(out, "report.txt", figures.text())?;
            let json = serde_json::to_string_pretty(&figures);
            write(out, "report.json", json.change_context(StandinError::Report)?)?;
            write(out, "work.svg", record.picture()?)?;
        }
        Ok(())
    }
}

fn write(directory: &Path, name: &str, text: String) -> Result<(), Report<StandinError>> {
    std::fs::create_dir_all(directory).change_context(StandinError::File)?;
    std::fs::write(directory.join(name), text).change_context(StandinError::File)
}
