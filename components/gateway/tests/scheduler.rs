//! Which upstream a request goes to, and when.

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
        session_part: None,
        is_last_attempt: false,
        arrived: now,
        objective_at: now + Duration::from_millis(600),
        pause_objective: None,
        queue_deadline: now + Duration::from_millis(1_800),
        deadline: now + Duration::from_secs(12),
        excluded: vec![],
        suspect: vec![],
    }
}

fn place(scheduler: &mut Scheduler, job: Job, now: Instant) -> Option<Slot> {
    match scheduler.submit(job, now) {
        Submission::Assigned(slot) => Some(slot),
        Submission::Queued(_) | Submission::Rejected(_) => None,
    }
}

fn fill(scheduler: &mut Scheduler, slots: u32, now: Instant) -> Vec<SlotId> {
    let fill_one = |_| place(scheduler, job(MIDDLE, 100, now), now).expect("a place").id;
    (0..slots).map(fill_one).collect()
}

fn wait(scheduler: &mut Scheduler, job: Job, now: Instant) -> WaiterId {
    let waiter = match scheduler.submit(job, now) {
        Submission::Queued(waiter) => Some(waiter),
        Submission::Assigned(_) | Submission::Rejected(_) => None,
    };
    waiter.expect("it waits")
}

fn placed(wakeups: &[Wakeup]) -> Vec<WaiterId> {
    let place = |wakeup: &Wakeup| match wakeup {
        Wakeup::Assigned(waiter, _) => Some(*waiter),
        Wakeup::Rejected(..) => None,
    };
    wakeups.iter().filter_map(place).collect()
}

#[test]
fn no_more_is_handed_over_than_an_upstream_works_on() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a"), upstream("two", "b")], now);
    fill(&mut scheduler, 2 * SLOTS, now);
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_none());
}

#[test]
fn places_that_another_scheduler_gave_count() {
    let now = Instant::now();
    let one = upstream("one", "a");
    let mut scheduler = scheduler(std::slice::from_ref(&one), now);
    for _ in 1..SLOTS {
        scheduler.adopt_slot(one.id()).expect("a known upstream");
    }
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_some());
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_none());
}

#[test]
fn the_more_important_and_the_cheaper_goes_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let mut running = fill(&mut scheduler, SLOTS, now);
    let long = wait(&mut scheduler, job(MIDDLE, 900, now), now);
    let low = wait(&mut scheduler, job(LOW, 110, now), now);
    let usual = wait(&mut scheduler, job(MIDDLE, 100, now), now);
    let top = wait(&mut scheduler, job(TOP, 100, now), now);
    let mut order = Vec::new();
    for _ in 0..SLOTS {
        let ended = running.pop().expect("one is running");
        order.extend(placed(&scheduler.release(ended, GATEWAY, SERVED, now)));
    }
    assert_eq!(order, [top, usual, long, low]);
}

#[test]
fn what_is_late_goes_after_what_can_be_in_time_unless_it_has_no_further_try() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let mut running = fill(&mut scheduler, SLOTS, now);
    let late = Job { objective_at: now, ..job(MIDDLE, 100, now) };
    let last_attempt = Job { is_last_attempt: true, ..late.clone() };
    let late = wait(&mut scheduler, late, now);
    let last_attempt = wait(&mut scheduler, last_attempt, now);
    let in_time = wait(&mut scheduler, job(MIDDLE, 100, now), now);
    let mut order = Vec::new();
    for _ in 0..3 {
        let ended = running.pop().expect("one is running");
        order.extend(placed(&scheduler.release(ended, GATEWAY, SERVED, now)));
    }
    assert_eq!(order, [in_time, last_attempt, late]);
}

#[test]
fn what_waits_in_vain_is_refused_with_a_time_to_come_back() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    fill(&mut scheduler, SLOTS, now);
    let waiter = wait(&mut scheduler, job(TOP, 10, now), now);
    let later = now + Duration::from_millis(1_800);
    let wakeups = scheduler.wake_waiting(later);
    let [Wakeup::Rejected(rejected, rejection)] = &wakeups[..] else { panic!("{wakeups:?}") };
    assert_eq!(*rejected, waiter);
    assert_eq!(rejection.reason, RejectionReason::Full);
    assert!(!rejection.retry_after.is_zero());
}

#[test]
fn what_cannot_have_a_place_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    fill(&mut scheduler, SLOTS, now);
    let rejected = (0..200)
        .filter(|_| matches!(scheduler.submit(job(MIDDLE, 100, now), now), Submission::Rejected(_)))
        .count();
    assert!(rejected > 100, "{rejected} of 200 cannot be placed within 1.8 s");
}

