//! Tests of the agent's core, driven by events and a manual clock.

use std::time::Duration;

use agent::core::{
    Action, Admission, Core, Cursor, ReadStep, RequestStatus, ResponseCacheLimits, UpstreamEvent,
};
use bytes::Bytes;
use clock::{Clock, ManualClock};
use errors::{Outcome, ResultCode};
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, Tier};
use wire::{Dispatch, ModelCall, RequestKey, ResponseEvent, Work};

fn key(id: &str) -> RequestKey {
    RequestKey { customer: CustomerId::new("gate"), request_id: RequestId::new(id) }
}

fn model_call(id: &str, tier: u8) -> Dispatch {
    Dispatch {
        key: key(id),
        epoch: DispatchEpoch(1),
        tier: Tier(tier),
        time_left: Duration::from_secs(10),
        config_version: ConfigVersion(1),
        process: None,
        registration: None,
        work: Work::Model(ModelCall {
            model: ModelId::new("m"),
            body: Bytes::new(),
            prompt_tokens: 100,
            max_tokens: 10,
        }),
    }
}

/// Guards against a second run of a request whose dispatch is repeated.
#[test]
fn request_dispatched_twice_is_started_once() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    let (_, first) = core.dispatch(model_call("a", 0), clock.now());
    let (admission, second) = core.dispatch(model_call("a", 0), clock.now());
    assert!(matches!(first.as_slice(), [Action::Start(_)]));
    assert_eq!(admission, Admission::Accepted);
    assert!(second.is_empty());
}

/// Guards against a run of a request that was reported as withdrawn, which happens if its dispatch
/// is delayed and arrives after the query of its status.
#[test]
fn dispatch_that_arrives_after_its_status_query_is_refused() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    assert_eq!(
        core.status_or_withdraw(&key("delayed"), DispatchEpoch(1), clock.now()),
        RequestStatus::Withdrawn
    );
    let (admission, actions) = core.dispatch(model_call("delayed", 0), clock.now());
    let Admission::Refused(refusal) = admission else { panic!("the dispatch was accepted") };
    assert_eq!((refusal.code, refusal.outcome), (ResultCode::Withdrawn, Outcome::NotRun));
    assert!(actions.is_empty());
}

/// Guards against a queue that starts requests in the order of their arrival, whatever their tier.
#[test]
fn request_of_higher_tier_is_started_first() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(model_call("running", 2), clock.now());
    core.dispatch(model_call("low", 2), clock.now());
    core.dispatch(model_call("high", 1), clock.now());
    let actions = core.on_upstream_event(&key("running"), UpstreamEvent::Finished, clock.now());
    let started: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Start(dispatch) => Some(dispatch.key.request_id.as_str().to_owned()),
            _ => None,
        })
        .collect();
    assert_eq!(started, ["high"]);
}

/// Guards against bytes that are missing or repeated after a reader reconnects.
#[test]
fn reader_that_attaches_late_gets_the_response_from_its_offset() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(model_call("a", 0), clock.now());
    let started =
        UpstreamEvent::Started { status: 200, content_type: "text/event-stream".to_owned() };
    core.on_upstream_event(&key("a"), started, clock.now());
    core.on_upstream_event(&key("a"), UpstreamEvent::Data(Bytes::from("hello")), clock.now());
    core.on_upstream_event(&key("a"), UpstreamEvent::Finished, clock.now());
    let mut cursor = Cursor::at(3);
    let mut events = Vec::new();
    while let ReadStep::Event(event) = core.read(&key("a"), DispatchEpoch(1), &mut cursor) {
        events.push(event);
    }
    let rest = ResponseEvent::Data { offset_bytes: 3, bytes: Bytes::from("lo") };
    assert_eq!(events[1..], [rest, ResponseEvent::Finished { total_bytes: 5 }]);
}

/// Guards against starting a request whose caller has already been told that it did not run.
#[test]
fn queued_request_past_its_deadline_is_refused_and_never_started() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(model_call("running", 0), clock.now());
    core.dispatch(model_call("queued", 0), clock.now());
    clock.advance(Duration::from_secs(11));
    core.on_tick(clock.now());
    let ReadStep::Event(ResponseEvent::Refused(refusal)) =
        core.read(&key("queued"), DispatchEpoch(1), &mut Cursor::default())
    else {
        panic!("the request was not refused")
    };
    assert_eq!((refusal.code, refusal.outcome), (ResultCode::DeadlinePassed, Outcome::NotRun));
    let actions = core.on_upstream_event(&key("running"), UpstreamEvent::Finished, clock.now());
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(_))));
}

/// Runs a request until its response with the given text is complete.
fn run_to_completion(core: &mut Core, id: &str, text: &'static str, clock: &ManualClock) {
    core.dispatch(model_call(id, 0), clock.now());
    let started = UpstreamEvent::Started { status: 200, content_type: String::new() };
    core.on_upstream_event(&key(id), started, clock.now());
    core.on_upstream_event(&key(id), UpstreamEvent::Data(Bytes::from(text)), clock.now());
    core.on_upstream_event(&key(id), UpstreamEvent::Finished, clock.now());
}

