//! Requests in flight at the upstream, and the speeds observed from their responses.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use identity::Tier;
use schedule::adaptive_limiter::AdaptiveLimiter;
use schedule::preempt::{RunningRequest, TOP_TIER};
use wire::{Dispatch, RequestKey, Work};

use super::UpstreamEvent;

/// Shortest prompt whose prefill time counts as an observation of the prefill speed.
const MIN_SAMPLE_PROMPT_TOKENS: u32 = 256;

/// Prompts longer than this delay the prefill of other requests.
const LONG_PROMPT_TOKENS: u32 = 1_024;

/// Multiple of the expected prefill time of a long prompt after which the next long prompt may
/// start even if the response has not begun.
const PREFILL_TIMEOUT_FACTOR: f64 = 2.0;

/// Prefill speed that is assumed until one has been observed.
const ASSUMED_PREFILL_TOKENS_PER_S: u32 = 2_000;

/// Content type of a streamed response.
const STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// A request in flight.
#[derive(Debug)]
struct InFlightRequest {
    tier: Tier,
    is_model_call: bool,
    prompt_tokens: u32,
    max_tokens: u32,
    /// Prompt tokens that the upstream computes during the prefill of this request: its own, plus
    /// those of each other request in prefill at its start, counted up to the number of its own.
    concurrent_prefill_tokens: u64,
    started_at: Instant,
    is_streamed: bool,
    received_chunks: u64,
    last_chunk_at: Option<Instant>,
}

/// Requests in flight at the upstream.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    requests: HashMap<RequestKey, InFlightRequest>,
}

impl InFlightRequests {
    pub(super) fn len(&self) -> u32 {
        self.requests.len() as u32
    }

    pub(super) fn add(&mut self, dispatch: &Dispatch, now: Instant) {
        let (prompt_tokens, max_tokens) = prompt_and_max_tokens(dispatch);
        let own = u64::from(prompt_tokens);
        let others = self.in_prefill().map(|request| own.min(request.prompt_tokens.into()));
        let request = InFlightRequest {
            tier: dispatch.tier,
            is_model_call: matches!(dispatch.work, Work::Model(_)),
            prompt_tokens,
            max_tokens,
            concurrent_prefill_tokens: own + others.sum::<u64>(),
            started_at: now,
            is_streamed: false,
            received_chunks: 0,
            last_chunk_at: None,
        };
        self.requests.insert(dispatch.key.clone(), request);
    }

    pub(super) fn remove(&mut self, key: &RequestKey) {
        self.requests.remove(key);
    }

    /// Records the time of an upstream event, from which the limiter learns the upstream's speed.
    pub(super) fn observe_event(
        &mut self,
        key: &RequestKey,
        event: &UpstreamEvent,
        limiter: &mut AdaptiveLimiter,
        now: Instant,
    ) {
        let Some(request) = self.requests.get_mut(key) else { return };
        match event {
            UpstreamEvent::Started { content_type, .. } => {
                request.is_streamed = content_type.starts_with(STREAM_CONTENT_TYPE);
            }
            UpstreamEvent::Data(_) => request.observe_chunk(limiter, now),
            _ => {}
        }
    }

