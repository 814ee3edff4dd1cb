//! Gateways elect the same broker, and skip one that does not reply.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use gateway::broker::{ElectionKey, PeerHealth, rank_candidates};
use gateway::model::ServiceId;
use gateway::peers::Candidate;

const GATEWAY: u64 = 1;

fn candidates(cores: &[f64]) -> Vec<Candidate> {
    let candidate = |(id, cores): (usize, &f64)| Candidate { id: id as u64 + 1, cores: *cores };
    cores.iter().enumerate().map(candidate).collect()
}

#[test]
fn gateways_agree_on_the_broker_and_keep_it_when_another_leaves() {
    let all = candidates(&[0.5; 20]);
    let mut reversed = all.clone();
    reversed.reverse();
    for number in 0..50 {
        let service = ElectionKey::Service(ServiceId::of(&format!("s{number}")));
        let ranked = rank_candidates(service, &all);
        assert_eq!(ranked, rank_candidates(service, &reversed));
        let without: Vec<Candidate> =
            all.iter().filter(|candidate| candidate.id != ranked[7]).copied().collect();
        assert_eq!(rank_candidates(service, &without)[0], ranked[0]);
        let left: Vec<Candidate> =
            all.iter().filter(|candidate| candidate.id != ranked[0]).copied().collect();
        assert_eq!(rank_candidates(service, &left)[0], ranked[1], "the standby is elected");
    }
}

#[test]
fn services_are_spread_over_large_hosts_and_small_ones_are_standbys() {
    let mut cores = vec![0.5; 12];
    cores.extend([0.09; 15]);
    let all = candidates(&cores);
    let brokers: BTreeSet<u64> = (0..200)
        .map(|number| {
            rank_candidates(ElectionKey::Service(ServiceId::of(&format!("s{number}"))), &all)[0]
        })
        .collect();
    assert_eq!(brokers, (1..=12).collect(), "each large host brokers a service");
}

#[test]
fn a_broker_that_does_not_reply_is_skipped_with_growing_backoff() {
    let now = Instant::now();
    let mut peer_health = PeerHealth::default();
    assert!(peer_health.is_available(GATEWAY, now));
    peer_health.record_timeout(GATEWAY, now);
    peer_health.record_timeout(GATEWAY, now + Duration::from_millis(20));
    peer_health.record_timeout(GATEWAY, now + Duration::from_millis(40));
    assert!(!peer_health.is_available(GATEWAY, now + Duration::from_millis(900)));
    assert!(
        peer_health.is_available(GATEWAY, now + Duration::from_millis(1_100)),
        "three timeouts in one backoff count once"
    );
    let again = now + Duration::from_millis(1_100);
    peer_health.record_timeout(GATEWAY, again);
    assert!(
        !peer_health.is_available(GATEWAY, again + Duration::from_millis(1_500)),
        "the backoff grows"
    );
    peer_health.record_reply(GATEWAY);
    assert!(peer_health.is_available(GATEWAY, again));
}
