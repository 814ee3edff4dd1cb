//! Records in the store other than the parts of the document.

use std::collections::BTreeMap;

use identity::ConfigVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{ObjectKey, RETAINED_DELTAS};

/// The only value of the configuration that is updated in place. It refers, directly or indirectly,
/// to all objects in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// The active version.
    pub version: ConfigVersion,
    /// Id of the patch that created the version.
    pub patch_id: String,
    /// Author of the patch.
    pub author: String,
    /// Time at which the patch was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Digest over all parts of the document.
    pub document_sha256: String,
    /// Key of the [`Manifest`].
    pub manifest: ObjectKey,
    /// Key of the [`Log`].
    pub log: ObjectKey,
    /// Keys of the most recent deltas with the versions that they lead to, newest last.
    pub deltas: Vec<(ConfigVersion, ObjectKey)>,
    /// Last version for which garbage collection is complete: objects that were replaced in it or
    /// in an earlier version have been deleted.
    pub collected: ConfigVersion,
}

/// Key of each part of the document, by the name of the part.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Manifest(pub BTreeMap<String, ObjectKey>);

/// An accepted patch, as it is stored and sent to peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The version that the patch leads to from the previous one.
    pub version: ConfigVersion,
    /// The patch; `None` if it is too large to be retained.
    pub patch: Option<Value>,
    /// Digest over all parts of the document after the patch.
    pub document_sha256: String,
    /// Objects that are no longer referenced after the patch.
    pub replaced: Vec<ObjectKey>,
}

/// Log entry of an accepted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// The version that the patch created.
    pub version: ConfigVersion,
    /// Author of the patch.
    pub author: String,
    /// Id of the patch, chosen by the operator.
    pub patch_id: String,
    /// Time at which the patch was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// SHA-256 digest of the patch, in hexadecimal.
    pub patch_sha256: String,
    /// Key of the [`Delta`].
    pub delta: ObjectKey,
}

/// Log of the accepted patches, newest last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Log(pub Vec<LogEntry>);

impl Index {
    /// Returns the deltas that lead from a version to this one, or `None` if the index does not
    /// contain all of them.
    pub fn deltas_after(
        &self,
        held_version: ConfigVersion,
    ) -> Option<&[(ConfigVersion, ObjectKey)]> {
        let missing = usize::try_from(self.version.0.checked_sub(held_version.0)?).ok()?;
        let start = self.deltas.len().checked_sub(missing)?;
        self.deltas.get(start..)
    }

    /// Returns the deltas of the index with one more appended, limited to [`RETAINED_DELTAS`].
    pub(crate) fn extended_deltas(
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
    /// Finds the entry of the patch with an id.
    pub fn find_patch(&self, patch_id: &str) -> Option<&LogEntry> {
        self.0.iter().rev().find(|entry| entry.patch_id == patch_id)
    }
}
