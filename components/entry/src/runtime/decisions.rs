//! Recent placements, so that an operator can see why a request went where it did.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use clock::unix_ms;
use configuration::{Upstream, UpstreamKind};
use identity::{ConfigVersion, UpstreamId};
use serde::Serialize;
use wire::{RequestKey, Work};

use crate::controllers::membership::Availability;
use crate::filters::Exchange;

/// Placements that are kept.
const DECISION_LIMIT: usize = 1024;

/// Upstreams that a placement lists.
const CANDIDATE_LIMIT: usize = 16;

/// One placement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Decision {
    request_id: String,
    customer: String,
    at_ms: u64,
    version: ConfigVersion,
    tier: Option<u8>,
    chosen: Option<String>,
    candidates: Vec<CandidateRow>,
}

/// An upstream that does this kind of work, as it looked then.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct CandidateRow {
    upstream: String,
    zone: String,
    queued: u32,
    running: u32,
    own_outstanding: u32,
    queued_prefill_tokens: u64,
    /// Age of the load report; absent where none has come.
    heard_ms_ago: Option<u64>,
    /// Why it could not be chosen; empty where it could.
    closed: &'static str,
}

/// The newest placements.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    ring: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Keeps what a request's filters decided.
    pub(crate) fn record(&self, key: Option<&RequestKey>, exchange: &Exchange<'_>, at: SystemTime) {
        let Some(key) = key else { return };
        let decision = Decision {
            request_id: key.request_id.to_string(),
            customer: key.customer.to_string(),
            at_ms: unix_ms(at),
            version: exchange.view.configuration.version,
            tier: exchange.job.as_ref().map(|job| job.tier.0),
            chosen: exchange.upstream.as_ref().map(UpstreamId::to_string),
            candidates: find_rows(exchange),
        };
        let mut ring = self.ring();
        if ring.len() >= DECISION_LIMIT {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Every kept placement of a request, the oldest first.
    pub(crate) fn find(&self, request_id: &str) -> Vec<Decision> {
        let ring = self.ring();
        ring.iter().filter(|decision| decision.request_id == request_id).cloned().collect()
    }

    fn ring(&self) -> MutexGuard<'_, VecDeque<Decision>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The chosen upstream first, then others that do this kind of work.
fn find_rows(exchange: &Exchange<'_>) -> Vec<CandidateRow> {
    let Some(job) = &exchange.job else { return Vec::new() };
    let upstreams = &exchange.view.configuration.document.upstreams;
    let is_chosen = |name: &UpstreamId| exchange.upstream.as_ref() == Some(name);
    let chosen = upstreams.iter().filter(|(name, _)| is_chosen(name));
    let others = upstreams
        .iter()
        .filter(|(name, upstream)| !is_chosen(name) && does(&upstream.kind, &job.work));
    let rows = chosen.chain(others).take(CANDIDATE_LIMIT);
    rows.map(|(name, upstream)| row(exchange, name, upstream)).collect()
}

fn does(kind: &UpstreamKind, work: &Work) -> bool {
    match (kind, work) {
        (UpstreamKind::Engine { models, .. }, Work::Model(call)) => models.contains(&call.model),
        (UpstreamKind::Service { service, .. }, Work::Service(call)) => *service == call.service,
        _ => false,
    }
}

fn row(exchange: &Exchange<'_>, name: &UpstreamId, upstream: &Upstream) -> CandidateRow {
    let status = exchange.view.upstream_statuses.get(name);
    let load = status.map(|status| status.load).unwrap_or_default();
    let closed = match exchange.view.availability(name, exchange.now) {
        _ if exchange.excluded.contains(name) => "tried",
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
            exchange.now.saturating_duration_since(status.reported_at).as_millis() as u64
        }),
        closed,
    }
}
