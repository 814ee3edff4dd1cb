//! Where the request goes: the fitting upstream that is expected to finish it first.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use configuration::{Document, Upstream, UpstreamKind};
use errors::{Refusal, ResultCode};
use identity::UpstreamId;
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, Placement, PlacementRequest, Placer};
use schedule::prefix::Fingerprint;
use schedule::retry::jitter_retry_after;
use wire::Work;

use crate::controllers::membership::Availability;

use super::{Exchange, Filter, RoutingView, Step};

/// Round trip within a region.
const NEAR: Duration = Duration::from_millis(1);

/// Round trip between regions.
const FAR: Duration = Duration::from_millis(10);

/// When to come back where nothing fits at the moment.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses the upstream.
#[derive(Debug, Default)]
pub struct Place {
    placer: Mutex<Placer>,
}

impl Filter for Place {
    fn name(&self) -> &'static str {
        "place"
    }

    fn apply(&self, exchange: &mut Exchange<'_>) -> Step {
        let Some(job) = &exchange.job else { return Step::Continue };
        let candidates = find_candidates(exchange, &job.work);
        let request = PlacementRequest {
            size: size_of(&job.work),
            tier: job.tier,
            prompt: &fingerprint_of(&job.work),
            now: exchange.now,
            random: rand::random(),
        };
        let mut placer = self.placer.lock().unwrap_or_else(PoisonError::into_inner);
        match placer.place_request(&candidates, &request) {
            Placement::Upstream { upstream, .. } => {
                exchange.upstream = Some(upstream.clone());
                Step::Continue
            }
            Placement::NoUpstream => {
                let refusal = Refusal::not_run(ResultCode::NoUpstream);
                let id = exchange.key.as_ref().map_or("", |key| key.request_id.as_str());
                Step::Reject(refusal.with_retry_after(jitter_retry_after(RETRY_AFTER, id)))
            }
        }
    }
}

fn size_of(work: &Work) -> RequestSize {
    match work {
        Work::Model(call) => {
            RequestSize { prompt_tokens: call.prompt_tokens, max_tokens: call.max_tokens }
        }
        Work::Service(_) => RequestSize { prompt_tokens: 0, max_tokens: 1 },
    }
}

/// The body as it came stands for the prompt: callers write their fields in one order.
fn fingerprint_of(work: &Work) -> Fingerprint {
    match work {
        Work::Model(call) => Fingerprint::of(&call.body),
        Work::Service(_) => Fingerprint::default(),
    }
}

/// Every upstream that could do the work now.
fn find_candidates<'a>(exchange: &Exchange<'a>, work: &Work) -> Vec<Candidate<'a>> {
    let view = exchange.view;
    let document = &view.configuration.document;
    document
        .upstreams
        .iter()
        .filter(|(name, _)| !exchange.excluded.contains(name))
        .filter(|(_, upstream)| !upstream.draining)
        .filter(|(name, _)| view.availability(name, exchange.now) == Availability::Available)
        .filter_map(|(name, upstream)| candidate(view, document, name, upstream, work))
        .collect()
}

fn candidate<'a>(
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
    let near = document.region_of(&upstream.zone) == document.region_of(&view.zone);
    Some(Candidate {
        upstream: name,
        speed,
        slots,
        load: status.map(|status| status.load).unwrap_or_default(),
        reported_at: status.map(|status| status.reported_at),
        own_outstanding: status.map_or(0, |status| status.own_outstanding),
        round_trip: if near { NEAR } else { FAR },
    })
}
