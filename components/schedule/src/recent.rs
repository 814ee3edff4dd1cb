//! Placements made by this entry process that an upstream's last report does not include yet.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use identity::UpstreamId;

use crate::cost::RequestSize;

/// Retention of placements; older ones are included in every report that is used.
const PLACEMENT_RETENTION: Duration = Duration::from_secs(30);

/// Load that an upstream's last report does not include yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnreportedLoad {
    /// Number of requests.
    pub requests: u32,
    /// Total of their prompt tokens.
    pub prompt_tokens: u64,
    /// Total of the tokens that they may generate.
    pub max_tokens: u64,
}

/// Recent placements by this process, for each upstream in order of time.
#[derive(Debug, Default)]
pub struct RecentPlacements {
    by_upstream: HashMap<UpstreamId, VecDeque<(Instant, RequestSize)>>,
}

impl RecentPlacements {
    /// Records a placement.
    pub fn record_placement(&mut self, upstream: &UpstreamId, size: RequestSize, now: Instant) {
        if !self.by_upstream.contains_key(upstream) {
            self.by_upstream.insert(upstream.clone(), VecDeque::new());
        }
        let Some(placements) = self.by_upstream.get_mut(upstream) else { return };
        while placements.front().is_some_and(|(placed_at, _)| {
            now.saturating_duration_since(*placed_at) > PLACEMENT_RETENTION
        }) {
            placements.pop_front();
        }
        placements.push_back((now, size));
    }

    /// Returns the load placed on an upstream after its last report was made.
    pub fn unreported_since(
        &self,
        upstream: &UpstreamId,
        reported_at: Option<Instant>,
    ) -> UnreportedLoad {
        let Some(placements) = self.by_upstream.get(upstream) else {
            return UnreportedLoad::default();
        };
        let mut unreported = UnreportedLoad::default();
        for (placed_at, size) in placements.iter().rev() {
            if reported_at.is_some_and(|reported_at| *placed_at <= reported_at) {
                break;
            }
            unreported.requests += 1;
            unreported.prompt_tokens += u64::from(size.prompt_tokens);
            unreported.max_tokens += u64::from(size.max_tokens);
        }
        unreported
    }
}
