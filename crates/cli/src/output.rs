//! Command output as text or JSON.

use serde::Serialize;

use crate::options::OutputFormat;

/// Prints a value as JSON, or as the text that `text` returns for it.
pub fn print<T: Serialize>(format: OutputFormat, value: &T, text: impl FnOnce(&T) -> String) {
    match format {
        OutputFormat::Json => {
            println!("{}", serde_json::to_string(value).unwrap_or_default());
        }
        OutputFormat::Text => println!("{}", text(value)),
    }
}

/// Formats rows as left-aligned columns, each as wide as its widest cell.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| rows.iter().filter_map(|row| row.get(column)).map(String::len).max())
        .map(|width| width.unwrap_or(0))
        .collect();
    let lines: Vec<String> = rows
        .iter()
        .map(|row| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        })
        .collect();
    lines.join("\n")
}
