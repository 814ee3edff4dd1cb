//! Reading: the index first, then only what differs from what is held.

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

/// How often a reader begins again when objects were deleted under it.
const READ_LIMIT: u32 = 4;

/// Why nothing could be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The store gave no result.
    Store(StoreError),
    /// An object is gone; a newer index no longer refers to it.
    Gone(String),
    /// What was read does not have the right form or digest.
    Broken(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Store(error) => error.fmt(f),
            ReadError::Gone(key) => write!(f, "{key}: gone"),
            ReadError::Broken(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> ReadError {
        ReadError::Store(error)
    }
}

impl From<LayoutError> for ReadError {
    fn from(error: LayoutError) -> ReadError {
        ReadError::Broken(error.to_string())
    }
}

/// Reads the index with the revision to swap it at.
pub async fn read_index(store: &dyn KeyValueStore) -> Result<Option<(Revision, Index)>, ReadError> {
    let Some(found) = store.get(INDEX_KEY).await? else { return Ok(None) };
    Ok(Some((found.revision, parse(INDEX_KEY, &found.value)?)))
}

/// Reads the configuration where the store has a newer one than is held.
pub async fn read_newer(
    store: &dyn KeyValueStore,
    held: Option<&Snapshot>,
) -> Result<Option<Snapshot>, ReadError> {
    let mut last = ReadError::Gone(INDEX_KEY.to_owned());
    for _ in 0..READ_LIMIT {
        let Some((_, index)) = read_index(store).await? else { return Ok(None) };
        match read_at(store, &index, held).await {
            Err(ReadError::Gone(key)) => last = ReadError::Gone(key),
            result => return result,
        }
    }
    Err(last)
}

/// Reads the log that an index refers to.
pub async fn read_log(store: &dyn KeyValueStore, index: &Index) -> Result<Log, ReadError> {
    read_record(store, &index.log).await
}

/// Reads the manifest that an index refers to.
pub(super) async fn read_manifest(
    store: &dyn KeyValueStore,
    index: &Index,
) -> Result<Manifest, ReadError> {
    read_record(store, &index.manifest).await
}

/// Brings what is held to the version of an index.
pub(super) async fn read_at(
    store: &dyn KeyValueStore,
    index: &Index,
    held: Option<&Snapshot>,
) -> Result<Option<Snapshot>, ReadError> {
    let held_version = held.map_or(ConfigVersion(0), |held| held.version);
    if index.version <= held_version {
        return Ok(None);
    }
    if let Some(held) = held
        && let Some(snapshot) = read_deltas(store, index, held).await?
    {
        return Ok(Some(snapshot));
    }
    let document = read_parts(store, index, held).await?;
    let deltas = read_kept(store, index).await?;
    Ok(Some(Snapshot::new(index.version, document).with_deltas(deltas)))
}

/// Deltas that peers a little behind may ask for.
async fn read_kept(store: &dyn KeyValueStore, index: &Index) -> Result<Vec<Arc<Delta>>, ReadError> {
    let mut deltas = Vec::new();
    for (_, key) in &index.deltas {
        deltas.push(Arc::new(read_record::<Delta>(store, key).await?));
    }
    Ok(deltas)
}

async fn read_deltas(
    store: &dyn KeyValueStore,
    index: &Index,
    held: &Snapshot,
) -> Result<Option<Snapshot>, ReadError> {
    let Some(keys) = index.deltas_after(held.version) else { return Ok(None) };
    let mut deltas = Vec::new();
    for (_, key) in keys {
        let delta: Delta = read_record(store, key).await?;
        if delta.patch.is_none() {
            return Ok(None);
        }
        deltas.push(Arc::new(delta));
    }
    match held.apply_deltas(deltas) {
        Ok(snapshot) => Ok(Some(snapshot)),
        Err(error) => {
            warn!("configuration version={} is read in parts: {error}", index.version);
            Ok(None)
        }
    }
}

async fn read_parts(
    store: &dyn KeyValueStore,
    index: &Index,
    held: Option<&Snapshot>,
) -> Result<Document, ReadError> {
    let manifest = read_manifest(store, index).await?;
    let own = held.map(|held| Parts::split(&held.document)).transpose()?.unwrap_or_default();
    let own = own.by_digest();
    let mut texts = BTreeMap::new();
    for (name, key) in manifest.0 {
        let text = match own.get(key.digest()) {
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
) -> Result<T, ReadError> {
    let text = read_object(store, key).await?;
    parse(&key.store_key(), &text)
}

async fn read_object(store: &dyn KeyValueStore, key: &ObjectKey) -> Result<String, ReadError> {
    let store_key = key.store_key();
    let Some(found) = store.get(&store_key).await? else {
        return Err(ReadError::Gone(store_key));
    };
    if hex::encode(Sha256::digest(found.value.as_bytes())) != key.digest() {
        return Err(ReadError::Broken(format!("{store_key}: the digest differs")));
    }
    Ok(found.value)
}

fn parse<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, ReadError> {
    serde_json::from_str(text).map_err(|error| ReadError::Broken(format!("{key}: {error}")))
}
