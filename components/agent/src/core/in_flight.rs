//! What the upstream works on, and what its answers tell of its pace.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use identity::Tier;
use schedule::adaptive_limiter::AdaptiveLimiter;
use schedule::preempt::{RunningRequest, TOP_TIER};
use wire::{Dispatch, RequestKey, Work};

use super::UpstreamEvent;

/// Prompts shorter than this tell nothing of the speed of prefill.
const PREFILL_SAMPLE_TOKENS: u32 = 256;

/// Prompts longer than this hold the prefill of others up.
const LONG_PROMPT_TOKENS: u32 = 1_024;

/// How much longer than expected a prefill may take before the next one may start.
const PREFILL_PATIENCE: f64 = 2.0;

/// Speed of prefill that is assumed until one has been observed.
const ASSUMED_PREFILL_TOKENS_PER_S: u32 = 2_000;

/// Answers of this type come piece by piece.
const STREAM_TYPE: &str = "text/event-stream";

#[derive(Debug)]
struct Flight {
    tier: Tier,
    is_model: bool,
    prompt_tokens: u32,
    max_tokens: u32,
    /// Prompt tokens that were in prefill with it when it started, its own included.
    shared_tokens: u64,
    started_at: Instant,
    streamed: bool,
    pieces: u64,
    last_piece_at: Option<Instant>,
}

/// Requests in flight at the upstream.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    flights: HashMap<RequestKey, Flight>,
}

impl InFlight {
    pub(super) fn len(&self) -> u32 {
        self.flights.len() as u32
    }

    pub(super) fn add(&mut self, dispatch: &Dispatch, now: Instant) {
        let (prompt_tokens, max_tokens) = size_of(dispatch);
        let own = u64::from(prompt_tokens);
        let others = self.in_prefill().map(|flight| own.min(flight.prompt_tokens.into()));
        let flight = Flight {
            tier: dispatch.tier,
            is_model: matches!(dispatch.work, Work::Model(_)),
            prompt_tokens,
            max_tokens,
            shared_tokens: own + others.sum::<u64>(),
            started_at: now,
            streamed: false,
            pieces: 0,
            last_piece_at: None,
        };
        self.flights.insert(dispatch.key.clone(), flight);
    }

    pub(super) fn remove(&mut self, key: &RequestKey) {
        self.flights.remove(key);
    }

    /// Learns from what the upstream said.
    pub(super) fn observe(
        &mut self,
        key: &RequestKey,
        event: &UpstreamEvent,
        limiter: &mut AdaptiveLimiter,
        now: Instant,
    ) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        match event {
            UpstreamEvent::Started { content_type, .. } => {
                flight.streamed = content_type.starts_with(STREAM_TYPE);
            }
            UpstreamEvent::Data(_) => flight.observe_piece(limiter, now),
            _ => {}
        }
    }

    /// What runs, for the choice of the one that gives way.
    pub(super) fn running(
        &self,
        limiter: &AdaptiveLimiter,
        now: Instant,
    ) -> impl Iterator<Item = RunningRequest<'_, RequestKey>> {
        let sharers = self.in_prefill().count().max(1) as f64;
        let speed = prefill_speed(limiter) / sharers;
        self.flights.iter().map(move |(key, flight)| RunningRequest {
            key,
            tier: flight.tier,
            cancellable: flight.is_model,
            prefill_tokens: flight.prefill_done(speed, now),
            response_chunks: flight.pieces,
        })
    }

    /// The highest tier that has a long prompt in prefill. Answers that come in one piece do not show the end of
    /// their prefill; it is taken to be over once it has had its time.
    pub(super) fn tier_in_prefill(&self, limiter: &AdaptiveLimiter, now: Instant) -> Option<Tier> {
        let speed = prefill_speed(limiter) / PREFILL_PATIENCE;
        let is_due = |flight: &&Flight| {
            let elapsed_s = now.saturating_duration_since(flight.started_at).as_secs_f64();
            elapsed_s * speed < flight.shared_tokens as f64
        };
        let long = self.in_prefill().filter(|flight| flight.holds_prefill());
        long.filter(is_due).map(|flight| flight.tier).min()
    }

    /// Prompt tokens that are still to be computed, as far as is known.
    pub(super) fn prefill_left(&self) -> u64 {
        self.in_prefill().map(|flight| u64::from(flight.prompt_tokens)).sum()
    }

    /// Tokens that may still be generated.
    pub(super) fn decode_left(&self) -> u64 {
        let left = |flight: &Flight| u64::from(flight.max_tokens).saturating_sub(flight.pieces);
        self.flights.values().map(left).sum()
    }

    fn in_prefill(&self) -> impl Iterator<Item = &Flight> {
        self.flights.values().filter(|flight| flight.pieces == 0 && flight.is_model)
    }
}

impl Flight {
    fn holds_prefill(&self) -> bool {
        self.tier > TOP_TIER && self.prompt_tokens > LONG_PROMPT_TOKENS
    }

    fn observe_piece(&mut self, limiter: &mut AdaptiveLimiter, now: Instant) {
        self.pieces += 1;
        let last = self.last_piece_at.replace(now);
        if !self.streamed {
            return;
        }
        match last {
            Some(last) => limiter.observe_token_gap(now.saturating_duration_since(last)),
            None if self.prompt_tokens >= PREFILL_SAMPLE_TOKENS => {
                let took = now.saturating_duration_since(self.started_at);
                limiter.observe_prefill(self.shared_tokens, took.max(Duration::from_micros(1)));
            }
            None => {}
        }
    }

    fn prefill_done(&self, tokens_per_s: f64, now: Instant) -> u64 {
        if self.pieces > 0 {
            return self.prompt_tokens.into();
        }
        let elapsed_s = now.saturating_duration_since(self.started_at).as_secs_f64();
        ((elapsed_s * tokens_per_s) as u64).min(self.prompt_tokens.into())
    }
}

/// Whether a request would hold up the prefill of others.
pub(super) fn holds_prefill(dispatch: &Dispatch) -> bool {
    dispatch.tier > TOP_TIER && size_of(dispatch).0 > LONG_PROMPT_TOKENS
}

fn prefill_speed(limiter: &AdaptiveLimiter) -> f64 {
    match limiter.observed_speed().prefill_tokens_per_s {
        0 => ASSUMED_PREFILL_TOKENS_PER_S.into(),
        observed => observed.into(),
    }
}

fn size_of(dispatch: &Dispatch) -> (u32, u32) {
    match &dispatch.work {
        Work::Model(call) => (call.prompt_tokens, call.max_tokens),
        Work::Service(_) => (0, 0),
    }
}
