//! Membership of gateways, and acceptance of their digests.

use std::time::{Duration, Instant};

use gateway::broker::{Datagram, Message};
use gateway::crash_quarantine::{BrokenAttempt, QuarantineNews};
use gateway::model::{Position, RequestHash, UpstreamId};
use gateway::peers::{Digest, DigestExtension, Member, Peers, Recipients};
use gateway::upstream_limits::LimitNews;

fn member(id: u64, port: u16) -> Member {
    Member { id, address: ([127, 0, 0, 1], port).into(), zone: "a".to_owned(), cores: 0.2 }
}

#[test]
fn digests_that_are_old_or_from_non_members_are_dropped() {
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
fn a_process_cut_off_from_the_store_stays_a_member_while_it_is_reachable() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000)], start);
    peers.set_members(&[], start);
    for second in 1..30 {
        let now = start + Duration::from_secs(second);
        peers.accept_digest(1, second as u32, now);
        peers.expire_departed(now);
        assert!(peers.is_member(1), "after {second} s");
        assert_eq!(peers.addresses(Recipients::Zone("a"), now).len(), 1);
    }
    let later = start + Duration::from_secs(40);
    peers.expire_departed(later);
    assert!(!peers.is_member(1));
}

#[test]
fn a_process_replaces_the_previous_one_at_its_address() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001)], now);
    peers.set_members(&[member(3, 7000), member(2, 7001)], now);
    assert!(!peers.is_member(1));
    assert!(peers.is_member(2) && peers.is_member(3));
    assert_eq!(peers.gateway_count(), 3);
}

fn digest() -> Digest {
    Digest {
        from: u64::MAX,
        sequence: 9,
        leaving: true,
        version: 41,
        fingerprint: 3,
        position: Some(Position { era: 1, revision: 70 }),
        confirmed_ms_ago: Some(120),
        receiving: true,
        part_news: QuarantineNews::default(),
        leaving_upstreams: vec![UpstreamId(8)],
        acknowledged: vec![(1, 2)],
        extension: DigestExtension {
            limits: vec![LimitNews { upstream: UpstreamId(9), per_second: Some(2.2), ms_ago: 80 }],
            request_news: QuarantineNews {
                broken: vec![BrokenAttempt {
                    cause: RequestHash(u128::MAX),
                    upstream: UpstreamId(9),
                    ms_ago: 7,
                }],
                ..QuarantineNews::default()
            },
            keys_lag_ms: 1_200,
            gateway_count: Some(300),
        },
    }
}

#[test]
fn a_digest_round_trips_through_its_encoding() {
    let datagram = Datagram::to_all(Message::Digest(digest()));
    let bytes = datagram.encode().expect("encodes");
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
    assert!(Datagram::decode(&bytes[..3]).is_err());
}

/// Gateways of two versions run beside each other while they are replaced one after the other.
#[test]
fn gateways_do_not_understand_digests_of_the_version_before_or_after() {
    let earlier = Digest { extension: DigestExtension::default(), ..digest() };
    let datagram = Datagram::to_all(Message::Digest(digest()));
    let bytes = datagram.encode().expect("encodes");
    // The version before decodes what follows the format byte and does not look at the rest.
    assert_eq!(postcard::from_bytes(&bytes[1..]), Ok(Message::Digest(earlier.clone())));
    let extension = postcard::to_stdvec(&digest().extension).expect("encodes");
    let count_bytes = 2;
    let of_version_before = &bytes[..bytes.len() - count_bytes];
    let uncounted = DigestExtension { gateway_count: None, ..digest().extension };
    let before = Digest { extension: uncounted, ..digest() };
    assert_eq!(Datagram::decode(of_version_before), Ok(Datagram::to_all(Message::Digest(before))));
    let without_extension = &bytes[..bytes.len() - count_bytes - extension.len()];
    assert_eq!(Datagram::decode(without_extension), Ok(Datagram::to_all(Message::Digest(earlier))));
    let mut of_version_after = bytes.clone();
    of_version_after.extend([1, 2, 3]);
    assert_eq!(Datagram::decode(&of_version_after), Ok(datagram));
    assert!(Datagram::decode(&bytes[..bytes.len() - 1]).is_err(), "half of a field");
    assert!(Datagram::decode(&of_version_before[..of_version_before.len() - 1]).is_err());
}

