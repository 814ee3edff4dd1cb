//! A slot at an upstream that is released when its guard is dropped.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::state::Shared;
use crate::broker::SlotRequestId;
use crate::model::{PeerId, Upstream};
use crate::scheduler::{AttemptOutcome, Observation};

/// Holds a slot at an upstream for one attempt.
pub(super) struct SlotGuard {
    shared: Rc<Shared>,
    /// The broker that granted the slot.
    broker: PeerId,
    request_id: SlotRequestId,
    upstream: Upstream,
    assigned_at: Instant,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    output_tokens: u32,
    held: bool,
}

impl SlotGuard {
    pub(super) fn new(
        shared: Rc<Shared>,
        broker: PeerId,
        request_id: SlotRequestId,
        upstream: Upstream,
    ) -> SlotGuard {
        let assigned_at = shared.clock.now();
        shared.register_held_slot(request_id, upstream.id(), assigned_at);
        SlotGuard {
            shared,
            broker,
            request_id,
            upstream,
            assigned_at,
            first_event_at: None,
            last_event_at: None,
            output_tokens: 0,
            held: true,
        }
    }

    /// Moves the slot to a new guard; this one no longer releases it.
    pub(super) fn transfer(&mut self) -> SlotGuard {
        let held = std::mem::take(&mut self.held);
        SlotGuard { shared: self.shared.clone(), upstream: self.upstream.clone(), held, ..*self }
    }

    pub(super) fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// The gateway that granted the slot.
    pub(super) fn broker(&self) -> PeerId {
        self.broker
    }

    /// When the slot was granted.
    pub(super) fn assigned_at(&self) -> Instant {
        self.assigned_at
    }

    /// Records the first event of a stream, or the head of a plain response.
    pub(super) fn record_first_event(&mut self) {
        let now = self.shared.clock.now();
        self.first_event_at = Some(now);
        self.last_event_at = Some(now);
        self.record_activity();
    }

    /// Whether the upstream has begun to answer: a first event, or the head of a plain response.
    pub(super) fn has_begun(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Records further events of a stream, and returns the pause before them.
    pub(super) fn record_events(&mut self, tokens: u32) -> Duration {
        let now = self.shared.clock.now();
        let previous = self.last_event_at.replace(now).unwrap_or(now);
        self.output_tokens = self.output_tokens.saturating_add(tokens);
        self.record_activity();
        now.saturating_duration_since(previous)
    }

    /// Records that the upstream has sent data.
    pub(super) fn record_activity(&self) {
        let now = self.shared.clock.now();
        self.shared.reachability.borrow_mut().record_response(self.upstream.id(), now);
    }

    /// Releases the slot, once, and reports to its broker what was observed.
    pub(super) fn release(&mut self, outcome: AttemptOutcome) {
        if !std::mem::take(&mut self.held) {
            return;
        }
        let observation = self.observation(outcome);
        self.shared.release_held_slot(
            self.broker,
            self.request_id,
            self.upstream.id(),
            observation,
        );
    }

    fn observation(&self, outcome: AttemptOutcome) -> Observation {
        let time_to_first_event =
            self.first_event_at.map(|at| at.saturating_duration_since(self.assigned_at));
        let output = self
            .first_event_at
            .zip(self.last_event_at)
            .map(|(first, last)| (last.saturating_duration_since(first), self.output_tokens));
        Observation {
            outcome,
            time_to_first_event,
            output: output.filter(|(_, tokens)| *tokens > 0),
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.release(AttemptOutcome::Abandoned);
    }
}
