//! One broker assigns the slots of a service to all gateways, over datagrams that may be lost,
//! duplicated or late.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use gateway::broker::{AddressedReply, Broker, JobExtension, SlotReply, SlotRequestId, WireJob};
use gateway::model::{ServiceId, Topology, Upstream, UpstreamId};
use gateway::scheduler::{AttemptOutcome, Observation, Priority, RouteId};

const SLOTS: u32 = 4;
const GATEWAY_A: u64 = 1;
const GATEWAY_B: u64 = 2;
const SERVED: Observation =
    Observation { outcome: AttemptOutcome::Served, time_to_first_event: None, output: None };

fn upstream(number: u8) -> Upstream {
    Upstream {
        instance: format!("i-{number}").as_str().into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, number], 9000).into(),
        zone: "a".to_owned(),
        version: "v1".into(),
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
        is_stream: true,
        session_part: None,
        is_last_attempt: false,
        waited_ms: 0,
        objective_left_ms: 600,
        pause_objective_ms: None,
        wait_left_ms: 1_800,
        time_left_ms: 12_000,
        excluded: vec![],
        suspect: vec![],
        extension: JobExtension::default(),
    }
}

fn request_slot(
    broker: &mut Broker,
    from: u64,
    request_id: SlotRequestId,
    route_tier: u8,
    now: Instant,
) -> SlotReply {
    broker.request_slot(from, Rc::from("a"), request_id, &job(route_tier), now)
}

fn acquire_all_slots(
    broker: &mut Broker,
    from: u64,
    now: Instant,
) -> Vec<(SlotRequestId, UpstreamId)> {
    let mut held = Vec::new();
    for request_id in 0..SLOTS {
        let reply = request_slot(broker, from, request_id, 1, now);
        let upstream = match reply {
            SlotReply::Granted { upstream } => Some(upstream),
            _ => None,
        };
        held.push((request_id, upstream.expect("a slot is free")));
    }
    held
}

#[test]
fn each_slot_is_assigned_once_among_many_gateways() {
    let now = Instant::now();
    let mut broker = broker(20, now);
    let mut granted = 0;
    for gateway in 0..30 {
        for request_id in 0..20 {
            granted +=
                u32::from(request_slot(&mut broker, gateway, request_id, 1, now).is_granted());
        }
    }
    assert_eq!(granted, 20 * SLOTS);
}

/// Guards against a repeated datagram that occupies a second slot or queue position.
#[test]
fn a_repeated_slot_request_gets_the_same_reply_and_no_second_slot() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let held = acquire_all_slots(&mut broker, GATEWAY_A, now);
    for (request_id, upstream) in held {
        assert_eq!(
            request_slot(&mut broker, GATEWAY_A, request_id, 1, now),
            SlotReply::Granted { upstream }
        );
    }
    assert_eq!(request_slot(&mut broker, GATEWAY_A, 100, 1, now), SlotReply::Queued);
    assert_eq!(request_slot(&mut broker, GATEWAY_A, 100, 1, now), SlotReply::Queued);
    assert_eq!(broker.scheduler().waiting_count(), 1);
}

/// Load pattern: many requests wait at one broker, and datagrams get lost. The list of queued
/// requests shows a gateway what became of each, without a request being queued twice.
#[test]
fn a_gateway_learns_what_became_of_its_queued_requests() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let held = acquire_all_slots(&mut broker, GATEWAY_A, now);
    for request_id in [10, 11] {
        assert_eq!(request_slot(&mut broker, GATEWAY_B, request_id, 1, now), SlotReply::Queued);
    }
    let lost_replies = broker.release(GATEWAY_A, held[0].0, SERVED, now);
    assert_eq!(lost_replies.len(), 1, "one request is assigned the slot");
    let reviewed = broker.review_queued(GATEWAY_B, &[10, 11, 12]);
    let granted = reviewed.iter().filter(|(_, reply)| reply.is_granted()).count();
    let queued = reviewed.iter().filter(|(_, reply)| *reply == SlotReply::Queued).count();
    assert_eq!((granted, queued), (1, 1), "{reviewed:?}");
    assert_eq!(reviewed[2], (12, SlotReply::Unknown), "its request was lost");
    assert_eq!(broker.review_queued(GATEWAY_A, &[10]), [(10, SlotReply::Unknown)]);
    assert_eq!(broker.scheduler().waiting_count(), 1);
}

