//! What is wrong with a key: its path, what was given and what is allowed.

use serde_json::Value;
use serde_path_to_error::{Error, Segment};

/// What `SocketAddr` says of a text that it cannot read.
const ADDRESS_REASON: &str = "invalid socket address syntax";

/// What is allowed there.
const ADDRESS_ALLOWED: &str = "allowed an IP address with a port (10.0.0.5:8080)";

/// The fault in one line.
pub(crate) fn explain(source: &str, text: &str, error: &Error<serde_json::Error>) -> String {
    let reason = error.inner().to_string().replace(ADDRESS_REASON, ADDRESS_ALLOWED);
    match find_given(text, error) {
        Some(given) => format!("{source}: {}: given {given}, {reason}", error.path()),
        None => format!("{source}: {}: {reason}", error.path()),
    }
}

/// The value at the path of the fault, where it is a plain one.
fn find_given(text: &str, error: &Error<serde_json::Error>) -> Option<Value> {
    let whole: Value = serde_json::from_str(text).ok()?;
    let mut value = &whole;
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
