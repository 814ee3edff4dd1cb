//! Which upstream a request goes to, and when.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::model::{Places, Upstream};
use gateway::scheduler::{
    Assignment, Ending, Entry, Job, Load, Offer, Rank, RefusedBecause, Scheduler, Waiting, Woken,
};

const SLOTS: u32 = 4;
const TOP: Rank = Rank { tier: 1, route_tier: 0 };
const MIDDLE: Rank = Rank { tier: 1, route_tier: 1 };
const LOW: Rank = Rank { tier: 1, route_tier: 2 };

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
    let places = Places { own_zone: "a".to_owned(), regions: regions.into_iter().collect() };
    let mut scheduler = Scheduler::new(places, 1);
    scheduler.set_upstreams(upstreams, now);
    scheduler
}

fn job(rank: Rank, output_tokens: u32, now: Instant) -> Job {
    Job {
        service: "models".to_owned(),
        rank,
        prompt_tokens: 600,
        output_tokens,
        tokens_per_event: 1,
        session_part: None,
        arrived: now,
        objective_at: now + Duration::from_millis(600),
        pause_objective: None,
        wait_until: now + Duration::from_millis(1_800),
        limit_at: now + Duration::from_secs(12),
        excluded: vec![],
    }
}

fn place(scheduler: &mut Scheduler, job: Job, now: Instant) -> Option<Assignment> {
    match scheduler.offer(job, now) {
        Offer::Place(assignment) => Some(assignment),
        Offer::Wait(_) | Offer::Refuse(_) => None,
    }
}

fn fill(scheduler: &mut Scheduler, places: u32, now: Instant) -> Vec<Assignment> {
    (0..places).map(|_| place(scheduler, job(MIDDLE, 100, now), now).expect("a place")).collect()
}

fn wait(scheduler: &mut Scheduler, job: Job, now: Instant) -> u64 {
    let waiter = match scheduler.offer(job, now) {
        Offer::Wait(waiter) => Some(waiter),
        Offer::Place(_) | Offer::Refuse(_) => None,
    };
    waiter.expect("it waits")
}

fn placed(woken: &[Woken]) -> Vec<u64> {
    let place = |woken: &Woken| match woken {
        Woken::Place(waiter, _) => Some(*waiter),
        Woken::Refuse(..) => None,
    };
    woken.iter().filter_map(place).collect()
}

#[test]
fn no_more_is_handed_over_than_an_upstream_works_on() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a"), upstream("two", "b")], now);
    fill(&mut scheduler, 2 * SLOTS, now);
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_none());
}

#[test]
fn what_peers_have_in_flight_counts() {
    let now = Instant::now();
    let one = upstream("one", "a");
    let mut scheduler = scheduler(std::slice::from_ref(&one), now);
    let mut peer = scheduler_id_of(&one, now);
    peer.running = SLOTS - 1;
    scheduler.hear_peer(9, &HashMap::from([(peer.short_id, peer.load())]), &[], &[]);
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_some());
    assert!(place(&mut scheduler, job(TOP, 10, now), now).is_none());
}

/// What another entry says of an upstream.
struct Told {
    short_id: u32,
    running: u32,
}

impl Told {
    fn load(&self) -> Load {
        Load { running: self.running, backlog_tokens: 0 }
    }
}

fn scheduler_id_of(upstream: &Upstream, now: Instant) -> Told {
    let mut other = scheduler(std::slice::from_ref(upstream), now);
    fill(&mut other, 1, now);
    let (short_id, load) = other.own_loads().next().expect("one is in flight");
    Told { short_id, running: load.running }
}

#[test]
fn the_most_important_then_the_cheapest_goes_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let mut running = fill(&mut scheduler, SLOTS, now);
    let long = wait(&mut scheduler, job(MIDDLE, 900, now), now);
    let short = wait(&mut scheduler, job(MIDDLE, 20, now), now);
    let top = wait(&mut scheduler, job(TOP, 2_000, now), now);
    for expected in [top, short, long] {
        let mut ended = running.pop().expect("one is running");
        scheduler.ended(&mut ended, Ending::Served, now);
        assert_eq!(placed(&scheduler.wake(now)), [expected]);
    }
}

#[test]
fn the_lowest_rank_gets_one_place_in_four() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let mut running = fill(&mut scheduler, SLOTS, now);
    let low = wait(&mut scheduler, job(LOW, 10, now), now);
    let tops: Vec<u64> = (0..4).map(|_| wait(&mut scheduler, job(TOP, 100, now), now)).collect();
    let mut order = Vec::new();
    for _ in 0..4 {
        let mut ended = running.pop().expect("one is running");
        scheduler.ended(&mut ended, Ending::Served, now);
        order.extend(placed(&scheduler.wake(now)));
    }
    assert_eq!(order.iter().filter(|waiter| tops.contains(waiter)).count(), 3);
    assert!(order.contains(&low));
}

