//! Who counts as an entry, and which digests are believed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::allowance::Granted;
use gateway::peers::{Digest, Member, Peers};
use gateway::scheduler::{Load, Rank, Waiting};

fn member(id: u64, port: u16) -> Member {
    Member { id, address: ([127, 0, 0, 1], port).into(), zone: "a".to_owned() }
}

#[test]
fn an_older_digest_and_one_of_a_stranger_are_dropped() {
    let now = Instant::now();
    let mut peers = Peers::default();
    assert!(!peers.accept(1, 5, now));
    peers.set_members(&[member(1, 7000)], now);
    assert!(peers.accept(1, 5, now));
    assert!(!peers.accept(1, 5, now));
    assert!(!peers.accept(1, 4, now));
    assert!(peers.accept(1, 6, now));
}

#[test]
fn a_process_that_can_not_reach_the_store_is_a_member_while_it_is_heard() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000)], start);
    peers.set_members(&[], start);
    for second in 1..30 {
        let now = start + Duration::from_secs(second);
        peers.accept(1, second as u32, now);
        peers.settle(now);
        assert!(peers.is_member(1), "after {second} s");
        assert_eq!(peers.addresses(None, now).len(), 1);
    }
    let later = start + Duration::from_secs(40);
    peers.settle(later);
    assert!(!peers.is_member(1));
}

#[test]
fn a_process_takes_the_place_of_the_one_at_its_address() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001)], now);
    peers.set_members(&[member(3, 7000), member(2, 7001)], now);
    assert!(!peers.is_member(1));
    assert!(peers.is_member(2) && peers.is_member(3));
    assert_eq!(peers.entries(), 3);
}

#[test]
fn a_digest_survives_its_encoding() {
    let digest = Digest {
        from: u64::MAX,
        sequence: 9,
        version: 41,
        fingerprint: 3,
        confirmed_ms_ago: Some(120),
        echoes: vec![(1, 2)],
        loads: HashMap::from([(7, Load { running: 3, backlog_tokens: 9_000 })])
            .into_iter()
            .collect(),
        replaced: vec![5],
        waiting: vec![Waiting { service: 1, rank: Rank { tier: 1, route_tier: 2 }, count: 4 }],
        granted: vec![Granted { customer: 1, total: 10.5, level: -3.0 }],
    };
    let bytes = digest.encode().expect("encodes");
    assert_eq!(Digest::decode(&bytes), Ok(digest));
    assert!(Digest::decode(&bytes[..3]).is_err());
}
