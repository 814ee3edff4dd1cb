//! The audit trail: a ring of pages in the store that holds refused patches too.

use std::time::SystemTime;

use clock::unix_ms;
use identity::ConfigVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::{KeyValueStore, Revision, StoreError, SwapResult, Versioned};

use super::Submission;
use super::read::ReadError;

/// Pages of the ring.
const PAGES: u64 = 64;

/// Records of a page.
const RECORDS_PER_PAGE: usize = 100;

/// Size from which a page takes no more records.
const PAGE_FULL_BYTES: usize = 400_000;

/// Longest patch that a record quotes.
const PATCH_QUOTE_BYTES: usize = 2000;

/// Longest message that a record quotes.
const MESSAGE_QUOTE_BYTES: usize = 500;

/// How often a record is tried when others write to the same page.
const WRITE_LIMIT: u32 = 16;

const HEAD_KEY: &str = "configuration/audit/head";

/// What became of a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum AuditOutcome {
    /// It made this version.
    Accepted(ConfigVersion),
    /// It was refused.
    Refused {
        /// Name of the result code.
        code: String,
        /// The sentence that the operator got.
        message: String,
    },
}

/// One patch as the audit trail holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Who.
    pub author: String,
    /// The id drawn by the operator.
    pub patch_id: String,
    /// Against which version.
    pub against_version: ConfigVersion,
    /// What; the start of it where it is long.
    pub patch: String,
    /// The outcome.
    pub outcome: AuditOutcome,
}

/// Counts the records ever written; the page and the place follow from it.
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
    /// The record of a submission and its outcome.
    pub fn new(submission: &Submission, outcome: AuditOutcome, wall: SystemTime) -> AuditRecord {
        let outcome = match outcome {
            AuditOutcome::Refused { code, message } => {
                AuditOutcome::Refused { code, message: quote(message, MESSAGE_QUOTE_BYTES) }
            }
            accepted => accepted,
        };
        AuditRecord {
            at_ms: unix_ms(wall),
            author: quote(submission.author.clone(), MESSAGE_QUOTE_BYTES),
            patch_id: quote(submission.patch_id.clone(), MESSAGE_QUOTE_BYTES),
            against_version: submission.against_version,
            patch: quote(submission.patch.to_string(), PATCH_QUOTE_BYTES),
            outcome,
        }
    }
}

/// Adds a record; one that is there already is not added again.
pub async fn record_audit(
    store: &dyn KeyValueStore,
    record: &AuditRecord,
) -> Result<(), ReadError> {
    for _ in 0..WRITE_LIMIT {
        if add_once(store, record).await? {
            return Ok(());
        }
    }
    Err(ReadError::Broken("the audit trail is too busy".to_owned()))
}

/// Reads the newest records, the newest first.
pub async fn read_audit(
    store: &dyn KeyValueStore,
    limit: usize,
) -> Result<Vec<AuditRecord>, ReadError> {
    let (_, head) = read_value::<Head>(store, HEAD_KEY).await?;
    let mut records = Vec::new();
    for back in 0..PAGES.min(head.page + 1) {
        let number = head.page - back;
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

/// Tries once; `false` where another writer came between.
async fn add_once(store: &dyn KeyValueStore, record: &AuditRecord) -> Result<bool, ReadError> {
    let (head_revision, head) = read_value::<Head>(store, HEAD_KEY).await?;
    let key = page_key(head.page);
    let found = store.get(&key).await?;
    let page_bytes = found.as_ref().map_or(0, |found| found.value.len());
    let (revision, mut page) = parse_value::<Page>(&key, found)?;
    let is_old_lap = page.number != head.page;
    if is_old_lap {
        page = Page { number: head.page, records: Vec::new() };
    }
    if page.records.contains(record) {
        return Ok(true);
    }
    if page.records.len() >= RECORDS_PER_PAGE || (!is_old_lap && page_bytes >= PAGE_FULL_BYTES) {
        swap(store, HEAD_KEY, head_revision, &Head { page: head.page + 1 }).await?;
        return Ok(false);
    }
    page.records.push(record.clone());
    swap(store, &key, revision, &page).await
}

/// `false` where the write lost or may have lost; the caller reads again and sees.
async fn swap(
    store: &dyn KeyValueStore,
    key: &str,
    expected: Option<Revision>,
    value: &impl Serialize,
) -> Result<bool, ReadError> {
    let text =
        serde_json::to_string(value).map_err(|error| ReadError::Broken(error.to_string()))?;
    match store.swap(key, expected, &text, None).await {
        Ok(SwapResult::Written(_)) => Ok(true),
        Ok(SwapResult::Conflict(_)) | Err(StoreError::Unknown(_)) => Ok(false),
        Err(error) => Err(error.into()),
    }
}

async fn read_value<T: Default + DeserializeOwned>(
    store: &dyn KeyValueStore,
    key: &str,
) -> Result<(Option<Revision>, T), ReadError> {
    parse_value(key, store.get(key).await?)
}

fn parse_value<T: Default + DeserializeOwned>(
    key: &str,
    found: Option<Versioned>,
) -> Result<(Option<Revision>, T), ReadError> {
    let Some(found) = found else { return Ok((None, T::default())) };
    let value = serde_json::from_str(&found.value)
        .map_err(|error| ReadError::Broken(format!("{key}: {error}")))?;
    Ok((Some(found.revision), value))
}

fn page_key(number: u64) -> String {
    format!("configuration/audit/page-{:02}", number % PAGES)
}

fn quote(mut text: String, limit: usize) -> String {
    if text.len() > limit {
        text.truncate(text.floor_char_boundary(limit));
        text.push_str("...");
    }
    text
}
