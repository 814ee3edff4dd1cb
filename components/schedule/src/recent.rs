//! What an entry process itself has placed since an upstream's last report.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use identity::UpstreamId;

use crate::cost::Size;

/// Placements older than this are in every report that is read.
const KEEP: Duration = Duration::from_secs(30);

/// Work that a report does not contain yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unreported {
    /// Requests.
    pub requests: u32,
    /// Their prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens that they may generate.
    pub max_tokens: u64,
}

/// Own placements of late.
#[derive(Debug, Default)]
pub struct Recent {
    placed: HashMap<UpstreamId, VecDeque<(Instant, Size)>>,
}

impl Recent {
    /// Remembers a placement.
    pub fn add(&mut self, upstream: &UpstreamId, size: Size, now: Instant) {
        if !self.placed.contains_key(upstream) {
            self.placed.insert(upstream.clone(), VecDeque::new());
        }
        let Some(placed) = self.placed.get_mut(upstream) else { return };
        while placed.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > KEEP) {
            placed.pop_front();
        }
        placed.push_back((now, size));
    }

    /// What was placed on an upstream after its report was made.
    pub fn since(&self, upstream: &UpstreamId, reported_at: Option<Instant>) -> Unreported {
        let Some(placed) = self.placed.get(upstream) else { return Unreported::default() };
        let mut unreported = Unreported::default();
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
