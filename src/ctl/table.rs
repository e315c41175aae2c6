//! Output formats: aligned text tables and JSON.

/// Separator between two columns.
const SEPARATOR: &str = "  ";

/// Formats a heading and rows as a table, each column as wide as its widest cell.
pub(super) fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let heading = heading.iter().map(ToString::to_string).collect();
    let all: Vec<&Vec<String>> = std::iter::once(&heading).chain(rows).collect();
    let width = |column: usize| {
        let cells = all.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..heading.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
        format!("{}\n", cells.collect::<Vec<_>>().join(SEPARATOR).trim_end())
    };
    all.into_iter().map(line).collect()
}

/// Formats a value as indented JSON.
pub(super) fn json(value: &impl serde::Serialize) -> String {
    // Cannot fail: the output has only strings, numbers, booleans and string keys.
    format!("{}\n", serde_json::to_string_pretty(value).unwrap_or_default())
}
