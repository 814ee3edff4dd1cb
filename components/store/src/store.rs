//! Trait for the platform's key-value service.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Revision of a write. Each write to the store has a higher one than those before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Id of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key's value with the revision of the write that stored it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// The key.
    pub key: String,
    /// Revision of the write that stored the value.
    pub revision: Revision,
    /// The value, as text.
    pub value: String,
}

/// Result of a write or deletion that is conditional on the revision of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The key was written or deleted; this is the revision of that change.
    Written(Revision),
    /// The key is at this revision and not at the expected one; `None` if it is absent.
    Conflict(Option<Revision>),
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the write or deletion.
    pub revision: Revision,
    /// The new value; `None` if the key was deleted.
    pub value: Option<String>,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision to continue the watch from.
    pub revision: Revision,
    /// Changes in order of their revisions; empty if there were none before the timeout.
    pub changes: Vec<Change>,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store was not reached or refused the call, which had no effect.
    Unavailable(String),
    /// There was no valid response; the call may have taken effect.
    Unknown(String),
    /// The store rejected the call by its rate limit, and the call had no effect. It may be
    /// repeated after this duration.
    Throttled(Duration),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unavailable(reason) => write!(f, "store unavailable: {reason}"),
            StoreError::Unknown(reason) => write!(f, "no valid response from the store: {reason}"),
            StoreError::Throttled(retry_after) => {
                write!(f, "store rate limit exceeded, retry after {retry_after:?}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's key-value service.
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, StoreError>;

    /// Reads all keys that start with a prefix, in order of the keys.
    async fn list(&self, prefix: &str) -> Result<Vec<VersionedValue>, StoreError>;

    /// Writes a key if it is at the revision `expected`, or if it is absent when `expected` is
    /// `None`. A key written under a lease is deleted when the lease expires.
    async fn swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError>;

    /// Deletes a key if it is at the revision `expected`.
    async fn delete(&self, key: &str, expected: Revision) -> Result<SwapResult, StoreError>;

    /// Creates a lease that expires unless it is renewed within `duration`.
    async fn grant_lease(&self, duration: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns `false` if it has expired.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Waits up to `wait` for changes after a revision to keys that start with a prefix.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchReply, StoreError>;
}
