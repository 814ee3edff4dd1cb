//! What leaves or cannot be reached gets no new work, and what is back gets it again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use clock::{Clock, ManualClock};
use configuration::{Document, Snapshot};
use entry::controllers::membership::{Availability, Event, LEAVING_REPORT_TTL, Member};
use entry::filters::{Exchange, FilterChain, Job, RoutingView, UpstreamStatus};
use identity::{ConfigVersion, ModelId, Tier, UpstreamId, ZoneId};
use serde_json::json;
use web::Request;
use wire::{LoadDigest, ModelCall, Work};

/// The users' few seconds until a leaving host gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);

/// Cases drawn.
const CASES: u64 = 5_000;

/// Longest time that an agent which is back waits for a first request.
const BACK_LIMIT: Duration = Duration::from_secs(8);

fn view(statuses: &[(&str, Member)], now: Instant) -> RoutingView {
    let upstream = |port: u16| {
        json!({ "host": "h", "zone": "z", "agent": format!("127.0.0.1:{port}"), "kind": {
            "engine": { "models": ["m"], "prefill_tokens_per_s": 1000,
                "decode_tokens_per_s": 50, "slots": 8 } } })
    };
    let document: Document = serde_json::from_value(json!({
        "regions": { "r": { "zones": ["z"] } },
        "models": { "m": { "context_tokens": 1000, "max_tokens": 100 } },
        "upstreams": { "a": upstream(1), "b": upstream(2) },
    }))
    .expect("document");
    let statuses: BTreeMap<UpstreamId, UpstreamStatus> = statuses
        .iter()
        .map(|(name, member)| {
            let status = UpstreamStatus {
                load: LoadDigest::default(),
                reported_at: now,
                own_outstanding: 0,
                member: *member,
            };
            (UpstreamId::new(*name), status)
        })
        .collect();
    RoutingView {
        configuration: Arc::new(Snapshot::new(ConfigVersion(1), document)),
        upstream_statuses: Arc::new(statuses),
        zone: ZoneId::new("z"),
        draining: false,
    }
}

fn place(chain: &FilterChain, view: &RoutingView, now: Instant) -> Option<UpstreamId> {
    let request = Request::new("POST", "/v1/chat/completions");
    let call = ModelCall {
        model: ModelId::new("m"),
        body: bytes::Bytes::new(),
        prompt_tokens: 100,
        max_tokens: 10,
    };
    let job = Job {
        work: Work::Model(call),
        tier: Tier(0),
        non_idempotent: false,
        streamed: true,
        deadline: Duration::from_secs(10),
    };
    let mut exchange = Exchange { job: Some(job), ..Exchange::new(&request, view, now) };
    chain.place_again(&mut exchange).ok()?;
    exchange.upstream
}

#[test]
fn an_agent_that_says_it_is_leaving_gets_no_new_work_though_its_host_is_listed_as_live() {
    let now = ManualClock::new().now();
    let mut member = Member::default();
    member.on_event(Event::HostListed { leaving: false }, now);
    member.on_event(Event::AgentReported { leaving: true }, now);
    let view = view(&[("a", member)], now);
    let chain = FilterChain::new();
    for _ in 0..50 {
        assert_eq!(place(&chain, &view, now), Some(UpstreamId::new("b")));
    }
}

#[test]
fn where_no_agent_can_be_reached_the_refusal_comes_at_once() {
    let now = ManualClock::new().now();
    let mut member = Member::default();
    member.on_event(Event::AgentUnreachable, now);
    let view = view(&[("a", member), ("b", member)], now);
    assert_eq!(place(&FilterChain::new(), &view, now), None);
}

#[test]
fn one_request_at_a_time_finds_out_whether_an_agent_is_back() {
    let clock = ManualClock::new();
    let mut member = Member::default();
    member.on_event(Event::AgentUnreachable, clock.now());
    clock.advance(Duration::from_millis(250));
    assert_eq!(member.availability(clock.now()), Availability::Available);
    member.on_event(Event::RequestAttempted, clock.now());
    assert_eq!(member.availability(clock.now()), Availability::Unreachable);
    member.on_event(Event::AgentReported { leaving: false }, clock.now());
    assert_eq!(member.availability(clock.now()), Availability::Available);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Listed(bool),
    Said(bool),
    Tried,
    NotReached,
    Wait(u8),
}

#[test]
fn in_every_order_of_events_leaving_closes_and_silence_never_closes_for_good() {
    property::check(CASES, |steps: &Vec<Step>| {
        let clock = ManualClock::new();
        let mut member = Member::default();
        let mut listed_leaving = false;
        let mut said_leaving_at = None;
        for step in steps {
            let now = clock.now();
            match *step {
                Step::Listed(leaving) => {
                    listed_leaving = leaving;
                    member.on_event(Event::HostListed { leaving }, now);
                }
                Step::Said(leaving) => {
                    said_leaving_at = leaving.then_some(now);
                    member.on_event(Event::AgentReported { leaving }, now);
                }
                Step::Tried => member.on_event(Event::RequestAttempted, now),
                Step::NotReached => member.on_event(Event::AgentUnreachable, now),
                Step::Wait(tenths) => clock.advance(Duration::from_millis(u64::from(tenths) * 100)),
            }
            let now = clock.now();
            let said = said_leaving_at.is_some_and(|at| now.duration_since(at) < LEAVING_LIMIT);
            let closed = member.availability(now) != Availability::Available;
            assert!(closed || !(listed_leaving || said), "open while leaving");
            if !listed_leaving {
                let later = now + BACK_LIMIT.max(LEAVING_REPORT_TTL);
                assert_eq!(member.availability(later), Availability::Available, "closed for good");
            }
        }
    });
}
