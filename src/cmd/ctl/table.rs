//! Answers as tables for people.

use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Spaces between columns.
const GAP: &str = "  ";

/// A column: its heading and how a row's cell is found.
pub(crate) struct Column {
    heading: &'static str,
    cell: fn(&Value) -> String,
}

impl Column {
    /// A column.
    pub(crate) fn new(heading: &'static str, cell: fn(&Value) -> String) -> Column {
        Column { heading, cell }
    }
}

/// A table of an array of objects.
pub(crate) fn render(rows: &Value, columns: &[Column]) -> String {
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
    line.join(GAP).trim_end().to_owned()
}

/// A field as plain text; empty where it is absent.
pub(crate) fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "-".to_owned(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Milliseconds since 1970 as a time of day.
pub(crate) fn moment(value: &Value) -> String {
    let ms = value.as_i64().unwrap_or_default();
    let moment = OffsetDateTime::from_unix_timestamp_nanos(i128::from(ms) * 1_000_000).ok();
    moment.and_then(|moment| moment.format(&Rfc3339).ok()).unwrap_or_default()
}