    /// Returns the requests in flight, for the choice of one to preempt.
    pub(super) fn running_requests(
        &self,
        limiter: &AdaptiveLimiter,
        now: Instant,
    ) -> impl Iterator<Item = RunningRequest<'_, RequestKey>> {
        let prefill_count = self.in_prefill().count().max(1) as f64;
        let tokens_per_s = prefill_tokens_per_s(limiter) / prefill_count;
        self.requests.iter().map(move |(key, request)| RunningRequest {
            key,
            tier: request.tier,
            cancellable: request.is_model_call,
            prefill_tokens: request.computed_prefill_tokens(tokens_per_s, now),
            response_chunks: request.received_chunks,
        })
    }

    /// Returns the highest tier that has a long prompt in prefill. A response that is not streamed
    /// does not show when its prefill ends, so a prefill is assumed to have ended after
    /// `PREFILL_TIMEOUT_FACTOR` times its expected duration.
    pub(super) fn long_prefill_tier(
        &self,
        limiter: &AdaptiveLimiter,
        now: Instant,
    ) -> Option<Tier> {
        let min_tokens_per_s = prefill_tokens_per_s(limiter) / PREFILL_TIMEOUT_FACTOR;
        let is_unfinished = |request: &&InFlightRequest| {
            let elapsed_s = now.saturating_duration_since(request.started_at).as_secs_f64();
            elapsed_s * min_tokens_per_s < request.concurrent_prefill_tokens as f64
        };
        let long_prefills = self.in_prefill().filter(|request| request.is_long_prefill());
        long_prefills.filter(is_unfinished).map(|request| request.tier).min()
    }

    /// Returns an upper bound of the prompt tokens still to be computed: the whole prompt of each
    /// model call whose response has not begun.
    pub(super) fn remaining_prefill_tokens(&self) -> u64 {
        self.in_prefill().map(|request| u64::from(request.prompt_tokens)).sum()
    }

    /// Returns the most tokens that may still be generated, where each chunk counts as one token.
    pub(super) fn remaining_decode_tokens(&self) -> u64 {
        let remaining = |request: &InFlightRequest| {
            u64::from(request.max_tokens).saturating_sub(request.received_chunks)
        };
        self.requests.values().map(remaining).sum()
    }

    fn in_prefill(&self) -> impl Iterator<Item = &InFlightRequest> {
        self.requests
            .values()
            .filter(|request| request.received_chunks == 0 && request.is_model_call)
    }
}

impl InFlightRequest {
    fn is_long_prefill(&self) -> bool {
        self.tier > TOP_TIER && self.prompt_tokens > LONG_PROMPT_TOKENS
    }

    fn observe_chunk(&mut self, limiter: &mut AdaptiveLimiter, now: Instant) {
        self.received_chunks += 1;
        let previous_chunk_at = self.last_chunk_at.replace(now);
        if !self.is_streamed {
            return;
        }
        match previous_chunk_at {
            Some(previous) => limiter.observe_token_gap(now.saturating_duration_since(previous)),
            None if self.prompt_tokens >= MIN_SAMPLE_PROMPT_TOKENS => {
                let took = now.saturating_duration_since(self.started_at);
                limiter.observe_prefill(
                    self.concurrent_prefill_tokens,
                    took.max(Duration::from_micros(1)),
                );
            }
            None => {}
        }
    }

    /// Estimates the prompt tokens computed so far.
    fn computed_prefill_tokens(&self, tokens_per_s: f64, now: Instant) -> u64 {
        if self.received_chunks > 0 {
            return self.prompt_tokens.into();
        }
        let elapsed_s = now.saturating_duration_since(self.started_at).as_secs_f64();
        ((elapsed_s * tokens_per_s) as u64).min(self.prompt_tokens.into())
    }
}

/// Whether the request's prefill would delay the prefill of other requests. The highest tier is
/// exempt: it neither waits for a long prefill nor makes others wait.
pub(super) fn is_long_prefill(dispatch: &Dispatch) -> bool {
    dispatch.tier > TOP_TIER && prompt_and_max_tokens(dispatch).0 > LONG_PROMPT_TOKENS
}

fn prefill_tokens_per_s(limiter: &AdaptiveLimiter) -> f64 {
    match limiter.observed_speed().prefill_tokens_per_s {
        0 => ASSUMED_PREFILL_TOKENS_PER_S.into(),
        observed => observed.into(),
    }
}

fn prompt_and_max_tokens(dispatch: &Dispatch) -> (u32, u32) {
    match &dispatch.work {
        Work::Model(call) => (call.prompt_tokens, call.max_tokens),
        Work::Service(_) => (0, 0),
    }
}
