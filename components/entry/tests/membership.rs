//! Upstreams that are leaving or whose agent cannot be reached get no new work, and get it again
//! once they are back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use clock::{Clock, ManualClock};
use configuration::{Document, Snapshot};
use entry::controllers::membership::{Availability, AvailabilityState, Event, LEAVING_REPORT_TTL};
use entry::filters::{FilterChain, FilterContext, ParsedRequest, RoutingView, UpstreamStatus};
use identity::{ConfigVersion, ModelId, Tier, UpstreamId, ZoneId};
use serde_json::json;
use web::Request;
use wire::{LoadDigest, ModelCall, Work};

/// Time for which an agent's report that it is leaving must keep new work away. The requirement is
/// that a leaving host gets no new work within a few seconds.
const LEAVING_REPORT_LIMIT: Duration = Duration::from_secs(5);

/// Number of random cases of the property check.
const PROPERTY_CASES: u64 = 5_000;

/// Longest time until an agent that is reachable again gets a first request.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);

fn build_view(statuses: &[(&str, AvailabilityState)], now: Instant) -> RoutingView {
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
        .map(|(name, availability_state)| {
            let status = UpstreamStatus {
                load: LoadDigest::default(),
                reported_at: now,
                own_outstanding: 0,
                availability_state: *availability_state,
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

fn place_request(chain: &FilterChain, view: &RoutingView, now: Instant) -> Option<UpstreamId> {
    let request = Request::new("POST", "/v1/chat/completions");
    let call = ModelCall {
        model: ModelId::new("m"),
        body: bytes::Bytes::new(),
        prompt_tokens: 100,
        max_tokens: 10,
    };
    let parsed_request = ParsedRequest {
        work: Work::Model(call),
        tier: Tier(0),
        non_idempotent: false,
        streamed: true,
        time_limit: Duration::from_secs(10),
    };
    let mut context = FilterContext {
        parsed_request: Some(parsed_request),
        ..FilterContext::new(&request, view, now)
    };
    chain.place_request(&mut context).ok()?;
    context.upstream
}

/// Guards against new work for a leaving agent while the host list, which lags, still shows its
/// host as live.
#[test]
fn agent_that_reports_leaving_gets_no_new_work_while_its_host_is_listed_as_live() {
    let now = ManualClock::new().now();
    let mut availability_state = AvailabilityState::default();
    availability_state.on_event(Event::HostListed { leaving: false }, now);
    availability_state.on_event(Event::AgentReported { leaving: true }, now);
    let routing_view = build_view(&[("a", availability_state)], now);
    let chain = FilterChain::new();
    for _ in 0..50 {
        assert_eq!(place_request(&chain, &routing_view, now), Some(UpstreamId::new("b")));
    }
}

/// Guards against requests that wait for an upstream although none can be reached.
#[test]
fn placement_fails_immediately_when_no_agent_is_reachable() {
    let now = ManualClock::new().now();
    let mut availability_state = AvailabilityState::default();
    availability_state.on_event(Event::AgentUnreachable, now);
    let routing_view = build_view(&[("a", availability_state), ("b", availability_state)], now);
    assert_eq!(place_request(&FilterChain::new(), &routing_view, now), None);
}

/// Guards against sending all new requests to an agent that may still be unreachable after its
/// backoff.
#[test]
fn one_request_at_a_time_probes_an_unreachable_agent() {
    let clock = ManualClock::new();
    let mut availability_state = AvailabilityState::default();
    availability_state.on_event(Event::AgentUnreachable, clock.now());
    clock.advance(Duration::from_millis(250));
    assert_eq!(availability_state.availability(clock.now()), Availability::Available);
    availability_state.on_event(Event::RequestAttempted, clock.now());
    assert_eq!(availability_state.availability(clock.now()), Availability::Unreachable);
    availability_state.on_event(Event::AgentReported { leaving: false }, clock.now());
    assert_eq!(availability_state.availability(clock.now()), Availability::Available);
}

/// One observation, or a wait in tenths of a second.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Listed(bool),
    Reported(bool),
    Attempted,
    Unreachable,
    Wait(u8),
}

/// Guards, in random orders of observations, against new work for a leaving upstream and against
/// one that stays unavailable forever after it could not be reached.
#[test]
fn leaving_upstream_is_unavailable_and_unreachable_one_becomes_available_again() {
    property::check(PROPERTY_CASES, |steps: &Vec<Step>| {
        let clock = ManualClock::new();
        let mut availability_state = AvailabilityState::default();
        let mut listed_leaving = false;
        let mut reported_leaving_at = None;
        for step in steps {
            let now = clock.now();
            match *step {
                Step::Listed(leaving) => {
                    listed_leaving = leaving;
                    availability_state.on_event(Event::HostListed { leaving }, now);
                }
                Step::Reported(leaving) => {
                    reported_leaving_at = leaving.then_some(now);
                    availability_state.on_event(Event::AgentReported { leaving }, now);
                }
                Step::Attempted => availability_state.on_event(Event::RequestAttempted, now),
                Step::Unreachable => availability_state.on_event(Event::AgentUnreachable, now),
                Step::Wait(tenths) => clock.advance(Duration::from_millis(u64::from(tenths) * 100)),
            }
            let now = clock.now();
            let reported_leaving =
                reported_leaving_at.is_some_and(|at| now.duration_since(at) < LEAVING_REPORT_LIMIT);
            let is_unavailable = availability_state.availability(now) != Availability::Available;
            assert!(
                is_unavailable || !(listed_leaving || reported_leaving),
                "available while leaving"
            );
            if !listed_leaving {
                let later = now + RECOVERY_LIMIT.max(LEAVING_REPORT_TTL);
                assert_eq!(
                    availability_state.availability(later),
                    Availability::Available,
                    "never available again"
                );
            }
        }
    });
}
