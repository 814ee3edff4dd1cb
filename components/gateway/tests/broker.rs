//! One entry gives places to all, over datagrams that may be lost, repeated or late.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use gateway::allowance::{CreditReply, CreditRequest, CustomerId};
use gateway::broker::{
    AddressedReply, Broker, ElectionKey, Message, PeerHealth, SlotReply, SlotRequestId, WireJob,
    rank_candidates,
};
use gateway::model::{ServiceId, Topology, Upstream, UpstreamId};
use gateway::peers::Candidate;
use gateway::scheduler::{AttemptOutcome, Observation, Priority, RouteId};

const SLOTS: u32 = 4;
const ONE: u64 = 1;
const TWO: u64 = 2;
const SERVED: Observation =
    Observation { outcome: AttemptOutcome::Served, time_to_first_event: None, output: None };

fn upstream(number: u8) -> Upstream {
    Upstream {
        instance: format!("i-{number}").as_str().into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, number], 9000).into(),
        zone: "a".to_owned(),
        slots: SLOTS,
        draining: false,
    }
}

fn broker(upstreams: u8, now: Instant) -> Broker {
    let mut broker = Broker::new(Topology::default());
    let upstreams: Vec<Upstream> = (0..upstreams).map(upstream).collect();
    broker.set_upstreams(&upstreams, now);
    broker
}

fn job(route_tier: u8) -> WireJob {
    WireJob {
        service: ServiceId::of("models"),
        route: RouteId(route_tier.into()),
        priority: Priority { tier: 1, route_tier },
        prompt_tokens: 600,
        output_tokens: 100,
        tokens_per_event: 8,
        session_part: None,
        is_last_attempt: false,
        waited_ms: 0,
        objective_left_ms: 600,
        pause_objective_ms: None,
        wait_left_ms: 1_800,
        time_left_ms: 12_000,
        excluded: vec![],
        suspect: vec![],
    }
}

fn ask(
    broker: &mut Broker,
    from: u64,
    request_id: SlotRequestId,
    route_tier: u8,
    now: Instant,
) -> SlotReply {
    broker.request_slot(from, Rc::from("a"), request_id, &job(route_tier), now)
}

fn is_granted(reply: &SlotReply) -> bool {
    matches!(reply, SlotReply::Granted { .. })
}

fn fill(broker: &mut Broker, from: u64, now: Instant) -> Vec<(SlotRequestId, UpstreamId)> {
    let mut held = Vec::new();
    for request_id in 0..SLOTS {
        let reply = ask(broker, from, request_id, 1, now);
        let upstream = match reply {
            SlotReply::Granted { upstream } => Some(upstream),
            _ => None,
        };
        held.push((request_id, upstream.expect("a place is free")));
    }
    held
}

#[test]
fn many_entries_get_each_place_once() {
    let now = Instant::now();
    let mut broker = broker(20, now);
    let mut granted = 0;
    for gateway in 0..30 {
        for request_id in 0..20 {
            granted += u32::from(is_granted(&ask(&mut broker, gateway, request_id, 1, now)));
        }
    }
    assert_eq!(granted, 20 * SLOTS);
}

#[test]
fn a_repeated_question_gets_the_same_answer_and_no_second_place() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let held = fill(&mut broker, ONE, now);
    for (request_id, upstream) in held {
        assert_eq!(ask(&mut broker, ONE, request_id, 1, now), SlotReply::Granted { upstream });
    }
    assert_eq!(ask(&mut broker, ONE, 100, 1, now), SlotReply::Queued);
    assert_eq!(ask(&mut broker, ONE, 100, 1, now), SlotReply::Queued);
    assert_eq!(broker.scheduler().waiting_count(), 1);
}

#[test]
fn a_freed_place_goes_to_the_most_important_request_of_all_entries() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    fill(&mut broker, ONE, now);
    assert_eq!(ask(&mut broker, ONE, 10, 2, now), SlotReply::Queued);
    assert_eq!(ask(&mut broker, TWO, 10, 0, now), SlotReply::Queued);
    let replies = broker.release(ONE, 0, SERVED, now);
    let [AddressedReply { to, request_id, reply }] = &replies[..] else { panic!("{replies:?}") };
    assert_eq!((*to, *request_id), (TWO, 10));
    assert!(is_granted(reply));
}

#[test]
fn a_request_that_no_longer_waits_gets_nothing() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    fill(&mut broker, ONE, now);
    assert_eq!(ask(&mut broker, TWO, 10, 0, now), SlotReply::Queued);
    broker.release(TWO, 10, Observation::outcome_only(AttemptOutcome::Abandoned), now);
    assert!(broker.release(ONE, 0, SERVED, now).is_empty());
}

