//! One entry gives places to all, over datagrams that may be lost, repeated or late.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use gateway::allowance::{Credit, CustomerId, Draw};
use gateway::broker::{
    AskedJob, Broker, Matter, Message, Reach, Reply, Ticket, Verdict, rank_entries,
};
use gateway::model::{Places, ServiceId, Upstream, UpstreamId};
use gateway::peers::Candidate;
use gateway::scheduler::{Ending, KindId, Observed, Rank};

const SLOTS: u32 = 4;
const ONE: u64 = 1;
const TWO: u64 = 2;
const SERVED: Observed = Observed { ending: Ending::Served, first_event: None, output: None };

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
    let mut broker = Broker::new(Places::default());
    let upstreams: Vec<Upstream> = (0..upstreams).map(upstream).collect();
    broker.set_upstreams(&upstreams, now);
    broker
}

fn job(route_tier: u8) -> AskedJob {
    AskedJob {
        service: ServiceId::of("models"),
        kind: KindId(route_tier.into()),
        rank: Rank { tier: 1, route_tier },
        prompt_tokens: 600,
        output_tokens: 100,
        tokens_per_event: 8,
        session_part: None,
        returning: false,
        waited_ms: 0,
        objective_left_ms: 600,
        pause_objective_ms: None,
        wait_left_ms: 1_800,
        time_left_ms: 12_000,
        excluded: vec![],
        doubtful: vec![],
    }
}

fn ask(broker: &mut Broker, from: u64, ticket: Ticket, route_tier: u8, now: Instant) -> Verdict {
    broker.ask(from, Rc::from("a"), ticket, &job(route_tier), now)
}

fn is_granted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Granted { .. })
}

fn fill(broker: &mut Broker, from: u64, now: Instant) -> Vec<(Ticket, UpstreamId)> {
    let mut held = Vec::new();
    for ticket in 0..SLOTS {
        let verdict = ask(broker, from, ticket, 1, now);
        let upstream = match verdict {
            Verdict::Granted { upstream } => Some(upstream),
            _ => None,
        };
        held.push((ticket, upstream.expect("a place is free")));
    }
    held
}

#[test]
fn many_entries_get_each_place_once() {
    let now = Instant::now();
    let mut broker = broker(20, now);
    let mut granted = 0;
    for entry in 0..30 {
        for ticket in 0..20 {
            granted += u32::from(is_granted(&ask(&mut broker, entry, ticket, 1, now)));
        }
    }
    assert_eq!(granted, 20 * SLOTS);
}

#[test]
fn a_repeated_question_gets_the_same_answer_and_no_second_place() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let held = fill(&mut broker, ONE, now);
    for (ticket, upstream) in held {
        assert_eq!(ask(&mut broker, ONE, ticket, 1, now), Verdict::Granted { upstream });
    }
    assert_eq!(ask(&mut broker, ONE, 100, 1, now), Verdict::Queued);
    assert_eq!(ask(&mut broker, ONE, 100, 1, now), Verdict::Queued);
    assert_eq!(broker.scheduler().waiting(), 1);
}

#[test]
fn a_freed_place_goes_to_the_most_important_request_of_all_entries() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    fill(&mut broker, ONE, now);
    assert_eq!(ask(&mut broker, ONE, 10, 2, now), Verdict::Queued);
    assert_eq!(ask(&mut broker, TWO, 10, 0, now), Verdict::Queued);
    let replies = broker.release(ONE, 0, SERVED, now);
    let [Reply { to, ticket, verdict }] = &replies[..] else { panic!("{replies:?}") };
    assert_eq!((*to, *ticket), (TWO, 10));
    assert!(is_granted(verdict));
}

#[test]
fn a_request_that_no_longer_waits_gets_nothing() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    fill(&mut broker, ONE, now);
    assert_eq!(ask(&mut broker, TWO, 10, 0, now), Verdict::Queued);
    broker.release(TWO, 10, Observed::only(Ending::Abandoned), now);
    assert!(broker.release(ONE, 0, SERVED, now).is_empty());
}

#[test]
fn a_release_that_was_lost_shows_in_what_the_entry_holds() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    let mut held = fill(&mut broker, ONE, now);
    assert_eq!(ask(&mut broker, TWO, 10, 1, now), Verdict::Queued);
    held.pop();
    let soon = now + Duration::from_millis(100);
    assert!(broker.hold(ONE, &held, soon).is_empty(), "a verdict may be under way");
    let later = now + Duration::from_millis(600);
    let replies = broker.hold(ONE, &held, later);
    assert!(matches!(&replies[..], [Reply { to: TWO, ticket: 10, .. }]), "{replies:?}");
}

