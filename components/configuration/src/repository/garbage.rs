//! Garbage collection of unreferenced objects.
//!
//! Objects that version `w` replaced are deleted once version `w + RETAINED_VERSIONS` is active,
//! together with the objects of attempts to create `w` that lost the compare-and-swap. A reader
//! that still uses such an old index finds that an object is missing and reads the index again.

use std::collections::BTreeSet;

use identity::ConfigVersion;
use log::warn;
use store::{KeyValueStore, StoreError};

use super::read::{RepositoryError, read_record};
use crate::layout::{Delta, Index, Log, Manifest, ObjectKey, RETAINED_VERSIONS};

/// Maximum number of versions whose objects are deleted during one patch.
const MAX_VERSIONS_PER_PATCH: u64 = 4;

/// Deletes unreferenced objects and returns the last version that this is complete for, which is
/// written to the next index.
pub(super) async fn collect_garbage(
    store: &dyn KeyValueStore,
    index: &Index,
    manifest: &Manifest,
    log: &Log,
) -> ConfigVersion {
    let last_due = index.version.0.saturating_sub(RETAINED_VERSIONS);
    let end = last_due.min(index.collected.0 + MAX_VERSIONS_PER_PATCH);
    let mut collected = index.collected;
    for version in index.collected.0 + 1..=end {
        let version = ConfigVersion(version);
        if let Err(error) = delete_unreferenced_objects(store, version, index, manifest, log).await
        {
            warn!(
                "unreferenced objects of version {version} not deleted, will be retried: {error}"
            );
            break;
        }
        collected = version;
    }
    collected
}

async fn delete_unreferenced_objects(
    store: &dyn KeyValueStore,
    version: ConfigVersion,
    index: &Index,
    manifest: &Manifest,
    log: &Log,
) -> Result<(), RepositoryError> {
    let referenced = find_referenced_objects(index, manifest, log);
    if let Some(entry) = log.0.iter().find(|entry| entry.version == version) {
        let delta: Delta = read_record(store, &entry.delta).await?;
        for key in delta.replaced.iter().filter(|key| !referenced.contains(key)) {
            delete_key(store, &key.store_key()).await?;
        }
    }
    for found in store.list(&ObjectKey::store_prefix(version)).await? {
        let key = ObjectKey::from_store_key(&found.key);
        if key.is_some_and(|key| !referenced.contains(&key)) {
            store.delete(&found.key, found.revision).await?;
        }
    }
    Ok(())
}

fn find_referenced_objects<'a>(
    index: &'a Index,
    manifest: &'a Manifest,
    log: &'a Log,
) -> BTreeSet<&'a ObjectKey> {
    let mut referenced: BTreeSet<&ObjectKey> = manifest.0.values().collect();
    referenced.extend([&index.manifest, &index.log]);
    referenced.extend(index.deltas.iter().map(|(_, key)| key));
    referenced.extend(log.0.iter().map(|entry| &entry.delta));
    referenced
}

/// Deletes a key at its current revision, if it exists.
pub(super) async fn delete_key(store: &dyn KeyValueStore, key: &str) -> Result<(), StoreError> {
    if let Some(found) = store.get(key).await? {
        store.delete(key, found.revision).await?;
    }
    Ok(())
}
