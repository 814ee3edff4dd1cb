//! Changes of the store that one gateway tells another that is behind.

use std::collections::BTreeMap;

use gateway::model::Position;
use gateway::shared_read::SharedChange;
use gateway::store_copy::{MissingChanges, StoreCopy};

type Contents = BTreeMap<String, Vec<u8>>;

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn put(key: &str, position: u64, size_bytes: usize) -> SharedChange {
    let value = Some(vec![position as u8; size_bytes]);
    SharedChange { key: key.to_owned(), value, position: at(position) }
}

fn removal(key: &str, position: u64) -> SharedChange {
    SharedChange { key: key.to_owned(), value: None, position: at(position) }
}

fn apply(contents: &mut Contents, missing: MissingChanges) {
    if missing.is_everything {
        contents.clear();
    }
    for SharedChange { key, value, .. } in missing.read.changes {
        match value {
            Some(value) => contents.insert(key, value),
            None => contents.remove(&key),
        };
    }
}

/// Load pattern: a configuration of a megabyte that is written three times while upstreams come and
/// go.
#[test]
fn a_neighbour_cannot_have_a_configuration_larger_than_a_datagram() {
    let mut copy = StoreCopy::default();
    copy.replace_all(vec![put("configuration", 3, 400_000), put("upstream-1", 5, 100)], at(7));
    copy.apply(&[put("configuration", 8, 700_000), put("upstream-2", 9, 100)]);
    copy.apply(&[removal("upstream-1", 10), put("configuration", 12, 1_000_000)]);
    let missing = copy.changes_after(at(7), at(13)).expect("changes");
    assert!(!missing.is_everything);
    assert_eq!(missing.read.position, at(13));
    let keys: Vec<&str> = missing.read.changes.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["configuration", "upstream-1", "upstream-2"], "the last change of each key");
    let behind = copy.changes_after(at(11), at(13)).expect("changes");
    assert_eq!(behind.read.changes, [put("configuration", 12, 1_000_000)]);
    assert_eq!(copy.changes_after(at(13), at(13)), None, "nothing is missing");
}

/// Whatever a neighbour knows, it must know the same afterwards, also if keys were removed that it
/// has and that nobody remembers any more.
#[test]
fn a_removed_upstream_stays_known_to_a_neighbour_that_was_far_behind() {
    let mut copy = StoreCopy::default();
    let mut contents = Contents::new();
    let mut known_at: Vec<(u64, Contents)> = vec![(0, contents.clone())];
    copy.replace_all(Vec::new(), at(0));
    for position in 1..=4_000 {
        let key = format!("upstream-{}", position * 7 % 2_500);
        let change = if contents.contains_key(&key) {
            removal(&key, position)
        } else {
            put(&key, position, 3)
        };
        match &change.value {
            Some(value) => contents.insert(key, value.clone()),
            None => contents.remove(&key),
        };
        copy.apply(&[change]);
        if position % 400 == 0 {
            known_at.push((position, contents.clone()));
        }
    }
    let mut everything = 0;
    for (after, mut known) in known_at {
        if let Some(missing) = copy.changes_after(at(after), at(4_000)) {
            everything += usize::from(missing.is_everything);
            apply(&mut known, missing);
        }
        assert_eq!(known, contents, "a neighbour that knew the store up to {after}");
    }
    assert!((1..10).contains(&everything), "{everything} neighbours got everything");
}

/// A neighbour that has not heard that the store has come back from an older copy knows changes
/// which never were, up to a higher revision.
#[test]
fn a_neighbour_keeps_what_a_restored_store_has_lost() {
    let in_era = |era: u64, revision: u64| Position { era, revision };
    let mut copy = StoreCopy::default();
    copy.replace_all(vec![put("upstream-1", 5, 100)], in_era(1, 20));
    let missing = copy.changes_after(in_era(0, 900), in_era(1, 21)).expect("changes");
    assert!(missing.is_everything);
    assert_eq!(missing.read.changes.len(), 1);
    assert_eq!(copy.changes_after(in_era(2, 3), in_era(1, 21)), None, "the neighbour is ahead");
}
