//! Output for people and for programs.

use serde::Serialize;

use crate::options::OutputForm;

/// Prints a value as JSON, or the text made of it.
pub fn print<T: Serialize>(form: OutputForm, value: &T, text: impl FnOnce(&T) -> String) {
    match form {
        OutputForm::Json => {
            println!("{}", serde_json::to_string(value).unwrap_or_default());
        }
        OutputForm::Text => println!("{}", text(value)),
    }
}

/// Lays out rows in columns as wide as their widest cell.
pub fn table(rows: &[Vec<String>]) -> String {
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
