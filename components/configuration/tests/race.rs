//! Concurrent submissions, lost replies of the store and the audit trail.

mod support;

use std::time::SystemTime;

use configuration::layout::INDEX_KEY;
use configuration::repository::{
    AuditOutcome, AuditRecord, Submission, read_audit, read_index, record_audit,
};
use errors::ResultCode;
use identity::ConfigVersion;
use serde_json::json;
use standin::memory_store::MemoryStore;
use support::{block_on, patch_with_customers, patch_with_rate, submit};

/// Two patches against the same version must not both be accepted. The refusal of the other one
/// must contain the active version.
#[test]
fn one_of_two_concurrent_patches_gets_a_version_conflict() {
    block_on(async {
        let store = MemoryStore::default();
        submit(&store, None, 0, "p0", patch_with_customers(10)).await.unwrap();
        let (anna, bruno) = tokio::join!(
            submit(&store, None, 1, "anna-1", patch_with_rate(1, 50)),
            submit(&store, None, 1, "bruno-1", patch_with_rate(1, 60)),
        );
        let (won, lost) = if anna.is_ok() { (anna, bruno) } else { (bruno, anna) };
        assert_eq!(won.unwrap().version, ConfigVersion(2));
        let refusal = lost.unwrap_err();
        assert_eq!(refusal.code, ResultCode::VersionConflict);
        assert!(refusal.message.contains("version 2 is in force"), "{refusal}");
    });
}

/// The store writes the index but its reply is lost. The submission must return its own version,
/// also when it is repeated after other patches, and must not be applied twice.
#[test]
fn repeated_patch_after_lost_reply_returns_its_own_version() {
    block_on(async {
        let store = MemoryStore::default();
        submit(&store, None, 0, "p0", patch_with_customers(10)).await.unwrap();
        store.state().lose_reply_of = Some(INDEX_KEY.to_owned());
        let first = submit(&store, None, 1, "anna-1", patch_with_rate(1, 50)).await.unwrap();
        assert_eq!(first.version, ConfigVersion(2));
        for other in 2..40 {
            submit(&store, None, other, &format!("bruno-{other}"), patch_with_rate(2, other))
                .await
                .unwrap();
        }
        let repeated = submit(&store, None, 1, "anna-1", patch_with_rate(1, 50)).await.unwrap();
        assert_eq!(repeated.version, ConfigVersion(2));
        let (_, index) = read_index(&store).await.unwrap().unwrap();
        assert_eq!(index.version, ConfigVersion(40), "a repeated patch changes nothing");
        let reused = submit(&store, None, 40, "anna-1", patch_with_rate(1, 51)).await.unwrap_err();
        assert_eq!(reused.code, ResultCode::IdempotencyKeyReused);
    });
}

fn record(number: u64, patch_bytes: usize) -> AuditRecord {
    let submission = Submission {
        against_version: ConfigVersion(number),
        author: "anna".to_owned(),
        patch_id: format!("p{number}"),
        patch: json!({ "text": "x".repeat(patch_bytes) }),
    };
    let outcome = AuditOutcome::Refused { code: "c".to_owned(), message: "m".to_owned() };
    AuditRecord::new(&submission, outcome, SystemTime::UNIX_EPOCH)
}

/// Guards against duplicate records, unbounded growth of the ring buffer and pages that are too
/// large for the store, also with texts that grow when they are written as JSON.
#[test]
fn audit_trail_keeps_newest_records_in_bounded_space() {
    block_on(async {
        let store = MemoryStore::default();
        for number in 0..6_500 {
            record_audit(&store, &record(number, 0)).await.unwrap();
        }
        record_audit(&store, &record(6_499, 0)).await.unwrap();
        let newest = read_audit(&store, 250).await.unwrap();
        let versions: Vec<u64> = newest.iter().map(|found| found.against_version.0).collect();
        assert_eq!(versions, (6_250..6_500).rev().collect::<Vec<_>>());
        let all = read_audit(&store, usize::MAX).await.unwrap();
        assert!((6_300..=6_400).contains(&all.len()), "{}", all.len());
        assert!(store.state().values.len() <= 65);
        for number in 0..200 {
            record_audit(&store, &record(number, 10_000)).await.unwrap();
        }
        let escaped = AuditRecord { author: "\u{1}".repeat(5_000), ..record(1, 0) };
        for number in 0..200 {
            let version = ConfigVersion(number);
            let escaped = AuditRecord { against_version: version, ..escaped.clone() };
            record_audit(&store, &escaped).await.unwrap();
        }
        assert!(store.state().largest_value_bytes < 450_000);
    });
}

/// Concurrent writers to the same page must not overwrite each other's records.
#[test]
fn concurrent_audit_writers_lose_no_records() {
    block_on(async {
        let store = MemoryStore::default();
        for number in 0..60 {
            let (first, second) = (record(2 * number, 0), record(2 * number + 1, 0));
            let (first_result, second_result) =
                tokio::join!(record_audit(&store, &first), record_audit(&store, &second));
            first_result.unwrap();
            second_result.unwrap();
        }
        assert_eq!(read_audit(&store, usize::MAX).await.unwrap().len(), 120);
    });
}
