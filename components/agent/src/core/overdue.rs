//! Work that can no longer finish in time is answered before its prefill.

use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use schedule::cost::{decode_time, prefill_time};
use schedule::preempt::TOP_TIER;
use schedule::retry::jitter_retry_after;
use wire::{Dispatch, Work};

use super::{Action, Core};

/// Part of the estimated time that a request takes at the least: answers are shorter than allowed
/// and prompts may be cached.
const LEAST_SHARE: f64 = 0.5;

/// When a caller may come back, on the whole.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Core {
    /// The last moment at which a request can start and still be done in time. The highest tier
    /// is tried until its deadline itself.
    pub(super) fn latest_start(&self, dispatch: &Dispatch, deadline: Instant) -> Instant {
        let Work::Model(call) = &dispatch.work else { return deadline };
        let speed = self.limiter.observed_speed();
        let known = speed.prefill_tokens_per_s > 0 && speed.decode_tokens_per_s > 0;
        if !self.rules.drop_hopeless || dispatch.tier == TOP_TIER || !known {
            return deadline;
        }
        let whole = prefill_time(call.prompt_tokens.into(), speed)
            + decode_time(call.max_tokens.into(), speed);
        deadline.checked_sub(whole.mul_f64(LEAST_SHARE)).unwrap_or(deadline)
    }

    /// Answers every waiting request whose latest start has passed.
    pub(super) fn answer_overdue(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for key in self.queue.take_overdue(now) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            let refusal = if record.deadline <= now {
                Refusal::not_run(ResultCode::DeadlinePassed)
            } else {
                too_late(key.request_id.as_str())
            };
            record.end_not_run(refusal, now);
            actions.push(Action::WakeReaders(key));
        }
        actions
    }
}

/// Another upstream may still be in time; this one would not be.
pub(super) fn too_late(request_id: &str) -> Refusal {
    let wait = jitter_retry_after(RETRY_AFTER, request_id);
    Refusal::not_run(ResultCode::Overloaded).with_retry_after(wait)
}