#[test]
fn a_released_slot_goes_to_the_highest_priority_request_of_all_gateways() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    acquire_all_slots(&mut broker, GATEWAY_A, now);
    assert_eq!(request_slot(&mut broker, GATEWAY_A, 10, 2, now), SlotReply::Queued);
    assert_eq!(request_slot(&mut broker, GATEWAY_B, 10, 0, now), SlotReply::Queued);
    let replies = broker.release(GATEWAY_A, 0, SERVED, now);
    let [AddressedReply { to, request_id, reply }] = &replies[..] else { panic!("{replies:?}") };
    assert_eq!((*to, *request_id), (GATEWAY_B, 10));
    assert!(reply.is_granted());
}

#[test]
fn a_cancelled_slot_request_gets_no_slot() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    acquire_all_slots(&mut broker, GATEWAY_A, now);
    assert_eq!(request_slot(&mut broker, GATEWAY_B, 10, 0, now), SlotReply::Queued);
    broker.release(GATEWAY_B, 10, Observation::outcome_only(AttemptOutcome::Abandoned), now);
    assert!(broker.release(GATEWAY_A, 0, SERVED, now).is_empty());
}

/// Guards against slots that stay occupied because the release was lost, and against slots that are
/// released while the reply that assigns them is still in transit.
#[test]
fn a_lost_release_is_detected_from_the_list_of_held_slots() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let mut held = acquire_all_slots(&mut broker, GATEWAY_A, now);
    assert_eq!(request_slot(&mut broker, GATEWAY_B, 10, 1, now), SlotReply::Queued);
    held.pop();
    let soon = now + Duration::from_millis(100);
    assert!(
        broker.reconcile_held_slots(GATEWAY_A, &held, soon).is_empty(),
        "the reply may be in transit"
    );
    let later = now + Duration::from_millis(600);
    let replies = broker.reconcile_held_slots(GATEWAY_A, &held, later);
    assert!(
        matches!(&replies[..], [AddressedReply { to: GATEWAY_B, request_id: 10, .. }]),
        "{replies:?}"
    );
}

#[test]
fn a_standby_learns_the_held_slots_from_their_holders() {
    let now = Instant::now();
    let held = acquire_all_slots(&mut broker(1, now), GATEWAY_A, now);
    let mut standby = broker(1, now);
    standby.reconcile_held_slots(GATEWAY_A, &held[..3], now);
    assert!(request_slot(&mut standby, GATEWAY_B, 10, 1, now).is_granted());
    assert_eq!(request_slot(&mut standby, GATEWAY_B, 11, 1, now), SlotReply::Queued);
    let replies = standby.release(GATEWAY_A, held[0].0, SERVED, now);
    assert!(
        matches!(&replies[..], [AddressedReply { to: GATEWAY_B, request_id: 11, .. }]),
        "{replies:?}"
    );
}

#[test]
fn slots_and_requests_of_a_silent_gateway_are_dropped() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    acquire_all_slots(&mut broker, GATEWAY_A, now);
    request_slot(&mut broker, GATEWAY_A, 10, 0, now);
    request_slot(&mut broker, GATEWAY_B, 10, 1, now);
    let later = now + Duration::from_millis(1_600);
    broker.reconcile_held_slots(GATEWAY_B, &[], later);
    let replies = broker.expire_silent(later);
    assert!(
        matches!(&replies[..], [AddressedReply { to: GATEWAY_B, request_id: 10, .. }]),
        "{replies:?}"
    );
}

#[test]
fn an_unknown_service_is_answered_with_not_broker() {
    let now = Instant::now();
    let mut broker = broker(0, now);
    assert_eq!(request_slot(&mut broker, GATEWAY_A, 1, 0, now), SlotReply::NotBroker);
}

/// Step of a simulation of three gateways and their messages.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// A gateway sends a new slot request.
    RequestSlot(u8),
    /// A gateway repeats its newest slot request.
    RepeatRequest(u8),
    /// A gateway ends one of its requests; the release may be lost.
    EndRequest { gateway: u8, request: u8, release_lost: bool },
    /// A gateway sends the list of its held slots.
    SendHeldSlots(u8),
    /// The next reply arrives or is lost.
    DeliverReply { lost: bool },
    /// Time passes.
    PassTime,
}

