//! Freshness of the configuration known to this process.

use std::time::Duration;

/// Time at which the store last confirmed that no newer configuration exists.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Records a confirmation. `queried_at` is the uptime at which the request was sent, since the
    /// response may have been in transit for long.
    pub fn confirm(&mut self, queried_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(queried_at));
    }

    /// Uptime of the last confirmation; `None` before the first.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age(&self, uptime: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| uptime.saturating_sub(at))
    }

    /// Whether the last confirmation is at most `limit` old.
    pub fn is_within(&self, uptime: Duration, limit: Duration) -> bool {
        self.age(uptime).is_some_and(|age| age <= limit)
    }
}
