//! Layout of the configuration in the store: sizes of values, cost of reads, garbage collection.

mod support;

use configuration::Document;
use configuration::layout::{
    INDEX_KEY, LogEntry, ObjectKey, RETAINED_DELTAS, RETAINED_LOG_ENTRIES, RETAINED_VERSIONS,
    VALUE_LIMIT_BYTES,
};
use configuration::repository::{check_patch, read_index, read_log, read_newer};
use errors::ResultCode;
use identity::{ConfigVersion, CustomerId};
use serde_json::json;
use standin::memory_store::MemoryStore;
use store::{KeyValueStore, Revision};
use support::{block_on, patch_with_customers, patch_with_rate, submit};

/// Number of customers that the system is designed for.
const TARGET_CUSTOMERS: usize = 15_000;

/// Bytes that a process may read for one change: its daily budget for control traffic, divided by
/// the number of changes of a day.
const BYTE_BUDGET_PER_CHANGE: usize = 5_000 * 86_400 / 290;

/// Returns the bytes read and the number of reads since the last call.
fn take_counts(store: &MemoryStore) -> (usize, u64) {
    let mut state = store.state();
    (std::mem::take(&mut state.bytes_read), std::mem::take(&mut state.reads))
}

/// Guards against values that are too large for the store, and against reading the whole document
/// again after a change of one customer.
#[test]
fn values_and_changes_stay_small_with_fifteen_thousand_customers() {
    block_on(async {
        let store = MemoryStore::default();
        let first =
            submit(&store, None, 0, "first", patch_with_customers(TARGET_CUSTOMERS)).await.unwrap();
        let writer = first.snapshot.unwrap();
        let total: usize = store.state().values.values().map(|(_, text)| text.len()).sum();
        let reader = read_newer(&store, None).await.unwrap().unwrap();
        assert_eq!(reader.document, writer.document);
        let (start_bytes, start_reads) = take_counts(&store);

        submit(&store, Some(&writer), 1, "second", patch_with_rate(77, 11)).await.unwrap();
        take_counts(&store);
        let reader = read_newer(&store, Some(&reader)).await.unwrap().unwrap();
        let (bytes, reads) = take_counts(&store);
        assert_eq!(reader.version, ConfigVersion(2));
        assert_eq!(
            reader.document.customers[&CustomerId::new("customer-00077")].requests_per_s,
            11
        );
        let largest = store.state().largest_value_bytes;
        println!(
            "whole={total} largest={largest} start={start_bytes}/{start_reads} change={bytes}/{reads}"
        );
        assert!(largest < VALUE_LIMIT_BYTES, "largest value {largest}");
        assert_eq!(reads, 2);
        assert!(bytes < 4_096 && bytes * 100 < BYTE_BUDGET_PER_CHANGE, "one change cost {bytes}");
    });
}

/// A process that lags by more versions than there are deltas must not read the whole document.
#[test]
fn process_far_behind_fetches_only_changed_parts() {
    block_on(async {
        let store = MemoryStore::default();
        let first = submit(&store, None, 0, "p0", patch_with_customers(2_000)).await.unwrap();
        let reader = first.snapshot.unwrap();
        let mut writer =
            submit(&store, Some(&reader), 1, "p1", patch_with_rate(5, 101)).await.unwrap();
        for patch in 2..=20 {
            let (local, id) = (writer.snapshot.as_ref(), format!("p{patch}"));
            writer =
                submit(&store, local, patch, &id, patch_with_rate(5, 100 + patch)).await.unwrap();
        }
        take_counts(&store);
        let caught_up = read_newer(&store, Some(&reader)).await.unwrap().unwrap();
        let (bytes, reads) = take_counts(&store);
        println!("far behind={bytes}/{reads}");
        assert_eq!(caught_up.version, ConfigVersion(21));
        assert_eq!(reads as usize, 3 + RETAINED_DELTAS, "index, manifest, one part and the deltas");
        assert!(bytes < 40_000, "it cost {bytes}");
    });
}

