//! The platform's key-value service as a trait.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Orders the writes of the store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Names a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value and the revision of the write that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The write that made it.
    pub revision: Revision,
    /// The value, as text.
    pub value: String,
}

/// What came of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// Written, with this revision.
    Written(Revision),
    /// The key stands at another revision; `None` where it is absent.
    Conflict(Option<Revision>),
}

/// A change seen by a watch; `value` is `None` where the key was deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The write.
    pub revision: Revision,
    /// The new value.
    pub value: Option<String>,
}

/// What a watch brings back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Where to watch from next.
    pub revision: Revision,
    /// Changes in order; empty where the wait ran out.
    pub changes: Vec<Change>,
}

/// Why the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    Unavailable(String),
    /// The call may have had its effect.
    Unknown(String),
    /// The store refused the call for its rate; it had no effect.
    Throttled(Duration),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unavailable(reason) => write!(f, "store unavailable: {reason}"),
            StoreError::Unknown(reason) => write!(f, "store did not answer: {reason}"),
            StoreError::Throttled(wait) => write!(f, "store is throttling for {wait:?}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's key-value service.
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Reads every key that starts with a prefix, in order.
    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>, StoreError>;

    /// Writes a key if it stands at `expected`; `None` means that it must be absent.
    async fn swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError>;

    /// Deletes a key if it stands at `expected`.
    async fn delete(&self, key: &str, expected: Revision) -> Result<SwapResult, StoreError>;

    /// Takes a lease that lapses unless it is renewed within `duration`.
    async fn grant_lease(&self, duration: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; `false` where it has lapsed.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Waits for changes under a prefix after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchReply, StoreError>;
}
