//! The layout in the store at the target size.

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
use support::{document_of, rate_of, run, submit};

const CUSTOMERS: usize = 15_000;

/// Bytes a second that a node may spend on control, over a day, shared by the changes of a day.
const BYTES_PER_CHANGE: usize = 5_000 * 86_400 / 290;

/// Bytes read and reads since the last call.
fn take_counts(store: &MemoryStore) -> (usize, u64) {
    let mut state = store.state();
    (std::mem::take(&mut state.bytes_read), std::mem::take(&mut state.reads))
}

#[test]
fn fifteen_thousand_customers_lie_in_small_values_and_one_change_costs_little() {
    run(async {
        let store = MemoryStore::default();
        let first = submit(&store, None, 0, "first", document_of(CUSTOMERS)).await.unwrap();
        let writer = first.snapshot.unwrap();
        let whole: usize = store.state().values.values().map(|(_, text)| text.len()).sum();
        let node = read_newer(&store, None).await.unwrap().unwrap();
        assert_eq!(node.document, writer.document);
        let (start_bytes, start_reads) = take_counts(&store);

        submit(&store, Some(&writer), 1, "second", rate_of(77, 11)).await.unwrap();
        take_counts(&store);
        let node = read_newer(&store, Some(&node)).await.unwrap().unwrap();
        let (bytes, reads) = take_counts(&store);
        assert_eq!(node.version, ConfigVersion(2));
        assert_eq!(node.document.customers[&CustomerId::new("customer-00077")].requests_per_s, 11);
        let largest = store.state().largest_value_bytes;
        println!(
            "whole={whole} largest={largest} start={start_bytes}/{start_reads} change={bytes}/{reads}"
        );
        assert!(largest < VALUE_LIMIT_BYTES, "largest value {largest}");
        assert_eq!(reads, 2);
        assert!(bytes < 4_096 && bytes * 100 < BYTES_PER_CHANGE, "one change cost {bytes}");
    });
}

#[test]
fn a_node_far_behind_fetches_only_the_parts_that_changed() {
    run(async {
        let store = MemoryStore::default();
        let first = submit(&store, None, 0, "p0", document_of(2_000)).await.unwrap();
        let node = first.snapshot.unwrap();
        let mut writer = submit(&store, Some(&node), 1, "p1", rate_of(5, 101)).await.unwrap();
        for patch in 2..=20 {
            let (held, id) = (writer.snapshot.as_ref(), format!("p{patch}"));
            writer = submit(&store, held, patch, &id, rate_of(5, 100 + patch)).await.unwrap();
        }
        take_counts(&store);
        let caught_up = read_newer(&store, Some(&node)).await.unwrap().unwrap();
        let (bytes, reads) = take_counts(&store);
        println!("far behind={bytes}/{reads}");
        assert_eq!(caught_up.version, ConfigVersion(21));
        assert_eq!(reads as usize, 3 + RETAINED_DELTAS, "index, manifest, one part and the deltas");
        assert!(bytes < 40_000, "it cost {bytes}");
    });
}

#[test]
fn a_reader_with_an_old_index_reads_the_new_one_and_garbage_stays_bounded() {
    run(async {
        let store = MemoryStore::default();
        submit(&store, None, 0, "p0", document_of(200)).await.unwrap();
        let old = store.state().values[INDEX_KEY].clone();
        let mut objects = Vec::new();
        for patch in 1..=60 {
            submit(&store, None, patch, &format!("p{patch}"), rate_of(3, patch + 20))
                .await
                .unwrap();
            objects.push(store.state().values.len() as u64 - patch);
        }
        let steady = objects.last().unwrap();
        assert!(
            steady <= &(objects[RETAINED_VERSIONS as usize + 4] + 4),
            "values grow: {objects:?}"
        );

        // A reader that was given the old index once finds its objects gone and starts again.
        let newest = store.state().values.insert(INDEX_KEY.to_owned(), old).unwrap();
        let broken = read_newer(&store, None).await.unwrap_err();
        assert!(broken.to_string().contains("gone"), "{broken}");
        store.state().values.insert(INDEX_KEY.to_owned(), newest);
        let read = read_newer(&store, None).await.unwrap().unwrap();
        assert_eq!(read.version, ConfigVersion(61));
    });
}

#[test]
fn the_log_forgets_the_oldest_patch_and_its_delta_is_collected() {
    run(async {
        let store = MemoryStore::default();
        let mut held = submit(&store, None, 0, "p0", document_of(1)).await.unwrap().snapshot;
        let oldest = fill_log(&store).await;
        for patch in 1..=RETAINED_VERSIONS + 4 {
            let is_kept = store.state().values.contains_key(&oldest.store_key());
            assert!(is_kept || patch > RETAINED_VERSIONS, "deleted before version {patch}");
            let id = format!("p{patch}");
            let accepted = submit(&store, held.as_ref(), patch, &id, rate_of(0, patch)).await;
            held = accepted.unwrap().snapshot;
        }
        let (_, index) = read_index(&store).await.unwrap().unwrap();
        let log = read_log(&store, &index).await.unwrap();
        assert_eq!(log.0.len(), RETAINED_LOG_ENTRIES);
        assert!(!store.state().values.contains_key(&oldest.store_key()));
        assert!(store.state().largest_value_bytes < VALUE_LIMIT_BYTES);
    });
}

/// Fills the log up with long entries; gives the delta of the oldest.
async fn fill_log(store: &MemoryStore) -> ObjectKey {
    let (_, mut index) = read_index(store).await.expect("answered").expect("answered");
    let mut log = read_log(store, &index).await.expect("answered");
    let oldest = log.0[0].delta.clone();
    let entry = LogEntry { author: "a".repeat(128), patch_id: "i".repeat(128), ..log.0[0].clone() };
    log.0.resize(RETAINED_LOG_ENTRIES, entry);
    for entry in &mut log.0[1..] {
        entry.version = ConfigVersion(0);
        entry.delta = ObjectKey::new(ConfigVersion(0), "", "");
    }
    let text = serde_json::to_string(&log).expect("answered");
    index.log = ObjectKey::new(ConfigVersion(1), "", &text);
    store.swap(&index.log.store_key(), None, &text, None).await.expect("answered");
    let text = serde_json::to_string(&index).expect("answered");
    let revision = store.state().values[INDEX_KEY].0;
    store.swap(INDEX_KEY, Some(Revision(revision)), &text, None).await.expect("answered");
    oldest
}

#[test]
fn a_part_that_would_not_fit_is_refused_before_anything_is_in_force() {
    run(async {
        let store = MemoryStore::default();
        let services: Vec<String> = (0..100_000).map(|number| format!("desk-{number}")).collect();
        let known: serde_json::Map<_, _> =
            services.iter().map(|name| (name.clone(), json!({ "calls": [] }))).collect();
        let huge = json!({ "services": known });
        let refusal = submit(&store, None, 0, "huge", huge.clone()).await;
        assert_eq!(refusal.unwrap_err().code, ResultCode::PatchRejected);
        assert!(store.state().values.is_empty());
        let checked = check_patch(&Document::default(), &huge);
        assert_eq!(checked.expect_err("too large").code, ResultCode::PatchRejected);
    });
}
