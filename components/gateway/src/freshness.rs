//! Freshness of the configuration known to this process.

use std::time::Duration;

/// Lag of this gateway's last store confirmation behind its peers' from which it counts as cut off
/// from the store: the time of two reads of the store and a digest.
const STORE_LAG_LIMIT: Duration = Duration::from_millis(2_000);

/// Time for which the lag must last: that of a read which is under way, or due because peers are
/// ahead.
const MIN_LAG_DURATION: Duration = Duration::from_millis(500);

/// Whether this gateway's knowledge of the store lags behind that of its peers.
///
/// Load pattern: a store that answers nobody for two seconds. The first gateway that it answers is then
/// ahead of all others, which are not cut off; if all of them left their roles, and told all others,
/// the datagrams would grow with the square of the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreLag {
    since: Option<Duration>,
    lasts: bool,
}

impl StoreLag {
    /// Updates the lag at `uptime`, with the times of the latest confirmations.
    pub fn update(&mut self, own: Option<Duration>, peers: Option<Duration>, uptime: Duration) {
        let lags = peers.is_some_and(|latest| own.unwrap_or_default() + STORE_LAG_LIMIT < latest);
        self.since = lags.then(|| self.since.unwrap_or(uptime));
        self.lasts =
            self.since.is_some_and(|since| uptime.saturating_sub(since) >= MIN_LAG_DURATION);
    }

    /// Whether the lag has lasted long enough to count as being cut off.
    pub fn is_cut_off(&self) -> bool {
        self.lasts
    }
}

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
