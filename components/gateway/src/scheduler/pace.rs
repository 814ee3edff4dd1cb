//! Pace at which an upstream with a limit is assigned requests.
//!
//! Load pattern: bursts that are longer than the pause between two turns of a slow upstream, before
//! a broker that takes over and does not know what its predecessor assigned.

use std::time::{Duration, Instant};

/// A bucket holds the requests of this time beside a whole one: a request that comes a little after
/// its turn must not delay the next ones.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Token bucket of an upstream. It starts empty, as it does after a time without a rate: others may
/// have assigned requests until now.
#[derive(Debug)]
pub(super) struct Pace {
    per_second: f64,
    tokens: f64,
    updated_at: Instant,
}

impl Pace {
    pub(super) fn new(per_second: f64, now: Instant) -> Pace {
        Pace { per_second, tokens: 0.0, updated_at: now }
    }

    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Changes the rate; the time until now counts at the rate before.
    pub(super) fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.tokens = if per_second > 0.0 { self.tokens_at(now) } else { 0.0 };
        self.updated_at = now;
        self.per_second = per_second;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let burst = 1.0 + self.per_second * BURST_TIME.as_secs_f64();
        (self.tokens + elapsed_s * self.per_second).min(burst)
    }

    /// Whether a request may be assigned now.
    pub(super) fn allows(&self, now: Instant) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Records an assignment.
    pub(super) fn record_assignment(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated_at = now;
    }
}
