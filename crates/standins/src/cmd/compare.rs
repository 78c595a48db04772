//! The `compare` subcommand: compares the reports of several runs.

use clap::Args;
use error_stack::Report;
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::experiment::report::RunReport;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Arguments of `compare`.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// Directories named VARIANT.SEED, each with a `report.json`.
    #[arg(required = true)]
    directories: Vec<PathBuf>,
}

/// Title of a column, and the function that reads its value from a report.
type ReportColumn = (&'static str, fn(&RunReport) -> f64);

const COLUMNS: [ReportColumn; 9] = [
    ("p50", |run| run.slowdown.p50),
    ("p99", |run| run.slowdown.p99),
    ("p50/ref", |run| run.slowdown.p50 / run.reference.p50),
    ("p99/ref", |run| run.slowdown.p99 / run.reference.p99),
    ("wasted", |run| run.wasted_per_task),
    ("goodput", |run| run.goodput / run.offered.min(run.capacity)),
    ("busy out", |run| run.busy_while_out.unwrap_or(f64::NAN)),
    ("refusal ms", |run| run.refusal_p99_ms),
    ("breaches", |run| run.violations.len() as f64),
];

impl CompareArgs {
    /// Prints the median and range of each column for each variant.
    pub fn run(self) -> Result<(), Report<StandinError>> {
        let mut variants: BTreeMap<String, Vec<RunReport>> = BTreeMap::new();
        for directory in &self.directories {
            let run = RunReport::load(directory)?;
            let name = directory.file_stem().unwrap_or_default().to_string_lossy();
            variants.entry(name.into_owned()).or_default().push(run);
        }
        print!("{:<22}", "variant (runs)");
        for (name, _) in COLUMNS {
            print!(" {name:>18}");
        }
        println!();
        for (variant, runs) in &variants {
            print!("{:<22}", format!("{variant} ({})", runs.len()));
            for (_, read) in COLUMNS {
                print!(" {:>18}", format_range(runs.iter().map(read).collect()));
            }
            println!();
        }
        Ok(())
    }
}

/// Formats median, minimum and maximum, or `-` if no run has the value.
fn format_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (values.first(), values.last()) else { return String::new() };
    if least.is_nan() {
        return "-".to_owned();
    }
    format!("{:.3} {least:.3}-{most:.3}", values[values.len() / 2])
}
