//! A patch against a stated version: objects first, then the index by compare-and-swap.

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

use super::collect::collect;
use super::read::{ReadError, read_at, read_index, read_log, read_manifest};
use crate::layout::{
    DELTA_LIMIT_BYTES, Delta, INDEX_KEY, Index, Log, LogEntry, Manifest, ObjectKey, Parts,
    RETAINED_LOG_ENTRIES, VALUE_LIMIT_BYTES,
};
use crate::{Document, Snapshot, apply_patch};

/// Longest author and patch id.
const NAME_LIMIT_BYTES: usize = 128;

/// A patch as an operator submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The version that the patch was made against; 0 where there is none yet.
    pub against_version: ConfigVersion,
    /// Who submits.
    pub author: String,
    /// Drawn by the operator for this patch.
    pub patch_id: String,
    /// RFC 7396 object or RFC 6902 array.
    pub patch: Value,
}

/// A patch that is durable and numbered.
#[derive(Debug)]
pub struct AcceptedPatch {
    /// The version that it made.
    pub version: ConfigVersion,
    /// What it made; absent where the same patch had been accepted before.
    pub snapshot: Option<Snapshot>,
}

/// What a patch starts from.
struct Base {
    expected: Option<Revision>,
    index: Option<Index>,
    manifest: Manifest,
    log: Log,
    document: Document,
    deltas: Vec<Arc<Delta>>,
}

/// Everything that one attempt writes.
struct Attempt {
    index: Index,
    objects: Vec<(ObjectKey, String)>,
    snapshot: Snapshot,
}

/// Applies a patch against a stated version and makes it durable.
///
/// `held` is what the process has in force and spares reading the document again. A patch id that
/// the log still holds gets the version that it made, whatever came after.
pub async fn submit_patch(
    store: &dyn KeyValueStore,
    held: Option<&Snapshot>,
    submission: &Submission,
    wall: SystemTime,
) -> Result<AcceptedPatch, Refusal> {
    check_names(submission)?;
    let found = read_index(store).await.map_err(unavailable)?;
    let log = match &found {
        Some((_, index)) => read_log(store, index).await.map_err(unavailable)?,
        None => Log::default(),
    };
    if let Some(entry) = log.find(&submission.patch_id) {
        return accept_again(entry, submission);
    }
    let version = found.as_ref().map_or(ConfigVersion(0), |(_, index)| index.version);
    if version != submission.against_version {
        return Err(conflict(version, submission));
    }
    let base = read_base(store, found, log, held).await.map_err(unavailable)?;
    let collected = match &base.index {
        Some(index) => collect(store, index, &base.manifest, &base.log).await,
        None => ConfigVersion(0),
    };
    let attempt = prepare(&base, submission, collected, wall)?;
    write_objects(store, &attempt.objects).await.map_err(unavailable)?;
    write_index(store, base.expected, attempt, submission).await
}

fn accept_again(entry: &LogEntry, submission: &Submission) -> Result<AcceptedPatch, Refusal> {
    if entry.patch_sha256 != digest_of(&submission.patch) {
        let message = format!("The patch id made version {} with another patch.", entry.version);
        return Err(Refusal::not_run(ResultCode::IdempotencyKeyReused).with_message(message));
    }
    Ok(AcceptedPatch { version: entry.version, snapshot: None })
}

fn digest_of(patch: &Value) -> String {
    hex::encode(Sha256::digest(patch.to_string().as_bytes()))
}

/// Whether a patch would be accepted on a document, its size in the store included.
pub fn check_patch(document: &Document, patch: &Value) -> Result<(), Refusal> {
    let patched = apply_patch(document, patch)?;
    let parts = Parts::split(&patched).map_err(|error| internal(&error))?;
    check_size(parts.0.values().map(String::len).max())
}

fn check_names(submission: &Submission) -> Result<(), Refusal> {
    for (name, text) in [("author", &submission.author), ("patch_id", &submission.patch_id)] {
        if text.is_empty() || text.len() > NAME_LIMIT_BYTES {
            let message =
                format!("{name}: given {} bytes, allowed 1 to {NAME_LIMIT_BYTES}", text.len());
            return Err(Refusal::not_run(ResultCode::FieldOutOfRange).with_message(message));
        }
    }
    Ok(())
}

