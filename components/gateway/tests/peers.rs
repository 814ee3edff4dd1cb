//! Who counts as an entry, and which digests are believed.

use std::time::{Duration, Instant};

use gateway::broker::Message;
use gateway::peers::{Digest, Member, Peers};

fn member(id: u64, port: u16) -> Member {
    Member { id, address: ([127, 0, 0, 1], port).into(), zone: "a".to_owned(), cores: 0.2 }
}

#[test]
fn an_older_digest_and_one_of_a_stranger_are_dropped() {
    let now = Instant::now();
    let mut peers = Peers::default();
    assert!(!peers.accept_digest(1, 5, now));
    peers.set_members(&[member(1, 7000)], now);
    assert!(peers.accept_digest(1, 5, now));
    assert!(!peers.accept_digest(1, 5, now));
    assert!(!peers.accept_digest(1, 4, now));
    assert!(peers.accept_digest(1, 6, now));
}

#[test]
fn a_process_that_can_not_reach_the_store_is_a_member_while_it_is_heard() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000)], start);
    peers.set_members(&[], start);
    for second in 1..30 {
        let now = start + Duration::from_secs(second);
        peers.accept_digest(1, second as u32, now);
        peers.expire_departed(now);
        assert!(peers.is_member(1), "after {second} s");
        assert_eq!(peers.addresses(None, now).len(), 1);
    }
    let later = start + Duration::from_secs(40);
    peers.expire_departed(later);
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
    assert_eq!(peers.gateway_count(), 3);
}

#[test]
fn a_digest_survives_its_encoding() {
    let digest = Digest {
        from: u64::MAX,
        sequence: 9,
        leaving: true,
        version: 41,
        fingerprint: 3,
        confirmed_ms_ago: Some(120),
        acknowledged: vec![(1, 2)],
    };
    let message = Message::Digest(digest);
    let bytes = message.encode().expect("encodes");
    assert_eq!(Message::decode(&bytes), Ok(message));
    assert!(Message::decode(&bytes[..3]).is_err());
}

#[test]
fn the_last_confirmation_is_that_of_members_that_are_heard() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001)], now);
    peers.accept_digest(1, 1, now);
    peers.record_confirmation(1, Duration::from_secs(9));
    peers.record_confirmation(1, Duration::from_secs(8));
    peers.record_confirmation(2, Duration::from_secs(20));
    assert_eq!(peers.last_confirmed(now), Some(Duration::from_secs(9)), "the other was not heard");
    assert_eq!(peers.last_confirmed(now + Duration::from_secs(2)), None);
}

#[test]
fn the_share_that_is_heard_counts_this_entry_and_drops_with_silence() {
    let now = Instant::now();
    let mut peers = Peers::default();
    assert_eq!(peers.reachable_share(now), 1.0);
    peers.set_members(&[member(1, 7000), member(2, 7001), member(3, 7002)], now);
    assert_eq!(peers.reachable_share(now), 0.25);
    peers.accept_digest(1, 1, now);
    assert_eq!(peers.reachable_share(now), 0.5);
    assert_eq!(peers.reachable_share(now + Duration::from_millis(900)), 0.5);
    assert_eq!(peers.reachable_share(now + Duration::from_millis(1_100)), 0.25);
}

#[test]
fn what_is_silent_or_leaving_does_nothing_for_all() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001), member(3, 7002)], start);
    let ids = |peers: &Peers, now| {
        let mut ids: Vec<u64> = peers.candidates(now).iter().map(|entry| entry.id).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(ids(&peers, start), [1, 2, 3], "new ones have had no time to be heard");
    let now = start + Duration::from_secs(2);
    peers.accept_digest(1, 1, now);
    peers.accept_digest(2, 1, now);
    assert_eq!(ids(&peers, now), [1, 2]);
    assert!(!peers.set_leaving(2, true));
    assert_eq!(ids(&peers, now), [1]);
    assert!(peers.set_leaving(2, false));
    assert_eq!(ids(&peers, now + Duration::from_secs(2)), [0_u64; 0], "nobody is heard");
}