#[test]
fn one_that_stands_in_knows_the_places_that_are_held() {
    let now = Instant::now();
    let held = fill(&mut broker(1, now), ONE, now);
    let mut stand_in = broker(1, now);
    stand_in.hold(ONE, &held[..3], now);
    assert!(is_granted(&ask(&mut stand_in, TWO, 10, 1, now)));
    assert_eq!(ask(&mut stand_in, TWO, 11, 1, now), Verdict::Queued);
    let replies = stand_in.release(ONE, held[0].0, SERVED, now);
    assert!(matches!(&replies[..], [Reply { to: TWO, ticket: 11, .. }]), "{replies:?}");
}

#[test]
fn what_a_silent_entry_held_and_waited_for_is_dropped() {
    let now = Instant::now();
    let mut broker = broker(1, now);
    fill(&mut broker, ONE, now);
    ask(&mut broker, ONE, 10, 0, now);
    ask(&mut broker, TWO, 10, 1, now);
    let later = now + Duration::from_millis(1_600);
    broker.hold(TWO, &[], later);
    let replies = broker.settle(later);
    assert!(matches!(&replies[..], [Reply { to: TWO, ticket: 10, .. }]), "{replies:?}");
}

#[test]
fn a_service_that_it_does_not_know_is_not_refused_but_passed_on() {
    let now = Instant::now();
    let mut broker = broker(0, now);
    assert_eq!(ask(&mut broker, ONE, 1, 0, now), Verdict::NotHere);
}

