//! Time of a released slot and of a new request at a broker whose upstreams are all fully occupied,
//! for several numbers of upstreams and of waiting requests.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use gateway::model::{ServiceId, Topology, Upstream};
use gateway::scheduler::{
    AttemptOutcome, Job, Observation, Priority, RouteId, Scheduler, SlotId, Submission, Wakeup,
};

const SLOTS: u32 = 7;

/// Requests that arrive while one slot is released, at 1,000 releases a second.
const TIME_PER_RELEASE: Duration = Duration::from_millis(1);

/// Prompt tokens, output tokens and latency objective of the routes.
const ROUTES: [(u32, u32, u64); 3] = [(6_670, 384, 600), (688, 290, 400), (1_860, 24, 400)];

fn job(number: usize, now: Instant) -> Job {
    let route = number % ROUTES.len();
    let (prompt_tokens, output_tokens, objective_ms) = ROUTES[route];
    Job {
        service: ServiceId::of("models"),
        route: RouteId(route as u32),
        priority: Priority { tier: 1, route_tier: route as u8 },
        zone: "a".into(),
        prompt_tokens,
        output_tokens,
        tokens_per_event: 16,
        is_stream: true,
        session_part: None,
        is_last_attempt: false,
        arrived: now,
        objective_at: now + Duration::from_millis(objective_ms),
        pause_objective: Some(Duration::from_millis(400)),
        queue_deadline: now + Duration::from_secs(3_600),
        deadline: now + Duration::from_secs(3_600),
        version: None,
        excluded: Vec::new(),
        suspect: Vec::new(),
    }
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        instance: format!("i-{number}").as_str().into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".to_owned(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
    }
}

/// A scheduler with all slots assigned, oldest first, and `waiting` queued requests.
fn occupied_scheduler(
    upstreams: usize,
    waiting: usize,
    now: Instant,
) -> (Scheduler, VecDeque<SlotId>) {
    let mut scheduler = Scheduler::new(Topology::default());
    scheduler.set_upstreams(&(0..upstreams).map(upstream).collect::<Vec<_>>(), now);
    let mut running = VecDeque::new();
    // Small requests occupy the slots, since larger ones would wait rather than stall each other.
    let small_job = Job { prompt_tokens: 1, pause_objective: None, ..job(0, now) };
    while let Submission::Assigned(slot) = scheduler.submit(small_job.clone(), now) {
        running.push_back(slot.id);
    }
    for number in 0..waiting {
        scheduler.submit(job(number, now), now);
    }
    (scheduler, running)
}

fn bench_release_and_submit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("release_and_submit");
    for upstreams in [20, 180, 600] {
        for waiting in [0, 100, 1_000] {
            let start = Instant::now();
            let (mut scheduler, mut running) = occupied_scheduler(upstreams, waiting, start);
            let observation = Observation::outcome_only(AttemptOutcome::Served);
            let mut now = start;
            let mut number = 0;
            let parameter = format!("{upstreams} upstreams, {waiting} waiting");
            group.bench_function(BenchmarkId::from_parameter(parameter), |bencher| {
                bencher.iter(|| {
                    now += TIME_PER_RELEASE;
                    number += 1;
                    if let Some(slot) = running.pop_front() {
                        for wakeup in scheduler.release(slot, 1, observation, now) {
                            if let Wakeup::Assigned(_, slot) = wakeup {
                                running.push_back(slot.id);
                            }
                        }
                    }
                    if let Submission::Assigned(slot) = scheduler.submit(job(number, now), now) {
                        running.push_back(slot.id);
                    }
                    black_box(scheduler.waiting_count())
                });
            });
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_release_and_submit(&mut criterion);
}
