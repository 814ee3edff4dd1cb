//! Lag behind the peers' knowledge of the store, by which a gateway notices that it is cut off.
//!
//! Load pattern: a store that answers nobody for two seconds. The first gateway that it answers is
//! then ahead of all others, which are not cut off. If all of them left their roles and told all
//! others, the datagrams would grow with the square of the fleet.

use std::time::Duration;

/// Lag of this gateway's last store confirmation behind its peers' from which it counts as cut off
/// from the store: the time of two reads of the store and a digest.
const STORE_LAG_LIMIT: Duration = Duration::from_millis(2_000);

/// Time for which the lag must last: that of a read which is under way, or due because peers are
/// ahead.
const MIN_LAG_DURATION: Duration = Duration::from_millis(500);

/// Whether this gateway's knowledge of the store lags behind that of its peers.
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
