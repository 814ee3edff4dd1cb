//! Room for the highest tier: what runs of lower tiers gives way.

use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use schedule::preempt::{TOP_TIER, choose_victim};
use schedule::retry::jitter_retry_after;

use super::{Action, Core};

/// When the one that gave way may come back, on the whole.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Core {
    /// Cancels what loses the least of a lower tier; `None` where the next in the queue is not of
    /// the highest tier or nothing can give way.
    pub(super) fn make_room(&mut self, now: Instant) -> Option<Vec<Action>> {
        if !self.rules.preempt || self.queue.next_tier() != Some(TOP_TIER) {
            return None;
        }
        let key = choose_victim(self.in_flight.running(&self.limiter, now), TOP_TIER)?.clone();
        let retry_after = jitter_retry_after(RETRY_AFTER, key.request_id.as_str());
        if let Some(record) = self.records.get_mut(&key) {
            let refusal = Refusal::new(ResultCode::Preempted, Outcome::Ran);
            record.end(refusal.with_retry_after(retry_after), now);
        }
        self.in_flight.remove(&key);
        self.hold(&key, now);
        Some(vec![Action::Abort(key.clone()), Action::WakeReaders(key)])
    }
}
