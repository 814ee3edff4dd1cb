//! Preemption: cancels a running request of a lower tier in favour of one of the highest tier.

use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use schedule::preempt::{TOP_TIER, choose_victim};
use schedule::retry::jitter_retry_after;

use super::{Action, Core};

/// Mean retry time given to the caller of a preempted request.
const PREEMPTED_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Core {
    /// Cancels the running request of a lower tier that loses the least work. Returns `None` if the
    /// next request in the queue is not of the highest tier, or if no running request can be
    /// cancelled.
    pub(super) fn preempt_for_top_tier(&mut self, now: Instant) -> Option<Vec<Action>> {
        if !self.rules.preempt || self.queue.next_tier() != Some(TOP_TIER) {
            return None;
        }
        let key =
            choose_victim(self.in_flight.running_requests(&self.limiter, now), TOP_TIER)?.clone();
        let retry_after = jitter_retry_after(PREEMPTED_RETRY_AFTER, key.request_id.as_str());
        if let Some(record) = self.records.get_mut(&key) {
            let refusal = Refusal::new(ResultCode::Preempted, Outcome::Ran);
            record.end_started(refusal.with_retry_after(retry_after), now);
        }
        self.in_flight.remove(&key);
        self.cache_response(&key, now);
        Some(vec![Action::Abort(key.clone()), Action::WakeReaders(key)])
    }
}