#[test]
fn a_release_that_was_lost_shows_in_what_the_entry_holds() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let mut held = fill(&mut broker, ONE, now);
    assert_eq!(ask(&mut broker, TWO, 10, 1, now), SlotReply::Queued);
    held.pop();
    let soon = now + Duration::from_millis(100);
    assert!(broker.reconcile_held_slots(ONE, &held, soon).is_empty(), "a verdict may be under way");
    let later = now + Duration::from_millis(600);
    let replies = broker.reconcile_held_slots(ONE, &held, later);
    assert!(
        matches!(&replies[..], [AddressedReply { to: TWO, request_id: 10, .. }]),
        "{replies:?}"
    );
}

#[test]
fn one_that_stands_in_knows_the_places_that_are_held() {
    let now = Instant::now();
    let held = fill(&mut broker(1, now), ONE, now);
    let mut standby = broker(1, now);
    standby.reconcile_held_slots(ONE, &held[..3], now);
    assert!(is_granted(&ask(&mut standby, TWO, 10, 1, now)));
    assert_eq!(ask(&mut standby, TWO, 11, 1, now), SlotReply::Queued);
    let replies = standby.release(ONE, held[0].0, SERVED, now);
    assert!(
        matches!(&replies[..], [AddressedReply { to: TWO, request_id: 11, .. }]),
        "{replies:?}"
    );
}

#[test]
fn what_a_silent_entry_held_and_waited_for_is_dropped() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    fill(&mut broker, ONE, now);
    ask(&mut broker, ONE, 10, 0, now);
    ask(&mut broker, TWO, 10, 1, now);
    let later = now + Duration::from_millis(1_600);
    broker.reconcile_held_slots(TWO, &[], later);
    let replies = broker.expire_silent(later);
    assert!(
        matches!(&replies[..], [AddressedReply { to: TWO, request_id: 10, .. }]),
        "{replies:?}"
    );
}

#[test]
fn a_service_that_it_does_not_know_is_not_refused_but_passed_on() {
    let now = Instant::now();
    let mut broker = broker(0, now);
    assert_eq!(ask(&mut broker, ONE, 1, 0, now), SlotReply::NotBroker);
}

#[test]
fn messages_survive_their_encoding() {
    let reply = SlotReply::Granted { upstream: UpstreamId(7) };
    let messages = [
        Message::SlotRequest { from: ONE, request_id: 3, job: job(1) },
        Message::SlotReply { from: ONE, request_id: 3, reply },
        Message::Release { from: TWO, request_id: 4, observation: SERVED },
        Message::HeldSlots { from: TWO, slots: vec![(4, UpstreamId(9))] },
        Message::CreditRequest {
            from: ONE,
            request: CreditRequest {
                customer: CustomerId::of("c"),
                number: 1,
                needed: 5.5,
                prefetch: 0.0,
                unreported: 1.5,
            },
        },
        Message::CreditReply {
            from: TWO,
            number: 1,
            reply: CreditReply::Exhausted(Duration::from_millis(3)),
        },
    ];
    for message in messages {
        let bytes = message.encode().expect("encodes");
        assert_eq!(Message::decode(&bytes), Ok(message));
        assert!(Message::decode(&bytes[..1]).is_err());
    }
}

/// What happens to one of a few entries and their messages.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// An entry asks for a place with a new request.
    Ask(u8),
    /// An entry asks again with its newest request.
    AskAgain(u8),
    /// An entry ends one of its requests; the release may be lost.
    End { gateway: u8, request: u8, lost: bool },
    /// An entry says what it holds.
    Hold(u8),
    /// The next verdict arrives, or is lost.
    SlotReply { lost: bool },
    /// Time passes.
    Pass,
}

/// Entries as they see themselves.
#[derive(Debug, Default)]
struct Gateways {
    next: SlotRequestId,
    /// Requests that ask, by entry.
    asking: BTreeSet<(u64, SlotRequestId)>,
    held: BTreeMap<(u64, SlotRequestId), UpstreamId>,
    replies: Vec<AddressedReply>,
}

impl Gateways {
    fn hear(&mut self, broker: &mut Broker, reply: &AddressedReply, now: Instant) {
        let request = (reply.to, reply.request_id);
        let SlotReply::Granted { upstream } = reply.reply else { return };
        if self.asking.remove(&request) {
            self.held.insert(request, upstream);
        } else if !self.held.contains_key(&request) {
            let abandoned = Observation::outcome_only(AttemptOutcome::Abandoned);
            let replies = broker.release(reply.to, reply.request_id, abandoned, now);
            self.replies.extend(replies);
        }
    }

    fn listed(&self, gateway: u64) -> Vec<(SlotRequestId, UpstreamId)> {
        let own = self.held.iter().filter(|((owner, _), _)| *owner == gateway);
        own.map(|((_, request_id), upstream)| (*request_id, *upstream)).collect()
    }
}

/// Shorter than a verdict may be under way, with what passes between a verdict and its arrival.
const PASSING: Duration = Duration::from_millis(60);

/// Verdicts are at most so many steps under way.
const REPLIES_IN_TRANSIT: usize = 4;

