//! `parsleyspool check`.

use crate::error::CommandError;
use crate::output::print_line;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_daemon::settings::{ProcessSettings, load};
use std::path::PathBuf;

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Settings files of entries or agents.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl CheckArgs {
    /// Checks every file; the error lists the faults of all files.
    pub fn run(self) -> Result<(), Report<CommandError>> {
        let mut faults: Option<Report<CommandError>> = None;
        for file in &self.files {
            match load(file) {
                Ok(ProcessSettings::Entry(entry)) => {
                    print_line!("{}: entry {} is right", file.display(), entry.name);
                }
                Ok(ProcessSettings::Agent(agent)) => {
                    print_line!("{}: agent {} is right", file.display(), agent.name);
                }
                Err(report) => {
                    let report = Err::<(), _>(report).change_context(CommandError::Input);
                    let Err(report) = report else { continue };
                    let text = joined_details(&report);
                    let all = faults.take().unwrap_or_else(|| Report::new(CommandError::Input));
                    faults = Some(all.attach(text));
                }
            }
        }
        faults.map_or(Ok(()), Err)
    }
}

fn joined_details(report: &Report<CommandError>) -> String {
    let texts = report.frames().filter_map(|frame| frame.downcast_ref::<String>());
    texts.cloned().collect::<Vec<_>>().join("\n")
}