/// State of the gateways as they see it themselves.
#[derive(Debug, Default)]
struct Gateways {
    next_request_id: SlotRequestId,
    /// Pending slot requests, with their gateway.
    pending: BTreeSet<(u64, SlotRequestId)>,
    held: BTreeMap<(u64, SlotRequestId), UpstreamId>,
    replies: Vec<AddressedReply>,
}

impl Gateways {
    fn receive_reply(&mut self, broker: &mut Broker, reply: &AddressedReply, now: Instant) {
        let request = (reply.to, reply.request_id);
        let SlotReply::Granted { upstream } = reply.reply else { return };
        if self.pending.remove(&request) {
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

/// Time that passes in one step: short enough that a reply which is delivered a few steps later
/// still arrives within the time for which a broker keeps a slot that its holder does not list.
const TIME_PER_STEP: Duration = Duration::from_millis(60);

/// Maximum number of replies in transit; when there are more, the oldest ones are delivered.
const REPLIES_IN_TRANSIT: usize = 4;

/// Guards against overloaded upstreams: after lost or late messages, gateways must not hold more
/// slots of an upstream than it has.
#[test]
fn no_upstream_exceeds_its_slots_whatever_messages_are_lost() {
    property::check(2_000, |steps: &Vec<Step>| {
        let mut now = Instant::now();
        let mut broker = broker(2, now);
        let mut gateways = Gateways::default();
        for step in steps {
            apply_step(*step, &mut broker, &mut gateways, &mut now);
            let mut held_slots: BTreeMap<UpstreamId, u32> = BTreeMap::new();
            for upstream in gateways.held.values() {
                *held_slots.entry(*upstream).or_default() += 1;
            }
            assert!(held_slots.values().all(|held_slots| *held_slots <= SLOTS), "{held_slots:?}");
        }
    });
}

fn apply_step(step: Step, broker: &mut Broker, gateways: &mut Gateways, now: &mut Instant) {
    let gateway = |number: u8| u64::from(number % 3);
    match step {
        Step::RequestSlot(number) => {
            gateways.next_request_id += 1;
            let request = (gateway(number), gateways.next_request_id);
            gateways.pending.insert(request);
            let reply = request_slot(broker, request.0, request.1, number % 3, *now);
            gateways.replies.push(AddressedReply { to: request.0, request_id: request.1, reply });
        }
        Step::RepeatRequest(number) => {
            let own = |(owner, _): &&(u64, SlotRequestId)| *owner == gateway(number);
            if let Some(request) = gateways.pending.iter().rfind(own).copied() {
                let reply = request_slot(broker, request.0, request.1, number % 3, *now);
                gateways.replies.push(AddressedReply {
                    to: request.0,
                    request_id: request.1,
                    reply,
                });
            }
        }
        Step::EndRequest { gateway: number, request, release_lost } => {
            let own: Vec<_> = gateways
                .held
                .keys()
                .filter(|(owner, _)| *owner == gateway(number))
                .copied()
                .collect();
            if let Some(request_key) = own.get(usize::from(request) % own.len().max(1)) {
                gateways.held.remove(request_key);
                if !release_lost {
                    let replies = broker.release(request_key.0, request_key.1, SERVED, *now);
                    gateways.replies.extend(replies);
                }
            }
        }
        Step::SendHeldSlots(number) => {
            let listed = gateways.listed(gateway(number));
            let replies = broker.reconcile_held_slots(gateway(number), &listed, *now);
            gateways.replies.extend(replies);
        }
        Step::DeliverReply { lost } => {
            if !gateways.replies.is_empty() {
                let reply = gateways.replies.remove(0);
                if !lost {
                    gateways.receive_reply(broker, &reply, *now);
                }
            }
        }
        Step::PassTime => *now += TIME_PER_STEP,
    }
    while gateways.replies.len() > REPLIES_IN_TRANSIT {
        let reply = gateways.replies.remove(0);
        gateways.receive_reply(broker, &reply, *now);
    }
    // Live gateways send the list of their held slots all the time.
    for gateway in 0..3 {
        let listed = gateways.listed(gateway);
        let replies = broker.reconcile_held_slots(gateway, &listed, *now);
        gateways.replies.extend(replies);
    }
    let replies = broker.expire_silent(*now);
    gateways.replies.extend(replies);
}
