//! An upstream in the simulation: the production agent core in front of a simulated engine.

use std::time::Duration;

use agent::core::{Core, Cursor, ReadStep};
use bytes::Bytes;
use errors::Refusal;
use identity::{ConfigVersion, DispatchEpoch, ModelId, ServiceId, Tier};
use wire::{Dispatch, ModelCall, RequestKey, ResponseEvent, ServiceCall, Work};

use super::Options;
use crate::engine::SimulatedEngine;
use crate::trace::{RequestSpec, UpstreamSpec};

/// Offset beyond the end of every response, to read only the event that ends it.
const OFFSET_PAST_RESPONSE_BYTES: u64 = 1 << 40;

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) core: Core,
    pub(super) engine: SimulatedEngine,
    pub(super) in_step: bool,
    pub(super) is_lost: bool,
}

impl UpstreamState {
    pub(super) fn new(spec: &UpstreamSpec, options: Options) -> UpstreamState {
        UpstreamState {
            core: Core::with_rules(spec.slots, options.agent_rules),
            engine: SimulatedEngine::new(spec.clone()),
            in_step: false,
            is_lost: false,
        }
    }

    /// Returns the refusal that ended a request, if any.
    pub(super) fn final_refusal(&self, key: &RequestKey) -> Option<Refusal> {
        let mut cursor = Cursor::at(OFFSET_PAST_RESPONSE_BYTES);
        while let ReadStep::Event(event) = self.core.read(key, FIRST_EPOCH, &mut cursor) {
            if let ResponseEvent::Refused(refusal) = event {
                return Some(refusal);
            }
        }
        None
    }
}

/// Epoch of every dispatch, as a request is sent to each upstream at most once.
pub(super) const FIRST_EPOCH: DispatchEpoch = DispatchEpoch(1);

pub(super) fn build_dispatch(key: RequestKey, spec: &RequestSpec, time_left_us: u64) -> Dispatch {
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
        time_left: Duration::from_micros(time_left_us),
        config_version: ConfigVersion(1),
        work,
        process: None,
        registration: None,
    }
}