async fn read_base(
    store: &dyn KeyValueStore,
    found: Option<(Revision, Index)>,
    log: Log,
    held: Option<&Snapshot>,
) -> Result<Base, ReadError> {
    let Some((revision, index)) = found else {
        let (manifest, document, deltas) = Default::default();
        return Ok(Base { expected: None, index: None, manifest, log, document, deltas });
    };
    let manifest = read_manifest(store, &index).await?;
    let held = held.filter(|held| held.version <= index.version);
    let (document, deltas) = match (read_at(store, &index, held).await?, held) {
        (Some(read), _) => (read.document, read.deltas),
        (None, Some(held)) => (held.document.clone(), held.deltas.clone()),
        (None, None) => Default::default(),
    };
    Ok(Base { expected: Some(revision), index: Some(index), manifest, log, document, deltas })
}

fn prepare(
    base: &Base,
    submission: &Submission,
    collected: ConfigVersion,
    wall: SystemTime,
) -> Result<Attempt, Refusal> {
    let document = apply_patch(&base.document, &submission.patch)?;
    let version = ConfigVersion(submission.against_version.0 + 1);
    let parts = Parts::split(&document).map_err(|error| internal(&error))?;
    let document_sha256 = parts.digest();
    let mut objects = Vec::new();
    let mut add = |text: String| {
        let key = ObjectKey::new(version, &submission.patch_id, &text);
        objects.push((key.clone(), text));
        key
    };
    let manifest = place_parts(parts, &base.manifest, &mut add);
    let accepted_at_ms = unix_ms(wall);
    let (mut log, dropped) = shorten(base.log.clone());
    let delta = Delta {
        version,
        patch: kept(&submission.patch),
        document_sha256: document_sha256.clone(),
        replaced: find_replaced(base, &manifest, dropped),
    };
    let held = base.deltas.iter().cloned().chain([Arc::new(delta.clone())]);
    let snapshot = Snapshot::new(version, document).with_deltas(held.collect());
    let delta = add(write(&delta)?);
    log.0.push(LogEntry {
        version,
        author: submission.author.clone(),
        patch_id: submission.patch_id.clone(),
        accepted_at_ms,
        patch_sha256: digest_of(&submission.patch),
        delta: delta.clone(),
    });
    let deltas = match &base.index {
        Some(index) => index.deltas_with(version, delta),
        None => vec![(version, delta)],
    };
    let index = Index {
        version,
        patch_id: submission.patch_id.clone(),
        author: submission.author.clone(),
        accepted_at_ms,
        document_sha256,
        manifest: add(write(&manifest)?),
        log: add(write(&log)?),
        deltas,
        collected,
    };
    check_size(objects.iter().map(|(_, text)| text.len()).max())?;
    Ok(Attempt { index, objects, snapshot })
}

/// Keeps the object of each part that has not changed and adds one for each other part.
fn place_parts(
    parts: Parts,
    before: &Manifest,
    add: &mut impl FnMut(String) -> ObjectKey,
) -> Manifest {
    let mut manifest = Manifest::default();
    let version_free = |text: &str| ObjectKey::new(ConfigVersion(0), "", text);
    for (name, text) in parts.0 {
        let same =
            before.0.get(&name).filter(|key| key.digest() == version_free(&text).digest()).cloned();
        let key = same.unwrap_or_else(|| add(text));
        manifest.0.insert(name, key);
    }
    manifest
}

fn kept(patch: &Value) -> Option<Value> {
    (patch.to_string().len() <= DELTA_LIMIT_BYTES).then(|| patch.clone())
}

/// Makes room for one more entry; gives the deltas that fall out with theirs.
fn shorten(mut log: Log) -> (Log, Vec<ObjectKey>) {
    let surplus = (log.0.len() + 1).saturating_sub(RETAINED_LOG_ENTRIES);
    let dropped = log.0.drain(..surplus).map(|entry| entry.delta).collect();
    (log, dropped)
}

