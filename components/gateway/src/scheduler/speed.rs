//! Estimate of an upstream's speed, derived from its responses.

use std::time::Duration;

/// Fixed work before a first event, expressed in prompt tokens, so that the estimate also holds for
/// short prompts.
const FIXED_PREFILL_TOKENS: f64 = 500.0;

/// Factor by which each observation reduces the weight of the earlier ones: about the last twenty
/// count.
const PREFILL_DECAY: f64 = 0.95;

/// Prefill time per prompt token before the first observation, from the engines' data sheets.
const INITIAL_MS_PER_PROMPT_TOKEN: f64 = 0.02;

/// Weight of the initial prefill time, in prompt tokens.
const INITIAL_PROMPT_TOKENS: f64 = 2_000.0;

/// Time per output token in a full batch before the first observation, from the engines' data
/// sheets.
const INITIAL_MS_PER_OUTPUT_TOKEN: f64 = 4.0;

/// Weight of the initial time per output token, in output tokens: a few events outweigh it.
const INITIAL_OUTPUT_TOKENS: f64 = 20.0;

/// Number of output tokens over which the time per token is averaged: those of some ten streams.
const OUTPUT_AVERAGING_TOKENS: f64 = 2_000.0;

/// Moving averages of the time per prompt token until the first event and of the time per output
/// token after it.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedEstimate {
    prefill_elapsed_ms: f64,
    prefill_tokens: f64,
    output_elapsed_ms: f64,
    output_tokens: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        SpeedEstimate {
            prefill_elapsed_ms: INITIAL_MS_PER_PROMPT_TOKEN * INITIAL_PROMPT_TOKENS,
            prefill_tokens: INITIAL_PROMPT_TOKENS,
            output_elapsed_ms: INITIAL_MS_PER_OUTPUT_TOKEN * INITIAL_OUTPUT_TOKENS,
            output_tokens: INITIAL_OUTPUT_TOKENS,
        }
    }
}

impl SpeedEstimate {
    /// Records that a first event came after `elapsed`, with a prefill backlog of `backlog_tokens`.
    pub(super) fn observe_prefill(&mut self, elapsed: Duration, backlog_tokens: f64) {
        self.prefill_elapsed_ms = self.prefill_elapsed_ms * PREFILL_DECAY + milliseconds(elapsed);
        self.prefill_tokens =
            self.prefill_tokens * PREFILL_DECAY + backlog_tokens + FIXED_PREFILL_TOKENS;
    }

    /// Records that generating `tokens` output tokens after the first event took `elapsed`.
    pub(super) fn observe_output(&mut self, elapsed: Duration, tokens: u32) {
        let tokens = f64::from(tokens);
        let decay = (-tokens / OUTPUT_AVERAGING_TOKENS).exp();
        self.output_elapsed_ms = self.output_elapsed_ms * decay + milliseconds(elapsed);
        self.output_tokens = self.output_tokens * decay + tokens;
    }

    /// Expected time to generate output tokens, in milliseconds.
    pub(super) fn output_ms(&self, tokens: u32) -> f64 {
        self.output_elapsed_ms / self.output_tokens * f64::from(tokens)
    }

    /// Expected time to prefill prompt tokens, in milliseconds.
    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        self.prefill_elapsed_ms / self.prefill_tokens * tokens
    }

    /// Expected time to the first event in addition to the prefill, in milliseconds.
    pub(super) fn fixed_ms(&self) -> f64 {
        self.prefill_ms(FIXED_PREFILL_TOKENS)
    }
}

/// Converts a duration to milliseconds, including the fraction.
pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
