//! Operators who submit at once, lost replies and the audit trail.

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
use support::{document_of, rate_of, run, submit};

#[test]
fn of_two_operators_on_one_version_one_wins_and_the_other_is_told_the_version() {
    run(async {
        let store = MemoryStore::default();
        submit(&store, None, 0, "p0", document_of(10)).await.unwrap();
        let (anna, bruno) = tokio::join!(
            submit(&store, None, 1, "anna-1", rate_of(1, 50)),
            submit(&store, None, 1, "bruno-1", rate_of(1, 60)),
        );
        let (won, lost) = if anna.is_ok() { (anna, bruno) } else { (bruno, anna) };
        assert_eq!(won.unwrap().version, ConfigVersion(2));
        let refusal = lost.unwrap_err();
        assert_eq!(refusal.code, ResultCode::VersionConflict);
        assert!(refusal.message.contains("version 2 is in force"), "{refusal}");
    });
}

#[test]
fn the_winner_whose_reply_was_lost_gets_his_own_version_after_others_have_patched() {
    run(async {
        let store = MemoryStore::default();
        submit(&store, None, 0, "p0", document_of(10)).await.unwrap();
        store.state().lose_reply_of = Some(INDEX_KEY.to_owned());
        let first = submit(&store, None, 1, "anna-1", rate_of(1, 50)).await.unwrap();
        assert_eq!(first.version, ConfigVersion(2));
        for other in 2..40 {
            submit(&store, None, other, &format!("bruno-{other}"), rate_of(2, other))
                .await
                .unwrap();
        }
        let again = submit(&store, None, 1, "anna-1", rate_of(1, 50)).await.unwrap();
        assert_eq!(again.version, ConfigVersion(2));
        let (_, index) = read_index(&store).await.unwrap().unwrap();
        assert_eq!(index.version, ConfigVersion(40), "asking again changes nothing");
        let reused = submit(&store, None, 40, "anna-1", rate_of(1, 51)).await.unwrap_err();
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

#[test]
fn the_audit_trail_keeps_the_newest_records_once_each_in_bounded_space() {
    run(async {
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
        let awkward = AuditRecord { author: "\u{1}".repeat(5_000), ..record(1, 0) };
        for number in 0..200 {
            let version = ConfigVersion(number);
            let awkward = AuditRecord { against_version: version, ..awkward.clone() };
            record_audit(&store, &awkward).await.unwrap();
        }
        assert!(store.state().largest_value_bytes < 450_000);
    });
}

#[test]
fn writers_of_the_audit_trail_do_not_lose_each_others_records() {
    run(async {
        let store = MemoryStore::default();
        for number in 0..60 {
            let (one, other) = (record(2 * number, 0), record(2 * number + 1, 0));
            let (first, second) =
                tokio::join!(record_audit(&store, &one), record_audit(&store, &other));
            first.unwrap();
            second.unwrap();
        }
        assert_eq!(read_audit(&store, usize::MAX).await.unwrap().len(), 120);
    });
}
