//! Prints results as a table, JSON or YAML.

use serde::Serialize;

use crate::cli::OutputFormat;
use crate::error::{CliError, CliErrorKind};

/// Number of spaces between two columns.
const COLUMN_GAP_CHARS: usize = 2;

/// Returns a table of aligned columns with a header line.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    push_row(&mut text, &widths, header.iter().copied());
    for row in rows {
        push_row(&mut text, &widths, row.iter().map(String::as_str));
    }
    text
}

fn push_row<'a>(text: &mut String, widths: &[usize], cells: impl Iterator<Item = &'a str>) {
    let mut line = String::new();
    for (width, cell) in widths.iter().zip(cells) {
        line.push_str(cell);
        let padding = width + COLUMN_GAP_CHARS - cell.chars().count();
        line.extend(std::iter::repeat_n(' ', padding));
    }
    text.push_str(line.trim_end());
    text.push('\n');
}

/// Prints `value` in the requested format; `as_table` renders the table format.
pub(crate) fn print<T: Serialize>(
    format: OutputFormat,
    value: &T,
    as_table: impl FnOnce(&T) -> String,
) -> Result<(), CliError> {
    let encode_error = |error: &dyn std::fmt::Display| {
        CliError::new(
            CliErrorKind::Failed,
            format!("cannot encode the output: {error}"),
        )
    };
    let text = match format {
        OutputFormat::Table => as_table(value),
        OutputFormat::Json => {
            let json = serde_json::to_string_pretty(value).map_err(|error| encode_error(&error))?;
            json + "\n"
        }
        OutputFormat::Yaml => {
            serde_yaml_ng::to_string(value).map_err(|error| encode_error(&error))?
        }
    };
    print!("{text}");
    Ok(())
}
