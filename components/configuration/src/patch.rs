//! Patches: RFC 7396 merge patches and RFC 6902 operations.

use errors::{Refusal, ResultCode};
use serde_json::Value;

use crate::{Document, find_faults};

/// Makes the document that a patch leads to, checked as a whole.
///
/// An object is a merge patch (RFC 7396), an array a list of operations (RFC 6902).
pub fn apply_patch(document: &Document, patch: &Value) -> Result<Document, Refusal> {
    let mut value = serde_json::to_value(document).map_err(|error| reject(error.to_string()))?;
    match patch {
        Value::Object(_) => json_patch::merge(&mut value, patch),
        Value::Array(_) => {
            let operations: json_patch::Patch = serde_json::from_value(patch.clone())
                .map_err(|error| reject(format!("patch: {error}")))?;
            json_patch::patch(&mut value, &operations)
                .map_err(|error| reject(format!("patch: {error}")))?;
        }
        _ => return Err(reject("patch: given neither an object nor an array".to_owned())),
    }
    let document: Document = serde_path_to_error::deserialize(value)
        .map_err(|error| reject(format!("{}: {}", error.path(), error.inner())))?;
    let faults = find_faults(&document);
    if faults.is_empty() { Ok(document) } else { Err(reject(faults.join("; "))) }
}

fn reject(message: String) -> Refusal {
    Refusal::not_run(ResultCode::PatchRejected).with_message(message)
}
