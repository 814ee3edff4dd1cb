//! Audit trail of accepted and refused patches: a ring buffer of pages in the store.

use std::time::SystemTime;

use clock::unix_ms;
use identity::ConfigVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::{KeyValueStore, Revision, StoreError, SwapResult, VersionedValue};

use super::Submission;
use super::read::RepositoryError;

/// Number of pages in the ring buffer.
const PAGE_COUNT: u64 = 64;

/// Maximum number of records on a page.
const RECORDS_PER_PAGE: usize = 100;

/// Size at which a page is full. One more record may bring a page above it.
const PAGE_FULL_BYTES: usize = 400_000;

/// Maximum length of the patch in a record; a longer one is truncated.
const PATCH_LIMIT_BYTES: usize = 2000;

/// Maximum length of other texts in a record; a longer one is truncated.
const TEXT_LIMIT_BYTES: usize = 500;

/// Maximum number of attempts to append a record while other processes write to the same page.
const MAX_APPEND_ATTEMPTS: u32 = 16;

const HEAD_KEY: &str = "configuration/audit/head";

/// Outcome of a submitted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum AuditOutcome {
    /// The patch was accepted and created this version.
    Accepted(ConfigVersion),
    /// The patch was refused.
    Refused {
        /// Name of the result code.
        code: String,
        /// Message that was returned to the operator.
        message: String,
    },
}

/// Audit record of a submitted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// Time of the submission, in milliseconds since 1970.
    pub at_ms: u64,
    /// Author of the patch.
    pub author: String,
    /// Id of the patch, chosen by the operator.
    pub patch_id: String,
    /// Version that the patch was made against.
    pub against_version: ConfigVersion,
    /// The patch as JSON text, truncated if it is long.
    pub patch: String,
    /// Outcome of the submission.
    pub outcome: AuditOutcome,
}

/// Number of the page that records are appended to. Page numbers only increase; their remainder
/// modulo [`PAGE_COUNT`] selects the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    page: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Page {
    number: u64,
    records: Vec<AuditRecord>,
}

impl AuditRecord {
    /// Creates the record of a submission and its outcome.
    pub fn new(submission: &Submission, outcome: AuditOutcome, wall: SystemTime) -> AuditRecord {
        let outcome = match outcome {
            AuditOutcome::Refused { code, message } => {
                AuditOutcome::Refused { code, message: truncate_text(message, TEXT_LIMIT_BYTES) }
            }
            accepted => accepted,
        };
        AuditRecord {
            at_ms: unix_ms(wall),
            author: truncate_text(submission.author.clone(), TEXT_LIMIT_BYTES),
            patch_id: truncate_text(submission.patch_id.clone(), TEXT_LIMIT_BYTES),
            against_version: submission.against_version,
            patch: truncate_text(submission.patch.to_string(), PATCH_LIMIT_BYTES),
            outcome,
        }
    }
}

/// Appends a record, unless the current page already contains it.
pub async fn record_audit(
    store: &dyn KeyValueStore,
    record: &AuditRecord,
) -> Result<(), RepositoryError> {
    for _ in 0..MAX_APPEND_ATTEMPTS {
        if try_append(store, record).await? {
            return Ok(());
        }
    }
    Err(RepositoryError::Invalid("audit record not written, too many concurrent writes".to_owned()))
}

/// Reads up to `limit` of the most recent records, newest first.
pub async fn read_audit(
    store: &dyn KeyValueStore,
    limit: usize,
) -> Result<Vec<AuditRecord>, RepositoryError> {
    let (_, head) = read_value::<Head>(store, HEAD_KEY).await?;
    let mut records = Vec::new();
    for offset in 0..PAGE_COUNT.min(head.page + 1) {
        let number = head.page - offset;
        let (_, page) = read_value::<Page>(store, &page_key(number)).await?;
        if page.number == number {
            records.extend(page.records.into_iter().rev());
        }
        if records.len() >= limit {
            break;
        }
    }
    records.truncate(limit);
    Ok(records)
}

/// Makes one attempt to append a record; returns `false` if it has to be repeated, because of a
/// concurrent write, a lost reply or a full page.
async fn try_append(
    store: &dyn KeyValueStore,
    record: &AuditRecord,
) -> Result<bool, RepositoryError> {
    let (head_revision, head) = read_value::<Head>(store, HEAD_KEY).await?;
    let key = page_key(head.page);
    let found = store.get(&key).await?;
    let page_bytes = found.as_ref().map_or(0, |found| found.value.len());
    let (revision, mut page) = parse_value::<Page>(&key, found)?;
    let is_stale = page.number != head.page;
    if is_stale {
        page = Page { number: head.page, records: Vec::new() };
    }
    if page.records.contains(record) {
        return Ok(true);
    }
    if page.records.len() >= RECORDS_PER_PAGE || (!is_stale && page_bytes >= PAGE_FULL_BYTES) {
        swap_value(store, HEAD_KEY, head_revision, &Head { page: head.page + 1 }).await?;
        return Ok(false);
    }
    page.records.push(record.clone());
    swap_value(store, &key, revision, &page).await
}

/// Writes a value by compare-and-swap; returns `false` on a conflict or an unknown outcome, after
/// which the caller has to read the value again.
async fn swap_value(
    store: &dyn KeyValueStore,
    key: &str,
    expected: Option<Revision>,
    value: &impl Serialize,
) -> Result<bool, RepositoryError> {
    let text = serde_json::to_string(value)
        .map_err(|error| RepositoryError::Invalid(error.to_string()))?;
    match store.swap(key, expected, &text, None).await {
        Ok(SwapResult::Written(_)) => Ok(true),
        Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown(_)) => Ok(false),
        Err(error) => Err(error.into()),
    }
}

async fn read_value<T: Default + DeserializeOwned>(
    store: &dyn KeyValueStore,
    key: &str,
) -> Result<(Option<Revision>, T), RepositoryError> {
    parse_value(key, store.get(key).await?)
}

fn parse_value<T: Default + DeserializeOwned>(
    key: &str,
    found: Option<VersionedValue>,
) -> Result<(Option<Revision>, T), RepositoryError> {
    let Some(found) = found else { return Ok((None, T::default())) };
    let value = serde_json::from_str(&found.value)
        .map_err(|error| RepositoryError::Invalid(format!("{key}: {error}")))?;
    Ok((Some(found.revision), value))
}

fn page_key(number: u64) -> String {
    format!("configuration/audit/page-{:02}", number % PAGE_COUNT)
}

fn truncate_text(mut text: String, limit: usize) -> String {
    if text.len() > limit {
        text.truncate(text.floor_char_boundary(limit));
        text.push_str("...");
    }
    text
}
