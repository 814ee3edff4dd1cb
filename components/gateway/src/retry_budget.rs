//! Limits how many requests are sent to a second upstream.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Limit on retries by all gateways together, as set by the operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Sliding window over which retries and requests are counted.
    pub window: Duration,
    /// Allowed retries in addition to the ratio, shared by all gateways.
    pub slack: f64,
}

/// Usable share of the limit. The margin covers requests that the operators count into a different
/// window than the gateway does.
const USABLE_SHARE: f64 = 0.7;

/// Number of slices into which the window is divided for counting.
const WINDOW_SLICES: u32 = 10;

/// Requests and retries of one service in one slice of the window.
#[derive(Debug)]
struct SliceCounts {
    slice_index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service in the sliding window.
#[derive(Debug, Default)]
struct SlidingCounts {
    /// Counts of each slice, oldest first.
    slices: Vec<SliceCounts>,
}

impl SlidingCounts {
    fn slice_at(&mut self, slice_index: u64) -> &mut SliceCounts {
        if self.slices.last().is_none_or(|last| last.slice_index != slice_index) {
            self.slices.push(SliceCounts { slice_index, requests: 0, retries: 0 });
        }
        let oldest = slice_index.saturating_sub(u64::from(WINDOW_SLICES));
        self.slices.retain(|slice| slice.slice_index >= oldest);
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn totals(&self) -> (f64, f64) {
        self.slices.iter().fold((0.0, 0.0), |(requests, retries), slice| {
            (requests + f64::from(slice.requests), retries + f64::from(slice.retries))
        })
    }
}

/// This gateway's part of the retry limit, per service: the ratio applied to its own requests, and
/// an even part of the slack. Gateways need no coordination; the sum of their parts stays within
/// the limit.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    origin: Instant,
    services: HashMap<String, SlidingCounts>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(limit: RetryLimit, now: Instant) -> RetryBudget {
        RetryBudget { limit, origin: now, services: HashMap::new() }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    fn slice_index(&self, now: Instant) -> u64 {
        let slice_length = self.limit.window / WINDOW_SLICES;
        let elapsed = now.saturating_duration_since(self.origin);
        (elapsed.as_micros() / slice_length.as_micros().max(1)) as u64
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let slice_index = self.slice_index(now);
        self.services.entry(service.to_owned()).or_default().slice_at(slice_index).requests += 1;
    }

    /// Acquires one retry, if one is left. The slack is divided among `gateway_count` gateways.
    pub fn try_acquire_retry(&mut self, service: &str, gateway_count: usize, now: Instant) -> bool {
        let slice_index = self.slice_index(now);
        let counts = self.services.entry(service.to_owned()).or_default();
        counts.slice_at(slice_index);
        let (requests, retries) = counts.totals();
        let slack = self.limit.slack / gateway_count.max(1) as f64;
        let allowed = USABLE_SHARE * (self.limit.ratio * requests + slack);
        if retries + 1.0 > allowed {
            return false;
        }
        counts.slice_at(slice_index).retries += 1;
        true
    }
}
