//! Estimates of the size of a request and of the time that it takes on an upstream.

use std::time::Duration;

/// Assumed bytes of text per token, for estimates of prompt sizes.
const BYTES_PER_TOKEN: usize = 4;

/// Size of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Speed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Prompt tokens processed per second, over all requests together.
    pub prefill_tokens_per_s: u32,
    /// Tokens generated per second for one request.
    pub decode_tokens_per_s: u32,
}

/// Estimates the number of tokens of a text from its length.
pub fn estimate_tokens(text_bytes: usize) -> u32 {
    u32::try_from(text_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the time to process a number of prompt tokens.
pub fn prefill_time(tokens: u64, speed: Speed) -> Duration {
    Duration::from_secs_f64(tokens as f64 / f64::from(speed.prefill_tokens_per_s.max(1)))
}

/// Returns the time to generate a number of tokens for one request.
pub fn decode_time(tokens: u64, speed: Speed) -> Duration {
    Duration::from_secs_f64(tokens as f64 / f64::from(speed.decode_tokens_per_s.max(1)))
}
