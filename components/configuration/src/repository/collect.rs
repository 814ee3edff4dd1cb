//! Deletes objects that nothing refers to any more.
//!
//! What version `w` replaced is deleted once version `w + VERSIONS_KEPT` is in force, together with
//! what attempts at `w` left that did not win. A reader that still holds so old an index finds an
//! object gone and reads the index again.

use std::collections::BTreeSet;

use identity::ConfigVersion;
use log::warn;
use store::{KeyValueStore, StoreError};

use super::read::{ReadError, read_record};
use crate::layout::{Delta, Index, Log, Manifest, ObjectKey, RETAINED_VERSIONS};

/// Versions that one patch cleans up after.
const VERSIONS_PER_PATCH: u64 = 4;

/// Cleans up and says up to which version that is done; the next index carries the number.
pub(super) async fn collect(
    store: &dyn KeyValueStore,
    index: &Index,
    manifest: &Manifest,
    log: &Log,
) -> ConfigVersion {
    let due = index.version.0.saturating_sub(RETAINED_VERSIONS);
    let end = due.min(index.collected.0 + VERSIONS_PER_PATCH);
    let mut done = index.collected;
    for version in index.collected.0 + 1..=end {
        let version = ConfigVersion(version);
        if let Err(error) = collect_version(store, version, index, manifest, log).await {
            warn!("objects of version {version} are not collected yet: {error}");
            break;
        }
        done = version;
    }
    done
}

async fn collect_version(
    store: &dyn KeyValueStore,
    version: ConfigVersion,
    index: &Index,
    manifest: &Manifest,
    log: &Log,
) -> Result<(), ReadError> {
    let in_use = find_in_use(index, manifest, log);
    if let Some(entry) = log.0.iter().find(|entry| entry.version == version) {
        let delta: Delta = read_record(store, &entry.delta).await?;
        for key in delta.replaced.iter().filter(|key| !in_use.contains(key)) {
            delete(store, &key.store_key()).await?;
        }
    }
    for found in store.list(&ObjectKey::store_prefix(version)).await? {
        let key = ObjectKey::from_store_key(&found.key);
        if key.is_some_and(|key| !in_use.contains(&key)) {
            store.delete(&found.key, found.revision).await?;
        }
    }
    Ok(())
}

fn find_in_use<'a>(
    index: &'a Index,
    manifest: &'a Manifest,
    log: &'a Log,
) -> BTreeSet<&'a ObjectKey> {
    let mut in_use: BTreeSet<&ObjectKey> = manifest.0.values().collect();
    in_use.extend([&index.manifest, &index.log]);
    in_use.extend(index.deltas.iter().map(|(_, key)| key));
    in_use.extend(log.0.iter().map(|entry| &entry.delta));
    in_use
}

/// Deletes a key, whatever its revision.
pub(super) async fn delete(store: &dyn KeyValueStore, key: &str) -> Result<(), StoreError> {
    if let Some(found) = store.get(key).await? {
        store.delete(key, found.revision).await?;
    }
    Ok(())
}
