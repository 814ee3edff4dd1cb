//! Applies a patch against a stated version: writes the objects first, then updates the index by
//! compare-and-swap.

use std::sync::Arc;
use std::time::SystemTime;

use clock::unix_ms;
use errors::{Outcome, Refusal, ResultCode};
use identity::ConfigVersion;
use log::warn;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use store::{KeyValueStore, Revision, StoreError, SwapResult};

use super::garbage::{collect_garbage, delete_key};
use super::read::{RepositoryError, read_index, read_log, read_manifest, read_snapshot};
use crate::layout::{
    DELTA_LIMIT_BYTES, Delta, INDEX_KEY, Index, Log, LogEntry, Manifest, ObjectKey, Parts,
    RETAINED_LOG_ENTRIES, VALUE_LIMIT_BYTES,
};
use crate::{Document, Snapshot, apply_patch};

/// Maximum length of the author and of the patch id.
const NAME_LIMIT_BYTES: usize = 128;

/// A patch submitted by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The version that the patch was made against; 0 if there is no version yet.
    pub against_version: ConfigVersion,
    /// Author of the patch.
    pub author: String,
    /// Id of the patch, chosen by the operator. A repeated submission has the same id.
    pub patch_id: String,
    /// The patch: a JSON object (RFC 7396) or array (RFC 6902).
    pub patch: Value,
}

/// An accepted and durable patch.
#[derive(Debug)]
pub struct AcceptedPatch {
    /// The version that the patch created.
    pub version: ConfigVersion,
    /// Snapshot of that version; `None` if the same patch had been accepted before.
    pub snapshot: Option<Snapshot>,
}

/// Stored state that a patch is applied to.
struct BaseState {
    index_revision: Option<Revision>,
    index: Option<Index>,
    manifest: Manifest,
    log: Log,
    document: Document,
    deltas: Vec<Arc<Delta>>,
}

/// Index and objects that one attempt writes, and the resulting snapshot.
struct Attempt {
    index: Index,
    objects: Vec<(ObjectKey, String)>,
    snapshot: Snapshot,
}

/// Applies a patch against a stated version and makes it durable.
///
/// `local` is the active snapshot of the process, which saves reading the whole document. A patch
/// whose id is still in the log returns the version that it created, also after later patches.
pub async fn submit_patch(
    store: &dyn KeyValueStore,
    local: Option<&Snapshot>,
    submission: &Submission,
    wall: SystemTime,
) -> Result<AcceptedPatch, Refusal> {
    check_author_and_patch_id(submission)?;
    let found = read_index(store).await.map_err(store_unavailable)?;
    let log = match &found {
        Some((_, index)) => read_log(store, index).await.map_err(store_unavailable)?,
        None => Log::default(),
    };
    if let Some(entry) = log.find_patch(&submission.patch_id) {
        return resolve_duplicate(entry, submission);
    }
    let version = found.as_ref().map_or(ConfigVersion(0), |(_, index)| index.version);
    if version != submission.against_version {
        return Err(version_conflict(version, submission));
    }
    let base = read_base_state(store, found, log, local).await.map_err(store_unavailable)?;
    let collected = match &base.index {
        Some(index) => collect_garbage(store, index, &base.manifest, &base.log).await,
        None => ConfigVersion(0),
    };
    let attempt = prepare_attempt(&base, submission, collected, wall)?;
    write_objects(store, &attempt.objects).await.map_err(store_unavailable)?;
    write_index(store, base.index_revision, attempt, submission).await
}

/// Resolves a submission whose patch id is already in the log.
fn resolve_duplicate(entry: &LogEntry, submission: &Submission) -> Result<AcceptedPatch, Refusal> {
    if entry.patch_sha256 != patch_digest(&submission.patch) {
        let message = format!(
            "The patch id was already used by a different patch, which created version {}.",
            entry.version
        );
        return Err(Refusal::not_run(ResultCode::IdempotencyKeyReused).with_message(message));
    }
    Ok(AcceptedPatch { version: entry.version, snapshot: None })
}

fn patch_digest(patch: &Value) -> String {
    hex::encode(Sha256::digest(patch.to_string().as_bytes()))
}

/// Checks that a patch can be applied to a document and that the parts of the result fit into the
/// store.
pub fn check_patch(document: &Document, patch: &Value) -> Result<(), Refusal> {
    let patched = apply_patch(document, patch)?;
    let parts = Parts::split(&patched).map_err(|error| internal_error(&error))?;
    check_value_size(parts.0.values().map(String::len).max())
}

