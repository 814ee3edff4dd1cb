//! Tests of the scheduler: which upstream a request is assigned to, in which order, and when it is
//! rejected.

use std::time::{Duration, Instant};

use gateway::model::{ServiceId, Topology, Upstream};
use gateway::scheduler::{
    AttemptOutcome, Job, Observation, Priority, RejectionReason, RouteId, Scheduler, Slot, SlotId,
    Submission, WaiterId, Wakeup,
};

const SLOTS: u32 = 4;
const GATEWAY: u64 = 1;
const OTHER_GATEWAY: u64 = 2;
const TOP: Priority = Priority { tier: 1, route_tier: 0 };
const MIDDLE: Priority = Priority { tier: 1, route_tier: 1 };
const LOW: Priority = Priority { tier: 1, route_tier: 2 };
const SERVED: Observation =
    Observation { outcome: AttemptOutcome::Served, time_to_first_event: None, output: None };

fn upstream(instance: &str, zone: &str) -> Upstream {
    Upstream {
        instance: instance.into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: zone.to_owned(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
    }
}

fn scheduler(upstreams: &[Upstream], now: Instant) -> Scheduler {
    let regions = [("a", "r"), ("b", "r"), ("c", "s")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let topology = Topology { own_zone: "a".to_owned(), regions: regions.into_iter().collect() };
    let mut scheduler = Scheduler::new(topology);
    scheduler.set_upstreams(upstreams, now);
    scheduler
}

fn job(priority: Priority, output_tokens: u32, now: Instant) -> Job {
    Job {
        service: ServiceId::of("models"),
        route: RouteId(priority.route_tier.into()),
        priority,
        zone: "a".into(),
        prompt_tokens: 600,
        output_tokens,
        tokens_per_event: 1,
        is_stream: true,
        session_part: None,
        is_last_attempt: false,
        arrived: now,
        objective_at: now + Duration::from_millis(600),
        pause_objective: None,
        queue_deadline: now + Duration::from_millis(1_800),
        deadline: now + Duration::from_secs(12),
        version: None,
        excluded: vec![],
        suspect: vec![],
    }
}

fn try_assign(scheduler: &mut Scheduler, job: Job, now: Instant) -> Option<Slot> {
    match scheduler.submit(job, now) {
        Submission::Assigned(slot) => Some(slot),
        Submission::Queued(_) | Submission::Rejected(_) => None,
    }
}

fn occupy_slots(scheduler: &mut Scheduler, slots: u32, now: Instant) -> Vec<SlotId> {
    let assign_one = |_| try_assign(scheduler, job(MIDDLE, 100, now), now).expect("a free slot").id;
    (0..slots).map(assign_one).collect()
}

fn enqueue(scheduler: &mut Scheduler, job: Job, now: Instant) -> WaiterId {
    let waiter = match scheduler.submit(job, now) {
        Submission::Queued(waiter) => Some(waiter),
        Submission::Assigned(_) | Submission::Rejected(_) => None,
    };
    waiter.expect("the request waits")
}

fn assigned(wakeups: &[Wakeup]) -> Vec<WaiterId> {
    let assigned_waiter = |wakeup: &Wakeup| match wakeup {
        Wakeup::Assigned(waiter, _) => Some(*waiter),
        Wakeup::Rejected(..) => None,
    };
    wakeups.iter().filter_map(assigned_waiter).collect()
}

#[test]
fn upstreams_are_not_sent_more_requests_than_they_have_slots() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a"), upstream("two", "b")], now);
    occupy_slots(&mut scheduler, 2 * SLOTS, now);
    assert!(try_assign(&mut scheduler, job(TOP, 10, now), now).is_none());
}

#[test]
fn slots_assigned_by_another_scheduler_are_occupied() {
    let now = Instant::now();
    let one = upstream("one", "a");
    let mut scheduler = scheduler(std::slice::from_ref(&one), now);
    for _ in 1..SLOTS {
        scheduler.adopt_slot(one.id()).expect("a known upstream");
    }
    assert!(try_assign(&mut scheduler, job(TOP, 10, now), now).is_some());
    assert!(try_assign(&mut scheduler, job(TOP, 10, now), now).is_none());
}

#[test]
fn important_and_cheap_requests_are_served_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let mut running = occupy_slots(&mut scheduler, SLOTS, now);
    let long = enqueue(&mut scheduler, job(MIDDLE, 900, now), now);
    let low = enqueue(&mut scheduler, job(LOW, 110, now), now);
    let cheap = enqueue(&mut scheduler, job(MIDDLE, 100, now), now);
    let top = enqueue(&mut scheduler, job(TOP, 100, now), now);
    let mut order = Vec::new();
    for _ in 0..SLOTS {
        let released = running.pop().expect("one is running");
        order.extend(assigned(&scheduler.release(released, GATEWAY, SERVED, now)));
    }
    assert_eq!(order, [top, cheap, long, low]);
}

