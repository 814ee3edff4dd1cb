//! Key-value service in the process itself, behind its trait, for tests of cores without sockets.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use store::{KeyValueStore, LeaseId, Revision, StoreError, SwapResult, Versioned, WatchReply};

use crate::lock;

/// The service; leases never lapse and watches see nothing.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
}

/// What the service holds and has counted.
#[derive(Debug, Default)]
pub struct State {
    /// Revision and value of each key.
    pub values: BTreeMap<String, (u64, String)>,
    /// Revision of the newest write.
    pub revision: u64,
    /// Keys that were read.
    pub reads: u64,
    /// Bytes of the values that were read.
    pub bytes_read: usize,
    /// Size of the largest value ever written.
    pub largest_bytes: usize,
    /// The next write of this key takes effect, but its reply is lost.
    pub lose_reply_of: Option<String>,
}

impl MemoryStore {
    /// What it holds, to look at and to change.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

#[async_trait]
impl KeyValueStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        tokio::task::yield_now().await;
        let mut state = self.state();
        state.reads += 1;
        let Some((revision, value)) = state.values.get(key).cloned() else { return Ok(None) };
        state.bytes_read += value.len();
        Ok(Some(Versioned { key: key.to_owned(), revision: Revision(revision), value }))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>, StoreError> {
        let state = self.state();
        let found = state.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let found = found.map(|(key, (revision, value))| Versioned {
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
        state.largest_bytes = state.largest_bytes.max(value.len());
        state.values.insert(key.to_owned(), (revision, value.to_owned()));
        if state.lose_reply_of.take_if(|lost| lost == key).is_some() {
            return Err(StoreError::Unknown("lost".to_owned()));
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
