//! State that the scheduler keeps for an upstream.
//!
//! Load pattern: a plain service whose requests take less time than the messages about its slots.
//! Counted from their assignment to their release, its slots are all occupied while the upstream
//! itself is idle; it is therefore assigned more requests than it has slots.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::pace::Pace;
use super::speed::{SpeedEstimate, milliseconds};
use super::{AttemptOutcome, Job, Observation, SlotId};
use crate::model::{PeerId, Upstream, UpstreamId, VersionId};

/// Pause after an upstream declined a request: one or two steps of its batch.
const DECLINED_PAUSE: Duration = Duration::from_millis(100);

/// Factor by which each attempt reduces the weight of the earlier ones in the failure rate: about
/// the last ten count.
const FAILURE_RATE_DECAY: f64 = 0.9;

/// An upstream is paused as unreachable if two gateways fail to reach it within this time; a single
/// gateway may itself be cut off.
const UNREACHABLE_CONFIRMATION_WINDOW: Duration = Duration::from_millis(1_500);

/// Pause of an upstream that two gateways found unreachable. It doubles each time that this happens
/// again without a successful response in between.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// Maximum number of doublings of `UNREACHABLE_PAUSE`.
const MAX_PAUSE_DOUBLINGS: u32 = 2;

/// Requests beyond its slots that an upstream of a plain service is assigned, as a multiple of the
/// slots. A slot counts as occupied while the messages about it travel between broker, gateway and
/// upstream, which together takes longer than the upstream needs for a plain request; the upstream
/// would be idle for that time.
const PLAIN_EXTRA_SLOTS: u32 = 1;

/// Number of responses after which an upstream that declined extra requests is assigned one more.
const SERVED_PER_EXTRA_SLOT: u32 = 20;

/// Requests that an upstream of a plain service is assigned beyond its slots. They wait in its own
/// short queue. An upstream that declines one gets half as many, and more again as it responds.
#[derive(Debug, Default)]
struct ExtraSlots {
    limit: u32,
    allowed: u32,
    served: u32,
}

impl ExtraSlots {
    fn record_served(&mut self) {
        self.served += 1;
        if self.served >= SERVED_PER_EXTRA_SLOT {
            self.served = 0;
            self.allowed = (self.allowed + 1).min(self.limit);
        }
    }

    fn record_declined(&mut self) {
        self.served = 0;
        self.allowed /= 2;
    }
}

/// A request that occupies a slot.
#[derive(Debug)]
struct InFlight {
    /// Prompt tokens to prefill before the first event, those of the request included.
    backlog_tokens: f64,
}

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) upstream: Upstream,
    pub(super) id: UpstreamId,
    pub(super) version: VersionId,
    pub(super) speed: SpeedEstimate,
    in_flight: HashMap<SlotId, InFlight>,
    extra_slots: ExtraSlots,
    /// Bounds the requests per second, if the upstream names a limit.
    pace: Option<Pace>,
    /// Expected end of the prefill of all assigned requests. It is an estimate: gateways report the
    /// time of a first event only when the response ends.
    prefill_done_at: Instant,
    failure_rate: f64,
    paused_until: Option<Instant>,
    /// Last gateway that found the upstream unreachable, and when it reported so.
    last_unreachable: Option<(PeerId, Instant)>,
    pause_doublings: u32,
    /// Whether another instance has the address; the announcement expires within a few seconds.
    pub(super) is_replaced: bool,
}

impl UpstreamState {
    pub(super) fn new(upstream: Upstream, now: Instant) -> UpstreamState {
        UpstreamState {
            id: upstream.id(),
            version: upstream.version_id(),
            upstream,
            speed: SpeedEstimate::default(),
            in_flight: HashMap::new(),
            extra_slots: ExtraSlots::default(),
            pace: None,
            prefill_done_at: now,
            failure_rate: 0.0,
            paused_until: None,
            last_unreachable: None,
            pause_doublings: 0,
            is_replaced: false,
        }
    }

    /// Replaces what the upstream announces of itself.
    pub(super) fn update(&mut self, upstream: &Upstream) {
        self.version = upstream.version_id();
        self.upstream = upstream.clone();
    }

    /// Number of requests in flight.
    pub(super) fn running(&self) -> u32 {
        self.in_flight.len() as u32
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running() < self.upstream.slots.saturating_add(self.extra_slots.allowed)
    }

    /// Allows requests beyond the slots, if the upstream belongs to a plain service.
    pub(super) fn allow_extra_slots(&mut self) {
        let limit = self.upstream.slots.saturating_mul(PLAIN_EXTRA_SLOTS);
        if self.extra_slots.limit != limit {
            self.extra_slots = ExtraSlots { limit, allowed: limit, served: 0 };
        }
    }