#[test]
fn late_requests_are_served_last_and_last_attempts_before_other_late_ones() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let mut running = occupy_slots(&mut scheduler, SLOTS, now);
    let late = Job { objective_at: now, ..job(MIDDLE, 100, now) };
    let last_attempt = Job { is_last_attempt: true, ..late.clone() };
    let late = enqueue(&mut scheduler, late, now);
    let last_attempt = enqueue(&mut scheduler, last_attempt, now);
    let in_time = enqueue(&mut scheduler, job(MIDDLE, 100, now), now);
    let mut order = Vec::new();
    for _ in 0..3 {
        let released = running.pop().expect("one is running");
        order.extend(assigned(&scheduler.release(released, GATEWAY, SERVED, now)));
    }
    assert_eq!(order, [in_time, last_attempt, late]);
}

#[test]
fn waiting_requests_are_rejected_with_a_retry_time_at_the_queue_deadline() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    occupy_slots(&mut scheduler, SLOTS, now);
    let waiter = enqueue(&mut scheduler, job(TOP, 10, now), now);
    let later = now + Duration::from_millis(1_800);
    let wakeups = scheduler.wake_waiting(later);
    let [Wakeup::Rejected(rejected, rejection)] = &wakeups[..] else { panic!("{wakeups:?}") };
    assert_eq!(*rejected, waiter);
    assert_eq!(rejection.reason, RejectionReason::Full);
    assert!(!rejection.retry_after.is_zero());
}

#[test]
fn requests_that_would_not_get_a_slot_in_time_are_rejected_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    occupy_slots(&mut scheduler, SLOTS, now);
    let rejected = (0..200)
        .filter(|_| matches!(scheduler.submit(job(MIDDLE, 100, now), now), Submission::Rejected(_)))
        .count();
    assert!(rejected > 100, "{rejected} of 200 cannot be placed within 1.8 s");
}

#[test]
fn requests_for_an_unknown_service_are_rejected_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let unknown = Job { service: ServiceId::of("other"), ..job(TOP, 10, now) };
    let submission = scheduler.submit(unknown, now);
    let Submission::Rejected(rejection) = submission else { panic!("{submission:?}") };
    assert_eq!(rejection.reason, RejectionReason::NoUpstream);
}

#[test]
fn draining_excluded_and_replaced_upstreams_are_not_assigned_requests() {
    let now = Instant::now();
    let draining = Upstream { draining: true, ..upstream("draining", "a") };
    let excluded = upstream("excluded", "a");
    let upstreams = [draining, upstream("replaced", "a"), excluded.clone()];
    let mut scheduler = scheduler(&upstreams, now);
    let without = Job { excluded: vec![excluded.id()], ..job(TOP, 10, now) };
    let first = try_assign(&mut scheduler, without.clone(), now).expect("a free slot");
    assert_eq!(&*first.instance, "replaced");
    scheduler.release(first.id, GATEWAY, Observation::outcome_only(AttemptOutcome::Replaced), now);
    assert!(try_assign(&mut scheduler, without, now).is_none());
}

#[test]
fn upstreams_that_the_gateway_suspects_are_the_last_choice() {
    let now = Instant::now();
    let near = upstream("near", "a");
    let mut scheduler = scheduler(&[near.clone(), upstream("far", "c")], now);
    let first = try_assign(&mut scheduler, job(TOP, 10, now), now).expect("a free slot");
    assert_eq!(&*first.instance, "near");
    let suspect = Job { suspect: vec![near.id()], ..job(TOP, 10, now) };
    let second = try_assign(&mut scheduler, suspect, now).expect("a free slot");
    assert_eq!(&*second.instance, "far");
}

