//! How fast an upstream is, learned from its answers.

use std::time::Duration;

/// Tokens that stand for the fixed work before a first event, so that short prompts count too.
const FIXED_WORK_TOKENS: f64 = 500.0;

/// What one observation leaves of the weight of those before it: about the last twenty count.
const MEMORY: f64 = 0.95;

/// Milliseconds a token before anything was observed, from the engines' data sheets.
const INITIAL_MS_PER_TOKEN: f64 = 0.02;

/// Weight of the initial value, in tokens.
const INITIAL_TOKENS: f64 = 2_000.0;

/// Milliseconds an output token in a full batch before anything was observed, from the engines' data
/// sheets.
const INITIAL_MS_PER_OUTPUT_TOKEN: f64 = 4.0;

/// Weight of the initial value, in output tokens: a few events outweigh it.
const INITIAL_OUTPUT_TOKENS: f64 = 20.0;

/// Output tokens over which the pace is averaged: some ten streams' worth.
const PACE_TOKENS: f64 = 2_000.0;

/// The ratio of time to tokens read until the first event, and to tokens generated after it.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedEstimate {
    elapsed_ms: f64,
    tokens: f64,
    output_ms: f64,
    output_tokens: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        SpeedEstimate {
            elapsed_ms: INITIAL_MS_PER_TOKEN * INITIAL_TOKENS,
            tokens: INITIAL_TOKENS,
            output_ms: INITIAL_MS_PER_OUTPUT_TOKEN * INITIAL_OUTPUT_TOKENS,
            output_tokens: INITIAL_OUTPUT_TOKENS,
        }
    }
}

impl SpeedEstimate {
    /// Takes in that a first event came after `elapsed` with `backlog_tokens` to read.
    pub(super) fn observe_prefill(&mut self, elapsed: Duration, backlog_tokens: f64) {
        self.elapsed_ms = self.elapsed_ms * MEMORY + milliseconds(elapsed);
        self.tokens = self.tokens * MEMORY + backlog_tokens + FIXED_WORK_TOKENS;
    }

    /// Takes in that `tokens` output tokens took `elapsed` after the first event.
    pub(super) fn observe_output(&mut self, elapsed: Duration, tokens: u32) {
        let tokens = f64::from(tokens);
        let kept = (-tokens / PACE_TOKENS).exp();
        self.output_ms = self.output_ms * kept + milliseconds(elapsed);
        self.output_tokens = self.output_tokens * kept + tokens;
    }

    /// Time for output tokens, in milliseconds.
    pub(super) fn output_ms(&self, tokens: u32) -> f64 {
        self.output_ms / self.output_tokens * f64::from(tokens)
    }

    /// Time to read prompt tokens, in milliseconds.
    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        self.elapsed_ms / self.tokens * tokens
    }

    /// Time to the first event beside the reading, in milliseconds.
    pub(super) fn fixed_ms(&self) -> f64 {
        self.prefill_ms(FIXED_WORK_TOKENS)
    }
}

/// A duration in milliseconds, with its fraction.
pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
