//! Fields of log lines.

/// A value, or the word `none`.
pub(super) fn or_none<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
