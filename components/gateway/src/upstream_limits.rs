//! Rates that upstreams name in their responses: the requests a second that they take from all
//! gateways together, for as long as their responses say so.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::{StatedLimit, UpstreamId};

/// Time for which limits of upstreams that the store does not list are remembered.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// What an upstream has said of its limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Requests per second; `None` if the upstream names no limit.
    per_second: Option<f64>,
    /// When a response named the limit, or when a request was sent whose response names none.
    at: Instant,
}

/// A limit that has begun, changed or ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests per second; `None` if the limit has ended.
    pub per_second: Option<f64>,
}

/// Limits of upstreams as known to one gateway.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    known: HashMap<UpstreamId, Statement>,
}

impl UpstreamLimits {
    /// Records what a response says of its upstream's limit. `sent_at` is when its request was
    /// sent, or earlier: a response that was under way when the upstream named a limit does not end
    /// it.
    pub fn record_response(
        &mut self,
        upstream: UpstreamId,
        stated: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.known.get(&upstream);
        let statement = match (stated, known) {
            (StatedLimit::Unreadable, _) | (StatedLimit::None, None) => return None,
            (StatedLimit::None, Some(known)) if sent_at < known.at => return None,
            (StatedLimit::None, Some(_)) => Statement { per_second: None, at: sent_at },
            (StatedLimit::PerSecond(per_second), _) => {
                Statement { per_second: Some(per_second), at: now }
            }
        };
        let before = known.and_then(|known| known.per_second);
        self.known.insert(upstream, statement);
        let Statement { per_second, .. } = statement;
        (per_second != before).then_some(LimitChange { upstream, per_second })
    }

    /// Upstreams that have a limit now, and their requests per second.
    pub fn limits(&self) -> impl Iterator<Item = (UpstreamId, f64)> + '_ {
        self.known.iter().filter_map(|(upstream, known)| Some((*upstream, known.per_second?)))
    }

    /// Forgets upstreams that are gone, and limits that ended some time ago.
    pub fn expire(&mut self, is_listed: impl Fn(UpstreamId) -> bool, now: Instant) {
        self.known.retain(|upstream, known| {
            let is_recent = now.saturating_duration_since(known.at) <= UNLISTED_RETENTION;
            is_recent || (known.per_second.is_some() && is_listed(*upstream))
        });
    }
}
