//! Patches: RFC 7396 merge patches and RFC 6902 operations.

use std::fmt;

use errors::{Refusal, ResultCode};
use identity::ConfigVersion;
use serde_json::Value;

use crate::layout::LayoutError;
use crate::{Document, find_faults};

/// Why a patch leads nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchError {
    /// The patch or what it makes has not the right form.
    Malformed(String),
    /// The patch was too large to be kept.
    NotRetained,
    /// The patch was made against another version.
    VersionGap {
        /// The version that had to come next.
        expected: ConfigVersion,
        /// The version that the patch makes.
        found: ConfigVersion,
    },
    /// What came out is not what came out where the patch was accepted.
    DigestMismatch,
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatchError::Malformed(reason) => f.write_str(reason),
            PatchError::NotRetained => f.write_str("the patch is not kept"),
            PatchError::VersionGap { expected, found } => {
                write!(f, "a patch for version {found} where {expected} comes next")
            }
            PatchError::DigestMismatch => f.write_str("the patch makes another document here"),
        }
    }
}

impl std::error::Error for PatchError {}

impl From<serde_json::Error> for PatchError {
    fn from(error: serde_json::Error) -> PatchError {
        PatchError::Malformed(error.to_string())
    }
}

impl From<LayoutError> for PatchError {
    fn from(error: LayoutError) -> PatchError {
        PatchError::Malformed(error.to_string())
    }
}

/// Makes the document that a patch leads to, checked as a whole.
///
/// An object is a merge patch (RFC 7396), an array a list of operations (RFC 6902).
pub fn apply_patch(document: &Document, patch: &Value) -> Result<Document, Refusal> {
    let value = serde_json::to_value(document).map_err(|error| reject(error.to_string()))?;
    let value = apply_unchecked(value, patch).map_err(|error| reject(error.to_string()))?;
    let document: Document = serde_path_to_error::deserialize(value)
        .map_err(|error| reject(format!("{}: {}", error.path(), error.inner())))?;
    let faults = find_faults(&document);
    if faults.is_empty() { Ok(document) } else { Err(reject(faults.join("; "))) }
}

/// Applies a patch to the JSON form of a document.
pub(crate) fn apply_unchecked(mut value: Value, patch: &Value) -> Result<Value, PatchError> {
    match patch {
        Value::Object(_) => json_patch::merge(&mut value, patch),
        Value::Array(_) => {
            let operations: json_patch::Patch = serde_json::from_value(patch.clone())
                .map_err(|error| PatchError::Malformed(format!("patch: {error}")))?;
            json_patch::patch(&mut value, &operations)
                .map_err(|error| PatchError::Malformed(format!("patch: {error}")))?;
        }
        _ => {
            let reason = "patch: given neither an object nor an array";
            return Err(PatchError::Malformed(reason.to_owned()));
        }
    }
    Ok(value)
}

fn reject(message: String) -> Refusal {
    Refusal::not_run(ResultCode::PatchRejected).with_message(message)
}