#[test]
fn an_unknown_service_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let unknown = Job { service: ServiceId::of("other"), ..job(TOP, 10, now) };
    let submission = scheduler.submit(unknown, now);
    let Submission::Rejected(rejection) = submission else { panic!("{submission:?}") };
    assert_eq!(rejection.reason, RejectionReason::NoUpstream);
}

#[test]
fn draining_excluded_and_replaced_upstreams_get_nothing() {
    let now = Instant::now();
    let draining = Upstream { draining: true, ..upstream("draining", "a") };
    let excluded = upstream("excluded", "a");
    let upstreams = [draining, upstream("replaced", "a"), excluded.clone()];
    let mut scheduler = scheduler(&upstreams, now);
    let without = Job { excluded: vec![excluded.id()], ..job(TOP, 10, now) };
    let first = place(&mut scheduler, without.clone(), now).expect("a place");
    assert_eq!(&*first.instance, "replaced");
    scheduler.release(first.id, GATEWAY, Observation::outcome_only(AttemptOutcome::Replaced), now);
    assert!(place(&mut scheduler, without, now).is_none());
}

#[test]
fn an_upstream_that_its_entry_can_hardly_reach_is_the_last_choice() {
    let now = Instant::now();
    let near = upstream("near", "a");
    let mut scheduler = scheduler(&[near.clone(), upstream("far", "c")], now);
    let first = place(&mut scheduler, job(TOP, 10, now), now).expect("a place");
    assert_eq!(&*first.instance, "near");
    let suspect = Job { suspect: vec![near.id()], ..job(TOP, 10, now) };
    let second = place(&mut scheduler, suspect, now).expect("a place");
    assert_eq!(&*second.instance, "far");
}

#[test]
fn an_upstream_that_two_entries_cannot_reach_is_left_alone() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let unreachable = Observation::outcome_only(AttemptOutcome::Unreachable);
    for gateway in [GATEWAY, GATEWAY] {
        let found = place(&mut scheduler, job(TOP, 10, now), now).expect("one entry shows nothing");
        scheduler.release(found.id, gateway, unreachable, now);
    }
    let found = place(&mut scheduler, job(TOP, 10, now), now).expect("a place");
    scheduler.release(found.id, OTHER_GATEWAY, unreachable, now);
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_none());
    let later = now + Duration::from_millis(600);
    assert!(place(&mut scheduler, job(TOP, 10, later), later).is_some(), "it is tried again");
}

/// Tells a scheduler how an upstream performs, by one answer.
fn teach(scheduler: &mut Scheduler, instance: &str, ms_per_token: u64, now: Instant) {
    let mut others = Vec::new();
    loop {
        let found = place(scheduler, job(TOP, 10, now), now).expect("a place");
        if &*found.instance == instance {
            let output = Duration::from_millis(ms_per_token * 4_000);
            let time_to_first_event = Some(Duration::from_millis(ms_per_token * 10));
            let observation = Observation {
                outcome: AttemptOutcome::Served,
                time_to_first_event,
                output: Some((output, 4_000)),
            };
            scheduler.release(found.id, GATEWAY, observation, now);
            break;
        }
        others.push(found.id);
    }
    for id in others {
        scheduler.release(id, GATEWAY, Observation::outcome_only(AttemptOutcome::Abandoned), now);
    }
}

#[test]
fn a_long_answer_waits_for_an_upstream_that_finishes_it_in_time() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("slow", "a"), upstream("fast", "b")], now);
    teach(&mut scheduler, "slow", 13, now);
    teach(&mut scheduler, "fast", 2, now);
    let mut on_fast = Vec::new();
    for _ in 0..SLOTS {
        let found = place(&mut scheduler, job(TOP, 2_000, now), now).expect("a place");
        assert_eq!(&*found.instance, "fast", "2,000 tokens take the slow one 26 of 12 s");
        on_fast.push(found.id);
    }
    let long = wait(&mut scheduler, job(TOP, 2_000, now), now);
    let short = place(&mut scheduler, job(LOW, 20, now), now);
    assert!(short.is_none_or(|found| &*found.instance == "slow"));
    let ended = on_fast.pop().expect("one is running");
    let wakeups = scheduler.release(ended, GATEWAY, SERVED, now);
    assert!(placed(&wakeups).contains(&long), "{wakeups:?}");
}

/// Requests over some time at twice what the upstreams can carry.
struct Overload {
    kinds: Kinds,
    scheduler: Scheduler,
    now: Instant,
    running: Vec<(Instant, SlotId)>,
    waiting: Vec<(WaiterId, usize)>,
    /// Asked and served, by rank and size.
    counts: [[u32; 2]; 6],
}

/// Ranks and output tokens of usual and of large requests.
type Kinds = [(Priority, u32); 6];