#[test]
fn upstreams_that_two_gateways_cannot_reach_are_paused() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let unreachable = Observation::outcome_only(AttemptOutcome::Unreachable);
    for gateway in [GATEWAY, GATEWAY] {
        let slot = try_assign(&mut scheduler, job(TOP, 10, now), now)
            .expect("one gateway's failures do not pause the upstream");
        scheduler.release(slot.id, gateway, unreachable, now);
    }
    let slot = try_assign(&mut scheduler, job(TOP, 10, now), now).expect("a free slot");
    scheduler.release(slot.id, OTHER_GATEWAY, unreachable, now);
    assert!(try_assign(&mut scheduler, job(TOP, 10, now), now).is_none());
    let later = now + Duration::from_millis(600);
    assert!(
        try_assign(&mut scheduler, job(TOP, 10, later), later).is_some(),
        "the upstream is used again after the pause"
    );
}

/// Records one response of an upstream, from which the scheduler estimates its speed.
fn record_speed(scheduler: &mut Scheduler, instance: &str, ms_per_token: u64, now: Instant) {
    let mut others = Vec::new();
    loop {
        let slot = try_assign(scheduler, job(TOP, 10, now), now).expect("a free slot");
        if &*slot.instance == instance {
            let output = Duration::from_millis(ms_per_token * 4_000);
            let time_to_first_event = Some(Duration::from_millis(ms_per_token * 10));
            let observation = Observation {
                outcome: AttemptOutcome::Served,
                time_to_first_event,
                output: Some((output, 4_000)),
            };
            scheduler.release(slot.id, GATEWAY, observation, now);
            break;
        }
        others.push(slot.id);
    }
    for id in others {
        scheduler.release(id, GATEWAY, Observation::outcome_only(AttemptOutcome::Abandoned), now);
    }
}

#[test]
fn long_responses_wait_for_an_upstream_that_completes_them_in_time() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("slow", "a"), upstream("fast", "b")], now);
    record_speed(&mut scheduler, "slow", 13, now);
    record_speed(&mut scheduler, "fast", 2, now);
    let mut on_fast = Vec::new();
    for _ in 0..SLOTS {
        let slot = try_assign(&mut scheduler, job(TOP, 2_000, now), now).expect("a free slot");
        assert_eq!(
            &*slot.instance, "fast",
            "the slow upstream needs 26 s for 2,000 tokens, more than the 12 s to the deadline"
        );
        on_fast.push(slot.id);
    }
    let long = enqueue(&mut scheduler, job(TOP, 2_000, now), now);
    let short = try_assign(&mut scheduler, job(LOW, 20, now), now);
    assert!(short.is_none_or(|slot| &*slot.instance == "slow"));
    let released = on_fast.pop().expect("one is running");
    let wakeups = scheduler.release(released, GATEWAY, SERVED, now);
    assert!(assigned(&wakeups).contains(&long), "{wakeups:?}");
}

/// Simulation of requests at twice the load that the upstreams can carry.
struct OverloadSimulation {
    kinds: RequestKinds,
    scheduler: Scheduler,
    now: Instant,
    running: Vec<(Instant, SlotId)>,
    waiting: Vec<(WaiterId, usize)>,
    /// Submitted and served requests, by priority and size.
    counts: [[u32; 2]; 6],
}

/// Priorities and output tokens of normal and of large requests.
type RequestKinds = [(Priority, u32); 6];

const CHEAP_TOP: RequestKinds =
    [(TOP, 200), (TOP, 2_000), (MIDDLE, 150), (MIDDLE, 1_500), (LOW, 10), (LOW, 100)];

/// Requests of the top priority cost so much that all others have a higher value density.
const COSTLY_TOP: RequestKinds =
    [(TOP, 1_500), (TOP, 2_000), (MIDDLE, 40), (MIDDLE, 400), (LOW, 2), (LOW, 20)];

/// One in ten requests of a priority is large.
const LARGE_REQUEST_INTERVAL: usize = 10;

impl OverloadSimulation {
    fn ends_at(&self, kind: usize) -> Instant {
        self.now + Duration::from_millis(20 + 4 * u64::from(self.kinds[kind].1))
    }

