//! The configuration as it stands in the platform's store, and how patches get there.

use std::time::SystemTime;

use configuration::{Document, apply_patch};
use errors::{Refusal, ResultCode};
use identity::ConfigVersion;
use platform::{KeyValueStore, Revision, StoreError, SwapResult};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The key of the configuration in force.
pub const CURRENT_KEY: &str = "configuration/current";

/// The stored form of a numbered configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stored {
    /// The number.
    pub version: ConfigVersion,
    /// Who made it.
    pub author: String,
    /// Drawn by the operator for this patch, so that it is not applied twice.
    pub patch_id: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// The document.
    pub document: Document,
}

/// A patch as an operator submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The version that the patch was made against; 0 where there is none yet.
    pub against_version: ConfigVersion,
    /// Who submits.
    pub author: String,
    /// Drawn by the operator for this patch.
    pub patch_id: String,
    /// RFC 7396 object or RFC 6902 array.
    pub patch: Value,
}

/// Reads the configuration in force.
pub async fn read_current(
    store: &dyn KeyValueStore,
) -> Result<Option<(Revision, Stored)>, StoreError> {
    let Some(found) = store.get(CURRENT_KEY).await? else { return Ok(None) };
    let stored = serde_json::from_str(&found.value)
        .map_err(|error| StoreError::Unavailable(format!("{CURRENT_KEY}: {error}")))?;
    Ok(Some((found.revision, stored)))
}

/// Applies a patch against a stated version and writes the result.
pub async fn submit_patch(
    store: &dyn KeyValueStore,
    submission: &Submission,
    wall: SystemTime,
) -> Result<Stored, Refusal> {
    let current = read_current(store).await.map_err(|error| unavailable(&error))?;
    if let Some((_, stored)) = &current
        && stored.patch_id == submission.patch_id
    {
        return Ok(stored.clone());
    }
    let (expected, held) = match current {
        Some((revision, stored)) => (Some(revision), (stored.version, stored.document)),
        None => (None, (ConfigVersion(0), Document::default())),
    };
    if held.0 != submission.against_version {
        return Err(conflict(held.0, submission));
    }
    let stored = Stored {
        version: ConfigVersion(held.0.0 + 1),
        author: submission.author.clone(),
        patch_id: submission.patch_id.clone(),
        accepted_at_ms: milliseconds(wall),
        document: apply_patch(&held.1, &submission.patch)?,
    };
    write(store, expected, &stored, submission).await
}

async fn write(
    store: &dyn KeyValueStore,
    expected: Option<Revision>,
    stored: &Stored,
    submission: &Submission,
) -> Result<Stored, Refusal> {
    let text = serde_json::to_string(stored)
        .map_err(|error| Refusal::not_run(ResultCode::Internal).with_message(error.to_string()))?;
    match store.swap(CURRENT_KEY, expected, &text, None).await {
        Ok(SwapResult::Written(_)) => Ok(stored.clone()),
        Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown(_)) => {
            settle_write(store, submission).await
        }
        Err(error) => Err(unavailable(&error)),
    }
}

/// Finds out whether a write took effect by reading its patch id back.
async fn settle_write(
    store: &dyn KeyValueStore,
    submission: &Submission,
) -> Result<Stored, Refusal> {
    match read_current(store).await {
        Ok(Some((_, stored))) if stored.patch_id == submission.patch_id => Ok(stored),
        Ok(Some((_, stored))) => Err(conflict(stored.version, submission)),
        Ok(None) => Err(conflict(ConfigVersion(0), submission)),
        Err(error) => Err(Refusal::new(ResultCode::WriteUnknown, errors::Outcome::Unknown)
            .with_message(error.to_string())),
    }
}

fn conflict(current: ConfigVersion, submission: &Submission) -> Refusal {
    Refusal::not_run(ResultCode::VersionConflict).with_message(format!(
        "The patch was made against version {}; version {current} is in force.",
        submission.against_version
    ))
}

fn unavailable(error: &StoreError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
}

fn milliseconds(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