const CHEAP_TOP: Kinds =
    [(TOP, 200), (TOP, 2_000), (MIDDLE, 150), (MIDDLE, 1_500), (LOW, 10), (LOW, 100)];

/// The most important cost so much that all others bring more for the time of a place.
const COSTLY_TOP: Kinds =
    [(TOP, 1_500), (TOP, 2_000), (MIDDLE, 40), (MIDDLE, 400), (LOW, 2), (LOW, 20)];

/// Of ten requests of a rank, one is large.
const LARGE_EVERY: usize = 10;

impl Overload {
    fn ends_at(&self, kind: usize) -> Instant {
        self.now + Duration::from_millis(20 + 4 * u64::from(self.kinds[kind].1))
    }

    fn take(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let (waiter, found) = match wakeup {
                Wakeup::Assigned(waiter, found) => (waiter, Some(found)),
                Wakeup::Rejected(waiter, _) => (waiter, None),
            };
            let position = self.waiting.iter().position(|(id, _)| *id == waiter);
            let (_, kind) = self.waiting.swap_remove(position.expect("it waits"));
            if let Some(found) = found {
                self.counts[kind][1] += 1;
                self.running.push((self.ends_at(kind), found.id));
            }
        }
    }

    fn ask(&mut self, kind: usize) {
        self.counts[kind][0] += 1;
        let (priority, output_tokens) = self.kinds[kind];
        let asked = Job { is_last_attempt: true, ..job(priority, output_tokens, self.now) };
        match self.scheduler.submit(asked, self.now) {
            Submission::Assigned(found) => {
                self.counts[kind][1] += 1;
                self.running.push((self.ends_at(kind), found.id));
            }
            Submission::Queued(waiter) => self.waiting.push((waiter, kind)),
            Submission::Rejected(_) => {}
        }
    }

    fn end_due(&mut self) {
        let now = self.now;
        let due: Vec<SlotId> =
            self.running.iter().filter(|(at, _)| *at <= now).map(|(_, id)| *id).collect();
        self.running.retain(|(at, _)| *at > now);
        for id in due {
            let wakeups = self.scheduler.release(id, GATEWAY, SERVED, now);
            self.take(wakeups);
        }
        let wakeups = self.scheduler.wake_waiting(now);
        self.take(wakeups);
    }

    /// Served of asked, of the kinds of some indices.
    fn share(&self, kinds: &[usize]) -> f64 {
        let sum = |part: usize| kinds.iter().map(|kind| self.counts[*kind][part]).sum::<u32>();
        f64::from(sum(1)) / f64::from(sum(0))
    }
}

fn overload(kinds: Kinds) -> Overload {
    let start = Instant::now();
    let upstreams: Vec<Upstream> =
        (0..10).map(|number| upstream(&format!("u{number}"), "a")).collect();
    let mut overload = Overload {
        kinds,
        scheduler: scheduler(&upstreams, start),
        now: start,
        running: Vec::new(),
        waiting: Vec::new(),
        counts: [[0; 2]; 6],
    };
    // Of cheap ones, 38 top, 38 middle and 67 low requests a second hold about 100 places; there are
    // 40.
    for step in 0..30_000_u64 {
        overload.now = start + Duration::from_millis(step);
        for (priority, period_ms) in [26, 26, 15].into_iter().enumerate() {
            if step % period_ms == 0 {
                let large = ((step / period_ms) as usize).is_multiple_of(LARGE_EVERY);
                overload.ask(2 * priority + usize::from(large));
            }
        }
        overload.end_due();
    }
    overload
}

#[test]
fn no_rank_is_served_more_often_than_a_more_important_one() {
    for kinds in [CHEAP_TOP, COSTLY_TOP] {
        let overload = overload(kinds);
        let shares = [[0, 1], [2, 3], [4, 5]].map(|kinds| overload.share(&kinds));
        assert!(shares[0] < 0.99, "it is no overload: {shares:?}");
        // The users tolerate five in a hundred.
        assert!(shares[1] <= shares[0] + 0.05 && shares[2] <= shares[1] + 0.05, "{shares:?}");
    }
}

#[test]
fn no_rank_and_no_size_is_starved() {
    for kinds in [CHEAP_TOP, COSTLY_TOP] {
        let overload = overload(kinds);
        let all = overload.share(&[0, 1, 2, 3, 4, 5]);
        for priority in 0..3 {
            let of_rank = overload.share(&[2 * priority, 2 * priority + 1]);
            let of_large = overload.share(&[2 * priority + 1]);
            assert!(of_rank >= all / 4.0, "rank {priority}: {of_rank:.2} of {all:.2}");
            assert!(
                of_large >= of_rank / 2.0,
                "large of {priority}: {of_large:.2} of {of_rank:.2}"
            );
        }
    }
}
