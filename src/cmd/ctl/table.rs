//! Text tables of JSON rows.

use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Separator between columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Column of a table: its heading and the function that formats its cell of a row.
pub(crate) struct Column {
    heading: &'static str,
    cell: fn(&Value) -> String,
}

impl Column {
    /// Creates a column.
    pub(crate) fn new(heading: &'static str, cell: fn(&Value) -> String) -> Column {
        Column { heading, cell }
    }
}

/// Renders an array of JSON objects as a table.
pub(crate) fn render_table(rows: &Value, columns: &[Column]) -> String {
    let headings = columns.iter().map(|column| column.heading.to_owned()).collect();
    let mut lines: Vec<Vec<String>> = vec![headings];
    for row in rows.as_array().into_iter().flatten() {
        lines.push(columns.iter().map(|column| (column.cell)(row)).collect());
    }
    let width = |index: usize| lines.iter().map(|line| line[index].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len()).filter_map(width).collect();
    let text: Vec<String> = lines.iter().map(|line| render_line(line, &widths)).collect();
    text.join("\n")
}

fn render_line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    let line: Vec<String> = padded.collect();
    line.join(COLUMN_SEPARATOR).trim_end().to_owned()
}

/// Formats a JSON field as plain text; an absent field is empty.
pub(crate) fn format_field(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_field).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Formats Unix time (milliseconds since 1970) as an RFC 3339 timestamp.
pub(crate) fn format_timestamp(value: &Value) -> String {
    let ms = value.as_i64().unwrap_or_default();
    let time = OffsetDateTime::from_unix_timestamp_nanos(i128::from(ms) * 1_000_000).ok();
    time.and_then(|time| time.format(&Rfc3339).ok()).unwrap_or_default()
}
