//! Replays of load at its worst against the scheduler: bursts that are longer than the latency
//! objectives, and services that are smaller than the time that messages take.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gateway::model::{ServiceId, Topology, Upstream};
use gateway::scheduler::{
    AttemptOutcome, Job, Observation, Priority, RouteId, Scheduler, SlotId, Submission, WaiterId,
    Wakeup,
};

const GATEWAY: u64 = 1;
const SERVED: Observation =
    Observation { outcome: AttemptOutcome::Served, time_to_first_event: None, output: None };
const DECLINED: Observation =
    Observation { outcome: AttemptOutcome::Declined, time_to_first_event: None, output: None };

/// Routes of the users' booking assistant: prompt tokens, output tokens, latency objective.
const ENGINE_ROUTES: [(u32, u32, u64); 3] = [(6_670, 384, 600), (688, 290, 400), (1_860, 24, 400)];

fn scheduler(upstreams: usize, slots: u32, now: Instant) -> Scheduler {
    let topology =
        Topology { own_zone: "a".to_owned(), regions: [("a".to_owned(), "r".to_owned())].into() };
    let upstream = |number: usize| Upstream {
        instance: format!("u{number}").as_str().into(),
        started_unix_ms: 1,
        service: "service".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".to_owned(),
        version: "v1".into(),
        slots,
        draining: false,
    };
    let mut scheduler = Scheduler::new(topology);
    scheduler.set_upstreams(&(0..upstreams).map(upstream).collect::<Vec<_>>(), now);
    scheduler
}

fn job(route: usize, tokens: (u32, u32), objective_ms: u64, now: Instant) -> Job {
    Job {
        service: ServiceId::of("service"),
        route: RouteId(route as u32),
        priority: Priority { tier: 1, route_tier: route as u8 },
        zone: "a".into(),
        prompt_tokens: tokens.0,
        output_tokens: tokens.1,
        tokens_per_event: 16,
        is_stream: tokens.1 > 0,
        session_part: None,
        is_last_attempt: false,
        arrived: now,
        objective_at: now + Duration::from_millis(objective_ms),
        pause_objective: Some(Duration::from_millis(400)),
        queue_deadline: now + Duration::from_millis(1_800),
        deadline: now + Duration::from_secs(12),
        version: None,
        excluded: vec![],
        suspect: vec![],
    }
}

/// Comparisons of an upstream with a request for each release, with `waiting` requests in the queue
/// of a service whose upstreams are all fully occupied.
fn comparisons_per_release(upstreams: usize, waiting: usize) -> u64 {
    const SLOTS: u32 = 7;
    const RELEASES: u64 = 500;
    let start = Instant::now();
    let mut scheduler = scheduler(upstreams, SLOTS, start);
    let engine_job = |number: usize, now: Instant| {
        let (prompt, output, objective_ms) = ENGINE_ROUTES[number % ENGINE_ROUTES.len()];
        let long_wait = now + Duration::from_secs(10);
        Job { queue_deadline: long_wait, ..job(number % 3, (prompt, output), objective_ms, now) }
    };
    let mut running = VecDeque::new();
    for number in 0..upstreams * SLOTS as usize {
        if let Submission::Assigned(slot) = scheduler.submit(engine_job(number, start), start) {
            running.push_back(slot.id);
        }
    }
    let mut queued = 0;
    for number in 0..waiting * 4 {
        if queued < waiting
            && matches!(scheduler.submit(engine_job(number, start), start), Submission::Queued(_))
        {
            queued += 1;
        }
    }
    assert!(queued >= waiting / 2, "{queued} requests wait");
    let before = scheduler.comparisons();
    for release in 1..=RELEASES {
        let now = start + Duration::from_millis(release);
        let Some(slot) = running.pop_front() else { break };
        for wakeup in scheduler.release(slot, GATEWAY, SERVED, now) {
            if let Wakeup::Assigned(_, slot) = wakeup {
                running.push_back(slot.id);
            }
        }
    }
    (scheduler.comparisons() - before) / RELEASES
}

/// Load pattern: a burst, longer than the objectives, of all routes at once. The broker's work for a
/// release must not grow with its queue, or it falls behind when it is needed most.
#[test]
fn the_work_of_a_decision_does_not_grow_with_the_queue() {
    for upstreams in [20, 180] {
        let short = comparisons_per_release(upstreams, 30);
        let long = comparisons_per_release(upstreams, 600);
        let bound = 4 * short.max(upstreams as u64);
        assert!(long <= bound, "{upstreams} upstreams: {long} after {short}, bound {bound}");
    }
}

/// Plain service whose requests take 30 ms, while the messages for each slot take 35 ms.
struct PlainReplay {
    scheduler: Scheduler,
    now: Instant,
    /// Slots of running requests by the time at which the broker learns of their end.
    running: Vec<(Instant, SlotId)>,
    /// Times at which each worker of an upstream is free again.
    workers: Vec<[Instant; PLAIN_SLOTS as usize]>,
    waiting: Vec<(WaiterId, Instant)>,
    on_time: u32,
    submitted: u32,
}

const PLAIN_SLOTS: u32 = 6;
const PLAIN_UPSTREAMS: usize = 6;
const PLAIN_WORK: Duration = Duration::from_millis(30);
const PLAIN_OBJECTIVE_MS: u64 = 200;

/// Time from the assignment of a slot until the request is at the upstream, and from its response
/// until the broker has the release.
const MESSAGE_TIME: Duration = Duration::from_micros(17_500);

