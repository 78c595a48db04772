//! Output for persons and as JSON.

use crate::error::CommandError;
use error_stack::{Report, ResultExt};
use serde::Serialize;

/// Prints `value` as JSON.
///
/// # Errors
/// Fails where it cannot be written as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), Report<CommandError>> {
    let text = serde_json::to_string_pretty(value).change_context(CommandError::Input)?;
    println!("{text}");
    Ok(())
}

/// Rows aligned in columns, the first row being the heads.
pub fn table(rows: &[Vec<String>]) -> String {
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
