//! Messages for settings that do not parse: path of the key, given value, allowed values.

use serde_json::Value;
use serde_path_to_error::{Error, Segment};

/// Error message of `SocketAddr` for text that is not a socket address.
const ADDRESS_SYNTAX_ERROR: &str = "invalid socket address syntax";

/// Replacement for that message, in the form of the other settings errors.
const ADDRESS_HINT: &str = "allowed an IP address with a port (10.0.0.5:8080)";

/// Formats a parse error as one line that names the file, the key and the given value.
pub(crate) fn format_parse_error(
    source: &str,
    text: &str,
    error: &Error<serde_json::Error>,
) -> String {
    let reason = error.inner().to_string().replace(ADDRESS_SYNTAX_ERROR, ADDRESS_HINT);
    match find_given_value(text, error) {
        Some(given) => format!("{source}: {}: given {given}, {reason}", error.path()),
        None => format!("{source}: {}: {reason}", error.path()),
    }
}

/// Returns the value at the path of the error, unless it is an object or an array.
fn find_given_value(text: &str, error: &Error<serde_json::Error>) -> Option<Value> {
    let document: Value = serde_json::from_str(text).ok()?;
    let mut value = &document;
    for segment in error.path() {
        value = match segment {
            Segment::Seq { index } => value.get(index)?,
            Segment::Map { key } => value.get(key)?,
            Segment::Enum { variant } => value.get(variant)?,
            Segment::Unknown => return None,
        };
    }
    (!value.is_object() && !value.is_array()).then(|| value.clone())
}
