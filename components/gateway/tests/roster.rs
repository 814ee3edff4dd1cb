//! Which upstreams may be used while the store comes and goes.

use std::time::{Duration, Instant};

use gateway::model::Upstream;
use gateway::roster::{REJOIN_GRACE, Roster, RosterChange};

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

fn usable(roster: &Roster) -> Vec<String> {
    roster.usable().iter().map(|upstream| upstream.instance.to_string()).collect()
}

#[test]
fn a_withdrawn_upstream_is_gone_at_once_in_calm() {
    let now = Instant::now();
    let mut roster = Roster::default();
    assert_eq!(roster.announce(upstream("one")), RosterChange::Usable);
    assert_eq!(roster.announce(upstream("one")), RosterChange::None);
    assert!(!roster.is_empty());
    assert_eq!(roster.withdraw("one", now), RosterChange::Usable);
    assert!(usable(&roster).is_empty());
    assert!(roster.is_empty());
}

#[test]
fn draining_is_a_change() {
    let mut roster = Roster::default();
    roster.announce(upstream("one"));
    let draining = Upstream { draining: true, ..upstream("one") };
    assert_eq!(roster.announce(draining), RosterChange::Usable);
    assert!(roster.usable()[0].draining);
}

#[test]
fn an_entry_that_lapsed_with_the_store_has_two_seconds_to_come_back() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.announce(upstream("back"));
    roster.announce(upstream("gone"));
    roster.lose_store();
    roster.regain_store(now);
    roster.replace_all(vec![], now);
    assert_eq!(usable(&roster), ["back", "gone"], "kept while they may come back");
    roster.announce(upstream("back"));
    let just_before = now + REJOIN_GRACE - Duration::from_millis(1);
    assert_eq!(roster.settle(just_before), RosterChange::None);
    assert_eq!(roster.settle(now + REJOIN_GRACE), RosterChange::Usable);
    assert_eq!(usable(&roster), ["back"]);
}

#[test]
fn entries_with_the_same_knowledge_have_the_same_fingerprint() {
    let (mut first, mut second) = (Roster::default(), Roster::default());
    first.announce(upstream("one"));
    first.announce(upstream("two"));
    second.announce(upstream("two"));
    assert_ne!(first.fingerprint(), second.fingerprint());
    second.announce(upstream("one"));
    assert_eq!(first.fingerprint(), second.fingerprint());
    second.announce(Upstream { draining: true, ..upstream("one") });
    assert_ne!(first.fingerprint(), second.fingerprint());
}

#[test]
fn the_fingerprint_follows_from_what_is_known_however_it_came_about() {
    let now = Instant::now();
    let known = |instances: &[&str]| {
        let mut roster = Roster::default();
        instances.iter().for_each(|instance| {
            roster.announce(upstream(instance));
        });
        roster.fingerprint()
    };
    let mut roster = Roster::default();
    roster.replace_all(vec![upstream("one"), upstream("two"), upstream("three")], now);
    assert_eq!(roster.fingerprint(), known(&["one", "two", "three"]));
    roster.withdraw("one", now);
    roster.withdraw("one", now);
    assert_eq!(roster.fingerprint(), known(&["two", "three"]));
    roster.announce(Upstream { draining: true, ..upstream("two") });
    roster.announce(upstream("two"));
    assert_eq!(roster.fingerprint(), known(&["two", "three"]));
    roster.lose_store();
    roster.withdraw("two", now);
    roster.withdraw("two", now);
    assert_eq!(roster.fingerprint(), known(&["three"]), "what may come back does not count");
    roster.regain_store(now);
    roster.announce(upstream("two"));
    assert_eq!(roster.fingerprint(), known(&["two", "three"]));
    roster.replace_all(vec![upstream("two")], now);
    roster.settle(now + REJOIN_GRACE);
    assert_eq!(roster.fingerprint(), known(&["two"]));
}
