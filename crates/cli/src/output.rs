//! Output on stdout: lines, tables and JSON.

use crate::error::CommandError;
use error_stack::{Report, ResultExt};
use serde::Serialize;
use std::io::Write;

/// Prints a line like `println!`, but exits with code 0 if stdout is closed.
macro_rules! print_line {
    ($($part:tt)*) => {
        $crate::output::write_stdout(format_args!("{}\n", format_args!($($part)*)))
    };
}
pub(crate) use print_line;

/// Prints text without a line break; exits with code 0 if stdout is closed.
pub fn write_stdout(text: std::fmt::Arguments<'_>) {
    if std::io::stdout().write_fmt(text).is_err() {
        std::process::exit(0);
    }
}

/// Prints `value` as JSON.
///
/// # Errors
/// Fails if `value` cannot be serialized.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), Report<CommandError>> {
    let text = serde_json::to_string_pretty(value).change_context(CommandError::Input)?;
    print_line!("{text}");
    Ok(())
}

/// Aligns rows in columns; the first row holds the headers.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> =
            cells.map(|(cell, width)| format!("{cell:<width$}", width = *width)).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
