//! Usable upstreams before, during and after outages of the store.

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
        version: "v1".into(),
        slots: 4,
        draining: false,
    }
}

fn usable(upstream_table: &UpstreamTable) -> Vec<String> {
    upstream_table.usable().iter().map(|upstream| upstream.instance.to_string()).collect()
}

#[test]
fn a_withdrawn_upstream_is_removed_at_once_without_an_outage() {
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
fn draining_changes_the_usable_upstreams() {
    let mut upstream_table = UpstreamTable::default();
    upstream_table.upsert(upstream("one"));
    let draining = Upstream { draining: true, ..upstream("one") };
    assert_eq!(upstream_table.upsert(draining), UpstreamTableChange::Usable);
    assert!(upstream_table.usable()[0].draining);
}

#[test]
fn an_upstream_lost_in_a_store_outage_has_two_seconds_to_return() {
    let now = Instant::now();
    let mut upstream_table = UpstreamTable::default();
    upstream_table.upsert(upstream("back"));
    upstream_table.upsert(upstream("gone"));
    upstream_table.mark_store_lost();
    upstream_table.mark_store_regained(now);
    upstream_table.replace_all(vec![], now);
    assert_eq!(usable(&upstream_table), ["back", "gone"], "kept during the grace period");
    upstream_table.upsert(upstream("back"));
    let just_before = now + REJOIN_GRACE - Duration::from_millis(1);
    assert_eq!(upstream_table.expire_missing(just_before), UpstreamTableChange::None);
    assert_eq!(upstream_table.expire_missing(now + REJOIN_GRACE), UpstreamTableChange::Usable);
    assert_eq!(usable(&upstream_table), ["back"]);
}

#[test]
fn tables_with_the_same_upstreams_have_the_same_fingerprint() {
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
fn the_fingerprint_depends_on_the_upstreams_and_not_on_their_history() {
    let now = Instant::now();
    let fingerprint_of = |instances: &[&str]| {
        let mut upstream_table = UpstreamTable::default();
        instances.iter().for_each(|instance| {
            upstream_table.upsert(upstream(instance));
        });
        upstream_table.fingerprint()
    };
    let mut upstream_table = UpstreamTable::default();
    upstream_table.replace_all(vec![upstream("one"), upstream("two"), upstream("three")], now);
    assert_eq!(upstream_table.fingerprint(), fingerprint_of(&["one", "two", "three"]));
    upstream_table.remove("one", now);
    upstream_table.remove("one", now);
    assert_eq!(upstream_table.fingerprint(), fingerprint_of(&["two", "three"]));
    upstream_table.upsert(Upstream { draining: true, ..upstream("two") });
    upstream_table.upsert(upstream("two"));
    assert_eq!(upstream_table.fingerprint(), fingerprint_of(&["two", "three"]));
    upstream_table.mark_store_lost();
    upstream_table.remove("two", now);
    upstream_table.remove("two", now);
    assert_eq!(
        upstream_table.fingerprint(),
        fingerprint_of(&["three"]),
        "missing upstreams do not count"
    );
    upstream_table.mark_store_regained(now);
    upstream_table.upsert(upstream("two"));
    assert_eq!(upstream_table.fingerprint(), fingerprint_of(&["two", "three"]));
    upstream_table.replace_all(vec![upstream("two")], now);
    upstream_table.expire_missing(now + REJOIN_GRACE);
    assert_eq!(upstream_table.fingerprint(), fingerprint_of(&["two"]));
}
