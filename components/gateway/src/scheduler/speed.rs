//! How fast an upstream is, learned from its events.

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

/// Output tokens over which the pace is averaged: about a second of one stream.
const PACE_TOKENS: f64 = 300.0;

/// The ratio of time to tokens read until the first event, and to tokens generated after it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Speed {
    elapsed_ms: f64,
    tokens: f64,
    output_ms: f64,
    output_tokens: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Speed {
            elapsed_ms: INITIAL_MS_PER_TOKEN * INITIAL_TOKENS,
            tokens: INITIAL_TOKENS,
            output_ms: INITIAL_MS_PER_OUTPUT_TOKEN * INITIAL_OUTPUT_TOKENS,
            output_tokens: INITIAL_OUTPUT_TOKENS,
        }
    }
}

impl Speed {
    /// Takes in that a first event came after `elapsed_ms` with `backlog_tokens` to read.
    pub(super) fn observe(&mut self, elapsed_ms: f64, backlog_tokens: u64) {
        self.elapsed_ms = self.elapsed_ms * MEMORY + elapsed_ms;
        self.tokens = self.tokens * MEMORY + backlog_tokens as f64 + FIXED_WORK_TOKENS;
    }

    /// Takes in that `tokens` output tokens came after a pause.
    pub(super) fn observe_output(&mut self, pause: Duration, tokens: u32) {
        let tokens = f64::from(tokens);
        let kept = (-tokens / PACE_TOKENS).exp();
        self.output_ms = self.output_ms * kept + pause.as_secs_f64() * 1_000.0;
        self.output_tokens = self.output_tokens * kept + tokens;
    }

    /// Time for an answer after its first event, in milliseconds.
    pub(super) fn expect_output_ms(&self, expected_tokens: u32) -> f64 {
        self.output_ms / self.output_tokens * f64::from(expected_tokens)
    }

    /// Time until a first event with `backlog_tokens` to read, in milliseconds.
    pub(super) fn expect_ms(&self, backlog_tokens: u64) -> f64 {
        self.elapsed_ms / self.tokens * (backlog_tokens as f64 + FIXED_WORK_TOKENS)
    }
}
