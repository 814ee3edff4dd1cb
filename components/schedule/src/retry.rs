//! When a refused caller may come back.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Spreads a wait between half and one and a half times itself by the id of the request, so that
/// callers that were refused together do not return together.
pub fn jitter_retry_after(wait: Duration, request_id: &str) -> Duration {
    let part = xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64;
    wait.mul_f64(0.5 + part)
}
