//! Records in the store besides the parts.

use std::collections::BTreeMap;

use identity::ConfigVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{ObjectKey, RETAINED_DELTAS};

/// The one value that changes in place; everything else is reached from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// The number in force.
    pub version: ConfigVersion,
    /// The patch that made it.
    pub patch_id: String,
    /// Who made it.
    pub author: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Digest over all parts.
    pub document_sha256: String,
    /// Where the `Manifest` is.
    pub manifest: ObjectKey,
    /// Where the `Log` is.
    pub log: ObjectKey,
    /// The newest deltas, the newest last, by the version that each made.
    pub deltas: Vec<(ConfigVersion, ObjectKey)>,
    /// Objects replaced up to this version have been deleted.
    pub collected: ConfigVersion,
}

/// Where each part is.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Manifest(pub BTreeMap<String, ObjectKey>);

/// One accepted patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The version that it made from the one before.
    pub version: ConfigVersion,
    /// The patch; absent where it is too large to be kept.
    pub patch: Option<Value>,
    /// Digest over all parts after it.
    pub document_sha256: String,
    /// Objects that nothing in force refers to any more.
    pub replaced: Vec<ObjectKey>,
}

/// What the log says of an accepted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// The version that it made.
    pub version: ConfigVersion,
    /// Who.
    pub author: String,
    /// The id drawn by the operator.
    pub patch_id: String,
    /// When, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// SHA-256 of the patch, in hexadecimal.
    pub patch_sha256: String,
    /// The `Delta`.
    pub delta: ObjectKey,
}

/// Accepted patches, the newest last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Log(pub Vec<LogEntry>);

impl Index {
    /// Deltas that lead from a version to this one; `None` where they do not reach back so far.
    pub fn deltas_after(&self, held: ConfigVersion) -> Option<&[(ConfigVersion, ObjectKey)]> {
        let missing = usize::try_from(self.version.0.checked_sub(held.0)?).ok()?;
        let start = self.deltas.len().checked_sub(missing)?;
        self.deltas.get(start..)
    }

    /// The newest deltas after one more was made.
    pub(crate) fn deltas_with(
        &self,
        version: ConfigVersion,
        delta: ObjectKey,
    ) -> Vec<(ConfigVersion, ObjectKey)> {
        let mut deltas = self.deltas.clone();
        deltas.push((version, delta));
        let surplus = deltas.len().saturating_sub(RETAINED_DELTAS);
        deltas.split_off(surplus)
    }
}

impl Log {
    /// The patch with an id.
    pub fn find(&self, patch_id: &str) -> Option<&LogEntry> {
        self.0.iter().rev().find(|entry| entry.patch_id == patch_id)
    }
}