fn check_author_and_patch_id(submission: &Submission) -> Result<(), Refusal> {
    for (name, text) in [("author", &submission.author), ("patch_id", &submission.patch_id)] {
        if text.is_empty() || text.len() > NAME_LIMIT_BYTES {
            let message =
                format!("{name}: given {} bytes, allowed 1 to {NAME_LIMIT_BYTES}", text.len());
            return Err(Refusal::not_run(ResultCode::FieldOutOfRange).with_message(message));
        }
    }
    Ok(())
}

async fn read_base_state(
    store: &dyn KeyValueStore,
    found: Option<(Revision, Index)>,
    log: Log,
    local: Option<&Snapshot>,
) -> Result<BaseState, RepositoryError> {
    let Some((revision, index)) = found else {
        let (manifest, document, deltas) = Default::default();
        return Ok(BaseState {
            index_revision: None,
            index: None,
            manifest,
            log,
            document,
            deltas,
        });
    };
    let manifest = read_manifest(store, &index).await?;
    let local = local.filter(|local| local.version <= index.version);
    let (document, deltas) = match (read_snapshot(store, &index, local).await?, local) {
        (Some(read), _) => (read.document, read.deltas),
        (None, Some(local)) => (local.document.clone(), local.deltas.clone()),
        (None, None) => Default::default(),
    };
    Ok(BaseState {
        index_revision: Some(revision),
        index: Some(index),
        manifest,
        log,
        document,
        deltas,
    })
}

/// Applies the patch and prepares everything that has to be written.
fn prepare_attempt(
    base: &BaseState,
    submission: &Submission,
    collected: ConfigVersion,
    wall: SystemTime,
) -> Result<Attempt, Refusal> {
    let document = apply_patch(&base.document, &submission.patch)?;
    let version = ConfigVersion(submission.against_version.0 + 1);
    let parts = Parts::split(&document).map_err(|error| internal_error(&error))?;
    let document_sha256 = parts.digest();
    let mut objects = Vec::new();
    let mut add_object = |text: String| {
        let key = ObjectKey::new(version, &submission.patch_id, &text);
        objects.push((key.clone(), text));
        key
    };
    let manifest = build_manifest(parts, &base.manifest, &mut add_object);
    let accepted_at_ms = unix_ms(wall);
    let (mut log, dropped) = trim_log(base.log.clone());
    let delta = Delta {
        version,
        patch: retained_patch(&submission.patch),
        document_sha256: document_sha256.clone(),
        replaced: find_replaced(base, &manifest, dropped),
    };
    let recent_deltas = base.deltas.iter().cloned().chain([Arc::new(delta.clone())]);
    let snapshot = Snapshot::new(version, document).with_deltas(recent_deltas.collect());
    let delta = add_object(serialize_record(&delta)?);
    log.0.push(LogEntry {
        version,
        author: submission.author.clone(),
        patch_id: submission.patch_id.clone(),
        accepted_at_ms,
        patch_sha256: patch_digest(&submission.patch),
        delta: delta.clone(),
    });
    let deltas = match &base.index {
        Some(index) => index.extended_deltas(version, delta),
        None => vec![(version, delta)],
    };
    let index = Index {
        version,
        patch_id: submission.patch_id.clone(),
        author: submission.author.clone(),
        accepted_at_ms,
        document_sha256,
        manifest: add_object(serialize_record(&manifest)?),
        log: add_object(serialize_record(&log)?),
        deltas,
        collected,
    };
    check_value_size(objects.iter().map(|(_, text)| text.len()).max())?;
    Ok(Attempt { index, objects, snapshot })
}

/// Builds the manifest. Reuses the objects of unchanged parts and adds objects for the others.
fn build_manifest(
    parts: Parts,
    previous: &Manifest,
    add_object: &mut impl FnMut(String) -> ObjectKey,
) -> Manifest {
    let mut manifest = Manifest::default();
    let unversioned_key = |text: &str| ObjectKey::new(ConfigVersion(0), "", text);
    for (name, text) in parts.0 {
        let unchanged = previous
            .0
            .get(&name)
            .filter(|key| key.digest() == unversioned_key(&text).digest())
            .cloned();
        let key = unchanged.unwrap_or_else(|| add_object(text));
        manifest.0.insert(name, key);
    }
    manifest
}

/// Returns the patch to store in its delta, unless it is too large.
fn retained_patch(patch: &Value) -> Option<Value> {
    (patch.to_string().len() <= DELTA_LIMIT_BYTES).then(|| patch.clone())
}

/// Makes room for one more log entry; returns the deltas of the entries that were removed.
fn trim_log(mut log: Log) -> (Log, Vec<ObjectKey>) {
    let surplus = (log.0.len() + 1).saturating_sub(RETAINED_LOG_ENTRIES);
    let dropped = log.0.drain(..surplus).map(|entry| entry.delta).collect();
    (log, dropped)
}