#[test]
fn no_upstream_ever_has_more_than_it_works_on_whatever_is_lost() {
    property::check(2_000, |steps: &Vec<Step>| {
        let mut now = Instant::now();
        let mut broker = broker(2, now);
        let mut gateways = Gateways::default();
        for step in steps {
            play(*step, &mut broker, &mut gateways, &mut now);
            let mut taken: BTreeMap<UpstreamId, u32> = BTreeMap::new();
            for upstream in gateways.held.values() {
                *taken.entry(*upstream).or_default() += 1;
            }
            assert!(taken.values().all(|taken| *taken <= SLOTS), "{taken:?}");
        }
    });
}

fn play(step: Step, broker: &mut Broker, gateways: &mut Gateways, now: &mut Instant) {
    let gateway = |number: u8| u64::from(number % 3);
    match step {
        Step::Ask(number) => {
            gateways.next += 1;
            let request = (gateway(number), gateways.next);
            gateways.asking.insert(request);
            let reply = ask(broker, request.0, request.1, number % 3, *now);
            gateways.replies.push(AddressedReply { to: request.0, request_id: request.1, reply });
        }
        Step::AskAgain(number) => {
            let own = |(owner, _): &&(u64, SlotRequestId)| *owner == gateway(number);
            if let Some(request) = gateways.asking.iter().rfind(own).copied() {
                let reply = ask(broker, request.0, request.1, number % 3, *now);
                gateways.replies.push(AddressedReply {
                    to: request.0,
                    request_id: request.1,
                    reply,
                });
            }
        }
        Step::End { gateway: number, request, lost } => {
            let own: Vec<_> = gateways
                .held
                .keys()
                .filter(|(owner, _)| *owner == gateway(number))
                .copied()
                .collect();
            if let Some(ended) = own.get(usize::from(request) % own.len().max(1)) {
                gateways.held.remove(ended);
                if !lost {
                    let replies = broker.release(ended.0, ended.1, SERVED, *now);
                    gateways.replies.extend(replies);
                }
            }
        }
        Step::Hold(number) => {
            let listed = gateways.listed(gateway(number));
            let replies = broker.reconcile_held_slots(gateway(number), &listed, *now);
            gateways.replies.extend(replies);
        }
        Step::SlotReply { lost } => {
            if !gateways.replies.is_empty() {
                let reply = gateways.replies.remove(0);
                if !lost {
                    gateways.hear(broker, &reply, *now);
                }
            }
        }
        Step::Pass => *now += PASSING,
    }
    while gateways.replies.len() > REPLIES_IN_TRANSIT {
        let reply = gateways.replies.remove(0);
        gateways.hear(broker, &reply, *now);
    }
    // Entries that live tell what they hold all the time.
    for gateway in 0..3 {
        let listed = gateways.listed(gateway);
        let replies = broker.reconcile_held_slots(gateway, &listed, *now);
        gateways.replies.extend(replies);
    }
    let replies = broker.expire_silent(*now);
    gateways.replies.extend(replies);
}

fn candidates(cores: &[f64]) -> Vec<Candidate> {
    let candidate = |(id, cores): (usize, &f64)| Candidate { id: id as u64 + 1, cores: *cores };
    cores.iter().enumerate().map(candidate).collect()
}

#[test]
fn entries_agree_on_a_services_broker_and_keep_it_when_another_leaves() {
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
        assert_eq!(rank_candidates(service, &left)[0], ranked[1], "the next one stands in");
    }
}

#[test]
fn services_are_spread_over_large_hosts_and_small_ones_only_stand_in() {
    let mut cores = vec![0.5; 12];
    cores.extend([0.09; 15]);
    let all = candidates(&cores);
    let brokers: BTreeSet<u64> = (0..200)
        .map(|number| {
            rank_candidates(ElectionKey::Service(ServiceId::of(&format!("s{number}"))), &all)[0]
        })
        .collect();
    assert_eq!(brokers, (1..=12).collect(), "each large host brokers some service");
}

#[test]
fn a_broker_that_does_not_answer_is_passed_over_for_a_while() {
    let now = Instant::now();
    let mut peer_health = PeerHealth::default();
    assert!(peer_health.is_available(ONE, now));
    peer_health.record_timeout(ONE, now);
    peer_health.record_timeout(ONE, now + Duration::from_millis(20));
    peer_health.record_timeout(ONE, now + Duration::from_millis(40));
    assert!(!peer_health.is_available(ONE, now + Duration::from_millis(900)));
    assert!(
        peer_health.is_available(ONE, now + Duration::from_millis(1_100)),
        "one silence, noticed thrice"
    );
    let again = now + Duration::from_millis(1_100);
    peer_health.record_timeout(ONE, again);
    assert!(
        !peer_health.is_available(ONE, again + Duration::from_millis(1_500)),
        "longer each time"
    );
    peer_health.record_reply(ONE);
    assert!(peer_health.is_available(ONE, again));
}
