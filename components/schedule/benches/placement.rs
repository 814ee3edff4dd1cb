//! Time of one placement for fleets of several sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use identity::{Tier, UpstreamId};
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, PlacementRequest, Placer};
use schedule::prefix::PromptFingerprint;
use wire::LoadDigest;

fn bench_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for count in [20_u32, 100, 600] {
        let names: Vec<_> =
            (0..count).map(|number| UpstreamId::new(format!("u{number}"))).collect();
        let now = Instant::now();
        let candidates: Vec<_> =
            names.iter().zip(0..).map(|(name, number)| candidate(name, number, now)).collect();
        let prompt = PromptFingerprint::from_chained_hashes((0..16).collect());
        let mut placer = Placer::default();
        let mut iteration = 0;
        group.bench_with_input(
            BenchmarkId::from_parameter(count),
            &candidates,
            |bencher, fleet| {
                bencher.iter(|| {
                    iteration += 1;
                    let size = RequestSize { prompt_tokens: 4_000, max_tokens: 300 };
                    let decided_at = now + Duration::from_millis(iteration * 83);
                    let request = PlacementRequest {
                        size,
                        tier: Tier(2),
                        prompt: &prompt,
                        now: decided_at,
                        random: iteration,
                    };
                    black_box(placer.place_request(fleet, &request))
                });
            },
        );
    }
    group.finish();
}

fn candidate(name: &UpstreamId, number: u32, now: Instant) -> Candidate<'_> {
    Candidate {
        upstream: name,
        speed: Speed { prefill_tokens_per_s: 2_000 + number % 5 * 1_000, decode_tokens_per_s: 40 },
        slots: 16,
        load: LoadDigest {
            queued: number % 3,
            running: number % 16,
            limit: 16,
            ..LoadDigest::default()
        },
        reported_at: Some(now),
        own_outstanding: 0,
        round_trip: Duration::from_millis(1),
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_placement(&mut criterion);
    criterion.final_summary();
}
