//! Retry times given to callers whose requests are refused.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Scales a wait by a factor between one half and one and a half, derived from the request id, so
/// that callers refused at the same time do not all retry at the same time.
pub fn jitter_retry_after(wait: Duration, request_id: &str) -> Duration {
    let fraction = xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64;
    wait.mul_f64(0.5 + fraction)
}
