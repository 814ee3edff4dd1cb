//! How sure the process is that it knows the newest configuration.

use std::time::Duration;

/// When the store last confirmed that no newer configuration exists.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Takes in a confirmation; `asked_at` is the uptime at which the question was sent, since the
    /// answer may have been under way for long.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// How old the last confirmation is; `None` before the first.
    pub fn age(&self, uptime: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| uptime.saturating_sub(at))
    }

    /// Whether the last confirmation is at most `limit` old.
    pub fn is_within(&self, uptime: Duration, limit: Duration) -> bool {
        self.age(uptime).is_some_and(|age| age <= limit)
    }
}
