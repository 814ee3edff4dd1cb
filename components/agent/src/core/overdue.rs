//! Refuses queued requests that can no longer finish before their deadline.

use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use schedule::cost::{decode_time, prefill_time};
use schedule::preempt::TOP_TIER;
use schedule::retry::jitter_retry_after;
use wire::{Dispatch, Work};

use super::{Action, Core};

/// Lower bound of the time that a request takes, as a share of its estimated time. A response can
/// be shorter than `max_tokens`, and part of the prompt may be cached.
const MIN_TIME_SHARE: f64 = 0.5;

/// Mean retry time given to the caller of a request that can no longer finish in time.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Core {
    /// Returns the latest time at which a request can be started and still finish before its
    /// deadline. It is the deadline itself for requests of the highest tier, for service calls,
    /// while the speed of the upstream is unknown and if the rule `drop_hopeless` is off.
    pub(super) fn latest_start(&self, dispatch: &Dispatch, deadline: Instant) -> Instant {
        let Work::Model(call) = &dispatch.work else { return deadline };
        let speed = self.limiter.observed_speed();
        let is_speed_known = speed.prefill_tokens_per_s > 0 && speed.decode_tokens_per_s > 0;
        if !self.rules.drop_hopeless || dispatch.tier == TOP_TIER || !is_speed_known {
            return deadline;
        }
        let estimated_time = prefill_time(call.prompt_tokens.into(), speed)
            + decode_time(call.max_tokens.into(), speed);
        deadline.checked_sub(estimated_time.mul_f64(MIN_TIME_SHARE)).unwrap_or(deadline)
    }

    /// Refuses every queued request whose latest start has passed.
    pub(super) fn refuse_overdue(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for key in self.queue.take_overdue(now) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            let refusal = if record.deadline <= now {
                Refusal::not_run(ResultCode::DeadlinePassed)
            } else {
                overdue_refusal(key.request_id.as_str())
            };
            record.end_not_run(refusal, now);
            actions.push(Action::WakeReaders(key));
        }
        actions
    }
}

/// Returns the refusal of a request that cannot finish in time at this upstream. It allows a retry,
/// since another upstream may still finish the request in time.
pub(super) fn overdue_refusal(request_id: &str) -> Refusal {
    let retry_after = jitter_retry_after(OVERDUE_RETRY_AFTER, request_id);
    Refusal::not_run(ResultCode::Overloaded).with_retry_after(retry_after)
}
