//! How many requests may be handed to a second upstream.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The limit on repeats over all entries, as the operators state it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// The span over which repeats and requests are counted.
    pub window: Duration,
    /// Repeats allowed beside the ratio, over all entries.
    pub slack: f64,
}

/// Part of the limit that is used, so that requests counted differently at the edge of a window
/// don't exceed it.
const USED_SHARE: f64 = 0.7;

/// Parts into which the window is cut for counting.
const SLICES: u32 = 10;

#[derive(Debug, Default)]
struct Counts {
    slices: Vec<(u64, u32, u32)>,
}

impl Counts {
    fn slice(&mut self, index: u64) -> &mut (u64, u32, u32) {
        if self.slices.last().is_none_or(|last| last.0 != index) {
            self.slices.push((index, 0, 0));
        }
        let oldest = index.saturating_sub(u64::from(SLICES));
        self.slices.retain(|slice| slice.0 >= oldest);
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn totals(&self) -> (f64, f64) {
        self.slices.iter().fold((0.0, 0.0), |(requests, repeats), slice| {
            (requests + f64::from(slice.1), repeats + f64::from(slice.2))
        })
    }
}

/// This entry's share of the limit, service by service: the ratio of its own requests, and an even
/// part of the slack. No message between entries is needed, and their sum stays within the limit.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    origin: Instant,
    services: HashMap<String, Counts>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(limit: RetryLimit, now: Instant) -> RetryBudget {
        RetryBudget { limit, origin: now, services: HashMap::new() }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    fn index(&self, now: Instant) -> u64 {
        let slice = self.limit.window / SLICES;
        let elapsed = now.saturating_duration_since(self.origin);
        (elapsed.as_micros() / slice.as_micros().max(1)) as u64
    }

    /// Counts a request's first hand-over.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let index = self.index(now);
        self.services.entry(service.to_owned()).or_default().slice(index).1 += 1;
    }

    /// Takes one repeat if there is one left among `gateway_count` that share the slack.
    pub fn try_acquire_retry(&mut self, service: &str, gateway_count: usize, now: Instant) -> bool {
        let index = self.index(now);
        let counts = self.services.entry(service.to_owned()).or_default();
        counts.slice(index);
        let (requests, repeats) = counts.totals();
        let slack = self.limit.slack / gateway_count.max(1) as f64;
        let allowed = USED_SHARE * (self.limit.ratio * requests + slack);
        if repeats + 1.0 > allowed {
            return false;
        }
        counts.slice(index).2 += 1;
        true
    }
}