    fn apply_wakeups(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let (waiter, slot) = match wakeup {
                Wakeup::Assigned(waiter, slot) => (waiter, Some(slot)),
                Wakeup::Rejected(waiter, _) => (waiter, None),
            };
            let position = self.waiting.iter().position(|(id, _)| *id == waiter);
            let (_, kind) = self.waiting.swap_remove(position.expect("the request waits"));
            if let Some(slot) = slot {
                self.counts[kind][1] += 1;
                self.running.push((self.ends_at(kind), slot.id));
            }
        }
    }

    fn submit(&mut self, kind: usize) {
        self.counts[kind][0] += 1;
        let (priority, output_tokens) = self.kinds[kind];
        let job = Job { is_last_attempt: true, ..job(priority, output_tokens, self.now) };
        match self.scheduler.submit(job, self.now) {
            Submission::Assigned(slot) => {
                self.counts[kind][1] += 1;
                self.running.push((self.ends_at(kind), slot.id));
            }
            Submission::Queued(waiter) => self.waiting.push((waiter, kind)),
            Submission::Rejected(_) => {}
        }
    }

    fn complete_due(&mut self) {
        let now = self.now;
        let due: Vec<SlotId> =
            self.running.iter().filter(|(at, _)| *at <= now).map(|(_, id)| *id).collect();
        self.running.retain(|(at, _)| *at > now);
        for id in due {
            let wakeups = self.scheduler.release(id, GATEWAY, SERVED, now);
            self.apply_wakeups(wakeups);
        }
        let wakeups = self.scheduler.wake_waiting(now);
        self.apply_wakeups(wakeups);
    }

    /// Ratio of served to submitted requests, of the kinds with the given indices.
    fn served_ratio(&self, kinds: &[usize]) -> f64 {
        let sum = |part: usize| kinds.iter().map(|kind| self.counts[*kind][part]).sum::<u32>();
        f64::from(sum(1)) / f64::from(sum(0))
    }
}

fn simulate_overload(kinds: RequestKinds) -> OverloadSimulation {
    let start = Instant::now();
    let upstreams: Vec<Upstream> =
        (0..10).map(|number| upstream(&format!("u{number}"), "a")).collect();
    let mut overload = OverloadSimulation {
        kinds,
        scheduler: scheduler(&upstreams, start),
        now: start,
        running: Vec::new(),
        waiting: Vec::new(),
        counts: [[0; 2]; 6],
    };
    // With `CHEAP_TOP`, 38 top, 38 middle and 67 low requests per second would occupy about 100
    // slots; there are 40.
    for step in 0..30_000_u64 {
        overload.now = start + Duration::from_millis(step);
        for (priority, period_ms) in [26, 26, 15].into_iter().enumerate() {
            if step % period_ms == 0 {
                let large = ((step / period_ms) as usize).is_multiple_of(LARGE_REQUEST_INTERVAL);
                overload.submit(2 * priority + usize::from(large));
            }
        }
        overload.complete_due();
    }
    overload
}

#[test]
fn no_priority_is_served_more_often_than_a_more_important_one() {
    for kinds in [CHEAP_TOP, COSTLY_TOP] {
        let overload = simulate_overload(kinds);
        let ratios = [[0, 1], [2, 3], [4, 5]].map(|kinds| overload.served_ratio(&kinds));
        assert!(
            ratios[0] < 0.99,
            "no overload, nearly all requests of the top priority are served: {ratios:?}"
        );
        // The users tolerate a difference of five in a hundred.
        assert!(ratios[1] <= ratios[0] + 0.05 && ratios[2] <= ratios[1] + 0.05, "{ratios:?}");
    }
}

#[test]
fn no_priority_and_no_size_is_starved() {
    for kinds in [CHEAP_TOP, COSTLY_TOP] {
        let overload = simulate_overload(kinds);
        let all = overload.served_ratio(&[0, 1, 2, 3, 4, 5]);
        for priority in 0..3 {
            let of_priority = overload.served_ratio(&[2 * priority, 2 * priority + 1]);
            let of_large = overload.served_ratio(&[2 * priority + 1]);
            assert!(of_priority >= all / 4.0, "priority {priority}: {of_priority:.2} of {all:.2}");
            assert!(
                of_large >= of_priority / 2.0,
                "large of {priority}: {of_large:.2} of {of_priority:.2}"
            );
        }
    }
}