#[test]
fn recipients_are_those_of_a_zone_or_of_all_others() {
    let now = Instant::now();
    let mut peers = Peers::default();
    let elsewhere = Member { zone: "b".to_owned(), ..member(3, 7002) };
    peers.set_members(&[member(1, 7000), member(2, 7001), elsewhere], now);
    let count = |recipients| peers.addresses(recipients, now).len();
    assert_eq!((count(Recipients::Zone("a")), count(Recipients::OtherZones("a"))), (2, 1));
    assert_eq!((count(Recipients::Zone("b")), count(Recipients::OtherZones("b"))), (1, 2));
}

#[test]
fn last_confirmation_counts_reachable_members_only() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001)], now);
    peers.accept_digest(1, 1, now);
    peers.record_confirmation(1, Duration::from_secs(9));
    peers.record_confirmation(1, Duration::from_secs(8));
    peers.record_confirmation(2, Duration::from_secs(20));
    assert_eq!(
        peers.last_confirmed(now),
        Some(Duration::from_secs(9)),
        "the other member has sent nothing"
    );
    assert_eq!(peers.last_confirmed(now + Duration::from_secs(2)), None);
}

#[test]
fn reachable_share_counts_this_gateway_and_drops_with_silence() {
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
fn silent_and_leaving_members_are_no_candidates() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001), member(3, 7002)], start);
    let ids = |peers: &Peers, now| {
        let mut ids: Vec<u64> =
            peers.candidates(now).iter().map(|candidate| candidate.id).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(ids(&peers, start), [1, 2, 3], "new members have had no time to send anything");
    let now = start + Duration::from_secs(2);
    peers.accept_digest(1, 1, now);
    peers.accept_digest(2, 1, now);
    assert_eq!(ids(&peers, now), [1, 2]);
    assert!(!peers.set_leaving(2, true));
    assert_eq!(ids(&peers, now), [1]);
    assert!(peers.set_leaving(2, false));
    assert_eq!(ids(&peers, now + Duration::from_secs(2)), [0_u64; 0], "all members are silent");
}

/// Guards against an allowance that is granted twice: a gateway is cut off from the store alone and
/// serves on, another one starts and does not find it in the member list.
#[test]
fn a_gateway_that_starts_does_not_count_one_that_is_cut_off_from_the_store() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.set_members(&[member(1, 7000), member(2, 7001)], start);
    for id in [1, 2] {
        assert!(peers.accept_digest(id, 1, start));
    }
    assert_eq!(peers.gateway_count(), 3);
    assert_eq!(peers.reachable_share(start), 1.0);
    // The others have known it since before its registration lapsed.
    peers.record_count(1, 4);
    peers.record_count(2, 3);
    assert_eq!((peers.gateway_count(), peers.member_count()), (4, 3));
    assert_eq!(peers.reachable_share(start), 0.75);
    peers.expire_departed(start);
    assert_eq!(peers.gateway_count(), 4);
    // They forget it, or fall silent.
    peers.record_count(1, 3);
    peers.expire_departed(start);
    assert_eq!(peers.gateway_count(), 3);
    peers.record_count(1, 4);
    peers.expire_departed(start + Duration::from_secs(10));
    assert_eq!(peers.gateway_count(), 3);
}

/// Guards against a gateway that believes its old copy of the store while others know a later state.
#[test]
fn silent_or_differing_members_count_as_agreeing() {
    let start = Instant::now();
    let mut peers = Peers::default();
    assert!(peers.agree_since(7, start, start), "it is alone");
    peers.set_members(&[member(1, 7000), member(2, 7001)], start);
    assert!(!peers.agree_since(7, start, start), "nobody has told anything");
    let told_at = start + Duration::from_millis(200);
    peers.record_state(1, 7, told_at);
    assert!(!peers.agree_since(7, start, told_at), "one is silent");
    peers.record_state(2, 8, told_at);
    assert!(!peers.agree_since(7, start, told_at), "one differs");
    peers.record_state(2, 7, told_at);
    assert!(peers.agree_since(7, start, told_at));
    assert!(!peers.agree_since(7, told_at + Duration::from_millis(1), told_at), "told before");
}
