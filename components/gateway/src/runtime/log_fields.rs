//! Formatting of fields in log lines.

/// Formats a value, or `none` where there is none.
pub(super) fn or_none<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