impl PlainReplay {
    fn run(&mut self, slot: gateway::scheduler::Slot, arrived: Instant) {
        let upstream: usize = slot.instance.trim_start_matches('u').parse().expect("a number");
        let sent = self.now + MESSAGE_TIME;
        let worker = self.workers[upstream].iter_mut().min().expect("there are workers");
        *worker = (*worker).max(sent) + PLAIN_WORK;
        let answered = *worker + MESSAGE_TIME;
        if answered <= arrived + Duration::from_millis(PLAIN_OBJECTIVE_MS) {
            self.on_time += 1;
        }
        self.running.push((answered, slot.id));
    }

    fn apply(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let (waiter, slot) = match wakeup {
                Wakeup::Assigned(waiter, slot) => (waiter, Some(slot)),
                Wakeup::Rejected(waiter, _) => (waiter, None),
            };
            let position = self.waiting.iter().position(|(id, _)| *id == waiter);
            let (_, arrived) = self.waiting.swap_remove(position.expect("the request waits"));
            if let Some(slot) = slot {
                self.run(slot, arrived);
            }
        }
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let now = self.now;
        match self.scheduler.submit(job(0, (0, 0), PLAIN_OBJECTIVE_MS, now), now) {
            Submission::Assigned(slot) => self.run(slot, now),
            Submission::Queued(waiter) => self.waiting.push((waiter, now)),
            Submission::Rejected(_) => {}
        }
    }

    fn release_ended(&mut self) {
        let now = self.now;
        for (_, slot) in self.running.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            let wakeups = self.scheduler.release(slot, GATEWAY, SERVED, now);
            self.apply(wakeups);
        }
        let wakeups = self.scheduler.wake_waiting(now);
        self.apply(wakeups);
    }
}

/// Load pattern: bookings at 0.65 of what the desk can do, from gateways in two regions. Counted
/// from the assignment of a slot to its release, they need more slots than there are.
#[test]
fn a_plain_service_is_used_while_messages_about_its_slots_travel() {
    let start = Instant::now();
    let mut replay = PlainReplay {
        scheduler: scheduler(PLAIN_UPSTREAMS, PLAIN_SLOTS, start),
        now: start,
        running: Vec::new(),
        workers: vec![[start; PLAIN_SLOTS as usize]; PLAIN_UPSTREAMS],
        waiting: Vec::new(),
        on_time: 0,
        submitted: 0,
    };
    let per_second =
        0.65 * f64::from(PLAIN_SLOTS) * PLAIN_UPSTREAMS as f64 / PLAIN_WORK.as_secs_f64();
    let mut due = 0.0;
    for step in 0..10_000_u64 {
        replay.now = start + Duration::from_millis(step);
        replay.release_ended();
        due += per_second / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            replay.submit();
        }
    }
    let share = f64::from(replay.on_time) / f64::from(replay.submitted);
    assert!(share >= 0.97, "{share} on time");
}

/// An upstream with a shorter queue than assumed declines the extra requests. It then gets fewer of
/// them, is not paused, and keeps its own slots.
#[test]
fn an_upstream_that_declines_extra_requests_gets_fewer() {
    let now = Instant::now();
    let mut scheduler = scheduler(1, PLAIN_SLOTS, now);
    let fill = |scheduler: &mut Scheduler| {
        let mut slots = Vec::new();
        while let Submission::Assigned(slot) =
            scheduler.submit(job(0, (0, 0), PLAIN_OBJECTIVE_MS, now), now)
        {
            slots.push(slot.id);
        }
        slots
    };
    let first = fill(&mut scheduler);
    assert_eq!(first.len(), 2 * PLAIN_SLOTS as usize);
    let (declined, accepted) = first.split_at(PLAIN_SLOTS as usize);
    for slot in declined {
        scheduler.release(*slot, GATEWAY, DECLINED, now);
    }
    let second = fill(&mut scheduler);
    assert!(second.is_empty(), "{} slots beyond those that run", second.len());
    for slot in accepted {
        scheduler.release(*slot, GATEWAY, SERVED, now);
    }
    // Two requests that found no slot were waiting.
    assert!(fill(&mut scheduler).len() >= PLAIN_SLOTS as usize - 2);
}

/// Load pattern: more sessions in use than a hundred upstreams cache at a time. A session that
/// continues must find the upstream of its last request, however many other sessions there are.
#[test]
fn a_session_is_remembered_among_thousands_of_others() {
    const SESSIONS: u64 = 6_000;
    let start = Instant::now();
    let mut scheduler = scheduler(2, 4, start);
    let mut holders = Vec::new();
    let mut submit = |part: u64, now: Instant| {
        let session_job = Job { session_part: Some(part), ..job(0, (6_670, 384), 600, now) };
        let Submission::Assigned(slot) = scheduler.submit(session_job, now) else {
            unreachable!("slots are free");
        };
        scheduler.release(slot.id, GATEWAY, SERVED, now);
        slot.upstream
    };
    for part in 0..SESSIONS {
        holders.push(submit(part, start + Duration::from_millis(part)));
    }
    let mut same = 0;
    for part in (0..SESSIONS).rev().take(1_000) {
        let now = start + Duration::from_millis(2 * SESSIONS - part);
        same += u32::from(submit(part, now) == holders[part as usize]);
    }
    assert!(same >= 950, "{same} of 1,000 sessions continue at their upstream");
}