#[test]
fn messages_survive_their_encoding() {
    let verdict = Verdict::Granted { upstream: UpstreamId(7) };
    let messages = [
        Message::Ask { from: ONE, ticket: 3, job: job(1) },
        Message::Verdict { from: ONE, ticket: 3, verdict },
        Message::Release { from: TWO, ticket: 4, observed: SERVED },
        Message::Holdings { from: TWO, places: vec![(4, UpstreamId(9))] },
        Message::Draw {
            from: ONE,
            draw: Draw {
                customer: CustomerId::of("c"),
                number: 1,
                needed: 5.5,
                wanted: 0.0,
                owed: 1.5,
            },
        },
        Message::Credit { from: TWO, number: 1, credit: Credit::Empty(Duration::from_millis(3)) },
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
    End { entry: u8, request: u8, lost: bool },
    /// An entry says what it holds.
    Hold(u8),
    /// The next verdict arrives, or is lost.
    Verdict { lost: bool },
    /// Time passes.
    Pass,
}

/// Entries as they see themselves.
#[derive(Debug, Default)]
struct Entries {
    next: Ticket,
    /// Requests that ask, by entry.
    asking: BTreeSet<(u64, Ticket)>,
    held: BTreeMap<(u64, Ticket), UpstreamId>,
    verdicts: Vec<Reply>,
}

impl Entries {
    fn hear(&mut self, broker: &mut Broker, reply: &Reply, now: Instant) {
        let request = (reply.to, reply.ticket);
        let Verdict::Granted { upstream } = reply.verdict else { return };
        if self.asking.remove(&request) {
            self.held.insert(request, upstream);
        } else if !self.held.contains_key(&request) {
            let abandoned = Observed::only(Ending::Abandoned);
            let replies = broker.release(reply.to, reply.ticket, abandoned, now);
            self.verdicts.extend(replies);
        }
    }

    fn listed(&self, entry: u64) -> Vec<(Ticket, UpstreamId)> {
        let own = self.held.iter().filter(|((owner, _), _)| *owner == entry);
        own.map(|((_, ticket), upstream)| (*ticket, *upstream)).collect()
    }
}

/// Shorter than a verdict may be under way, with what passes between a verdict and its arrival.
const PASSING: Duration = Duration::from_millis(60);

/// Verdicts are at most so many steps under way.
const VERDICTS_UNDER_WAY: usize = 4;

#[test]
fn no_upstream_ever_has_more_than_it_works_on_whatever_is_lost() {
    property::check(2_000, |steps: &Vec<Step>| {
        let mut now = Instant::now();
        let mut broker = broker(2, now);
        let mut entries = Entries::default();
        for step in steps {
            play(*step, &mut broker, &mut entries, &mut now);
            let mut taken: BTreeMap<UpstreamId, u32> = BTreeMap::new();
            for upstream in entries.held.values() {
                *taken.entry(*upstream).or_default() += 1;
            }
            assert!(taken.values().all(|taken| *taken <= SLOTS), "{taken:?}");
        }
    });
}

fn play(step: Step, broker: &mut Broker, entries: &mut Entries, now: &mut Instant) {
    let entry = |number: u8| u64::from(number % 3);
    match step {
        Step::Ask(number) => {
            entries.next += 1;
            let request = (entry(number), entries.next);
            entries.asking.insert(request);
            let verdict = ask(broker, request.0, request.1, number % 3, *now);
            entries.verdicts.push(Reply { to: request.0, ticket: request.1, verdict });
        }
        Step::AskAgain(number) => {
            let own = |(owner, _): &&(u64, Ticket)| *owner == entry(number);
            if let Some(request) = entries.asking.iter().rfind(own).copied() {
                let verdict = ask(broker, request.0, request.1, number % 3, *now);
                entries.verdicts.push(Reply { to: request.0, ticket: request.1, verdict });
            }
        }
        Step::End { entry: number, request, lost } => {
            let own: Vec<_> =
                entries.held.keys().filter(|(owner, _)| *owner == entry(number)).copied().collect();
            if let Some(ended) = own.get(usize::from(request) % own.len().max(1)) {
                entries.held.remove(ended);
                if !lost {
                    let replies = broker.release(ended.0, ended.1, SERVED, *now);
                    entries.verdicts.extend(replies);
                }
            }
        }
        Step::Hold(number) => {
            let listed = entries.listed(entry(number));
            let replies = broker.hold(entry(number), &listed, *now);
            entries.verdicts.extend(replies);
        }
        Step::Verdict { lost } => {
            if !entries.verdicts.is_empty() {
                let reply = entries.verdicts.remove(0);
                if !lost {
                    entries.hear(broker, &reply, *now);
                }
            }
        }
        Step::Pass => *now += PASSING,
    }
    while entries.verdicts.len() > VERDICTS_UNDER_WAY {
        let reply = entries.verdicts.remove(0);
        entries.hear(broker, &reply, *now);
    }
    // Entries that live tell what they hold all the time.
    for entry in 0..3 {
        let listed = entries.listed(entry);
        let replies = broker.hold(entry, &listed, *now);
        entries.verdicts.extend(replies);
    }
    let replies = broker.settle(*now);
    entries.verdicts.extend(replies);
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
        let service = Matter::Service(ServiceId::of(&format!("s{number}")));
        let ranked = rank_entries(service, &all);
        assert_eq!(ranked, rank_entries(service, &reversed));
        let without: Vec<Candidate> =
            all.iter().filter(|candidate| candidate.id != ranked[7]).copied().collect();
        assert_eq!(rank_entries(service, &without)[0], ranked[0]);
        let left: Vec<Candidate> =
            all.iter().filter(|candidate| candidate.id != ranked[0]).copied().collect();
        assert_eq!(rank_entries(service, &left)[0], ranked[1], "the next one stands in");
    }
}

#[test]
fn services_are_spread_over_large_hosts_and_small_ones_only_stand_in() {
    let mut cores = vec![0.5; 12];
    cores.extend([0.09; 15]);
    let all = candidates(&cores);
    let brokers: BTreeSet<u64> = (0..200)
        .map(|number| rank_entries(Matter::Service(ServiceId::of(&format!("s{number}"))), &all)[0])
        .collect();
    assert_eq!(brokers, (1..=12).collect(), "each large host brokers some service");
}

#[test]
fn a_broker_that_does_not_answer_is_passed_over_for_a_while() {
    let now = Instant::now();
    let mut reach = Reach::default();
    assert!(reach.is_trusted(ONE, now));
    reach.note_silence(ONE, now);
    reach.note_silence(ONE, now + Duration::from_millis(20));
    reach.note_silence(ONE, now + Duration::from_millis(40));
    assert!(!reach.is_trusted(ONE, now + Duration::from_millis(900)));
    assert!(
        reach.is_trusted(ONE, now + Duration::from_millis(1_100)),
        "one silence, noticed thrice"
    );
    let again = now + Duration::from_millis(1_100);
    reach.note_silence(ONE, again);
    assert!(!reach.is_trusted(ONE, again + Duration::from_millis(1_500)), "longer each time");
    reach.note_answer(ONE);
    assert!(reach.is_trusted(ONE, again));
}
