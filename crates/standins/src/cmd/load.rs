//! The `load` subcommand: runs an experiment and reports the results.

use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::experiment::priority_report::PriorityComparison;
use parsleyspool_standins::experiment::report::ReportInput;
use parsleyspool_standins::experiment::{
    ExperimentFile, configure, load_generator, measure, trace,
};
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
    /// Declare no priorities, for a product version that does not know them.
    #[arg(long)]
    no_priorities: bool,
    /// Only print the results by priority of the simulated disciplines; needs no processes.
    #[arg(long)]
    simulate: bool,
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
        if self.simulate {
            let comparison = PriorityComparison::compute(&file, &jobs, &[]);
            for line in comparison.iter().flat_map(PriorityComparison::lines) {
                println!("{line}");
            }
            return Ok(());
        }
        let client = reqwest::Client::new();
        configure::declare_requests(&client, &file, !self.no_priorities).await?;
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
            write_file(out, "report.txt", &report.to_text())?;
            let json = serde_json::to_string_pretty(&report);
            write_file(out, "report.json", &json.change_context(StandinError::Report)?)?;
            write_file(out, "work.svg", &input.throughput_svg()?)?;
        }
        Ok(())
    }
}

pub(super) fn write_file(
    directory: &Path,
    name: &str,
    text: &str,
) -> Result<(), Report<StandinError>> {
    std::fs::create_dir_all(directory).change_context(StandinError::File)?;
    std::fs::write(directory.join(name), text).change_context(StandinError::File)
}
