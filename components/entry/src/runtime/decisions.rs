//! Log of recent placement decisions, from which an operator can see why a request was placed on
//! its upstream.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use clock::unix_ms;
use configuration::{Upstream, UpstreamKind};
use identity::{ConfigVersion, UpstreamId};
use serde::Serialize;
use wire::{RequestKey, Work};

use crate::controllers::membership::Availability;
use crate::filters::FilterContext;

/// Most decisions kept in the log.
const MAX_DECISIONS: usize = 1024;

/// Most upstreams listed in one decision.
const MAX_LISTED_CANDIDATES: usize = 16;

/// Placement decision for one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct PlacementDecision {
    request_id: String,
    customer: String,
    at_ms: u64,
    version: ConfigVersion,
    tier: Option<u8>,
    chosen: Option<String>,
    candidates: Vec<CandidateRow>,
}

/// An upstream that serves this kind of work, with its status at the time of the decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct CandidateRow {
    upstream: String,
    zone: String,
    queued: u32,
    running: u32,
    own_outstanding: u32,
    queued_prefill_tokens: u64,
    /// Time since the last load report, or since the status was created if there was none; absent
    /// if the upstream has no status yet.
    heard_ms_ago: Option<u64>,
    /// Reason why the upstream could not be chosen; empty if it could.
    closed: &'static str,
}

/// The most recent placement decisions.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    ring: Mutex<VecDeque<PlacementDecision>>,
}

impl DecisionLog {
    /// Records the placement decision of a request whose filters have run. When the log is full,
    /// the oldest decision is dropped.
    pub(crate) fn record(
        &self,
        key: Option<&RequestKey>,
        context: &FilterContext<'_>,
        at: SystemTime,
    ) {
        let Some(key) = key else { return };
        let decision = PlacementDecision {
            request_id: key.request_id.to_string(),
            customer: key.customer.to_string(),
            at_ms: unix_ms(at),
            version: context.view.configuration.version,
            tier: context.parsed_request.as_ref().map(|parsed_request| parsed_request.tier.0),
            chosen: context.upstream.as_ref().map(UpstreamId::to_string),
            candidates: list_candidates(context),
        };
        let mut ring = self.ring();
        if ring.len() >= MAX_DECISIONS {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Returns the decisions kept for a request, oldest first.
    pub(crate) fn find(&self, request_id: &str) -> Vec<PlacementDecision> {
        let ring = self.ring();
        ring.iter().filter(|decision| decision.request_id == request_id).cloned().collect()
    }

    fn ring(&self) -> MutexGuard<'_, VecDeque<PlacementDecision>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists the chosen upstream first, then others that serve this kind of work.
fn list_candidates(context: &FilterContext<'_>) -> Vec<CandidateRow> {
    let Some(parsed_request) = &context.parsed_request else { return Vec::new() };
    let upstreams = &context.view.configuration.document.upstreams;
    let is_chosen = |name: &UpstreamId| context.upstream.as_ref() == Some(name);
    let chosen = upstreams.iter().filter(|(name, _)| is_chosen(name));
    let others = upstreams.iter().filter(|(name, upstream)| {
        !is_chosen(name) && can_serve(&upstream.kind, &parsed_request.work)
    });
    let rows = chosen.chain(others).take(MAX_LISTED_CANDIDATES);
    rows.map(|(name, upstream)| build_row(context, name, upstream)).collect()
}

fn can_serve(kind: &UpstreamKind, work: &Work) -> bool {
    match (kind, work) {
        (UpstreamKind::Engine { models, .. }, Work::Model(call)) => models.contains(&call.model),
        (UpstreamKind::Service { service, .. }, Work::Service(call)) => *service == call.service,
        _ => false,
    }
}

fn build_row(context: &FilterContext<'_>, name: &UpstreamId, upstream: &Upstream) -> CandidateRow {
    let status = context.view.upstream_statuses.get(name);
    let load = status.map(|status| status.load).unwrap_or_default();
    let closed = match context.view.availability(name, context.now) {
        _ if context.excluded.contains(name) => "tried",
        _ if upstream.draining => "draining",
        Availability::Leaving => "leaving",
        Availability::Unreachable => "unreachable",
        Availability::Available => "",
    };
    CandidateRow {
        upstream: name.to_string(),
        zone: upstream.zone.to_string(),
        queued: load.queued,
        running: load.running,
        own_outstanding: status.map_or(0, |status| status.own_outstanding),
        queued_prefill_tokens: load.queued_prefill_tokens,
        heard_ms_ago: status.map(|status| {
            context.now.saturating_duration_since(status.reported_at).as_millis() as u64
        }),
        closed,
    }
}