fn find_replaced(base: &Base, manifest: &Manifest, dropped: Vec<ObjectKey>) -> Vec<ObjectKey> {
    let mut replaced = dropped;
    if let Some(index) = &base.index {
        replaced.extend([index.manifest.clone(), index.log.clone()]);
    }
    let gone = base.manifest.0.iter().filter(|(name, key)| manifest.0.get(*name) != Some(key));
    replaced.extend(gone.map(|(_, key)| key.clone()));
    replaced
}

fn check_size(largest_bytes: Option<usize>) -> Result<(), Refusal> {
    let largest_bytes = largest_bytes.unwrap_or(0);
    if largest_bytes <= VALUE_LIMIT_BYTES {
        return Ok(());
    }
    let message =
        format!("a part would take {largest_bytes} bytes, allowed are {VALUE_LIMIT_BYTES}");
    Err(Refusal::not_run(ResultCode::PatchRejected).with_message(message))
}

async fn write_objects(
    store: &dyn KeyValueStore,
    objects: &[(ObjectKey, String)],
) -> Result<(), ReadError> {
    for (key, text) in objects {
        let store_key = key.store_key();
        // A conflict means that an earlier try of this attempt wrote the same content.
        match store.swap(&store_key, None, text, None).await {
            Ok(_) => {}
            Err(StoreError::Unknown(_)) => {
                if store.get(&store_key).await?.is_none() {
                    return Err(ReadError::Gone(store_key));
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
    let text = write(&attempt.index)?;
    match store.swap(INDEX_KEY, expected, &text, None).await {
        Ok(SwapResult::Written(_)) => {
            Ok(AcceptedPatch { version: attempt.index.version, snapshot: Some(attempt.snapshot) })
        }
        Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown(_)) => {
            settle_write(store, attempt, submission).await
        }
        Err(error) => Err(unavailable(error.into())),
    }
}

/// Finds out whether a write took effect by looking for its patch id in the log.
async fn settle_write(
    store: &dyn KeyValueStore,
    attempt: Attempt,
    submission: &Submission,
) -> Result<AcceptedPatch, Refusal> {
    let (index, log) = read_both(store).await.map_err(|error| {
        Refusal::new(ResultCode::WriteUnknown, Outcome::Unknown).with_message(error.to_string())
    })?;
    if let Some(entry) = log.find(&submission.patch_id) {
        return Ok(AcceptedPatch { version: entry.version, snapshot: Some(attempt.snapshot) });
    }
    if index.as_ref().is_none_or(|index| index.version < attempt.index.version) {
        let message = "The write has not taken effect so far; submit the same patch id again.";
        let refusal = Refusal::new(ResultCode::WriteUnknown, Outcome::Unknown);
        return Err(refusal.with_message(message));
    }
    discard(store, &attempt.objects).await;
    Err(conflict(index.map_or(ConfigVersion(0), |index| index.version), submission))
}

async fn read_both(store: &dyn KeyValueStore) -> Result<(Option<Index>, Log), ReadError> {
    let Some((_, index)) = read_index(store).await? else { return Ok((None, Log::default())) };
    let log = read_log(store, &index).await?;
    Ok((Some(index), log))
}

/// Deletes what an attempt that lost has written; what remains is collected later.
async fn discard(store: &dyn KeyValueStore, objects: &[(ObjectKey, String)]) {
    for (key, _) in objects {
        if let Err(error) = super::collect::delete(store, &key.store_key()).await {
            warn!("an attempt that lost is left to be collected: {error}");
            return;
        }
    }
}

fn write(record: &impl Serialize) -> Result<String, Refusal> {
    serde_json::to_string(record).map_err(|error| internal(&error))
}

fn internal(error: &dyn std::error::Error) -> Refusal {
    Refusal::not_run(ResultCode::Internal).with_message(error.to_string())
}

fn conflict(current: ConfigVersion, submission: &Submission) -> Refusal {
    Refusal::not_run(ResultCode::VersionConflict).with_message(format!(
        "The patch was made against version {}; version {current} is in force.",
        submission.against_version
    ))
}

fn unavailable(error: ReadError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
}
