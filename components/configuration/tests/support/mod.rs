//! A store in memory that counts, and documents of any size.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, SystemTime};

use async_trait::async_trait;
use configuration::Snapshot;
use configuration::layout::INDEX_KEY;
use configuration::repository::{Accepted, Submission, submit_patch};
use errors::Refusal;
use identity::ConfigVersion;
use platform::{KeyValueStore, LeaseId, Revision, StoreError, SwapResult, Versioned, WatchReply};
use serde_json::{Value, json};

#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) values: BTreeMap<String, (u64, String)>,
    pub(crate) revision: u64,
    pub(crate) reads: u64,
    pub(crate) bytes_read: usize,
    pub(crate) largest_bytes: usize,
    /// The next write of the index takes effect, but its reply is lost.
    pub(crate) lose_index_reply: bool,
}

impl MemoryStore {
    pub(crate) fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("set-up")
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
        if key == INDEX_KEY && std::mem::take(&mut state.lose_index_reply) {
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

pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().expect("set-up").block_on(future)
}

pub(crate) async fn submit(
    store: &MemoryStore,
    held: Option<&Snapshot>,
    against: u64,
    patch_id: &str,
    patch: Value,
) -> Result<Accepted, Refusal> {
    let submission = Submission {
        against_version: ConfigVersion(against),
        author: "anna".to_owned(),
        patch_id: patch_id.to_owned(),
        patch,
    };
    submit_patch(store, held, &submission, SystemTime::UNIX_EPOCH).await
}

/// A patch that makes a document of so many customers.
pub(crate) fn document_of(customers: usize) -> Value {
    let customer = |number: usize| {
        let key = format!("{number:064x}");
        let value = json!({ "key_sha256": [key], "region": "riga", "requests_per_s": 10,
            "models": { "listing-7b": { "tier": 2 }, "listing-70b": { "tier": 1 } },
            "services": ["desk"] });
        (format!("customer-{number:05}"), value)
    };
    let customers: serde_json::Map<String, Value> = (0..customers).map(customer).collect();
    json!({
        "regions": { "riga": { "zones": ["riga-a"] } },
        "models": { "listing-7b": { "context_tokens": 32768, "max_tokens": 2048 },
            "listing-70b": { "context_tokens": 32768, "max_tokens": 2048 } },
        "services": { "desk": { "calls": [] } },
        "customers": customers,
    })
}

/// A patch that changes the rate of one customer.
pub(crate) fn rate_of(customer: usize, requests_per_s: u64) -> Value {
    let name = format!("customer-{customer:05}");
    json!({ "customers": { name: { "requests_per_s": requests_per_s } } })
}
