//! What a placement costs over fleets of several sizes.
// The macro of the bench library makes a public function without a comment.
#![allow(missing_docs)]

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use identity::{Tier, UpstreamId};
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, PlacementRequest, Placer};
use schedule::prefix::Fingerprint;
use wire::LoadDigest;

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for count in [20_u32, 100, 600] {
        let names: Vec<_> = (0..count).map(|n| UpstreamId::new(format!("u{n}"))).collect();
        let now = Instant::now();
        let candidates: Vec<_> =
            names.iter().zip(0..).map(|(name, n)| candidate(name, n, now)).collect();
        let prompt = Fingerprint::from_chain((0..16).collect());
        let mut placer = Placer::default();
        let mut random = 0;
        group.bench_with_input(
            BenchmarkId::from_parameter(count),
            &candidates,
            |bencher, fleet| {
                bencher.iter(|| {
                    random += 1;
                    let size = RequestSize { prompt_tokens: 4_000, max_tokens: 300 };
                    let at = now + Duration::from_millis(random * 83);
                    let request =
                        PlacementRequest { size, tier: Tier(2), prompt: &prompt, now: at, random };
                    black_box(placer.place_request(fleet, &request))
                });
            },
        );
    }
    group.finish();
}

fn candidate(name: &UpstreamId, n: u32, now: Instant) -> Candidate<'_> {
    Candidate {
        upstream: name,
        speed: Speed { prefill_tokens_per_s: 2_000 + n % 5 * 1_000, decode_tokens_per_s: 40 },
        slots: 16,
        load: LoadDigest { queued: n % 3, running: n % 16, limit: 16, ..LoadDigest::default() },
        reported_at: Some(now),
        own_outstanding: 0,
        round_trip: Duration::from_millis(1),
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    place(&mut criterion);
    criterion.final_summary();
}
