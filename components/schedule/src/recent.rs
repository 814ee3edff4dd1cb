//! What an entry process itself has placed since an upstream's last report.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use identity::UpstreamId;

use crate::cost::RequestSize;

/// Placements older than this are in every report that is read.
const KEEP: Duration = Duration::from_secs(30);

/// Work that a report does not contain yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnreportedLoad {
    /// Requests.
    pub requests: u32,
    /// Their prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens that they may generate.
    pub max_tokens: u64,
}

/// Recent placements by this process.
#[derive(Debug, Default)]
pub struct RecentPlacements {
    placed: HashMap<UpstreamId, VecDeque<(Instant, RequestSize)>>,
}

impl RecentPlacements {
    /// Records a placement.
    pub fn record_placement(&mut self, upstream: &UpstreamId, size: RequestSize, now: Instant) {
        if !self.placed.contains_key(upstream) {
            self.placed.insert(upstream.clone(), VecDeque::new());
        }
        let Some(placed) = self.placed.get_mut(upstream) else { return };
        while placed.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > KEEP) {
            placed.pop_front();
        }
        placed.push_back((now, size));
    }

    /// Work placed on an upstream after its last report was made.
    pub fn unreported_since(
        &self,
        upstream: &UpstreamId,
        reported_at: Option<Instant>,
    ) -> UnreportedLoad {
        let Some(placed) = self.placed.get(upstream) else { return UnreportedLoad::default() };
        let mut unreported = UnreportedLoad::default();
        for (at, size) in placed.iter().rev() {
            if reported_at.is_some_and(|reported_at| *at <= reported_at) {
                break;
            }
            unreported.requests += 1;
            unreported.prompt_tokens += u64::from(size.prompt_tokens);
            unreported.max_tokens += u64::from(size.max_tokens);
        }
        unreported
    }
}
