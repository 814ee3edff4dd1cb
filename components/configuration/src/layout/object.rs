//! Keys of objects, made of the version that an object was first written for, the submission
//! attempt and the digest of the content.

use identity::ConfigVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const OBJECT_PREFIX: &str = "configuration/objects/";

/// Length of the hash of the patch id, which distinguishes attempts to create the same version.
const ATTEMPT_HASH_BYTES: usize = 8;

/// Key of an immutable object.
///
/// An object belongs to one attempt to create one version. An attempt that lost the
/// compare-and-swap of the index cannot succeed later, so unreferenced objects can be deleted
/// without coordination with writers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Creates the key for a text that the attempt with this patch id writes for a version.
    pub fn new(version: ConfigVersion, patch_id: &str, text: &str) -> ObjectKey {
        let attempt_hash = &Sha256::digest(patch_id.as_bytes())[..ATTEMPT_HASH_BYTES];
        ObjectKey(format!(
            "{}{}-{}",
            version_prefix(version),
            hex::encode(attempt_hash),
            sha256_hex(text)
        ))
    }

    /// Returns the SHA-256 digest of the content, in hexadecimal.
    pub fn digest(&self) -> &str {
        self.0.rsplit('-').next().unwrap_or_default()
    }

    /// Returns the key under which the object is stored.
    pub fn store_key(&self) -> String {
        format!("{OBJECT_PREFIX}{}", self.0)
    }

    /// Parses a key of the store; returns `None` if it is not the key of an object.
    pub fn from_store_key(key: &str) -> Option<ObjectKey> {
        key.strip_prefix(OBJECT_PREFIX).map(|name| ObjectKey(name.to_owned()))
    }

    /// Returns the common prefix of the store keys written by all attempts to create a version.
    pub fn store_prefix(version: ConfigVersion) -> String {
        format!("{OBJECT_PREFIX}{}", version_prefix(version))
    }
}

fn version_prefix(version: ConfigVersion) -> String {
    format!("{:012}-", version.0)
}

/// Returns the SHA-256 digest of a text, in hexadecimal.
pub(super) fn sha256_hex(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