/// Lists the objects of the base state that the new manifest and log no longer refer to.
fn find_replaced(base: &BaseState, manifest: &Manifest, dropped: Vec<ObjectKey>) -> Vec<ObjectKey> {
    let mut replaced = dropped;
    if let Some(index) = &base.index {
        replaced.extend([index.manifest.clone(), index.log.clone()]);
    }
    let replaced_parts =
        base.manifest.0.iter().filter(|(name, key)| manifest.0.get(*name) != Some(key));
    replaced.extend(replaced_parts.map(|(_, key)| key.clone()));
    replaced
}

fn check_value_size(largest_bytes: Option<usize>) -> Result<(), Refusal> {
    let largest_bytes = largest_bytes.unwrap_or(0);
    if largest_bytes <= VALUE_LIMIT_BYTES {
        return Ok(());
    }
    let message = format!(
        "largest stored value would be {largest_bytes} bytes, allowed up to {VALUE_LIMIT_BYTES}"
    );
    Err(Refusal::not_run(ResultCode::PatchRejected).with_message(message))
}

async fn write_objects(
    store: &dyn KeyValueStore,
    objects: &[(ObjectKey, String)],
) -> Result<(), RepositoryError> {
    for (key, text) in objects {
        let store_key = key.store_key();
        // On a conflict, an earlier submission of the same patch has written the same content.
        match store.swap(&store_key, None, text, None).await {
            Ok(_) => {}
            Err(StoreError::Unknown(_)) => {
                if store.get(&store_key).await?.is_none() {
                    return Err(RepositoryError::NotFound(store_key));
                }
            }
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

async fn write_index(
    store: &dyn KeyValueStore,
    expected: Option<Revision>,
    attempt: Attempt,
    submission: &Submission,
) -> Result<AcceptedPatch, Refusal> {
    let text = serialize_record(&attempt.index)?;
    match store.swap(INDEX_KEY, expected, &text, None).await {
        Ok(SwapResult::Written(_)) => {
            Ok(AcceptedPatch { version: attempt.index.version, snapshot: Some(attempt.snapshot) })
        }
        Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown(_)) => {
            resolve_uncertain_write(store, attempt, submission).await
        }
        Err(error) => Err(store_unavailable(error.into())),
    }
}

/// Determines whether the write of an index took effect, by its patch id in the log.
async fn resolve_uncertain_write(
    store: &dyn KeyValueStore,
    attempt: Attempt,
    submission: &Submission,
) -> Result<AcceptedPatch, Refusal> {
    let (index, log) = read_index_and_log(store).await.map_err(|error| {
        Refusal::new(ResultCode::WriteUnknown, Outcome::Unknown).with_message(error.to_string())
    })?;
    if let Some(entry) = log.find_patch(&submission.patch_id) {
        return Ok(AcceptedPatch { version: entry.version, snapshot: Some(attempt.snapshot) });
    }
    if index.as_ref().is_none_or(|index| index.version < attempt.index.version) {
        let message =
            "It is unknown whether the patch takes effect; submit it again with the same patch id.";
        let refusal = Refusal::new(ResultCode::WriteUnknown, Outcome::Unknown);
        return Err(refusal.with_message(message));
    }
    delete_objects(store, &attempt.objects).await;
    Err(version_conflict(index.map_or(ConfigVersion(0), |index| index.version), submission))
}

async fn read_index_and_log(
    store: &dyn KeyValueStore,
) -> Result<(Option<Index>, Log), RepositoryError> {
    let Some((_, index)) = read_index(store).await? else { return Ok((None, Log::default())) };
    let log = read_log(store, &index).await?;
    Ok((Some(index), log))
}

/// Deletes the objects of an attempt that lost. Garbage collection deletes those that remain.
async fn delete_objects(store: &dyn KeyValueStore, objects: &[(ObjectKey, String)]) {
    for (key, _) in objects {
        if let Err(error) = delete_key(store, &key.store_key()).await {
            warn!("objects of a lost attempt not deleted, left to garbage collection: {error}");
            return;
        }
    }
}

fn serialize_record(record: &impl Serialize) -> Result<String, Refusal> {
    serde_json::to_string(record).map_err(|error| internal_error(&error))
}

fn internal_error(error: &dyn std::error::Error) -> Refusal {
    Refusal::not_run(ResultCode::Internal).with_message(error.to_string())
}

fn version_conflict(current: ConfigVersion, submission: &Submission) -> Refusal {
    Refusal::not_run(ResultCode::VersionConflict).with_message(format!(
        "The patch was made against version {}; version {current} is in force.",
        submission.against_version
    ))
}

fn store_unavailable(error: RepositoryError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
}
