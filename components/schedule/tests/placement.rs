//! Placement of requests: stale reports, the thundering herd, prefix affinity and stragglers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use identity::{Tier, UpstreamId};
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, Placement, PlacementRequest, Placer};
use schedule::prefix::PromptFingerprint;
use wire::LoadDigest;

const SIZE: RequestSize = RequestSize { prompt_tokens: 4_096, max_tokens: 200 };

fn names(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|number| UpstreamId::new(format!("u{number}"))).collect()
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

fn request(prompt: &PromptFingerprint, now: Instant, random: u64) -> PlacementRequest<'_> {
    PlacementRequest { size: SIZE, tier: Tier(1), prompt, now, random }
}

fn place<'a>(
    placer: &mut Placer,
    fleet: &[Candidate<'a>],
    request: &PlacementRequest<'_>,
) -> &'a UpstreamId {
    let upstream = match placer.place_request(fleet, request) {
        Placement::Upstream { upstream, .. } => Some(upstream),
        Placement::NoUpstream => None,
    };
    upstream.expect("there are candidates")
}

/// Guards against an entry that places one request after the other on the same upstream because the
/// upstream's report does not include them yet.
#[test]
fn own_placements_count_as_load_until_the_next_report() {
    let names = names(4);
    let now = Instant::now();
    let fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    let mut placer = Placer::default();
    let no_prompt = PromptFingerprint::default();
    let later = now + Duration::from_millis(1);
    let chosen: BTreeSet<_> =
        (0..4).map(|_| place(&mut placer, &fleet, &request(&no_prompt, later, 0))).collect();
    assert_eq!(chosen.len(), 4);
}

/// Guards against a thundering herd: entries that have the same reports and all choose the same
/// upstream.
#[test]
fn entries_with_the_same_reports_choose_different_upstreams() {
    let names = names(8);
    let now = Instant::now();
    let fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    let no_prompt = PromptFingerprint::default();
    let chosen: BTreeSet<_> = (0..8)
        .map(|random| place(&mut Placer::default(), &fleet, &request(&no_prompt, now, random)))
        .collect();
    assert_eq!(chosen.len(), 8);
}

/// Guards against a session that loses its cached prefix by moving between upstreams, and against
/// one that stays on an upstream where the queue takes longer than another prefill would.
#[test]
fn session_stays_with_its_cached_prefix_until_the_queue_there_takes_longer() {
    let names = names(8);
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    let prompt = PromptFingerprint::from_chained_hashes((1..=16).collect());
    let place_again = |fleet: &[Candidate<'_>], random| {
        let mut placer = Placer::default();
        place(&mut placer, fleet, &request(&prompt, now, 0));
        place(&mut placer, fleet, &request(&prompt, later, random)).clone()
    };
    // The preferred upstream of the session, and the one where it was placed first.
    let cache_holders: BTreeSet<_> = (0..16).map(|random| place_again(&fleet, random)).collect();
    assert!((1..=2).contains(&cache_holders.len()), "{cache_holders:?}");
    for candidate in fleet.iter_mut().filter(|candidate| cache_holders.contains(candidate.upstream))
    {
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
    let other_upstream = place_again(&fleet, 0);
    assert!(!cache_holders.contains(&other_upstream));
}

/// Guards against placements on a straggler because it runs fewer requests. The first upstream
/// generates 8 tokens per second for a single request; the second one generates 25 for each of
/// three, which its load explains.
#[test]
fn straggler_is_avoided_although_it_runs_fewer_requests() {
    let names = names(2);
    let now = Instant::now();
    let mut fleet: Vec<_> = names.iter().map(|name| candidate(name, now)).collect();
    fleet[0].load = LoadDigest { running: 1, decode_tokens_per_s: 8, ..LoadDigest::default() };
    fleet[1].load = LoadDigest { running: 3, decode_tokens_per_s: 25, ..LoadDigest::default() };
    for random in 0..4 {
        let no_prompt = PromptFingerprint::default();
        let upstream = place(&mut Placer::default(), &fleet, &request(&no_prompt, now, random));
        assert_eq!(upstream, &names[1]);
    }
}
