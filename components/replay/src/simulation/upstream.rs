//! An upstream during the replay: the product's agent core before a fake engine.

use std::time::Duration;

use agent::core::{Core, Cursor, ReadStep};
use bytes::Bytes;
use errors::Refusal;
use identity::{ConfigVersion, DispatchEpoch, ModelId, ServiceId, Tier};
use wire::{Dispatch, ModelCall, RequestKey, ResponseEvent, ServiceCall, Work};

use super::Options;
use crate::engine::Engine;
use crate::trace::{RequestSpec, UpstreamSpec};

/// An offset beyond every answer: a reader that wants the end alone.
const PAST_ANY_ANSWER_BYTES: u64 = 1 << 40;

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) core: Core,
    pub(super) engine: Engine,
    pub(super) stepping: bool,
    pub(super) lost: bool,
}

impl UpstreamState {
    pub(super) fn new(spec: &UpstreamSpec, options: Options) -> UpstreamState {
        UpstreamState {
            core: Core::with_rules(spec.slots, options.agent_rules),
            engine: Engine::new(spec.clone()),
            stepping: false,
            lost: false,
        }
    }

    /// The refusal that ends a request's transcript, where one does.
    pub(super) fn final_refusal(&self, key: &RequestKey) -> Option<Refusal> {
        let mut cursor = Cursor::at(PAST_ANY_ANSWER_BYTES);
        while let ReadStep::Event(event) = self.core.read(key, FIRST_EPOCH, &mut cursor) {
            if let ResponseEvent::Refused(refusal) = event {
                return Some(refusal);
            }
        }
        None
    }
}

/// The epoch of every dispatch: a request goes to each upstream once.
pub(super) const FIRST_EPOCH: DispatchEpoch = DispatchEpoch(1);

pub(super) fn dispatch_of(key: RequestKey, spec: &RequestSpec, left_us: u64) -> Dispatch {
    let work = if spec.service {
        Work::Service(ServiceCall {
            service: ServiceId::new("booking"),
            method: "POST".to_owned(),
            target: "/".to_owned(),
            content_type: String::new(),
            idempotency_key: key.request_id.as_str().to_owned(),
            body: Bytes::new(),
        })
    } else {
        Work::Model(ModelCall {
            model: ModelId::new("model"),
            body: Bytes::new(),
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
        })
    };
    Dispatch {
        key,
        epoch: FIRST_EPOCH,
        tier: Tier(spec.tier),
        time_left: Duration::from_micros(left_us),
        config_version: ConfigVersion(1),
        work,
        process: None,
        registration: None,
    }
}
