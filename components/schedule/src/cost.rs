//! What a request costs on a given upstream, in time.

use std::time::Duration;

/// Bytes of text to a token, for estimates of prompts.
const BYTES_PER_TOKEN: usize = 4;

/// The size of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that may be generated.
    pub max_tokens: u32,
}

/// The speed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Prompt tokens a second, for all requests together.
    pub prefill_tokens_per_s: u32,
    /// Generated tokens a second for one request.
    pub decode_tokens_per_s: u32,
}

/// Estimates the tokens of a text from its length.
pub fn estimate_tokens(text_bytes: usize) -> u32 {
    u32::try_from(text_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Time to work through prompt tokens.
pub fn prefill_time(tokens: u64, speed: Speed) -> Duration {
    Duration::from_secs_f64(tokens as f64 / f64::from(speed.prefill_tokens_per_s.max(1)))
}

/// Time to generate tokens.
pub fn decode_time(tokens: u64, speed: Speed) -> Duration {
    Duration::from_secs_f64(tokens as f64 / f64::from(speed.decode_tokens_per_s.max(1)))
}