#[test]
fn what_waits_in_vain_is_refused_with_a_time_to_come_back() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    fill(&mut scheduler, SLOTS, now);
    let waiter = wait(&mut scheduler, job(TOP, 10, now), now);
    let later = now + Duration::from_millis(1_800);
    let woken = scheduler.wake(later);
    let [Woken::Refuse(refused, why)] = &woken[..] else { panic!("{woken:?}") };
    assert_eq!(*refused, waiter);
    assert_eq!(why.reason, RefusedBecause::Full);
    assert!(!why.retry_after.is_zero());
}

#[test]
fn an_unknown_service_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    let unknown = Job { service: "other".to_owned(), ..job(TOP, 10, now) };
    let offer = scheduler.offer(unknown, now);
    let Offer::Refuse(refused) = offer else { panic!("{offer:?}") };
    assert_eq!(refused.reason, RefusedBecause::NoUpstream);
}

#[test]
fn draining_excluded_and_replaced_upstreams_get_nothing() {
    let now = Instant::now();
    let draining = Upstream { draining: true, ..upstream("draining", "a") };
    let upstreams = [draining, upstream("replaced", "a"), upstream("excluded", "a")];
    let mut scheduler = scheduler(&upstreams, now);
    let without = Job { excluded: vec!["excluded".into()], ..job(TOP, 10, now) };
    let mut first = place(&mut scheduler, without.clone(), now).expect("a place");
    assert_eq!(&*first.instance, "replaced");
    scheduler.ended(&mut first, Ending::Replaced, now);
    assert!(place(&mut scheduler, without, now).is_none());
    assert_eq!(scheduler.replaced().len(), 1, "the other entries are told");
}

#[test]
fn an_upstream_that_can_not_be_reached_is_left_alone_while_others_have_places() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("near", "a"), upstream("far", "c")], now);
    let mut first = place(&mut scheduler, job(TOP, 10, now), now).expect("a place");
    assert_eq!(&*first.instance, "near");
    scheduler.ended(&mut first, Ending::Unreachable, now);
    let second = place(&mut scheduler, job(TOP, 10, now), now).expect("a place");
    assert_eq!(&*second.instance, "far");
}

#[test]
fn a_place_is_left_to_something_more_important_at_another_entry() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream("one", "a")], now);
    scheduler.set_entries(vec![Entry { id: 9, zone: "b".to_owned() }]);
    let mut running = fill(&mut scheduler, SLOTS, now);
    wait(&mut scheduler, job(LOW, 10, now), now);
    let elsewhere = waiting_at_another_entry(now);
    scheduler.hear_peer(9, &HashMap::new(), &elsewhere, &[]);
    let mut ended = running.pop().expect("one is running");
    scheduler.ended(&mut ended, Ending::Served, now);
    assert!(placed(&scheduler.wake(now)).is_empty());
    scheduler.hear_peer(9, &HashMap::new(), &[], &[]);
    let later = now + Duration::from_millis(100);
    assert_eq!(placed(&scheduler.wake(later)).len(), 1, "nothing waits there any more");
}

fn waiting_at_another_entry(now: Instant) -> Vec<Waiting> {
    let mut other = scheduler(&[upstream("one", "a")], now);
    fill(&mut other, SLOTS, now);
    wait(&mut other, job(TOP, 10, now), now);
    other.own_waiting()
}

#[test]
fn many_entries_with_the_same_knowledge_do_not_all_take_the_same_places() {
    let now = Instant::now();
    let entries = 30;
    let upstreams: Vec<Upstream> =
        (0..20).map(|number| upstream(&format!("u{number}"), "a")).collect();
    let others = |own: u64| {
        let others = (0..entries).filter(move |id| *id != own);
        others.map(|id| Entry { id, zone: "a".to_owned() }).collect()
    };
    let mut handed_over = 0;
    for own in 0..entries {
        let places = Places { own_zone: "a".to_owned(), regions: HashMap::new() };
        let mut scheduler = Scheduler::new(places, own);
        scheduler.set_upstreams(&upstreams, now);
        scheduler.set_entries(others(own));
        // The others are known to have filled every place.
        let full: HashMap<u32, Load> = upstreams
            .iter()
            .map(|upstream| {
                (
                    scheduler_id_of(upstream, now).short_id,
                    Load { running: SLOTS, backlog_tokens: 0 },
                )
            })
            .collect();
        scheduler.hear_peer(1_000, &full, &[], &[]);
        while place(&mut scheduler, job(TOP, 10, now), now).is_some() {
            handed_over += 1;
        }
    }
    assert_eq!(handed_over, 20 * SLOTS, "each place has one owner");
}
