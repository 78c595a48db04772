//! The `priorities` subcommand: table and plot of the results by priority.

use super::load::write_file;
use clap::Args;
use error_stack::Report;
use parsleyspool_standins::error::StandinError;
use parsleyspool_standins::experiment::priority_chart::{
    markdown_table, priority_rows, priority_svg,
};
use parsleyspool_standins::experiment::report::RunReport;
use std::path::PathBuf;

/// Arguments of `priorities`.
#[derive(Debug, Args)]
pub struct PrioritiesArgs {
    /// Directories named VARIANT.SEED, each with a `report.json`, at one or several loads.
    #[arg(required = true)]
    directories: Vec<PathBuf>,
    /// Directory for `priorities.md` and `priorities.svg`.
    #[arg(long)]
    out: PathBuf,
}

impl PrioritiesArgs {
    /// Prints the table, and writes it and the plot to the output directory.
    pub fn run(self) -> Result<(), Report<StandinError>> {
        let mut runs = Vec::new();
        for directory in &self.directories {
            let name = directory.file_stem().unwrap_or_default().to_string_lossy();
            runs.push((name.into_owned(), RunReport::load(directory)?));
        }
        let rows = priority_rows(&runs);
        let table = markdown_table(&rows);
        print!("{table}");
        write_file(&self.out, "priorities.md", &table)?;
        write_file(&self.out, "priorities.svg", &priority_svg(&rows)?)
    }
}