    /// Limits the requests per second that the upstream is assigned, or ends the limit.
    pub(super) fn set_rate(&mut self, per_second: Option<f64>, now: Instant) {
        match (&mut self.pace, per_second) {
            (Some(pace), Some(per_second)) => pace.set_rate(per_second, now),
            (pace, per_second) => *pace = per_second.map(|rate| Pace::new(rate, now)),
        }
    }

    /// Requests per second that the upstream may be assigned; `None` for any number.
    pub(super) fn rate(&self) -> Option<f64> {
        self.pace.as_ref().map(Pace::per_second)
    }

    /// Whether the upstream may be assigned requests now. One that has had as many as its limit
    /// allows is no candidate: its neighbours take the next ones, even if they suit them less.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        let within_limit = self.pace.as_ref().is_none_or(|pace| pace.allows(now));
        !self.upstream.draining && !self.is_replaced && !paused && within_limit
    }

    /// Moving average of the share of failed attempts, 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Expected time to prefill the prompts of all assigned requests, in milliseconds.
    pub(super) fn backlog_ms(&self, now: Instant) -> f64 {
        milliseconds(self.prefill_done_at.saturating_duration_since(now))
    }

    /// Expected time to the first event of a request that is sent now, in milliseconds.
    pub(super) fn first_event_ms(&self, prompt_tokens: u32, now: Instant) -> f64 {
        let own_ms = self.speed.prefill_ms(f64::from(prompt_tokens));
        self.backlog_ms(now) + own_ms + self.speed.fixed_ms()
    }

    /// Records a slot that is assigned to a request with `prompt_tokens` to prefill. Tokens that
    /// the engine has cached are not among them.
    pub(super) fn assign_slot(&mut self, slot: SlotId, prompt_tokens: u32, now: Instant) {
        let own_ms = self.speed.prefill_ms(f64::from(prompt_tokens));
        let prefill_ms = self.backlog_ms(now) + own_ms;
        self.prefill_done_at = now + Duration::from_secs_f64(prefill_ms / 1_000.0);
        let backlog_tokens = prefill_ms / self.speed.prefill_ms(1.0);
        self.in_flight.insert(slot, InFlight { backlog_tokens });
        if let Some(pace) = &mut self.pace {
            pace.record_assignment(now);
        }
    }

    /// Records a slot that another scheduler has assigned.
    pub(super) fn adopt_slot(&mut self, slot: SlotId) {
        self.in_flight.insert(slot, InFlight { backlog_tokens: 0.0 });
    }

    /// Releases a slot and updates speed and availability from the gateway's observation.
    pub(super) fn release(
        &mut self,
        slot: SlotId,
        gateway: PeerId,
        observation: Observation,
        now: Instant,
    ) {
        let Some(in_flight) = self.in_flight.remove(&slot) else { return };
        if let Some(elapsed) = observation.time_to_first_event
            && in_flight.backlog_tokens > 0.0
        {
            self.speed.observe_prefill(elapsed, in_flight.backlog_tokens);
        }
        if let Some((elapsed, tokens)) = observation.output {
            self.speed.observe_output(elapsed, tokens);
        }
        match observation.outcome {
            AttemptOutcome::Served => {
                self.failure_rate *= FAILURE_RATE_DECAY;
                self.last_unreachable = None;
                self.pause_doublings = 0;
                self.extra_slots.record_served();
            }
            AttemptOutcome::Failed => {
                self.failure_rate =
                    self.failure_rate * FAILURE_RATE_DECAY + (1.0 - FAILURE_RATE_DECAY);
            }
            AttemptOutcome::Declined if self.running() >= self.upstream.slots => {
                self.extra_slots.record_declined();
            }
            AttemptOutcome::Declined => self.paused_until = Some(now + DECLINED_PAUSE),
            AttemptOutcome::Replaced => self.is_replaced = true,
            AttemptOutcome::Unreachable => self.record_unreachable(gateway, now),
            AttemptOutcome::Abandoned => {}
        }
    }

    fn record_unreachable(&mut self, gateway: PeerId, now: Instant) {
        let is_confirmed = self.last_unreachable.is_some_and(|(other, at)| {
            other != gateway && now.saturating_duration_since(at) < UNREACHABLE_CONFIRMATION_WINDOW
        });
        if is_confirmed {
            self.paused_until = Some(now + UNREACHABLE_PAUSE * 2_u32.pow(self.pause_doublings));
            self.pause_doublings = (self.pause_doublings + 1).min(MAX_PAUSE_DOUBLINGS);
        }
        self.last_unreachable = Some((gateway, now));
    }

    /// Expected time until the response to a request that is sent now is complete, in milliseconds.
    pub(super) fn completion_ms(&self, job: &Job, now: Instant) -> f64 {
        self.first_event_ms(job.prompt_tokens, now) + self.speed.output_ms(job.output_tokens)
    }
}
