//! Adaptive concurrency limit of an upstream, and estimates of its speed. Both are derived from the
//! responses that its agent observes.

use std::time::{Duration, Instant};

use crate::cost::Speed;

/// Target for the time between two tokens of a response. Callers are promised that it is not
/// exceeded.
const TOKEN_GAP_TARGET: Duration = Duration::from_millis(60);

/// Share of late gaps, those longer than the target, above which the limit is lowered.
const LOWER_LIMIT_LATE_SHARE: f64 = 0.05;

/// Share of late gaps below which the limit may be raised.
const RAISE_LIMIT_LATE_SHARE: f64 = 0.02;

/// Minimum time between two adjustments of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum number of observed gaps for an adjustment of the limit.
const MIN_GAPS: u32 = 20;

/// Factor by which the limit, or the number of running requests if lower, is multiplied when too
/// many gaps are late.
const DECREASE_FACTOR: f64 = 0.85;

/// Weight of a new gap in the moving average.
const GAP_WEIGHT: f64 = 0.02;

/// Weight of a prefill that is slower than the moving average.
const SLOWER_PREFILL_WEIGHT: f64 = 0.2;

/// Weight of a prefill that is faster than the moving average. It is lower, since such a prefill
/// may owe its speed to a cached prefix.
const FASTER_PREFILL_WEIGHT: f64 = 0.02;

/// Adaptive concurrency limit of one upstream, and its observed speeds.
#[derive(Debug)]
pub struct AdaptiveLimiter {
    slots: u32,
    limit: u32,
    mean_gap_s: Option<f64>,
    prefill_tokens_per_s: Option<f64>,
    gap_count: u32,
    late_gap_count: u32,
    adjusted_at: Option<Instant>,
}

impl AdaptiveLimiter {
    /// Creates the limiter of an upstream that has not been observed yet. `slots` is both the
    /// initial and the highest limit.
    pub fn new(slots: u32) -> AdaptiveLimiter {
        AdaptiveLimiter {
            slots,
            limit: slots,
            mean_gap_s: None,
            prefill_tokens_per_s: None,
            gap_count: 0,
            late_gap_count: 0,
            adjusted_at: None,
        }
    }

    /// Returns the current limit on requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the observed speeds; 0 where nothing has been observed.
    pub fn observed_speed(&self) -> Speed {
        Speed {
            prefill_tokens_per_s: self.prefill_tokens_per_s.unwrap_or(0.0) as u32,
            decode_tokens_per_s: self.mean_gap_s.map_or(0, |gap_s| (1.0 / gap_s) as u32),
        }
    }

    /// Records the time between two tokens of a response.
    pub fn observe_token_gap(&mut self, gap: Duration) {
        self.gap_count += 1;
        self.late_gap_count += u32::from(gap > TOKEN_GAP_TARGET);
        let gap_s = gap.as_secs_f64().max(1e-6);
        self.mean_gap_s = Some(match self.mean_gap_s {
            None => gap_s,
            Some(mean_s) => mean_s + GAP_WEIGHT * (gap_s - mean_s),
        });
    }

    /// Records the duration of a prefill. `tokens` includes the prompt tokens of other requests
    /// that shared the prefill.
    pub fn observe_prefill(&mut self, tokens: u64, duration: Duration) {
        let speed = tokens as f64 / duration.as_secs_f64().max(1e-6);
        self.prefill_tokens_per_s = Some(match self.prefill_tokens_per_s {
            None => speed,
            Some(mean) if speed < mean => mean + SLOWER_PREFILL_WEIGHT * (speed - mean),
            Some(mean) => mean + FASTER_PREFILL_WEIGHT * (speed - mean),
        });
    }

    /// Adjusts the limit to the gaps since the last adjustment. It is lowered if too many of them
    /// were late, and raised by one if few of them were and requests are waiting.
    pub fn adjust_limit(&mut self, running: u32, waiting: bool, now: Instant) {
        let last_adjusted = *self.adjusted_at.get_or_insert(now);
        if now.saturating_duration_since(last_adjusted) < ADJUST_INTERVAL
            || self.gap_count < MIN_GAPS
        {
            return;
        }
        let late_share = f64::from(self.late_gap_count) / f64::from(self.gap_count);
        if late_share > LOWER_LIMIT_LATE_SHARE {
            self.limit = ((f64::from(running.min(self.limit)) * DECREASE_FACTOR) as u32).max(1);
        } else if late_share < RAISE_LIMIT_LATE_SHARE && waiting && self.limit < self.slots {
            self.limit += 1;
        }
        self.gap_count = 0;
        self.late_gap_count = 0;
        self.adjusted_at = Some(now);
    }
}
