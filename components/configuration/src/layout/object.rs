//! Keys of objects: the version they were first written for, the attempt and their digest.

use identity::ConfigVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const PREFIX: &str = "configuration/objects/";

/// Bytes of the hash of a patch id that tell attempts at one version apart.
const ATTEMPT_BYTES: usize = 8;

/// Names an object; its content never changes.
///
/// An object belongs to one attempt at one version. An attempt that did not win can never win
/// later, so that what nothing refers to can be deleted without asking who is writing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// The key of a text that an attempt at a version writes.
    pub fn new(version: ConfigVersion, patch_id: &str, text: &str) -> ObjectKey {
        let attempt = &Sha256::digest(patch_id.as_bytes())[..ATTEMPT_BYTES];
        ObjectKey(format!("{}{}-{}", stem(version), hex::encode(attempt), digest(text)))
    }

    /// SHA-256 of the content, in hexadecimal.
    pub fn digest(&self) -> &str {
        self.0.rsplit('-').next().unwrap_or_default()
    }

    /// The key in the store.
    pub fn store_key(&self) -> String {
        format!("{PREFIX}{}", self.0)
    }

    /// The object that a key of the store names.
    pub fn from_store_key(key: &str) -> Option<ObjectKey> {
        key.strip_prefix(PREFIX).map(|name| ObjectKey(name.to_owned()))
    }

    /// What the keys in the store of all attempts at a version start with.
    pub fn store_prefix(version: ConfigVersion) -> String {
        format!("{PREFIX}{}", stem(version))
    }
}

fn stem(version: ConfigVersion) -> String {
    format!("{:012}-", version.0)
}

/// SHA-256 in hexadecimal.
pub(super) fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
