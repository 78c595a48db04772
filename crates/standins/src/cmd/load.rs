//! The `load` subcommand: runs an experiment and reports the results.

use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::experiment::report::ReportInput;
use parsleyspool_standins::experiment::{ExperimentFile, load_generator, measure, trace};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Path of the experiment file.
    file: PathBuf,
    /// Directory for `report.txt`, `report.json` and `work.svg`.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Seed of the job trace; overrides the one in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Offered load as a share of the capacity; overrides the one in the file.
    #[arg(long)]
    load: Option<f64>,
}

/// Time for the entries to write the last refusal records and events.
const FLUSH_DELAY: Duration = Duration::from_millis(500);

impl LoadArgs {
    /// Runs the experiment, prints the report and writes it to the output directory, if one is set.
    pub async fn run(self) -> Result<(), Report<StandinError>> {
        let mut file = ExperimentFile::load(&self.file)?;
        file.seed = self.seed.unwrap_or(file.seed);
        file.load = self.load.unwrap_or(file.load);
        let jobs = trace::generate_trace(&file);
        let client = reqwest::Client::new();
        let before = measure::count_messages(&client, &file.operators).await;
        let run = load_generator::submit_trace(&file, &jobs).await?;
        tokio::time::sleep(FLUSH_DELAY).await;
        let after = measure::count_messages(&client, &file.operators).await;
        let timelines = measure::fetch_timelines(&client, &file.operators).await;
        let check = measure::check_invariants(&timelines);
        let input = ReportInput {
            file: &file,
            jobs: &jobs,
            run: &run,
            messages: after.since(before),
            timelines: &timelines,
            check: &check,
        };
        let report = input.report();
        print!("{}", report.to_text());
        if let Some(out) = &self.out {
            write_file(out, "report.txt", report.to_text())?;
            let json = serde_json::to_string_pretty(&report);
            write_file(out, "report.json", json.change_context(StandinError::Report)?)?;
            write_file(out, "work.svg", input.throughput_svg()?)?;
        }
        Ok(())
    }
}

fn write_file(directory: &Path, name: &str, text: String) -> Result<(), Report<StandinError>> {
    std::fs::create_dir_all(directory).change_context(StandinError::File)?;
    std::fs::write(directory.join(name), text).change_context(StandinError::File)
}
