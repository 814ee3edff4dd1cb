//! Learns how fast an upstream is and how many requests it sustains, from what its agent observes.

use std::time::{Duration, Instant};

use crate::cost::Speed;

/// Longest time between two tokens that callers are promised.
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(60);

/// Share of the gaps that may be longer than the target.
const LATE_SHARE: f64 = 0.05;

/// Share of late gaps below which the limit may grow.
const LATE_SHARE_CALM: f64 = 0.02;

/// How often the limit is looked at.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);

/// Gaps that are needed for a judgement.
const GAPS_NEEDED: u32 = 20;

/// Part of the limit that is kept when gaps grow too long.
const DECREASE: f64 = 0.85;

/// Weight of a new gap in the running mean.
const GAP_WEIGHT: f64 = 0.02;

/// Weight of a slower prefill in the running mean.
const SLOWER_WEIGHT: f64 = 0.2;

/// Weight of a faster prefill, which may owe its speed to a cached prefix.
const FASTER_WEIGHT: f64 = 0.02;

/// Adaptive concurrency limit of one upstream, and the speeds observed of it.
#[derive(Debug)]
pub struct AdaptiveLimiter {
    slots: u32,
    limit: u32,
    gap_s: Option<f64>,
    prefill_tokens_per_s: Option<f64>,
    gaps: u32,
    late_gaps: u32,
    adjusted_at: Option<Instant>,
}

impl AdaptiveLimiter {
    /// An upstream of which nothing has been observed; `slots` bounds the limit.
    pub fn new(slots: u32) -> AdaptiveLimiter {
        AdaptiveLimiter {
            slots,
            limit: slots,
            gap_s: None,
            prefill_tokens_per_s: None,
            gaps: 0,
            late_gaps: 0,
            adjusted_at: None,
        }
    }

    /// Most requests in flight at the moment.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Observed speeds; 0 where unknown.
    pub fn observed_speed(&self) -> Speed {
        Speed {
            prefill_tokens_per_s: self.prefill_tokens_per_s.unwrap_or(0.0) as u32,
            decode_tokens_per_s: self.gap_s.map_or(0, |gap_s| (1.0 / gap_s) as u32),
        }
    }

    /// Records the time between two tokens of one request.
    pub fn observe_token_gap(&mut self, gap: Duration) {
        self.gaps += 1;
        self.late_gaps += u32::from(gap > BETWEEN_TOKENS_TARGET);
        let gap_s = gap.as_secs_f64().max(1e-6);
        self.gap_s = Some(match self.gap_s {
            None => gap_s,
            Some(mean_s) => mean_s + GAP_WEIGHT * (gap_s - mean_s),
        });
    }

    /// Records the time that `tokens` of prompt took, those of others that shared it included.
    pub fn observe_prefill(&mut self, tokens: u64, took: Duration) {
        let speed = tokens as f64 / took.as_secs_f64().max(1e-6);
        self.prefill_tokens_per_s = Some(match self.prefill_tokens_per_s {
            None => speed,
            Some(mean) if speed < mean => mean + SLOWER_WEIGHT * (speed - mean),
            Some(mean) => mean + FASTER_WEIGHT * (speed - mean),
        });
    }

    /// Adapts the limit: down where too many gaps are late, up where none is and work waits.
    pub fn adjust_limit(&mut self, running: u32, waiting: bool, now: Instant) {
        let last = *self.adjusted_at.get_or_insert(now);
        if now.saturating_duration_since(last) < ADJUST_INTERVAL || self.gaps < GAPS_NEEDED {
            return;
        }
        let late = f64::from(self.late_gaps) / f64::from(self.gaps);
        if late > LATE_SHARE {
            self.limit = ((f64::from(running.min(self.limit)) * DECREASE) as u32).max(1);
        } else if late < LATE_SHARE_CALM && waiting && self.limit < self.slots {
            self.limit += 1;
        }
        self.gaps = 0;
        self.late_gaps = 0;
        self.adjusted_at = Some(now);
    }
}
