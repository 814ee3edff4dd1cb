//! Patches: RFC 7396 merge patches and RFC 6902 operations.

use std::fmt;

use errors::{Refusal, ResultCode};
use identity::ConfigVersion;
use serde_json::Value;

use crate::layout::LayoutError;
use crate::{Document, validate_document};

/// Failure to apply a patch or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchError {
    /// The patch or the resulting document is malformed.
    Malformed(String),
    /// The delta does not contain its patch, which was too large to be retained.
    NotRetained,
    /// The delta does not lead to the next version.
    VersionGap {
        /// The next version.
        expected: ConfigVersion,
        /// The version that the delta leads to.
        found: ConfigVersion,
    },
    /// The digest of the resulting document differs from the one recorded in the delta.
    DigestMismatch,
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatchError::Malformed(reason) => f.write_str(reason),
            PatchError::NotRetained => f.write_str("the patch was too large to be retained"),
            PatchError::VersionGap { expected, found } => {
                write!(f, "delta for version {found}, expected version {expected}")
            }
            PatchError::DigestMismatch => {
                f.write_str("document digest mismatch after the patch was applied")
            }
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

/// Applies a patch to a document and validates the result.
///
/// A JSON object is a merge patch (RFC 7396), an array is a list of operations (RFC 6902).
pub fn apply_patch(document: &Document, patch: &Value) -> Result<Document, Refusal> {
    let value =
        serde_json::to_value(document).map_err(|error| patch_rejected(error.to_string()))?;
    let value =
        apply_unvalidated(value, patch).map_err(|error| patch_rejected(error.to_string()))?;
    let document: Document = serde_path_to_error::deserialize(value)
        .map_err(|error| patch_rejected(format!("{}: {}", error.path(), error.inner())))?;
    let errors = validate_document(&document);
    if errors.is_empty() { Ok(document) } else { Err(patch_rejected(errors.join("; "))) }
}

/// Applies a patch to the JSON form of a document without validating the result.
pub(crate) fn apply_unvalidated(mut value: Value, patch: &Value) -> Result<Value, PatchError> {
    match patch {
        Value::Object(_) => json_patch::merge(&mut value, patch),
        Value::Array(_) => {
            let operations: json_patch::Patch = serde_json::from_value(patch.clone())
                .map_err(|error| PatchError::Malformed(format!("patch: {error}")))?;
            json_patch::patch(&mut value, &operations)
                .map_err(|error| PatchError::Malformed(format!("patch: {error}")))?;
        }
        _ => {
            let reason = "patch: must be an object or an array";
            return Err(PatchError::Malformed(reason.to_owned()));
        }
    }
    Ok(value)
}

fn patch_rejected(message: String) -> Refusal {
    Refusal::not_run(ResultCode::PatchRejected).with_message(message)
}
