//! The agent's core, driven by events and a manual clock.

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

#[test]
fn a_request_is_started_once_however_often_it_is_handed_over() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    let (_, first) = core.dispatch(model_call("a", 0), clock.now());
    let (again, second) = core.dispatch(model_call("a", 0), clock.now());
    assert!(matches!(first.as_slice(), [Action::Start(_)]));
    assert_eq!(again, Admission::Accepted);
    assert!(second.is_empty());
}

#[test]
fn a_request_asked_after_before_it_came_is_refused_when_it_comes() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    assert_eq!(
        core.status_or_withdraw(&key("late"), DispatchEpoch(1), clock.now()),
        RequestStatus::Withdrawn
    );
    let (admission, actions) = core.dispatch(model_call("late", 0), clock.now());
    let Admission::Refused(refusal) = admission else { panic!("held") };
    assert_eq!((refusal.code, refusal.outcome), (ResultCode::Withdrawn, Outcome::NotRun));
    assert!(actions.is_empty());
}

#[test]
fn the_higher_tier_is_started_first() {
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

#[test]
fn a_reader_that_joins_late_gets_the_rest_from_its_offset() {
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

#[test]
fn what_waits_past_its_deadline_is_answered_at_once_and_never_started() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(model_call("running", 0), clock.now());
    core.dispatch(model_call("waits", 0), clock.now());
    clock.advance(Duration::from_secs(11));
    core.on_tick(clock.now());
    let ReadStep::Event(ResponseEvent::Refused(refusal)) =
        core.read(&key("waits"), DispatchEpoch(1), &mut Cursor::default())
    else {
        panic!("no answer")
    };
    assert_eq!((refusal.code, refusal.outcome), (ResultCode::DeadlinePassed, Outcome::NotRun));
    let actions = core.on_upstream_event(&key("running"), UpstreamEvent::Finished, clock.now());
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(_))));
}

/// A finished answer of the given length.
fn finish(core: &mut Core, id: &str, text: &'static str, clock: &ManualClock) {
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

#[test]
fn the_oldest_finished_answers_give_way_and_are_never_run_again() {
    let clock = ManualClock::new();
    let roomy = ResponseCacheLimits::default();
    for limits in [
        ResponseCacheLimits { soft_count: 2, ..roomy },
        ResponseCacheLimits { soft_size_bytes: 11, ..roomy },
        ResponseCacheLimits { hard_size_bytes: 11, ..roomy },
    ] {
        let mut core = Core::with_response_cache_limits(4, limits);
        ["a", "b", "c"].iter().for_each(|id| finish(&mut core, id, "hello", &clock));
        assert!(is_already_ran(last_event(&core, "a")));
        assert_eq!(last_event(&core, "b"), Some(ResponseEvent::Finished { total_bytes: 5 }));
        let (admission, actions) = core.dispatch(model_call("a", 0), clock.now());
        assert_eq!((admission, actions.len()), (Admission::Accepted, 0));
    }
}

#[test]
fn an_answer_that_is_being_read_gives_way_last() {
    let clock = ManualClock::new();
    let mut core = Core::with_response_cache_limits(
        4,
        ResponseCacheLimits { soft_count: 2, ..ResponseCacheLimits::default() },
    );
    finish(&mut core, "read", "hello", &clock);
    core.add_reader(&key("read"));
    ["b", "c"].iter().for_each(|id| finish(&mut core, id, "hello", &clock));
    assert_eq!(last_event(&core, "read"), Some(ResponseEvent::Finished { total_bytes: 5 }));
    assert!(is_already_ran(last_event(&core, "b")));
}

#[test]
fn an_answer_that_is_held_for_long_enough_is_dropped_and_its_end_remembered() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    finish(&mut core, "a", "hello", &clock);
    clock.advance(Duration::from_secs(121));
    core.on_tick(clock.now());
    assert!(is_already_ran(last_event(&core, "a")));
}

#[test]
fn a_model_request_that_nobody_reads_is_ended_after_a_while() {
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

#[test]
fn a_withdrawn_dispatch_stays_refused_while_a_later_one_is_taken() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.status_or_withdraw(&key("a"), DispatchEpoch(2), clock.now());
    for epoch in [1, 2] {
        let late = Dispatch { epoch: DispatchEpoch(epoch), ..model_call("a", 0) };
        assert!(matches!(core.dispatch(late, clock.now()).0, Admission::Refused(_)));
    }
    let later = Dispatch { epoch: DispatchEpoch(3), ..model_call("a", 0) };
    assert_eq!(core.dispatch(later, clock.now()).0, Admission::Accepted);
    assert_eq!(
        core.status_or_withdraw(&key("a"), DispatchEpoch(2), clock.now()),
        RequestStatus::NotRun
    );
    let late = Dispatch { epoch: DispatchEpoch(2), ..model_call("a", 0) };
    assert!(matches!(core.dispatch(late, clock.now()).0, Admission::Refused(_)));
}
