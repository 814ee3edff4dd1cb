//! One upstream as the scheduler sees it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::speed::{Speed, milliseconds};
use super::{Ending, Job, Observed, PlaceId};
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
struct Taken {
    /// Prompt tokens that were to be read before its first event, its own included.
    backlog_tokens: f64,
}

#[derive(Debug)]
pub(super) struct Tracked {
    pub(super) upstream: Upstream,
    pub(super) id: UpstreamId,
    pub(super) speed: Speed,
    taken: HashMap<PlaceId, Taken>,
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

impl Tracked {
    pub(super) fn new(upstream: Upstream, now: Instant) -> Tracked {
        Tracked {
            id: upstream.id(),
            upstream,
            speed: Speed::default(),
            taken: HashMap::new(),
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
        self.taken.len() as u32
    }

    pub(super) fn has_place(&self) -> bool {
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
        let own_ms = self.speed.reading_ms(f64::from(prompt_tokens));
        self.backlog_ms(now) + own_ms + self.speed.fixed_ms()
    }

    /// Counts a request in. `prompt_tokens` are those that it does not hold already.
    pub(super) fn take(&mut self, place: PlaceId, prompt_tokens: u32, now: Instant) {
        let own_ms = self.speed.reading_ms(f64::from(prompt_tokens));
        let reading_ms = self.backlog_ms(now) + own_ms;
        self.read_at = now + Duration::from_secs_f64(reading_ms / 1_000.0);
        let backlog_tokens = reading_ms / self.speed.reading_ms(1.0);
        self.taken.insert(place, Taken { backlog_tokens });
    }

    /// Counts in a place that another broker has given.
    pub(super) fn take_foreign(&mut self, place: PlaceId) {
        self.taken.insert(place, Taken { backlog_tokens: 0.0 });
    }

    /// Frees a place and learns from what its entry saw.
    pub(super) fn release(
        &mut self,
        place: PlaceId,
        entry: PeerId,
        observed: Observed,
        now: Instant,
    ) {
        let Some(taken) = self.taken.remove(&place) else { return };
        if let Some(elapsed) = observed.first_event
            && taken.backlog_tokens > 0.0
        {
            self.speed.observe(elapsed, taken.backlog_tokens);
        }
        if let Some((elapsed, tokens)) = observed.output {
            self.speed.observe_output(elapsed, tokens);
        }
        match observed.ending {
            Ending::Served => {
                self.failure_rate *= FAILURE_MEMORY;
                self.unreached = None;
                self.pauses = 0;
            }
            Ending::Failed => {
                self.failure_rate = self.failure_rate * FAILURE_MEMORY + (1.0 - FAILURE_MEMORY);
            }
            Ending::Declined => self.paused_until = Some(now + FULL_PAUSE),
            Ending::Replaced => self.is_gone = true,
            Ending::Unreachable => self.note_unreached(entry, now),
            Ending::Abandoned => {}
        }
    }

    fn note_unreached(&mut self, entry: PeerId, now: Instant) {
        let seconded = self.unreached.is_some_and(|(other, at)| {
            other != entry && now.saturating_duration_since(at) < WITNESS_SPAN
        });
        if seconded {
            self.paused_until = Some(now + GONE_PAUSE * 2_u32.pow(self.pauses));
            self.pauses = (self.pauses + 1).min(GONE_DOUBLINGS);
        }
        self.unreached = Some((entry, now));
    }

    /// Time until an answer to a request that is handed over now is whole, in milliseconds.
    pub(super) fn whole_ms(&self, job: &Job, now: Instant) -> f64 {
        self.first_event_ms(job.prompt_tokens, now) + self.speed.output_ms(job.output_tokens)
    }
}
