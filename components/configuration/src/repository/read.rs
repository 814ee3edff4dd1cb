//! Reads the configuration: first the index, then only the deltas or parts that the local snapshot
//! lacks.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use identity::ConfigVersion;
use log::warn;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use store::{KeyValueStore, Revision, StoreError};

use crate::layout::{Delta, INDEX_KEY, Index, LayoutError, Log, Manifest, ObjectKey, Parts};
use crate::{Document, Snapshot};

/// Maximum number of attempts to read a configuration while its objects are being deleted.
const MAX_READ_ATTEMPTS: u32 = 4;

/// Failure to read or write a value of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepositoryError {
    /// The call to the store failed.
    Store(StoreError),
    /// No value has this key. An object is deleted after newer indexes no longer refer to it.
    NotFound(String),
    /// A value is malformed, has the wrong digest or could not be written.
    Invalid(String),
}

impl fmt::Display for RepositoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RepositoryError::Store(error) => error.fmt(f),
            RepositoryError::NotFound(key) => write!(f, "{key}: not found"),
            RepositoryError::Invalid(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for RepositoryError {}

impl From<StoreError> for RepositoryError {
    fn from(error: StoreError) -> RepositoryError {
        RepositoryError::Store(error)
    }
}

impl From<LayoutError> for RepositoryError {
    fn from(error: LayoutError) -> RepositoryError {
        RepositoryError::Invalid(error.to_string())
    }
}

/// Reads the index and its revision, which a compare-and-swap has to expect.
pub async fn read_index(
    store: &dyn KeyValueStore,
) -> Result<Option<(Revision, Index)>, RepositoryError> {
    let Some(found) = store.get(INDEX_KEY).await? else { return Ok(None) };
    Ok(Some((found.revision, parse_value(INDEX_KEY, &found.value)?)))
}

/// Reads the configuration if the store has a newer one than the local snapshot.
pub async fn read_newer(
    store: &dyn KeyValueStore,
    local: Option<&Snapshot>,
) -> Result<Option<Snapshot>, RepositoryError> {
    let mut last_error = RepositoryError::NotFound(INDEX_KEY.to_owned());
    for _ in 0..MAX_READ_ATTEMPTS {
        let Some((_, index)) = read_index(store).await? else { return Ok(None) };
        match read_snapshot(store, &index, local).await {
            Err(RepositoryError::NotFound(key)) => last_error = RepositoryError::NotFound(key),
            result => return result,
        }
    }
    Err(last_error)
}

/// Reads the log that an index refers to.
pub async fn read_log(store: &dyn KeyValueStore, index: &Index) -> Result<Log, RepositoryError> {
    read_record(store, &index.log).await
}

/// Reads the manifest that an index refers to.
pub(super) async fn read_manifest(
    store: &dyn KeyValueStore,
    index: &Index,
) -> Result<Manifest, RepositoryError> {
    read_record(store, &index.manifest).await
}

/// Reads the snapshot that an index refers to; returns `None` if the local one is as new.
pub(super) async fn read_snapshot(
    store: &dyn KeyValueStore,
    index: &Index,
    local: Option<&Snapshot>,
) -> Result<Option<Snapshot>, RepositoryError> {
    let local_version = local.map_or(ConfigVersion(0), |local| local.version);
    if index.version <= local_version {
        return Ok(None);
    }
    if let Some(local) = local
        && let Some(snapshot) = apply_missing_deltas(store, index, local).await?
    {
        return Ok(Some(snapshot));
    }
    let document = read_document(store, index, local).await?;
    let deltas = read_retained_deltas(store, index).await?;
    Ok(Some(Snapshot::new(index.version, document).with_deltas(deltas)))
}

/// Reads the deltas of an index, which are served to peers that are a few versions behind.
async fn read_retained_deltas(
    store: &dyn KeyValueStore,
    index: &Index,
) -> Result<Vec<Arc<Delta>>, RepositoryError> {
    let mut deltas = Vec::new();
    for (_, key) in &index.deltas {
        deltas.push(Arc::new(read_record::<Delta>(store, key).await?));
    }
    Ok(deltas)
}

/// Applies the deltas up to an index to the local snapshot; returns `None` if that is not possible.
async fn apply_missing_deltas(
    store: &dyn KeyValueStore,
    index: &Index,
    local: &Snapshot,
) -> Result<Option<Snapshot>, RepositoryError> {
    let Some(keys) = index.deltas_after(local.version) else { return Ok(None) };
    let mut deltas = Vec::new();
    for (_, key) in keys {
        let delta: Delta = read_record(store, key).await?;
        if delta.patch.is_none() {
            return Ok(None);
        }
        deltas.push(Arc::new(delta));
    }
    match local.apply_deltas(deltas) {
        Ok(snapshot) => Ok(Some(snapshot)),
        Err(error) => {
            warn!(
                "configuration version={} not reached by deltas, reading its parts: {error}",
                index.version
            );
            Ok(None)
        }
    }
}

/// Reads the document that an index refers to. Parts that the local snapshot has are not read.
async fn read_document(
    store: &dyn KeyValueStore,
    index: &Index,
    local: Option<&Snapshot>,
) -> Result<Document, RepositoryError> {
    let manifest = read_manifest(store, index).await?;
    let local_parts =
        local.map(|local| Parts::split(&local.document)).transpose()?.unwrap_or_default();
    let local_texts = local_parts.by_digest();
    let mut texts = BTreeMap::new();
    for (name, key) in manifest.0 {
        let text = match local_texts.get(key.digest()) {
            Some(text) => (*text).to_owned(),
            None => read_object(store, &key).await?,
        };
        texts.insert(name, text);
    }
    Ok(Parts(texts).join()?)
}

pub(super) async fn read_record<T: DeserializeOwned>(
    store: &dyn KeyValueStore,
    key: &ObjectKey,
) -> Result<T, RepositoryError> {
    let text = read_object(store, key).await?;
    parse_value(&key.store_key(), &text)
}

async fn read_object(
    store: &dyn KeyValueStore,
    key: &ObjectKey,
) -> Result<String, RepositoryError> {
    let store_key = key.store_key();
    let Some(found) = store.get(&store_key).await? else {
        return Err(RepositoryError::NotFound(store_key));
    };
    if hex::encode(Sha256::digest(found.value.as_bytes())) != key.digest() {
        return Err(RepositoryError::Invalid(format!("{store_key}: digest mismatch")));
    }
    Ok(found.value)
}

fn parse_value<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, RepositoryError> {
    serde_json::from_str(text).map_err(|error| RepositoryError::Invalid(format!("{key}: {error}")))
}
