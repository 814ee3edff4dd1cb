//! Tests of the highest tier at the agent: its requests are neither refused nor kept waiting while
//! a model request of a lower tier runs, which they preempt.

use std::collections::BTreeMap;
use std::time::Duration;

use agent::core::{Action, Core, Cursor, ReadStep, UpstreamEvent};
use bytes::Bytes;
use clock::{Clock, ManualClock};
use errors::{Outcome, Refusal, ResultCode};
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, ServiceId, Tier};
use wire::{Dispatch, ModelCall, RequestKey, ResponseEvent, ServiceCall, Work};

/// Number of generated cases.
const PROPERTY_CASES: u64 = 5_000;

fn key(id: usize) -> RequestKey {
    RequestKey { customer: CustomerId::new("c"), request_id: RequestId::new(id.to_string()) }
}

fn model_call(id: usize, tier: u8, prompt_tokens: u32) -> Dispatch {
    Dispatch {
        key: key(id),
        epoch: DispatchEpoch(1),
        tier: Tier(tier),
        time_left: Duration::from_secs(600),
        config_version: ConfigVersion(1),
        work: Work::Model(ModelCall {
            model: ModelId::new("m"),
            body: Bytes::new(),
            prompt_tokens,
            max_tokens: 10,
        }),
        process: None,
        registration: None,
    }
}

fn booking(id: usize, tier: u8) -> Dispatch {
    let call = ServiceCall {
        service: ServiceId::new("booking"),
        method: "POST".to_owned(),
        target: "/".to_owned(),
        content_type: String::new(),
        idempotency_key: id.to_string(),
        body: Bytes::new(),
    };
    Dispatch { work: Work::Service(call), ..model_call(id, tier, 0) }
}

fn refusal_of(core: &Core, key: &RequestKey) -> Option<Refusal> {
    let mut cursor = Cursor::default();
    while let ReadStep::Event(event) = core.read(key, DispatchEpoch(1), &mut cursor) {
        if let ResponseEvent::Refused(refusal) = event {
            return Some(refusal);
        }
    }
    None
}

fn started(actions: &[Action]) -> Vec<RequestKey> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::Start(dispatch) => Some(dispatch.key.clone()),
        _ => None,
    });
    keys.collect()
}

fn aborted(actions: &[Action]) -> Vec<RequestKey> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::Abort(key) => Some(key.clone()),
        _ => None,
    });
    keys.collect()
}

/// Guards against preempting a request with much computed prefill while a cheaper one runs.
#[test]
fn highest_tier_preempts_the_request_that_loses_the_least_prefill() {
    let clock = ManualClock::new();
    let mut core = Core::new(2);
    core.dispatch(model_call(1, 3, 50_000), clock.now());
    clock.advance(Duration::from_millis(400));
    core.dispatch(model_call(2, 2, 100), clock.now());
    clock.advance(Duration::from_millis(50));
    let (_, actions) = core.dispatch(model_call(3, 0, 100), clock.now());
    assert_eq!(aborted(&actions), [key(2)]);
    assert_eq!(started(&actions), [key(3)]);
}

/// Guards against a caller that waits for the response of a preempted request.
#[test]
fn preempted_request_is_refused_at_once_as_run_with_a_retry_time() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(model_call(1, 3, 100), clock.now());
    let (_, actions) = core.dispatch(model_call(2, 0, 100), clock.now());
    assert!(actions.contains(&Action::WakeReaders(key(1))));
    let refusal = refusal_of(&core, &key(1)).expect("a refusal");
    assert_eq!((refusal.code, refusal.outcome), (ResultCode::Preempted, Outcome::Ran));
    assert!(refusal.retry_after.is_some());
}

/// Guards against cancelling a call that may have had an effect.
#[test]
fn service_call_is_never_preempted() {
    let clock = ManualClock::new();
    let mut core = Core::new(1);
    core.dispatch(booking(1, 3), clock.now());
    let (_, actions) = core.dispatch(booking(2, 0), clock.now());
    assert!(aborted(&actions).is_empty());
    assert!(started(&actions).is_empty());
}

/// An agent with randomly generated requests and events, checked after every step.
struct RandomizedAgent {
    clock: ManualClock,
    core: Core,
    /// Tier of each request; the index is its id.
    tiers: Vec<u8>,
    /// Tier of each running request, by id.
    running: BTreeMap<usize, u8>,
}

impl RandomizedAgent {
    fn new(limit: u32) -> RandomizedAgent {
        let clock = ManualClock::new();
        RandomizedAgent {
            clock,
            core: Core::new(limit),
            tiers: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    fn step(&mut self, kind: u8, value: u8) {
        let now = self.clock.now();
        let actions = match kind % 4 {
            0 => {
                let id = self.tiers.len();
                self.tiers.push(value % 4);
                let call = model_call(id, value % 4, 100 + u32::from(value) * 100);
                let (_, actions) = self.core.dispatch(call, now);
                // Every response has a reader, as an entry process would be.
                self.core.add_reader(&key(id));
                actions
            }
            1 => self.apply_upstream_event(value, UpstreamEvent::Finished),
            2 => self.apply_upstream_event(value, UpstreamEvent::Data(Bytes::from_static(b"t"))),
            _ => {
                self.clock.advance(Duration::from_millis(u64::from(value) * 10));
                self.core.on_tick(self.clock.now())
            }
        };
        self.perform(&actions);
        self.assert_top_tier_is_preferred();
    }

    fn apply_upstream_event(&mut self, value: u8, event: UpstreamEvent) -> Vec<Action> {
        let nth = usize::from(value) % self.running.len().max(1);
        let Some(id) = self.running.keys().nth(nth).copied() else { return Vec::new() };
        if event == UpstreamEvent::Finished {
            self.running.remove(&id);
        }
        self.core.on_upstream_event(&key(id), event, self.clock.now())
    }

    fn perform(&mut self, actions: &[Action]) {
        for id in aborted(actions).iter().filter_map(|key| key.request_id.as_str().parse().ok()) {
            self.running.remove(&id);
        }
        for key in started(actions) {
            let id = key.request_id.as_str().parse().expect("a number");
            self.running.insert(id, self.tiers[id]);
        }
    }

    fn assert_top_tier_is_preferred(&self) {
        let lower_runs = self.running.values().any(|tier| *tier > 0);
        for (id, _) in self.tiers.iter().enumerate().filter(|(_, tier)| **tier == 0) {
            let refused = refusal_of(&self.core, &key(id));
            assert!(refused.is_none(), "tier 0 was refused: {refused:?}");
        }
        let waits = self.core.next_tier() == Some(Tier(0));
        assert!(!(waits && lower_runs), "tier 0 waits while a lower tier runs");
    }
}

/// Guards, in random orders of requests, upstream events and ticks, against a request of the
/// highest tier that is refused, or that waits while one of a lower tier runs.
#[test]
fn highest_tier_never_waits_or_is_refused_while_a_lower_tier_runs() {
    property::check(PROPERTY_CASES, |(limit, steps): &(u8, Vec<(u8, u8)>)| {
        let mut agent = RandomizedAgent::new(1 + u32::from(limit % 4));
        for (kind, value) in steps {
            agent.step(*kind, *value);
        }
    });
}