/// Guards against a number of stored objects that grows with the number of patches, and against a
/// reader that fails for good after it has read an old index, whose objects have been deleted.
#[test]
fn old_index_is_read_again_and_garbage_stays_bounded() {
    block_on(async {
        let store = MemoryStore::default();
        submit(&store, None, 0, "p0", patch_with_customers(200)).await.unwrap();
        let old = store.state().values[INDEX_KEY].clone();
        let mut object_counts = Vec::new();
        for patch in 1..=60 {
            submit(&store, None, patch, &format!("p{patch}"), patch_with_rate(3, patch + 20))
                .await
                .unwrap();
            object_counts.push(store.state().values.len() as u64 - patch);
        }
        let final_count = object_counts.last().unwrap();
        assert!(
            final_count <= &(object_counts[RETAINED_VERSIONS as usize + 4] + 4),
            "values grow: {object_counts:?}"
        );

        // A reader that gets the old index finds its objects deleted; the new index can be read.
        let newest = store.state().values.insert(INDEX_KEY.to_owned(), old).unwrap();
        let error = read_newer(&store, None).await.unwrap_err();
        assert!(error.to_string().contains("not found"), "{error}");
        store.state().values.insert(INDEX_KEY.to_owned(), newest);
        let read = read_newer(&store, None).await.unwrap().unwrap();
        assert_eq!(read.version, ConfigVersion(61));
    });
}

/// The log and the deltas that it refers to must not grow without limit.
#[test]
fn oldest_log_entry_is_dropped_and_its_delta_deleted() {
    block_on(async {
        let store = MemoryStore::default();
        let mut local =
            submit(&store, None, 0, "p0", patch_with_customers(1)).await.unwrap().snapshot;
        let oldest = fill_log(&store).await;
        for patch in 1..=RETAINED_VERSIONS + 4 {
            let is_retained = store.state().values.contains_key(&oldest.store_key());
            assert!(is_retained || patch > RETAINED_VERSIONS, "deleted before version {patch}");
            let id = format!("p{patch}");
            let accepted =
                submit(&store, local.as_ref(), patch, &id, patch_with_rate(0, patch)).await;
            local = accepted.unwrap().snapshot;
        }
        let (_, index) = read_index(&store).await.unwrap().unwrap();
        let log = read_log(&store, &index).await.unwrap();
        assert_eq!(log.0.len(), RETAINED_LOG_ENTRIES);
        assert!(!store.state().values.contains_key(&oldest.store_key()));
        assert!(store.state().largest_value_bytes < VALUE_LIMIT_BYTES);
    });
}

/// Fills the log with long entries; returns the delta of the oldest one.
async fn fill_log(store: &MemoryStore) -> ObjectKey {
    let (_, mut index) = read_index(store).await.expect("store is up").expect("index exists");
    let mut log = read_log(store, &index).await.expect("store is up");
    let oldest = log.0[0].delta.clone();
    let entry = LogEntry { author: "a".repeat(128), patch_id: "i".repeat(128), ..log.0[0].clone() };
    log.0.resize(RETAINED_LOG_ENTRIES, entry);
    for entry in &mut log.0[1..] {
        entry.version = ConfigVersion(0);
        entry.delta = ObjectKey::new(ConfigVersion(0), "", "");
    }
    let text = serde_json::to_string(&log).expect("log serializes");
    index.log = ObjectKey::new(ConfigVersion(1), "", &text);
    store.swap(&index.log.store_key(), None, &text, None).await.expect("store is up");
    let text = serde_json::to_string(&index).expect("index serializes");
    let revision = store.state().values[INDEX_KEY].0;
    store.swap(INDEX_KEY, Some(Revision(revision)), &text, None).await.expect("store is up");
    oldest
}

/// A part above the size limit must be rejected before objects are written.
#[test]
fn patch_with_too_large_part_is_rejected_before_any_write() {
    block_on(async {
        let store = MemoryStore::default();
        let names: Vec<String> = (0..100_000).map(|number| format!("desk-{number}")).collect();
        let services: serde_json::Map<_, _> =
            names.iter().map(|name| (name.clone(), json!({ "calls": [] }))).collect();
        let huge = json!({ "services": services });
        let refusal = submit(&store, None, 0, "huge", huge.clone()).await;
        assert_eq!(refusal.unwrap_err().code, ResultCode::PatchRejected);
        assert!(store.state().values.is_empty());
        let checked = check_patch(&Document::default(), &huge);
        assert_eq!(checked.expect_err("too large").code, ResultCode::PatchRejected);
    });
}
