//! `parsleyspool reference`.

use crate::error::CommandError;
use crate::output::write_stdout;
use clap::{Args, ValueEnum};
use error_stack::Report;
use parsleyspool_core::error::{ErrorKind, Resubmission, RunStatus};
use parsleyspool_daemon::settings::SETTING_TABLE;
use parsleyspool_daemon::telemetry::metrics::METRIC_TABLE;

/// Arguments of `reference`.
#[derive(Debug, Args)]
pub struct ReferenceArgs {
    /// Table to print.
    table: ReferenceTable,
}

/// Reference tables. A test checks that the documentation contains the same tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ReferenceTable {
    /// Keys of the settings files.
    Settings,
    /// Error kinds with their status, run status and resubmission rule.
    Errors,
    /// Metrics of entries and agents.
    Metrics,
    /// Exit codes of the commands.
    ExitCodes,
}

impl ReferenceArgs {
    /// Prints the table in Markdown.
    pub fn run(self) -> Result<(), Report<CommandError>> {
        write_stdout(format_args!("{}", render_table(self.table)));
        Ok(())
    }
}

/// Formats a table in Markdown.
pub fn render_table(table: ReferenceTable) -> String {
    match table {
        ReferenceTable::Settings => settings(),
        ReferenceTable::Errors => errors(),
        ReferenceTable::Metrics => metrics(),
        ReferenceTable::ExitCodes => exit_codes(),
    }
}

fn markdown_table(headers: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut text = format!("| {} |\n", headers.join(" | "));
    text.push_str(&format!("|{}\n", " --- |".repeat(headers.len())));
    for row in rows {
        text.push_str(&format!("| {} |\n", row.join(" | ")));
    }
    text
}

fn settings() -> String {
    let rows = SETTING_TABLE.iter();
    let rows = rows.map(|row| vec![format!("`{}`", row.key), row.unit.into(), row.help.into()]);
    markdown_table(&["key", "unit", "meaning"], rows)
}

fn errors() -> String {
    let rows = ErrorKind::ALL.into_iter().map(|kind| {
        let answer = kind.answer();
        let run_status = match answer.run_status {
            RunStatus::NotRun => "not run",
            RunStatus::MayHaveRun => "may have run",
        };
        let resubmission = match answer.resubmission {
            Resubmission::Refused => "useless".to_owned(),
            Resubmission::After(time) => format!("after {} ms", time.as_millis()),
            Resubmission::IfIdempotent => "if idempotent".to_owned(),
        };
        let (name, status) = (format!("`{}`", answer.name), answer.status.to_string());
        vec![name, status, run_status.to_owned(), resubmission, answer.phrase.to_owned()]
    });
    markdown_table(&["kind", "status", "proof", "resubmission", "meaning"], rows)
}

fn metrics() -> String {
    let rows = METRIC_TABLE.iter().map(|row| {
        let name = format!("`{}`", row.name);
        let cells = [row.kind, row.unit, row.label, row.label_values, row.help];
        std::iter::once(name).chain(cells.map(str::to_owned)).collect()
    });
    markdown_table(&["name", "kind", "unit", "label", "label values", "meaning"], rows)
}

fn exit_codes() -> String {
    let fixed = [(0, "done"), (2, "the command line is wrong")];
    let rows = CommandError::TABLE.into_iter().map(|(_, code, text)| (code, text));
    let rows = fixed.into_iter().chain(rows);
    let rows = rows.map(|(code, text)| vec![code.to_string(), text.to_owned()]);
    markdown_table(&["exit code", "meaning"], rows)
}
