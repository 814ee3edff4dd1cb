//! The agent's core, driven by events and a manual clock.

use std::time::Duration;

use agent::core::{Action, Admission, Core, Cursor, ReadStep, Settlement, UpstreamEvent};
use bytes::Bytes;
use clock::{Clock, ManualClock};
use errors::{Outcome, ResultCode};
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, Tier};
use wire::{AnswerEvent, Dispatch, ModelCall, RequestKey, Work};

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
    assert_eq!(again, Admission::Held);
    assert!(second.is_empty());
}

#[test]
fn a_request_asked_after_before_it_came_is_refused_when_it_comes() {
    let clock = ManualClock::new();
    let mut core = Core::new(4);
    assert_eq!(core.settle(&key("late"), clock.now()), Settlement::Withdrawn);
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
    let actions = core.on_upstream(&key("running"), UpstreamEvent::Finished, clock.now());
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
    core.on_upstream(&key("a"), started, clock.now());
    core.on_upstream(&key("a"), UpstreamEvent::Data(Bytes::from("hello")), clock.now());
    core.on_upstream(&key("a"), UpstreamEvent::Finished, clock.now());
    let mut cursor = Cursor::at(3);
    let mut events = Vec::new();
    while let ReadStep::Event(event) = core.read(&key("a"), &mut cursor) {
        events.push(event);
    }
    let rest = AnswerEvent::Data { offset_bytes: 3, bytes: Bytes::from("lo") };
    assert_eq!(events[1..], [rest, AnswerEvent::Finished { total_bytes: 5 }]);
}

#[test]
fn what_waits_past_its_deadline_is_answered_at_once_and_never_started() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(model_call("running", 0), clock.now());
    core.dispatch(model_call("waits", 0), clock.now());
    clock.advance(Duration::from_secs(11));
    core.on_tick(clock.now());
    let ReadStep::Event(AnswerEvent::Refused(refusal)) =
        core.read(&key("waits"), &mut Cursor::default())
    else {
        panic!("no answer")
    };
    assert_eq!((refusal.code, refusal.outcome), (ResultCode::DeadlinePassed, Outcome::NotRun));
    let actions = core.on_upstream(&key("running"), UpstreamEvent::Finished, clock.now());
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(_))));
}
