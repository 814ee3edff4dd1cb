//! Filter that chooses the upstream: of those that can serve the request, the one that is expected
//! to finish it first, or one that is expected to be nearly as fast.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use configuration::{Document, Upstream, UpstreamKind};
use errors::{Refusal, ResultCode};
use identity::UpstreamId;
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, Placement, PlacementRequest, Placer};
use schedule::prefix::PromptFingerprint;
use schedule::retry::jitter_retry_after;
use wire::Work;

use crate::controllers::membership::Availability;

use super::{Filter, FilterContext, FilterDecision, RoutingView};

/// Assumed network round trip to an upstream in the same region.
const SAME_REGION_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Assumed network round trip to an upstream in another region.
const CROSS_REGION_ROUND_TRIP: Duration = Duration::from_millis(10);

/// Retry time given to the caller when no upstream can serve the request, before jitter.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Filter that sets the upstream.
#[derive(Debug, Default)]
pub struct Place {
    placer: Mutex<Placer>,
}

impl Filter for Place {
    fn name(&self) -> &'static str {
        "place"
    }

    fn apply(&self, context: &mut FilterContext<'_>) -> FilterDecision {
        let Some(parsed_request) = &context.parsed_request else { return FilterDecision::Continue };
        let candidates = find_candidates(context, &parsed_request.work);
        let request = PlacementRequest {
            size: request_size(&parsed_request.work),
            tier: parsed_request.tier,
            prompt: &prompt_fingerprint(&parsed_request.work),
            now: context.now,
            random: rand::random(),
        };
        let mut placer = self.placer.lock().unwrap_or_else(PoisonError::into_inner);
        match placer.place_request(&candidates, &request) {
            Placement::Upstream { upstream, .. } => {
                context.upstream = Some(upstream.clone());
                FilterDecision::Continue
            }
            Placement::NoUpstream => {
                let refusal = Refusal::not_run(ResultCode::NoUpstream);
                let id = context.key.as_ref().map_or("", |key| key.request_id.as_str());
                FilterDecision::Reject(
                    refusal.with_retry_after(jitter_retry_after(NO_UPSTREAM_RETRY_AFTER, id)),
                )
            }
        }
    }
}

fn request_size(work: &Work) -> RequestSize {
    match work {
        Work::Model(call) => {
            RequestSize { prompt_tokens: call.prompt_tokens, max_tokens: call.max_tokens }
        }
        Work::Service(_) => RequestSize { prompt_tokens: 0, max_tokens: 1 },
    }
}

/// Fingerprint of the prompt. It is taken from the raw body instead of the parsed prompt: a caller
/// writes its fields in the same order each time, so equal prompts start with equal bytes.
fn prompt_fingerprint(work: &Work) -> PromptFingerprint {
    match work {
        Work::Model(call) => PromptFingerprint::from_bytes(&call.body),
        Work::Service(_) => PromptFingerprint::default(),
    }
}

/// Returns every upstream that can serve the request and takes new work now.
fn find_candidates<'a>(context: &FilterContext<'a>, work: &Work) -> Vec<Candidate<'a>> {
    let view = context.view;
    let document = &view.configuration.document;
    document
        .upstreams
        .iter()
        .filter(|(name, _)| !context.excluded.contains(name))
        .filter(|(_, upstream)| !upstream.draining)
        .filter(|(name, _)| view.availability(name, context.now) == Availability::Available)
        .filter_map(|(name, upstream)| build_candidate(view, document, name, upstream, work))
        .collect()
}

/// Builds the placement candidate for an upstream; `None` if it does not serve this kind of work.
fn build_candidate<'a>(
    view: &'a RoutingView,
    document: &Document,
    name: &'a UpstreamId,
    upstream: &Upstream,
    work: &Work,
) -> Option<Candidate<'a>> {
    let (speed, slots) = match (&upstream.kind, work) {
        (
            UpstreamKind::Engine { models, prefill_tokens_per_s, decode_tokens_per_s, slots },
            Work::Model(call),
        ) if models.contains(&call.model) => (
            Speed {
                prefill_tokens_per_s: *prefill_tokens_per_s,
                decode_tokens_per_s: *decode_tokens_per_s,
            },
            *slots,
        ),
        (UpstreamKind::Service { service, slots }, Work::Service(call))
            if *service == call.service =>
        {
            (Speed { prefill_tokens_per_s: 1, decode_tokens_per_s: 1 }, *slots)
        }
        _ => return None,
    };
    let status = view.upstream_statuses.get(name);
    let is_same_region = document.region_of(&upstream.zone) == document.region_of(&view.zone);
    Some(Candidate {
        upstream: name,
        speed,
        slots,
        load: status.map(|status| status.load).unwrap_or_default(),
        reported_at: status.map(|status| status.reported_at),
        own_outstanding: status.map_or(0, |status| status.own_outstanding),
        round_trip: if is_same_region { SAME_REGION_ROUND_TRIP } else { CROSS_REGION_ROUND_TRIP },
    })
}
