//! Confirmations by the store that customers' keys are still valid.
//!
//! Load pattern: a key is taken away, and the store comes back from a copy in which it is still
//! valid. Until the operators have written again what was lost, what the store holds confirms no
//! key, however recently it was read; otherwise a gateway that is cut off after such a read would
//! accept the key for as long as after any other one.

use std::time::Duration;

use crate::freshness::Freshness;

/// Time after a restore for which reads of the store confirm no keys, unless the configuration is
/// written earlier. As the platform's documentation states, what was lost is back after about two
/// seconds.
const RESTORED_COPY_PERIOD: Duration = Duration::from_secs(2);

/// Confirmations of keys, by own reads of the store and those of peers. All times are uptimes.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeyConfirmation {
    freshness: Freshness,
    /// Time until which the store may hold an older copy.
    doubtful_until: Option<Duration>,
}

impl KeyConfirmation {
    /// Records that the store has come back from an older copy, or may have.
    pub fn record_restore(&mut self, uptime: Duration) {
        self.doubtful_until = Some(uptime + RESTORED_COPY_PERIOD);
    }

    /// Records that the configuration has been written since the restore.
    pub fn record_configuration_written(&mut self) {
        self.doubtful_until = None;
    }

    /// Records a read of the store that was sent at `queried_at`.
    pub fn confirm(&mut self, queried_at: Duration) {
        if self.doubtful_until.is_none_or(|until| queried_at >= until) {
            self.freshness.confirm(queried_at);
        }
    }

    /// Whether the time has ended for which reads confirm no keys, and none has confirmed them
    /// since.
    pub fn awaits_read(&self, uptime: Duration) -> bool {
        self.doubtful_until.is_some_and(|until| {
            uptime >= until && self.freshness.confirmed_at().is_none_or(|at| at < until)
        })
    }

    /// Records that a peer knows the same state, and that the store confirmed its keys then.
    pub fn confirm_by_peer(&mut self, confirmed_at: Duration) {
        self.freshness.confirm(confirmed_at);
    }

    /// Time of the last confirmation; `None` before the first.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.freshness.confirmed_at()
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age(&self, uptime: Duration) -> Option<Duration> {
        self.freshness.age(uptime)
    }

    /// Whether the last confirmation is at most `limit` old.
    pub fn is_within(&self, uptime: Duration, limit: Duration) -> bool {
        self.freshness.is_within(uptime, limit)
    }
}
