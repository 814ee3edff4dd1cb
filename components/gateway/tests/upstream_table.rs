//! Which upstreams may be used while the store comes and goes.

use std::time::{Duration, Instant};

use gateway::model::Upstream;
use gateway::upstream_table::{REJOIN_GRACE, UpstreamTable, UpstreamTableChange};

fn upstream(instance: &str) -> Upstream {
    Upstream {
        instance: instance.into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
    }
}

fn usable(upstream_table: &UpstreamTable) -> Vec<String> {
    upstream_table.usable().iter().map(|upstream| upstream.instance.to_string()).collect()
}

#[test]
fn a_withdrawn_upstream_is_gone_at_once_in_calm() {
    let now = Instant::now();
    let mut upstream_table = UpstreamTable::default();
    assert_eq!(upstream_table.upsert(upstream("one")), UpstreamTableChange::Usable);
    assert_eq!(upstream_table.upsert(upstream("one")), UpstreamTableChange::None);
    assert!(!upstream_table.is_empty());
    assert_eq!(upstream_table.remove("one", now), UpstreamTableChange::Usable);
    assert!(usable(&upstream_table).is_empty());
    assert!(upstream_table.is_empty());
}

#[test]
fn draining_is_a_change() {
    let mut upstream_table = UpstreamTable::default();
    upstream_table.upsert(upstream("one"));
    let draining = Upstream { draining: true, ..upstream("one") };
    assert_eq!(upstream_table.upsert(draining), UpstreamTableChange::Usable);
    assert!(upstream_table.usable()[0].draining);
}

#[test]
fn an_entry_that_lapsed_with_the_store_has_two_seconds_to_come_back() {
    let now = Instant::now();
    let mut upstream_table = UpstreamTable::default();
    upstream_table.upsert(upstream("back"));
    upstream_table.upsert(upstream("gone"));
    upstream_table.mark_store_lost();
    upstream_table.mark_store_regained(now);
    upstream_table.replace_all(vec![], now);
    assert_eq!(usable(&upstream_table), ["back", "gone"], "kept while they may come back");
    upstream_table.upsert(upstream("back"));
    let just_before = now + REJOIN_GRACE - Duration::from_millis(1);
    assert_eq!(upstream_table.expire_missing(just_before), UpstreamTableChange::None);
    assert_eq!(upstream_table.expire_missing(now + REJOIN_GRACE), UpstreamTableChange::Usable);
    assert_eq!(usable(&upstream_table), ["back"]);
}

#[test]
fn entries_with_the_same_knowledge_have_the_same_fingerprint() {
    let (mut first, mut second) = (UpstreamTable::default(), UpstreamTable::default());
    first.upsert(upstream("one"));
    first.upsert(upstream("two"));
    second.upsert(upstream("two"));
    assert_ne!(first.fingerprint(), second.fingerprint());
    second.upsert(upstream("one"));
    assert_eq!(first.fingerprint(), second.fingerprint());
    second.upsert(Upstream { draining: true, ..upstream("one") });
    assert_ne!(first.fingerprint(), second.fingerprint());
}

#[test]
fn the_fingerprint_follows_from_what_is_known_however_it_came_about() {
    let now = Instant::now();
    let known = |instances: &[&str]| {
        let mut upstream_table = UpstreamTable::default();
        instances.iter().for_each(|instance| {
            upstream_table.upsert(upstream(instance));
        });
        upstream_table.fingerprint()
    };
    let mut upstream_table = UpstreamTable::default();
    upstream_table.replace_all(vec![upstream("one"), upstream("two"), upstream("three")], now);
    assert_eq!(upstream_table.fingerprint(), known(&["one", "two", "three"]));
    upstream_table.remove("one", now);
    upstream_table.remove("one", now);
    assert_eq!(upstream_table.fingerprint(), known(&["two", "three"]));
    upstream_table.upsert(Upstream { draining: true, ..upstream("two") });
    upstream_table.upsert(upstream("two"));
    assert_eq!(upstream_table.fingerprint(), known(&["two", "three"]));
    upstream_table.mark_store_lost();
    upstream_table.remove("two", now);
    upstream_table.remove("two", now);
    assert_eq!(
        upstream_table.fingerprint(),
        known(&["three"]),
        "what may come back does not count"
    );
    upstream_table.mark_store_regained(now);
    upstream_table.upsert(upstream("two"));
    assert_eq!(upstream_table.fingerprint(), known(&["two", "three"]));
    upstream_table.replace_all(vec![upstream("two")], now);
    upstream_table.expire_missing(now + REJOIN_GRACE);
    assert_eq!(upstream_table.fingerprint(), known(&["two"]));
}