fn last_event(core: &Core, id: &str) -> Option<ResponseEvent> {
    let mut cursor = Cursor::default();
    let mut last = None;
    while let ReadStep::Event(event) = core.read(&key(id), DispatchEpoch(1), &mut cursor) {
        last = Some(event);
    }
    last
}

fn is_already_ran(event: Option<ResponseEvent>) -> bool {
    matches!(event, Some(ResponseEvent::Refused(refusal))
        if (refusal.code, refusal.outcome) == (ResultCode::AlreadyRan, Outcome::Ran))
}

/// Guards against a second run of a request whose response has been evicted.
#[test]
fn oldest_responses_above_the_cache_limits_are_evicted_and_not_run_again() {
    let clock = ManualClock::new();
    let defaults = ResponseCacheLimits::default();
    for limits in [
        ResponseCacheLimits { soft_count: 2, ..defaults },
        ResponseCacheLimits { soft_size_bytes: 11, ..defaults },
        ResponseCacheLimits { hard_size_bytes: 11, ..defaults },
    ] {
        let mut core = Core::with_response_cache_limits(4, limits);
        ["a", "b", "c"].iter().for_each(|id| run_to_completion(&mut core, id, "hello", &clock));
        assert!(is_already_ran(last_event(&core, "a")));
        assert_eq!(last_event(&core, "b"), Some(ResponseEvent::Finished { total_bytes: 5 }));
        let (admission, actions) = core.dispatch(model_call("a", 0), clock.now());
        assert_eq!((admission, actions.len()), (Admission::Accepted, 0));
    }
}

/// Guards against evicting a response under its reader while unread ones are held.
#[test]
fn response_that_is_being_read_is_evicted_last() {
    let clock = ManualClock::new();
    let mut core = Core::with_response_cache_limits(
        4,
        ResponseCacheLimits { soft_count: 2, ..ResponseCacheLimits::default() },
    );
    run_to_completion(&mut core, "read", "hello", &clock);
    core.add_reader(&key("read"));
    ["b", "c"].iter().for_each(|id| run_to_completion(&mut core, id, "hello", &clock));
    assert_eq!(last_event(&core, "read"), Some(ResponseEvent::Finished { total_bytes: 5 }));
    assert!(is_already_ran(last_event(&core, "b")));
}

/// Guards against a second run of a request whose response is no longer held.
#[test]
fn expired_response_is_dropped_while_the_request_is_still_known_to_have_run() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    run_to_completion(&mut core, "a", "hello", &clock);
    clock.advance(Duration::from_secs(121));
    core.on_tick(clock.now());
    assert!(is_already_ran(last_event(&core, "a")));
}

/// Guards against model requests that occupy the upstream after their caller is gone, and against
/// cancelling one whose reader has only reconnected.
#[test]
fn model_request_without_a_reader_is_cancelled_after_the_timeout() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    for id in ["read", "left", "queued"] {
        core.dispatch(model_call(id, 0), clock.now());
        core.add_reader(&key(id));
    }
    core.remove_reader(&key("read"), clock.now());
    core.add_reader(&key("read"));
    core.remove_reader(&key("queued"), clock.now());
    clock.advance(Duration::from_secs(9));
    assert!(core.on_tick(clock.now()).is_empty());
    clock.advance(Duration::from_millis(1500));
    core.on_tick(clock.now());
    let status_of =
        |core: &mut Core, id| core.status_or_withdraw(&key(id), DispatchEpoch(1), clock.now());
    assert_eq!(status_of(&mut core, "read"), RequestStatus::Running);
    assert_eq!(status_of(&mut core, "queued"), RequestStatus::NotRun);
    core.remove_reader(&key("read"), clock.now());
    clock.advance(Duration::from_secs(11));
    let actions = core.on_tick(clock.now());
    assert!(actions.contains(&Action::Abort(key("read"))));
}

/// Guards against a run of a withdrawn dispatch that arrives after a newer dispatch of the same
/// request.
#[test]
fn withdrawn_dispatch_stays_refused_while_a_newer_one_is_accepted() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.status_or_withdraw(&key("a"), DispatchEpoch(2), clock.now());
    for epoch in [1, 2] {
        let delayed = Dispatch { epoch: DispatchEpoch(epoch), ..model_call("a", 0) };
        assert!(matches!(core.dispatch(delayed, clock.now()).0, Admission::Refused(_)));
    }
    let newer = Dispatch { epoch: DispatchEpoch(3), ..model_call("a", 0) };
    assert_eq!(core.dispatch(newer, clock.now()).0, Admission::Accepted);
    assert_eq!(
        core.status_or_withdraw(&key("a"), DispatchEpoch(2), clock.now()),
        RequestStatus::NotRun
    );
    let delayed = Dispatch { epoch: DispatchEpoch(2), ..model_call("a", 0) };
    assert!(matches!(core.dispatch(delayed, clock.now()).0, Admission::Refused(_)));
}
