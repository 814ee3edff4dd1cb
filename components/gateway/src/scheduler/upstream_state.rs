//! One upstream as the scheduler sees it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::speed::{SpeedEstimate, milliseconds};
use super::{AttemptOutcome, Job, Observation, SlotId};
use crate::model::{PeerId, Upstream, UpstreamId};

/// Pause after an upstream had no place: a step or two of its batch.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// What one ending leaves of the failure rate before it: about the last ten count.
const FAILURE_MEMORY: f64 = 0.9;

/// Two entries that cannot reach an upstream within this time show that it is gone; one may
/// be cut off itself.
const WITNESS_SPAN: Duration = Duration::from_millis(1_500);

/// Pause after an upstream was seen to be gone, doubled at each further time.
const GONE_PAUSE: Duration = Duration::from_millis(500);

/// Doublings of that pause.
const GONE_DOUBLINGS: u32 = 2;

/// A place that was given.
#[derive(Debug)]
struct InFlight {
    /// Prompt tokens that were to be read before its first event, its own included.
    backlog_tokens: f64,
}

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) upstream: Upstream,
    pub(super) id: UpstreamId,
    pub(super) speed: SpeedEstimate,
    in_flight: HashMap<SlotId, InFlight>,
    /// When the prompts that were handed over are expected to be read. Entries tell of a first event
    /// only at the end of the answer.
    read_at: Instant,
    failure_rate: f64,
    paused_until: Option<Instant>,
    /// The last time that it could not be reached, and the entry that said so.
    unreached: Option<(PeerId, Instant)>,
    pauses: u32,
    /// Its address belongs to another instance; its announcement lapses in a few seconds.
    pub(super) is_gone: bool,
}

impl UpstreamState {
    pub(super) fn new(upstream: Upstream, now: Instant) -> UpstreamState {
        UpstreamState {
            id: upstream.id(),
            upstream,
            speed: SpeedEstimate::default(),
            in_flight: HashMap::new(),
            read_at: now,
            failure_rate: 0.0,
            paused_until: None,
            unreached: None,
            pauses: 0,
            is_gone: false,
        }
    }

    /// Requests in flight.
    pub(super) fn running(&self) -> u32 {
        self.in_flight.len() as u32
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running() < self.upstream.slots
    }

    /// Whether it may be given work at all.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        !self.upstream.draining && !self.is_gone && !paused
    }

    /// How strongly its recent answers failed, 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Time to read what was handed over, in milliseconds.
    pub(super) fn backlog_ms(&self, now: Instant) -> f64 {
        milliseconds(self.read_at.saturating_duration_since(now))
    }

    /// Time to the first event of a request that is handed over now, in milliseconds.
    pub(super) fn first_event_ms(&self, prompt_tokens: u32, now: Instant) -> f64 {
        let own_ms = self.speed.prefill_ms(f64::from(prompt_tokens));
        self.backlog_ms(now) + own_ms + self.speed.fixed_ms()
    }

    /// Counts a request in. `prompt_tokens` are those that it does not hold already.
    pub(super) fn assign_slot(&mut self, slot: SlotId, prompt_tokens: u32, now: Instant) {
        let own_ms = self.speed.prefill_ms(f64::from(prompt_tokens));
        let prefill_ms = self.backlog_ms(now) + own_ms;
        self.read_at = now + Duration::from_secs_f64(prefill_ms / 1_000.0);
        let backlog_tokens = prefill_ms / self.speed.prefill_ms(1.0);
        self.in_flight.insert(slot, InFlight { backlog_tokens });
    }

    /// Counts in a place that another broker has given.
    pub(super) fn adopt_slot(&mut self, slot: SlotId) {
        self.in_flight.insert(slot, InFlight { backlog_tokens: 0.0 });
    }

    /// Frees a place and learns from what its entry saw.
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
                self.failure_rate *= FAILURE_MEMORY;
                self.unreached = None;
                self.pauses = 0;
            }
            AttemptOutcome::Failed => {
                self.failure_rate = self.failure_rate * FAILURE_MEMORY + (1.0 - FAILURE_MEMORY);
            }
            AttemptOutcome::Declined => self.paused_until = Some(now + FULL_PAUSE),
            AttemptOutcome::Replaced => self.is_gone = true,
            AttemptOutcome::Unreachable => self.record_unreachable(gateway, now),
            AttemptOutcome::Abandoned => {}
        }
    }

    fn record_unreachable(&mut self, gateway: PeerId, now: Instant) {
        let seconded = self.unreached.is_some_and(|(other, at)| {
            other != gateway && now.saturating_duration_since(at) < WITNESS_SPAN
        });
        if seconded {
            self.paused_until = Some(now + GONE_PAUSE * 2_u32.pow(self.pauses));
            self.pauses = (self.pauses + 1).min(GONE_DOUBLINGS);
        }
        self.unreached = Some((gateway, now));
    }

    /// Time until an answer to a request that is handed over now is whole, in milliseconds.
    pub(super) fn completion_ms(&self, job: &Job, now: Instant) -> f64 {
        self.first_event_ms(job.prompt_tokens, now) + self.speed.output_ms(job.output_tokens)
    }
}
