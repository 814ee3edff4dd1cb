//! In-memory implementation of the key-value store's trait, for tests without sockets.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use store::{KeyValueStore, LeaseId, Revision, StoreError, SwapResult, VersionedValue, WatchReply};

use crate::lock;

/// An in-memory store. Leases never expire and watches report no changes.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
}

/// Contents, counters and faults of the store.
#[derive(Debug, Default)]
pub struct State {
    /// Revision and value of each key.
    pub values: BTreeMap<String, (u64, String)>,
    /// Revision of the latest write.
    pub revision: u64,
    /// Number of reads of single keys.
    pub reads: u64,
    /// Total size of the values returned by these reads.
    pub bytes_read: usize,
    /// Size of the largest value ever written.
    pub largest_value_bytes: usize,
    /// Key whose next write takes effect while its caller gets [`StoreError::Unknown`].
    pub lose_reply_of: Option<String>,
}

impl MemoryStore {
    /// Locks the state, to inspect or change it.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

#[async_trait]
impl KeyValueStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, StoreError> {
        tokio::task::yield_now().await;
        let mut state = self.state();
        state.reads += 1;
        let Some((revision, value)) = state.values.get(key).cloned() else { return Ok(None) };
        state.bytes_read += value.len();
        Ok(Some(VersionedValue { key: key.to_owned(), revision: Revision(revision), value }))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<VersionedValue>, StoreError> {
        let state = self.state();
        let found = state.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let found = found.map(|(key, (revision, value))| VersionedValue {
            key: key.clone(),
            revision: Revision(*revision),
            value: value.clone(),
        });
        Ok(found.collect())
    }

    async fn swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &str,
        _lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        tokio::task::yield_now().await;
        let mut state = self.state();
        let found = state.values.get(key).map(|(revision, _)| Revision(*revision));
        if found != expected {
            return Ok(SwapResult::Conflict(found));
        }
        state.revision += 1;
        let revision = state.revision;
        state.largest_value_bytes = state.largest_value_bytes.max(value.len());
        state.values.insert(key.to_owned(), (revision, value.to_owned()));
        if state.lose_reply_of.take_if(|faulty_key| faulty_key == key).is_some() {
            return Err(StoreError::Unknown("reply lost".to_owned()));
        }
        Ok(SwapResult::Written(Revision(revision)))
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<SwapResult, StoreError> {
        let mut state = self.state();
        let found = state.values.get(key).map(|(revision, _)| Revision(*revision));
        if found != Some(expected) {
            return Ok(SwapResult::Conflict(found));
        }
        state.values.remove(key);
        Ok(SwapResult::Written(expected))
    }

    async fn grant_lease(&self, _duration: Duration) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(0))
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<bool, StoreError> {
        Ok(true)
    }

    async fn watch(&self, _: &str, after: Revision, _: Duration) -> Result<WatchReply, StoreError> {
        Ok(WatchReply { revision: after, changes: Vec::new() })
    }
}
