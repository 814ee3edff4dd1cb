//! Placement: stale reports, the herd and the home of a prompt.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use identity::{Tier, UpstreamId};
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, Placement, PlacementRequest, Placer};
use schedule::prefix::Fingerprint;
use wire::LoadDigest;

const SIZE: RequestSize = RequestSize { prompt_tokens: 4_096, max_tokens: 200 };

fn names(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|index| UpstreamId::new(format!("u{index}"))).collect()
}

fn candidate(name: &UpstreamId, reported_at: Instant) -> Candidate<'_> {
    Candidate {
        upstream: name,
        speed: Speed { prefill_tokens_per_s: 4_000, decode_tokens_per_s: 40 },
        slots: 4,
        load: LoadDigest::default(),
        reported_at: Some(reported_at),
        own_outstanding: 0,
        round_trip: Duration::from_millis(1),
    }
}

fn request(prompt: &Fingerprint, now: Instant, random: u64) -> PlacementRequest<'_> {
    PlacementRequest { size: SIZE, tier: Tier(1), prompt, now, random }
}

fn chosen<'a>(
    placer: &mut Placer,
    fleet: &[Candidate<'a>],
    request: &PlacementRequest<'_>,
) -> &'a UpstreamId {
    let placed = match placer.place_request(fleet, request) {
        Placement::Upstream { upstream, .. } => Some(upstream),
        Placement::NoUpstream => None,
    };
    placed.expect("some upstream fits")
}

#[test]
fn own_placements_count_until_the_next_report() {
    let names = names(4);
    let now = Instant::now();
    let fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    let mut placer = Placer::default();
    let none = Fingerprint::default();
    let later = now + Duration::from_millis(1);
    let used: BTreeSet<_> =
        (0..4).map(|_| chosen(&mut placer, &fleet, &request(&none, later, 0))).collect();
    assert_eq!(used.len(), 4);
}

#[test]
fn entries_that_read_the_same_report_do_not_all_choose_the_same() {
    let names = names(8);
    let now = Instant::now();
    let fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    let none = Fingerprint::default();
    let used: BTreeSet<_> = (0..8)
        .map(|random| chosen(&mut Placer::default(), &fleet, &request(&none, now, random)))
        .collect();
    assert_eq!(used.len(), 8);
}

#[test]
fn a_session_returns_to_what_may_hold_it_until_the_queue_there_costs_more() {
    let names = names(8);
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    let prompt = Fingerprint::from_chain((1..=16).collect());
    let return_of = |fleet: &[Candidate<'_>], random| {
        let mut placer = Placer::default();
        chosen(&mut placer, fleet, &request(&prompt, now, 0));
        chosen(&mut placer, fleet, &request(&prompt, later, random)).clone()
    };
    // Its home, and where it was placed first.
    let holders: BTreeSet<_> = (0..16).map(|random| return_of(&fleet, random)).collect();
    assert!((1..=2).contains(&holders.len()), "{holders:?}");
    for candidate in fleet.iter_mut().filter(|candidate| holders.contains(candidate.upstream)) {
        candidate.load = LoadDigest {
            queued: 40,
            running: 4,
            limit: 4,
            queued_prefill_tokens: 200_000,
            remaining_decode_tokens: 8_000,
            ..LoadDigest::default()
        };
        candidate.reported_at = Some(later);
    }
    let spilled = return_of(&fleet, 0);
    assert!(!holders.contains(&spilled));
}

#[test]
fn an_upstream_much_slower_than_its_batch_explains_is_passed_over() {
    let names = names(2);
    let now = Instant::now();
    let mut fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    fleet[0].load = LoadDigest { running: 1, decode_tokens_per_s: 8, ..LoadDigest::default() };
    fleet[1].load = LoadDigest { running: 3, decode_tokens_per_s: 25, ..LoadDigest::default() };
    for random in 0..4 {
        let none = Fingerprint::default();
        let place = chosen(&mut Placer::default(), &fleet, &request(&none, now, random));
        assert_eq!(place, &names[1]);
    }
}
